#include "schedule/cooldowns.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Longer than most responses take to begin. If the probe is lost or its
// response takes longer, another one follows.
constexpr absl::Duration kProbeTime = absl::Milliseconds(250);

// Ends are rounded up to this, so that those of many pairs cost one round of
// grants.
constexpr absl::Duration kEndStep = absl::Milliseconds(10);

// A host that has not used the pair for so long after its cooldown gets no
// probe any more.
constexpr absl::Duration kForgetAfter = absl::Seconds(10);

absl::Time RoundUp(absl::Time time) {
  return absl::UnixEpoch() + absl::Ceil(time - absl::UnixEpoch(), kEndStep);
}

}  // namespace

void Cooldowns::OnAsked(const EntryHostId& host, ServerIndex server,
                        absl::Duration span, absl::Time now) {
  if (now - forgot_at_ > kForgetAfter) ForgetOld(now);
  const absl::Time end = RoundUp(now + span);
  Cooldown& cooldown =
      hosts_[host].try_emplace(server, Cooldown{end}).first->second;
  cooldown.end = std::max(cooldown.end, end);
  cooldown.probe_until = absl::InfinitePast();
  ends_.insert(cooldown.end);
}

void Cooldowns::OnGrant(const EntryHostId& host, ServerIndex server,
                        absl::Time now) {
  Cooldown* const cooldown = Find(host, server);
  if (cooldown == nullptr || now < cooldown->end) return;
  cooldown->probe_until = RoundUp(now + kProbeTime);
  ends_.insert(cooldown->probe_until);
}

void Cooldowns::OnReached(const EntryHostId& host, ServerIndex server,
                          absl::Time granted_at) {
  const Cooldown* const cooldown = Find(host, server);
  if (cooldown == nullptr || granted_at < cooldown->end) return;
  const auto found = hosts_.find(host);
  found->second.erase(server);
  if (found->second.empty()) hosts_.erase(found);
}

void Cooldowns::Forget(ServerIndex server) {
  for (auto& [host, servers] : hosts_) servers.erase(server);
  absl::erase_if(hosts_, [](const auto& item) { return item.second.empty(); });
}

absl::Time Cooldowns::ExcludedUntil(const EntryHostId& host, ServerIndex server,
                                    absl::Time now) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return absl::InfinitePast();
  const auto cooldown = found->second.find(server);
  if (cooldown == found->second.end()) return absl::InfinitePast();
  if (now < cooldown->second.end) return cooldown->second.end;
  return cooldown->second.probe_until;
}

std::size_t Cooldowns::CountOf(const EntryHostId& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? 0 : found->second.size();
}

std::size_t Cooldowns::size() const {
  std::size_t pairs = 0;
  for (const auto& [host, servers] : hosts_) pairs += servers.size();
  return pairs;
}

absl::Time Cooldowns::NextEnd() const {
  return ends_.empty() ? absl::InfiniteFuture() : *ends_.begin();
}

bool Cooldowns::TakeEnded(absl::Time now) {
  const auto later = ends_.upper_bound(now);
  const bool ended = later != ends_.begin();
  ends_.erase(ends_.begin(), later);
  return ended;
}

void Cooldowns::ForgetOld(absl::Time now) {
  forgot_at_ = now;
  for (auto& [host, servers] : hosts_) {
    absl::erase_if(servers, [now](const auto& item) {
      return now - item.second.end > kForgetAfter;
    });
  }
  absl::erase_if(hosts_, [](const auto& item) { return item.second.empty(); });
}

Cooldowns::Cooldown* Cooldowns::Find(const EntryHostId& host,
                                     ServerIndex server) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return nullptr;
  const auto cooldown = found->second.find(server);
  return cooldown == found->second.end() ? nullptr : &cooldown->second;
}

}  // namespace gentianlb::schedule
