// Events as JSON, for peers and for scripts.

#ifndef GENTIANLB_TIMELINE_JSON_H_
#define GENTIANLB_TIMELINE_JSON_H_

#include <json/json.h>

#include <optional>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "timeline/event.h"

namespace gentianlb::timeline {

// The kind with this name, if there is one.
std::optional<EventKind> KindByName(std::string_view name);

// An object {"micros", "counter", "host", "incarnation", "kind", "subject",
// "detail"}, and a list of them.
Json::Value ToJson(const Event& event);
Json::Value ToJson(const std::vector<Event>& events);

// The reverse. Events of a kind that this program does not know, as a newer
// host may send, are left out.
Outcome<std::vector<Event>> EventsFromJson(const Json::Value& list);

}  // namespace gentianlb::timeline

#endif  // GENTIANLB_TIMELINE_JSON_H_
