// Parses untrusted JSON without exceptions, and writes JSON on one line.

#ifndef GENTIANLB_BASE_JSON_TEXT_H_
#define GENTIANLB_BASE_JSON_TEXT_H_

#include <json/json.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace gentianlb {

// Returns `value` as JSON on one line.
std::string ToText(const Json::Value& value);

// Returns the JSON object in `text`, or nullopt if it isn't one. jsoncpp throws
// an exception if the nesting is too deep; a corrupt row must not terminate the
// process that reads it.
std::optional<Json::Value> ParseObject(std::string_view text);

// Return whether each of these fields is a string, or a 64-bit integer.
bool AllStrings(const Json::Value& json,
                std::initializer_list<const char*> names);
bool AllIntegers(const Json::Value& json,
                 std::initializer_list<const char*> names);

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_JSON_TEXT_H_
