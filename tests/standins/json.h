// Short forms for JSON bodies, for the stand-ins and the process tests.

#ifndef GENTIANLB_STANDINS_JSON_H_
#define GENTIANLB_STANDINS_JSON_H_

#include <json/json.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/server.h"

namespace gentianlb::standins {

// One line without spaces.
inline std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, value);
}

// Null when `text` is not a JSON object.
inline std::optional<Json::Value> ParseObject(std::string_view text) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  bool read =
      reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
  if (!read || !value.isObject()) return std::nullopt;
  return value;
}

inline void RespondJson(http::Responder& answer, int status,
                        const Json::Value& body) {
  answer.Respond(status, {{"Content-Type", "application/json"}}, ToText(body));
}

inline void RespondError(http::Responder& answer, int status,
                         const std::string& text) {
  Json::Value body;
  body["error"] = text;
  RespondJson(answer, status, body);
}

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_JSON_H_
