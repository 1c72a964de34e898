#include "entry/json_read.h"

#include <memory>

namespace gentianlb::entry {

Json::Value ParseObjectOr(const std::string& text) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  const char* begin = text.data();
  try {
    if (reader->parse(begin, begin + text.size(), &value, nullptr) &&
        value.isObject()) {
      return value;
    }
  } catch (const Json::Exception&) {
    // Too deeply nested: as good as no object.
  }
  return Json::Value(Json::objectValue);
}

std::int64_t NumberOr(const Json::Value& value, std::int64_t preset) {
  return value.isInt64() ? value.asInt64() : preset;
}

std::string TextOr(const Json::Value& value, const std::string& preset) {
  return value.isString() ? value.asString() : preset;
}

}  // namespace gentianlb::entry
