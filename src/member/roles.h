// Who holds a role of which one holder per availability zone is wanted, such as
// the dispatcher of a service. There is no election: each host ranks the living
// members by itself. Two holders at once cost efficiency, never correctness, so
// no lease is needed; roles where two would do harm use leases in the table.
//
// A holder keeps its role while it lives; a host that comes back or flaps does
// not take it over again (cf. "Cartridge Failover architecture": no change of
// leader while the current one lives, and immunity of a fresh appointment).

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

// A host takes a vacant role only after it has stayed vacant in its eyes this
// long: a host that has just started has not yet heard of the holder.
inline constexpr absl::Duration kRoleSettle = absl::Milliseconds(1500);

class RoleBoard {
 public:
  explicit RoleBoard(EntryHostId self) : self_(std::move(self)) {}

  void SetRoles(std::vector<RoleSpec> roles);

  // Who holds a role, and since when: a host that has lost a role and taken it
  // again has forgotten what it was told, so that counts as a change too.
  struct Holder {
    EntryHostId host;  // Empty: nobody is known to hold it.
    std::int64_t since = 0;
    bool operator==(const Holder&) const = default;
  };

  struct Change {
    std::string role;
    Holder holder;
    bool operator==(const Change&) const = default;
  };

  // Judges all roles anew by what is known of the members; `self` is this host
  // as it is announced. Returns the roles whose holder has changed.
  std::vector<Change> Update(const Member& self,
                             const std::vector<Member>& others, absl::Time now);

  // Empty when nobody is known to hold it.
  EntryHostId HolderOf(const std::string& role) const;

  // Whether a role has no known holder, so that time alone may change it.
  bool HasVacantRole() const;

  // What this host holds, to be announced.
  std::vector<HeldRole> HeldRoles() const;

 private:
  struct State {
    ZoneId zone;
    Holder holder;
    std::optional<std::int64_t> held_since;  // Set while this host holds it.
    std::optional<absl::Time> vacant_since;
  };

  Holder Judge(const std::string& role, State& state, const Member& self,
               const std::vector<Member>& others, absl::Time now) const;

  const EntryHostId self_;
  std::map<std::string, State> states_;
};

}  // namespace gentianlb::member

#endif  // GENTIANLB_MEMBER_ROLES_H_
