#include "timeline/json.h"

#include <string>
#include <utility>

namespace gentianlb::timeline {
namespace {

Event FromJson(const Json::Value& json, EventKind kind) {
  Event event;
  event.stamp.micros = json["micros"].asInt64();
  event.stamp.counter = json["counter"].asUInt();
  event.host = EntryHostId(json["host"].asString());
  event.incarnation = json["incarnation"].asInt64();
  event.kind = kind;
  event.subject = json["subject"].asString();
  event.detail = json["detail"].asString();
  return event;
}

}  // namespace

std::optional<EventKind> KindByName(std::string_view name) {
  int last = static_cast<int>(EventKind::kPlatformUp);
  for (int i = 0; i <= last; ++i) {
    auto kind = static_cast<EventKind>(i);
    if (KindName(kind) == name) return kind;
  }
  return std::nullopt;
}

Json::Value ToJson(const Event& event) {
  Json::Value json;
  json["micros"] = static_cast<Json::Int64>(event.stamp.micros);
  json["counter"] = event.stamp.counter;
  json["host"] = event.host.str();
  json["incarnation"] = static_cast<Json::Int64>(event.incarnation);
  json["kind"] = std::string(KindName(event.kind));
  json["subject"] = event.subject;
  json["detail"] = event.detail;
  return json;
}

Json::Value ToJson(const std::vector<Event>& events) {
  Json::Value list(Json::arrayValue);
  for (const Event& event : events) list.append(ToJson(event));
  return list;
}

Outcome<std::vector<Event>> EventsFromJson(const Json::Value& list) {
  if (!list.isArray()) return Error{Code::kMalformedRpc, "no list of events"};
  std::vector<Event> events;
  try {
    for (const Json::Value& json : list) {
      auto kind = KindByName(json["kind"].asString());
      if (kind) events.push_back(FromJson(json, *kind));
    }
  } catch (const Json::Exception& error) {
    return Error{Code::kMalformedRpc, error.what()};
  }
  return events;
}

}  // namespace gentianlb::timeline
