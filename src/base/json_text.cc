#include "base/json_text.h"

#include <memory>

namespace gentianlb {

std::string ToText(const Json::Value& value) {
  // Static: constructing a builder costs more than writing a row.
  static const auto& builder = *[] {
    auto* new_builder = new Json::StreamWriterBuilder;
    (*new_builder)["indentation"] = "";
    return new_builder;
  }();
  return Json::writeString(builder, value);
}

std::optional<Json::Value> ParseObject(std::string_view text) {
  static const auto& builder = *new Json::CharReaderBuilder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  try {
    bool parsed =
        reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    if (!parsed || !value.isObject()) return std::nullopt;
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
  return value;
}

bool AllStrings(const Json::Value& json,
                std::initializer_list<const char*> names) {
  for (const char* name : names) {
    if (!json[name].isString()) return false;
  }
  return true;
}

bool AllIntegers(const Json::Value& json,
                 std::initializer_list<const char*> names) {
  for (const char* name : names) {
    if (!json[name].isInt64()) return false;
  }
  return true;
}

}  // namespace gentianlb
