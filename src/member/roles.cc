#include "member/roles.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace gentianlb::member {
namespace {

// Returns the rank of a host for a role by rendezvous hashing. Each role has
// its own order of hosts, so roles spread over the hosts, and only the roles of
// a leaving host move.
std::uint64_t Rank(const std::string& role, const EntryHostId& host) {
  std::uint64_t seed = XXH3_64bits(role.data(), role.size());
  return XXH3_64bits_withSeed(host.str().data(), host.str().size(), seed);
}

bool InZone(const Member& member, const ZoneId& zone) {
  return zone.empty() || member.zone == zone;
}

bool MayHold(const Member& member, const ZoneId& zone) {
  return InZone(member, zone) && member.state == MemberState::kAlive;
}

// A suspect may be slow only for a moment, so its role moves when it is dead.
bool MayKeep(const Member& member, const ZoneId& zone) {
  return InZone(member, zone) && (member.state == MemberState::kAlive ||
                                  member.state == MemberState::kSuspect);
}

const HeldRole* FindRole(const Member& member, const std::string& role) {
  auto found =
      std::find_if(member.roles.begin(), member.roles.end(),
                   [&](const HeldRole& held) { return held.role == role; });
  return found == member.roles.end() ? nullptr : &*found;
}

}  // namespace

void RoleBoard::SetRoles(std::vector<RoleSpec> roles) {
  std::map<std::string, RoleState> next;
  for (RoleSpec& spec : roles) {
    auto existing = states_.find(spec.role);
    RoleState state =
        existing == states_.end() ? RoleState{} : existing->second;
    state.zone = spec.zone;
    next.emplace(spec.role, std::move(state));
  }
  states_ = std::move(next);
}

std::vector<RoleBoard::Change> RoleBoard::Update(
    const Member& self, const std::vector<Member>& peers, absl::Time now) {
  std::vector<Change> changes;
  for (auto& [role, state] : states_) {
    Holder holder = DetermineHolder(role, state, self, peers, now);
    if (holder == state.holder) continue;
    state.holder = holder;
    changes.push_back({role, holder});
  }
  return changes;
}

RoleBoard::Holder RoleBoard::DetermineHolder(const std::string& role,
                                             RoleState& state,
                                             const Member& self,
                                             const std::vector<Member>& peers,
                                             absl::Time now) const {
  // The last host of a zone keeps its roles while it leaves, because its own
  // requests still need them.
  bool peer_may_hold = std::any_of(
      peers.begin(), peers.end(),
      [&](const Member& member) { return MayHold(member, state.zone); });
  bool may_hold =
      MayHold(self, state.zone) || (!peer_may_hold && InZone(self, state.zone));
  if (!may_hold) state.held_since.reset();

  // Of the members that publish the role, the earliest holder keeps it.
  const Member* holder = nullptr;
  std::tuple<std::int64_t, EntryHostId> earliest;
  for (const Member& member : peers) {
    const HeldRole* held = FindRole(member, role);
    if (held == nullptr || !MayKeep(member, state.zone)) continue;
    std::tuple<std::int64_t, EntryHostId> candidate(held->since, member.id);
    if (holder == nullptr || candidate < earliest) {
      holder = &member;
      earliest = candidate;
    }
  }
  if (state.held_since.has_value()) {
    std::tuple<std::int64_t, EntryHostId> own(*state.held_since, self_);
    if (holder == nullptr || own < earliest) {
      return {self_, *state.held_since};
    }
    state.held_since.reset();
  }
  if (holder != nullptr) {
    state.vacant_since.reset();
    return {holder->id, std::get<0>(earliest)};
  }

  // The host with the highest rank takes a vacant role after the delay.
  if (!state.vacant_since.has_value()) state.vacant_since = now;
  if (!may_hold) return {};
  if (now - *state.vacant_since < kVacancyDelay) return {};
  std::uint64_t own_rank = Rank(role, self_);
  for (const Member& member : peers) {
    if (MayHold(member, state.zone) && Rank(role, member.id) > own_rank) {
      return {};
    }
  }
  state.held_since = absl::ToUnixMicros(now);
  state.vacant_since.reset();
  return {self_, *state.held_since};
}

EntryHostId RoleBoard::HolderOf(const std::string& role) const {
  auto found = states_.find(role);
  return found == states_.end() ? EntryHostId() : found->second.holder.host;
}

bool RoleBoard::HasVacantRole() const {
  return std::any_of(states_.begin(), states_.end(), [](const auto& state) {
    return state.second.holder.host.empty();
  });
}

std::vector<HeldRole> RoleBoard::HeldRoles() const {
  std::vector<HeldRole> held;
  for (const auto& [role, state] : states_) {
    if (state.held_since.has_value()) held.push_back({role, *state.held_since});
  }
  return held;
}

}  // namespace gentianlb::member
