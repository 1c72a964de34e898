// JSON that others have written, read without a throw, and written on one line.

#ifndef GENTIANLB_BASE_JSON_TEXT_H_
#define GENTIANLB_BASE_JSON_TEXT_H_

#include <json/json.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace gentianlb {

std::string ToText(const Json::Value& value);

// Nothing when `text` isn't one JSON object. jsoncpp throws on text that is
// nested too deeply; a corrupt row must not end the process that reads it.
std::optional<Json::Value> ParseObject(std::string_view text);

// Whether each of these fields is a text, or a whole number of 64 bits.
bool AllStrings(const Json::Value& json,
                std::initializer_list<const char*> names);
bool AllIntegers(const Json::Value& json,
                 std::initializer_list<const char*> names);

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_JSON_TEXT_H_
