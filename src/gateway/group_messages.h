// Messages between entry hosts and the dispatchers of groups of backend
// servers.
//
// A group is a subset of the servers of a service, and one host dispatches for
// it. The events and decisions are those of schedule/messages.h. Times are sent
// as durations relative to the time of sending, because the clocks of hosts
// differ and may be adjusted.

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
#include "gateway/messages.h"
#include "schedule/messages.h"
#include "schedule/suspect_parts.h"
#include "schedule/suspects.h"

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

// All requests of the sender that the dispatcher of a group should have, either
// queued or granted. A request that the dispatcher has but that is not listed
// has finished, and the message about it was lost.
struct OpenRequests {
  std::vector<RequestId> ids;
};

// An event that a host sends to the dispatcher of a group.
using GroupEvent =
    std::variant<schedule::RequestArrived, schedule::RequestRunning,
                 schedule::CallerDisconnected, schedule::TokensStreamed,
                 schedule::RequestFinished, OpenRequests,
                 schedule::RequestDelayed>;

struct AddressedEvent {
  GroupKey group;
  GroupEvent event;
};

// Acknowledges that the dispatcher has received and queued the request.
struct RequestQueued {
  RequestId id;
  bool operator==(const RequestQueued&) const = default;
};

using GroupAnswer =
    std::variant<schedule::Grant, schedule::Refuse, RequestQueued>;

// The free capacity of a group: free streams minus queued requests.
struct GroupCapacity {
  GroupKey group;
  std::int16_t free_streams = 0;
  auto operator<=>(const GroupCapacity&) const = default;
};

// Whether the sender asks for what the receiver remembers of lost servers, or
// whether this message is the answer.
enum class MemoryTransfer : std::uint8_t { kNone, kQuery, kAnswer };

// The content of one datagram. An empty message serves as a heartbeat.
// `suspects`, `parts` and `leaving` come before the events that follow from
// them.
struct GroupMessage {
  EntryHostId from;
  MemoryTransfer memory = MemoryTransfer::kNone;
  std::vector<schedule::SuspectChange> suspects;
  std::vector<schedule::PartChange> parts;
  std::vector<LeavingServer> leaving;
  std::vector<TunnelledCooldown> cooldowns;
  std::vector<AddressedEvent> events;
  std::vector<GroupAnswer> answers;
  std::vector<GroupCapacity> capacities;
};

// Encodes `message` with its times relative to `now`.
std::string Encode(const GroupMessage& message, absl::Time now);
// Returns whether `bytes` starts with the magic of a group message.
bool IsGroupMessage(std::string_view bytes);
// Decodes a message with its times relative to `now`. Returns nullopt if the
// bytes are truncated or not a group message.
std::optional<GroupMessage> DecodeGroupMessage(std::string_view bytes,
                                               absl::Time now);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_MESSAGES_H_
