#include "gateway/demand.h"

#include <algorithm>

#include "gateway/zone_role.h"

namespace gentianlb::gateway {
namespace {

// Demand that is counted for every host, as a part of all demand together, so
// that the first callers at a quiet host find some.
constexpr double kMinDemandShare = 0.1;

// How many periods pass until what a host lets through is heard of by another:
// it waits for half a one before each of three messages, and those are not in
// step.
constexpr double kReportDelayPeriods = 2;

}  // namespace

double Demand::LocalUse::TokensPerSecond(absl::Time now) const {
  return asked.At(now) / absl::ToDoubleSeconds(kDemandWindow);
}

void Demand::RecordRequest(NameHash workspace, int rank, double tokens,
                           absl::Time now) {
  struct LocalUse& own = own_[workspace];
  own.asked.Add(tokens, now);
  own.by_rank[rank].tokens.Add(tokens, now);
  own.by_rank[rank].requests.Add(1, now);
}

double Demand::HigherPriorityShare(NameHash workspace, int rank,
                                   absl::Time now) const {
  const auto own = own_.find(workspace);
  if (own == own_.end()) return 0;
  double above = 0;
  double requests = 0;
  for (const auto& [other, asked] : own->second.by_rank) {
    if (other >= rank) break;
    above += asked.tokens.At(now);
    requests += asked.requests.At(now);
  }
  const auto same = own->second.by_rank.find(rank);
  if (above <= 0 || same == own->second.by_rank.end()) return 0;
  const double size = same->second.tokens.At(now) /
                      std::max(1e-9, same->second.requests.At(now));
  const double size_above = above / std::max(1e-9, requests);
  return std::min(1.0, size / size_above) * above /
         std::max(1.0, own->second.asked.At(now));
}

void Demand::RecordAdmitted(NameHash workspace, double tokens) {
  own_[workspace].let_through += static_cast<std::uint64_t>(tokens);
  own_[workspace].unheard += tokens;
}

void Demand::RecordRefund(NameHash workspace, double tokens) {
  own_[workspace].given_back += static_cast<std::uint64_t>(tokens);
}

std::vector<PeerUse> Demand::OnPeerUpdate(const FleetNews& others,
                                          absl::Time now) {
  // Another aggregator counts from another start; and while this host was cut
  // off, the others kept to their parts.
  const bool same = others.sender.host == last_update_.sender.host &&
                    now - last_update_at_ <= Believed(UpdatePeriod());
  if (!same) counters_ = UseCounters();
  std::vector<PeerUse> spent;
  // What an aggregator tells that began since is new to this host, unless the
  // host itself is.
  const bool began_since =
      last_update_at_ != absl::InfinitePast() &&
      now - last_update_at_ >= absl::Milliseconds(others.age_ms);
  const FirstMessage first =
      began_since ? FirstMessage::kAll : FirstMessage::kIgnore;
  for (auto& [workspace, own] : own_) own.unheard = 0;
  for (const UseDelta& grown :
       counters_.Update(others.incarnation, others.workspaces, first)) {
    spent.push_back({grown.workspace, static_cast<double>(grown.admitted) -
                                          static_cast<double>(grown.refunded)});
  }
  last_update_ = others;
  last_update_at_ = now;
  if (others.complete || others.hosts + 1 > hosts_) hosts_ = others.hosts + 1;
  return spent;
}

std::vector<WorkspaceUse> Demand::BuildUpdate(absl::Time now) {
  std::vector<WorkspaceUse> uses;
  for (auto& [workspace, own] : own_) {
    std::rotate(own.published.begin(), own.published.begin() + 1,
                own.published.end());
    own.published.back() = own.TokensPerSecond(now);
    // Quiet hosts are many where hosts are, and their parts next to nothing.
    const bool quiet = own.published.back() == 0 && own.let_through == 0;
    if (quiet && shares_.contains(workspace)) continue;
    uses.push_back({workspace, static_cast<float>(own.published.back()),
                    own.let_through, own.given_back,
                    static_cast<float>(LocalShare(workspace)), /*parts=*/1,
                    static_cast<float>(own.unheard)});
  }
  return uses;
}

bool Demand::IsLastUpdateCurrent(absl::Time now) const {
  return IsCurrent(now - last_update_at_, UpdatePeriod());
}

bool Demand::AllHostsReachable(absl::Time now) const {
  return last_update_.complete && IsLastUpdateCurrent(now);
}

double Demand::ShareOfDemand(NameHash workspace) const {
  const auto mine = own_.find(workspace);
  const double own = mine == own_.end() ? 0 : mine->second.published.front();
  double total = own;
  if (const WorkspaceUse* use = FindPeerUse(workspace)) {
    total += std::max(0.0F, use->tokens_per_second);
  }
  const double floor = std::max(1.0, total) * kMinDemandShare / hosts_;
  return (own + floor) / (total + floor * hosts_);
}

void Demand::UpdateShares(const std::vector<NameHash>& limited,
                          absl::Time now) {
  for (const NameHash workspace : limited) own_.try_emplace(workspace);
  if (!AllHostsReachable(now)) return;
  for (const auto& [workspace, own] : own_) {
    shares_[workspace] = ShareOfDemand(workspace);
  }
}

const WorkspaceUse* Demand::FindPeerUse(NameHash workspace) const {
  for (const WorkspaceUse& use : last_update_.workspaces) {
    if (use.workspace == workspace) return &use;
  }
  return nullptr;
}

double Demand::LocalShare(NameHash workspace) const {
  const auto agreed = shares_.find(workspace);
  if (agreed != shares_.end()) return agreed->second;
  // Started anew: what the others leave, divided among those of whom nothing is
  // known.
  const WorkspaceUse* use = FindPeerUse(workspace);
  const double left = use == nullptr ? 1.0 : 1.0 - use->part;
  const int known = use == nullptr ? 0 : use->parts;
  return std::max(0.0, left) / std::max(1, hosts_ - known);
}

PeerDemand Demand::DemandOfPeers(NameHash workspace, absl::Time now) const {
  PeerDemand others;
  if (!IsLastUpdateCurrent(now)) return others;
  others.report_delay = kReportDelayPeriods * UpdatePeriod();
  if (const WorkspaceUse* use = FindPeerUse(workspace)) {
    others.tokens_per_second = std::max(0.0F, use->tokens_per_second);
  }
  return others;
}

double Demand::LimitShare(NameHash workspace, absl::Time now) const {
  // Nothing is let through with no part at all.
  constexpr double kMinShare = 0.001;
  if (AllHostsReachable(now)) return 1;
  double part = LocalShare(workspace);
  if (const WorkspaceUse* use = FindPeerUse(workspace);
      use && IsLastUpdateCurrent(now)) {
    part += std::max(0.0F, use->part);
  }
  return std::clamp(part, kMinShare, 1.0);
}

}  // namespace gentianlb::gateway
