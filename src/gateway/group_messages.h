// What entry hosts and the dispatchers of groups of servers tell each other.
//
// A group is a part of a service's servers; one host dispatches for it. The
// events and decisions are those of schedule/messages.h. Times travel as spans,
// since hosts' clocks differ and may be set.

#ifndef GENTIANLB_GATEWAY_GROUP_MESSAGES_H_
#define GENTIANLB_GATEWAY_GROUP_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "gateway/fleet_messages.h"
#include "schedule/messages.h"

namespace gentianlb::gateway {

struct GroupKey {
  NameHash service = 0;
  std::uint16_t group = 0;
  auto operator<=>(const GroupKey&) const = default;
  template <typename H>
  friend H AbslHashValue(H state, const GroupKey& key) {
    return H::combine(std::move(state), key.service, key.group);
  }
};

// All requests of the sender that the dispatcher of a group is taken to have:
// they wait there, or it has granted them. What it has besides ended unheard.
struct OpenRequests {
  std::vector<RequestId> ids;
};

// To the dispatcher of a group.
using GroupEvent =
    std::variant<schedule::RequestArrived, schedule::RequestRunning,
                 schedule::CallerDisconnected, schedule::TokensStreamed,
                 schedule::RequestFinished, OpenRequests>;

struct ToGroup {
  GroupKey group;
  GroupEvent event;
};

// The request has come in, and waits there for its turn.
struct RequestWaits {
  RequestId id;
  bool operator==(const RequestWaits&) const = default;
};

using GroupAnswer =
    std::variant<schedule::Grant, schedule::Refuse, RequestWaits>;

// Streams that are free in a group, less the requests that wait there.
struct GroupRoom {
  GroupKey group;
  std::int16_t streams = 0;
  auto operator<=>(const GroupRoom&) const = default;
};

// One datagram. One without any content tells that its sender is alive.
struct GroupMessage {
  EntryHostId from;
  std::vector<ToGroup> events;
  std::vector<GroupAnswer> answers;
  std::vector<GroupRoom> rooms;
};

// Spans are counted from `now`.
std::string Encode(const GroupMessage& message, absl::Time now);
bool IsGroupMessage(std::string_view bytes);
// None when the bytes are cut or foreign.
std::optional<GroupMessage> DecodeGroupMessage(std::string_view bytes,
                                               absl::Time now);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_MESSAGES_H_
