// Determines the holder of each role that needs one holder per availability
// zone, such as the dispatcher of a service. There is no election: each host
// ranks the members that are alive by itself. Two holders at once cost
// efficiency but not correctness, so no lease is needed; roles that must not
// have two holders use leases in the table.
//
// A holder keeps its role while it is alive. A host that returns or flaps does
// not take it over again (see "Cartridge Failover architecture": the leader
// does not change while it is alive, and a new leader is immune for some time).

#ifndef GENTIANLB_MEMBER_ROLES_H_
#define GENTIANLB_MEMBER_ROLES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "member/messages.h"

namespace gentianlb::member {

// A role and the availability zone whose hosts may hold it.
struct RoleSpec {
  std::string role;
  ZoneId zone;  // Empty: any host.
  auto operator<=>(const RoleSpec&) const = default;
};

// A host takes a role only after seeing it vacant for this time, because a host
// that has just started has not yet received an update about the holder.
inline constexpr absl::Duration kVacancyDelay = absl::Milliseconds(1500);

// Tracks the holders of all roles for one entry host.
class RoleBoard {
 public:
  explicit RoleBoard(EntryHostId self) : self_(std::move(self)) {}

  void SetRoles(std::vector<RoleSpec> roles);

  // The holder of a role and the time it took it. A host that lost a role and
  // took it again has lost its state, so this counts as a change too.
  struct Holder {
    EntryHostId host;  // Empty if no holder is known.
    std::int64_t since = 0;
    bool operator==(const Holder&) const = default;
  };

  struct Change {
    std::string role;
    Holder holder;
    bool operator==(const Change&) const = default;
  };

  // Determines the holders of all roles from the members; `self` is this host
  // as it is published. Returns the roles whose holder has changed.
  std::vector<Change> Update(const Member& self,
                             const std::vector<Member>& peers, absl::Time now);

  // Returns the holder of the role; empty if none is known.
  EntryHostId HolderOf(const std::string& role) const;

  // Returns whether a role has no known holder, so that its holder may change
  // with time alone.
  bool HasVacantRole() const;

  // Returns the roles that this host holds, for publishing.
  std::vector<HeldRole> HeldRoles() const;

 private:
  struct RoleState {
    ZoneId zone;
    Holder holder;
    std::optional<std::int64_t> held_since;  // Set while this host holds it.
    std::optional<absl::Time> vacant_since;
  };

  Holder DetermineHolder(const std::string& role, RoleState& state,
                         const Member& self, const std::vector<Member>& peers,
                         absl::Time now) const;

  const EntryHostId self_;
  std::map<std::string, RoleState> states_;
};

}  // namespace gentianlb::member

#endif  // GENTIANLB_MEMBER_ROLES_H_
