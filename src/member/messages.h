// Messages of the membership protocol between entry hosts. Their size is
// bounded and does not grow with the number of hosts.

#ifndef GENTIANLB_MEMBER_MESSAGES_H_
#define GENTIANLB_MEMBER_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace gentianlb::member {

enum class MemberState { kAlive, kSuspect, kDead, kLeaving };

// A role that an entry host holds, such as the dispatcher of a service in an
// availability zone. If two hosts hold a role, the earlier `since` keeps it.
struct HeldRole {
  std::string role;
  std::int64_t since = 0;  // Microseconds since the epoch, holder's clock.
  auto operator<=>(const HeldRole&) const = default;
};

// The last known state of one entry host. Of two updates about a host the newer
// has the higher incarnation, then the higher `revision`, which only the host
// itself raises, then the later value of `state`.
struct Member {
  EntryHostId id;
  ZoneId zone;
  std::string address;  // IP:PORT of its control interface.
  Incarnation incarnation = 0;
  std::uint64_t revision = 0;
  MemberState state = MemberState::kAlive;
  std::int64_t config_version = 0;
  std::vector<HeldRole> roles;
  bool operator==(const Member&) const = default;
};

// Checks that the receiver is alive. It answers with an Ack of the same number.
struct Ping {
  std::uint64_t number = 0;
  bool operator==(const Ping&) const = default;
};

// The answer to a Ping or PingRequest.
struct Ack {
  std::uint64_t number = 0;
  EntryHostId alive_host;  // The sender, or the target of a PingRequest.
  bool operator==(const Ack&) const = default;
};

// Asks the receiver to ping `target` for the sender. This distinguishes a dead
// host from a broken link.
struct PingRequest {
  std::uint64_t number = 0;
  EntryHostId target;
  bool operator==(const PingRequest&) const = default;
};

// A message and the membership updates that it carries.
struct Envelope {
  Member from;
  EntryHostId to;
  std::string to_address;
  std::variant<Ping, Ack, PingRequest> body;
  std::vector<Member> updates;
  bool operator==(const Envelope&) const = default;
};

}  // namespace gentianlb::member

#endif  // GENTIANLB_MEMBER_MESSAGES_H_
