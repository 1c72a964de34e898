// Reading JSON that others have sent: never throws, whatever it holds.

#ifndef GENTIANLB_ENTRY_JSON_READ_H_
#define GENTIANLB_ENTRY_JSON_READ_H_

#include <json/json.h>

#include <cstdint>
#include <string>

namespace gentianlb::entry {

// The object in `text`, or an empty one when there is none.
Json::Value ParseObjectOr(const std::string& text);

std::int64_t NumberOr(const Json::Value& value, std::int64_t preset);
std::string TextOr(const Json::Value& value, const std::string& preset);

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_JSON_READ_H_
