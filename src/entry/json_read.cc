#include "entry/json_read.h"

#include "base/json_text.h"

namespace gentianlb::entry {

Json::Value ParseObjectOr(const std::string& text) {
  return ParseObject(text).value_or(Json::Value(Json::objectValue));
}

std::int64_t NumberOr(const Json::Value& value, std::int64_t preset) {
  return value.isInt64() ? value.asInt64() : preset;
}

std::string TextOr(const Json::Value& value, const std::string& preset) {
  return value.isString() ? value.asString() : preset;
}

}  // namespace gentianlb::entry
