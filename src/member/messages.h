// What entry hosts tell each other about who lives. Messages are small and of
// bounded size, whatever the number of hosts.

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
// availability zone. `since` orders two hosts that both believe they hold it.
struct HeldRole {
  std::string role;
  std::int64_t since = 0;  // Microseconds since the epoch, of the holder.
  auto operator<=>(const HeldRole&) const = default;
};

// One entry host as it is known. Which of two pieces of news about a host is
// newer is decided by incarnation, then by `revision`, which only the host
// itself raises, then by the graver state.
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

// "Are you there?" The receiver answers with an Ack of the same number.
struct Ping {
  std::uint64_t number = 0;
  bool operator==(const Ping&) const = default;
};

struct Ack {
  std::uint64_t number = 0;
  EntryHostId alive_host;  // The sender, or the target of a PingRequest.
  bool operator==(const Ack&) const = default;
};

// "Ping `target` for me": tells a dead host from a cut link.
struct PingRequest {
  std::uint64_t number = 0;
  EntryHostId target;
  bool operator==(const PingRequest&) const = default;
};

// A message with the news that it carries along.
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
