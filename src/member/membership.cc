#include "member/membership.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace gentianlb::member {
namespace {

// Eight updates with their roles stay below 2 KB, and at 350 hosts a change
// still reaches all hosts with the repeats below.
constexpr std::size_t kUpdatesPerMessage = 8;

// Each update is sent this often times log2 of the number of hosts. SWIM's
// analysis requires a small multiple; 3 allows for lost messages.
constexpr int kRepeatFactor = 3;

// The number of peers that ping an unresponsive host for the prober.
constexpr std::size_t kIndirectProbes = 3;

// One of this many probes goes to a dead host or an unknown seed, so that two
// sides of a partition find each other after it ends.
constexpr std::uint64_t kDeadProbeInterval = 8;

bool IsProbed(MemberState state) { return state != MemberState::kDead; }

// Returns whether `update` is newer than `existing`: by incarnation, then by
// revision, then by the later value of `state`.
bool IsNewer(const Member& update, const Member& existing) {
  return std::tuple(update.incarnation, update.revision, update.state) >
         std::tuple(existing.incarnation, existing.revision, existing.state);
}

}  // namespace

Membership::Membership(Member self, const MembershipOptions& options,
                       const std::vector<Seed>& seeds)
    : self_(std::move(self)), options_(options), random_(options.seed) {
  for (const Seed& seed : seeds) AddSeed(seed);
}

void Membership::AddSeed(const Seed& seed) {
  if (seed.id == self_.id || members_.contains(seed.id)) return;
  Entry entry;
  entry.member.id = seed.id;
  entry.member.address = seed.address;
  entry.member.state = MemberState::kDead;
  members_.emplace(seed.id, std::move(entry));
}

void Membership::Tick(absl::Time now, std::vector<Envelope>* out,
                      std::vector<MemberChange>* changes) {
  SendIndirectProbes(now, out);
  ExpireSuspects(now, changes);
  if (now < next_probe_) return;
  FinishProbe(now, changes);
  ForgetDead(now);
  StartProbe(now, out);
  next_probe_ = now + options_.probe_period;
}

absl::Time Membership::NextTick() const {
  if (probe_.number != 0 && !probe_.acked && !probe_.indirect) {
    return std::min(next_probe_, probe_.sent_at + options_.ack_timeout);
  }
  return next_probe_;
}

// Sends indirect probes after the direct ping has timed out. A broken or lossy
// link between the two hosts looks like a dead host, but other peers may still
// reach it.
void Membership::SendIndirectProbes(absl::Time now,
                                    std::vector<Envelope>* out) {
  if (probe_.number == 0 || probe_.acked || probe_.indirect) return;
  if (now - probe_.sent_at < options_.ack_timeout) return;
  probe_.indirect = true;
  std::vector<const Entry*> helpers;
  for (const auto& [id, entry] : members_) {
    if (id != probe_.target && entry.member.state == MemberState::kAlive) {
      helpers.push_back(&entry);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), random_);
  if (helpers.size() > kIndirectProbes) helpers.resize(kIndirectProbes);
  for (const Entry* helper : helpers) {
    out->push_back(
        MakeEnvelope(*helper, PingRequest{probe_.number, probe_.target}));
  }
}

void Membership::FinishProbe(absl::Time now,
                             std::vector<MemberChange>* changes) {
  Probe finished = std::exchange(probe_, Probe{});
  if (finished.number == 0 || finished.acked) return;
  auto found = members_.find(finished.target);
  if (found == members_.end()) return;
  Entry& entry = found->second;
  bool was_available = entry.member.state == MemberState::kAlive ||
                       entry.member.state == MemberState::kLeaving;
  if (was_available) SetState(entry, MemberState::kSuspect, now, changes);
}

void Membership::StartProbe(absl::Time now, std::vector<Envelope>* out) {
  EntryHostId target = NextTarget(now);
  if (target.empty()) return;
  probe_ = {next_number_++, target, now, false, false};
  out->push_back(MakeEnvelope(members_.at(target), Ping{probe_.number}));
  // Drops relayed pings whose target never answered.
  std::erase_if(relayed_pings_, [&](const auto& relayed) {
    return now - relayed.second.sent_at > 4 * options_.probe_period;
  });
}

EntryHostId Membership::NextTarget(absl::Time /*now*/) {
  while (!priority_targets_.empty()) {
    EntryHostId target = priority_targets_.back();
    priority_targets_.pop_back();
    if (members_.contains(target)) return target;
  }
  std::vector<EntryHostId> dead;
  std::vector<EntryHostId> living;
  for (const auto& [id, entry] : members_) {
    (IsProbed(entry.member.state) ? living : dead).push_back(id);
  }
  bool probe_dead = living.empty() || ++probe_count_ % kDeadProbeInterval == 0;
  if (probe_dead && !dead.empty()) {
    return dead[random_() % dead.size()];
  }
  // Each round probes every host that isn't dead once, in an order that differs
  // between hosts and rounds, so that probes spread evenly.
  while (!probe_order_.empty()) {
    EntryHostId target = probe_order_.back();
    probe_order_.pop_back();
    auto found = members_.find(target);
    if (found == members_.end()) continue;
    if (IsProbed(found->second.member.state)) return target;
  }
  if (living.empty()) return {};
  probe_order_ = std::move(living);
  std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
  EntryHostId target = probe_order_.back();
  probe_order_.pop_back();
  return target;
}

void Membership::ExpireSuspects(absl::Time now,
                                std::vector<MemberChange>* changes) {
  for (auto& [id, entry] : members_) {
    if (entry.member.state == MemberState::kSuspect &&
        now - entry.state_since >= options_.suspicion_timeout) {
      SetState(entry, MemberState::kDead, now, changes);
    }
  }
}

// Removes long dead hosts. A host that was replaced under a new name would
// otherwise be probed forever. Seeds without any update stay.
void Membership::ForgetDead(absl::Time now) {
  std::erase_if(members_, [&](const auto& existing) {
    const Entry& entry = existing.second;
    return entry.known && entry.member.state == MemberState::kDead &&
           now - entry.state_since > options_.dead_retention;
  });
}

void Membership::HandleEnvelope(const Envelope& envelope, absl::Time now,
                                std::vector<Envelope>* out,
                                std::vector<MemberChange>* changes) {
  if (envelope.from.id == self_.id) return;
  auto existing = members_.find(envelope.from.id);
  if (existing != members_.end() &&
      existing->second.member.incarnation > envelope.from.incarnation) {
    return;
  }
  ApplyUpdate(envelope.from, now, /*direct=*/true, changes);
  for (const Member& update : envelope.updates) {
    ApplyUpdate(update, now, /*direct=*/false, changes);
  }
  const Entry& sender = members_.at(envelope.from.id);
  if (const auto* ping = std::get_if<Ping>(&envelope.body)) {
    out->push_back(MakeEnvelope(sender, Ack{ping->number, self_.id}));
    return;
  }
  if (const auto* request = std::get_if<PingRequest>(&envelope.body)) {
    auto target = members_.find(request->target);
    if (target == members_.end()) return;
    std::uint64_t number = next_number_++;
    relayed_pings_[number] = {request->number, envelope.from.id, now};
    out->push_back(MakeEnvelope(target->second, Ping{number}));
    return;
  }
  const auto& ack = std::get<Ack>(envelope.body);
  if (ack.number == probe_.number && ack.alive_host == probe_.target) {
    probe_.acked = true;
  }
  auto relayed = relayed_pings_.find(ack.number);
  if (relayed == relayed_pings_.end()) return;
  auto requester = members_.find(relayed->second.requester);
  if (requester != members_.end()) {
    out->push_back(
        MakeEnvelope(requester->second,
                     Ack{relayed->second.request_number, ack.alive_host}));
  }
  relayed_pings_.erase(relayed);
}

void Membership::ApplyUpdate(const Member& update, absl::Time now, bool direct,
                             std::vector<MemberChange>* changes) {
  if (update.id == self_.id) {
    RefuteSuspicion(update);
    return;
  }
  auto [found, inserted] = members_.try_emplace(update.id);
  Entry& entry = found->second;
  bool is_new = inserted || !entry.known;
  // An old update about the death of a removed host does not add it again.
  if (is_new && !direct && update.state == MemberState::kDead) {
    if (inserted) members_.erase(found);
    return;
  }
  // A message of the host itself overrides the suspicion of its peers.
  bool contradicts = direct && update.incarnation == entry.member.incarnation &&
                     (entry.member.state == MemberState::kSuspect ||
                      entry.member.state == MemberState::kDead);
  if (!is_new && !contradicts && !IsNewer(update, entry.member)) return;
  MemberState old_state = is_new ? MemberState::kDead : entry.member.state;
  std::uint64_t revision = std::max(update.revision, entry.member.revision);
  bool same_incarnation = entry.member.incarnation == update.incarnation;
  // A new configuration version alone is not propagated. Hosts receive versions
  // with every probe, and propagating 350 of them at each change would delay
  // updates about dead hosts by minutes.
  Member compared = update;
  compared.config_version = entry.member.config_version;
  compared.revision = entry.member.revision;
  bool must_propagate = is_new || compared != entry.member;
  entry.member = update;
  if (same_incarnation) entry.member.revision = revision;
  entry.known = true;
  if (must_propagate) entry.sends_left = UpdateRepeats();
  ++change_count_;
  if (update.config_version > newest_config_version_) {
    newest_config_version_ = update.config_version;
    newest_config_host_ = update.id;
  }
  if (old_state != update.state || is_new) {
    entry.state_since = now;
    changes->push_back({entry.member, old_state, is_new});
  }
}

// Raises the revision if a peer suspects this host or considers it dead, so
// that the host's own state is newer than the suspicion on all hosts.
void Membership::RefuteSuspicion(const Member& update) {
  if (update.incarnation != self_.incarnation) return;
  bool suspected = update.state == MemberState::kSuspect ||
                   update.state == MemberState::kDead;
  if (suspected && update.revision >= self_.revision) {
    self_.revision = update.revision + 1;
  }
}

void Membership::SetState(Entry& entry, MemberState state, absl::Time now,
                          std::vector<MemberChange>* changes) {
  MemberState old_state = entry.member.state;
  entry.member.state = state;
  ++change_count_;
  entry.state_since = now;
  entry.sends_left = UpdateRepeats();
  changes->push_back({entry.member, old_state, false});
}

Envelope Membership::MakeEnvelope(const Entry& to,
                                  decltype(Envelope::body) body) {
  Envelope envelope{self_, to.member.id, to.member.address, std::move(body),
                    TakeUpdates()};
  // A receiver that this host doesn't consider alive needs this state to refute
  // it.
  if (to.known && to.member.state != MemberState::kAlive) {
    envelope.updates.push_back(to.member);
  }
  return envelope;
}

std::vector<Member> Membership::TakeUpdates() {
  std::vector<Entry*> pending;
  for (auto& [id, entry] : members_) {
    if (entry.sends_left > 0) pending.push_back(&entry);
  }
  // Updates that were sent least often go first.
  std::stable_sort(pending.begin(), pending.end(), [](Entry* a, Entry* b) {
    return a->sends_left > b->sends_left;
  });
  if (pending.size() > kUpdatesPerMessage) pending.resize(kUpdatesPerMessage);
  std::vector<Member> updates;
  for (Entry* entry : pending) {
    --entry->sends_left;
    updates.push_back(entry->member);
  }
  return updates;
}

int Membership::UpdateRepeats() const {
  return kRepeatFactor * (1 + static_cast<int>(std::log2(
                                  1.0 + static_cast<double>(members_.size()))));
}

void Membership::ProbeSoon(const EntryHostId& host) {
  if (std::find(priority_targets_.begin(), priority_targets_.end(), host) ==
      priority_targets_.end()) {
    priority_targets_.push_back(host);
  }
}

void Membership::SetRoles(std::vector<HeldRole> roles) {
  if (self_.roles == roles) return;
  self_.roles = std::move(roles);
  ++self_.revision;
}

void Membership::SetConfigVersion(std::int64_t version) {
  if (self_.config_version == version) return;
  self_.config_version = version;
  ++self_.revision;
}

void Membership::Leave() {
  self_.state = MemberState::kLeaving;
  ++self_.revision;
}

const Member* Membership::Find(const EntryHostId& id) const {
  if (id == self_.id) return &self_;
  auto found = members_.find(id);
  if (found == members_.end() || !found->second.known) return nullptr;
  return &found->second.member;
}

std::vector<Member> Membership::Peers() const {
  std::vector<Member> peers;
  for (const auto& [id, entry] : members_) {
    if (entry.known) peers.push_back(entry.member);
  }
  return peers;
}

}  // namespace gentianlb::member
