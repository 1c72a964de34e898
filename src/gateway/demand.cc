#include "gateway/demand.h"

#include <algorithm>

#include "gateway/aggregator_election.h"

namespace gentianlb::gateway {
namespace {

// Demand assumed for all hosts together in addition to the actual demand, as a
// fraction of it, so that the first callers at an idle host find a share.
constexpr double kAssumedDemandFraction = 0.1;

// Mean number of update periods until a peer knows of an admission, which waits
// for half a period before each of three unsynchronized messages.
constexpr double kReportDelayPeriods = 2;

}  // namespace

double Demand::LocalUse::TokensPerSecond(absl::Time now) const {
  return requested.At(now) / absl::ToDoubleSeconds(kDemandWindow);
}

void Demand::RecordRequest(NameHash workspace, int rank, double tokens,
                           absl::Time now) {
  LocalUse& own = by_workspace_[workspace];
  own.requested.Add(tokens, now);
  own.by_rank[rank].tokens.Add(tokens, now);
  own.by_rank[rank].requests.Add(1, now);
}

double Demand::HigherPriorityShare(NameHash workspace, int rank,
                                   absl::Time now) const {
  const auto own = by_workspace_.find(workspace);
  if (own == by_workspace_.end()) return 0;
  double higher_tokens = 0;
  double higher_requests = 0;
  for (const auto& [other, requested] : own->second.by_rank) {
    if (other >= rank) break;
    higher_tokens += requested.tokens.At(now);
    higher_requests += requested.requests.At(now);
  }
  const auto rank_demand = own->second.by_rank.find(rank);
  if (higher_tokens <= 0 || rank_demand == own->second.by_rank.end()) return 0;
  const double mean_size = rank_demand->second.tokens.At(now) /
                           std::max(1e-9, rank_demand->second.requests.At(now));
  const double mean_higher_size =
      higher_tokens / std::max(1e-9, higher_requests);
  return std::min(1.0, mean_size / mean_higher_size) * higher_tokens /
         std::max(1.0, own->second.requested.At(now));
}

void Demand::RecordAdmitted(NameHash workspace, double tokens) {
  by_workspace_[workspace].admitted += static_cast<std::uint64_t>(tokens);
  by_workspace_[workspace].unreported += tokens;
}

void Demand::RecordRefund(NameHash workspace, double tokens) {
  by_workspace_[workspace].refunded += static_cast<std::uint64_t>(tokens);
}

std::vector<PeerUse> Demand::OnPeerUpdate(const FleetUpdate& update,
                                          absl::Time now) {
  // Each aggregator counts from its own start. While this host was partitioned,
  // its peers kept to their shares.
  const bool same_source =
      update.sender.host == last_update_.sender.host &&
      now - last_update_at_ <= LivenessTimeout(UpdatePeriod());
  if (!same_source) counters_ = UseCounters();
  std::vector<PeerUse> uses;
  // All counts of an aggregator that started after the last update are new to
  // this host, unless the host itself has just started.
  const bool aggregator_is_newer =
      last_update_at_ != absl::InfinitePast() &&
      now - last_update_at_ >= absl::Milliseconds(update.age_ms);
  const FirstMessage first =
      aggregator_is_newer ? FirstMessage::kAll : FirstMessage::kIgnore;
  for (auto& [workspace, own] : by_workspace_) own.unreported = 0;
  for (const UseDelta& delta :
       counters_.Update(update.incarnation, update.workspaces, first)) {
    uses.push_back({delta.workspace, static_cast<double>(delta.admitted) -
                                         static_cast<double>(delta.refunded)});
  }
  last_update_ = update;
  last_update_at_ = now;
  if (update.complete) {
    hosts_ = update.hosts + 1;
  } else {
    // A host that could not read the table of hosts would take those that it
    // reaches for all, and their limit for the whole one.
    hosts_ = std::max({hosts_, update.hosts + 1, int{update.known_hosts}});
  }
  return uses;
}

std::vector<WorkspaceUse> Demand::BuildUpdate(absl::Time now) {
  std::vector<WorkspaceUse> uses;
  for (auto& [workspace, own] : by_workspace_) {
    std::rotate(own.published.begin(), own.published.begin() + 1,
                own.published.end());
    own.published.back() = own.TokensPerSecond(now);
    // Large fleets have many idle hosts, whose shares are close to zero.
    const bool idle = own.published.back() == 0 && own.admitted == 0;
    if (idle && shares_.contains(workspace)) continue;
    WorkspaceUse use;
    use.workspace = workspace;
    use.tokens_per_second = static_cast<float>(own.published.back());
    use.admitted = own.admitted;
    use.refunded = own.refunded;
    const auto agreed = shares_.find(workspace);
    if (agreed != shares_.end()) {
      use.share = static_cast<float>(agreed->second);
      use.shares = 1;
    } else {
      use.unsettled = 1;
    }
    use.unreported = static_cast<float>(own.unreported);
    uses.push_back(use);
  }
  return uses;
}

bool Demand::IsLastUpdateCurrent(absl::Time now) const {
  return IsCurrent(now - last_update_at_, UpdatePeriod());
}

bool Demand::AllHostsReachable(absl::Time now) const {
  return last_update_.complete && IsLastUpdateCurrent(now);
}

PeerKnowledge Demand::Peers(absl::Time now) const {
  return {hosts_,
          last_update_.hosts,
          AllHostsReachable(now),
          now - last_update_at_,
          last_update_.sender.host,
          absl::Milliseconds(last_update_.age_ms)};
}

double Demand::ShareOfDemand(NameHash workspace) const {
  const auto local = by_workspace_.find(workspace);
  const double own =
      local == by_workspace_.end() ? 0 : local->second.published.front();
  double total = own;
  if (const WorkspaceUse* use = FindPeerUse(workspace)) {
    total += std::max(0.0F, use->tokens_per_second);
  }
  const double floor = std::max(1.0, total) * kAssumedDemandFraction / hosts_;
  return (own + floor) / (total + floor * hosts_);
}

void Demand::UpdateShares(const std::vector<NameHash>& limited,
                          absl::Time now) {
  for (const NameHash workspace : limited) by_workspace_.try_emplace(workspace);
  if (!AllHostsReachable(now)) return;
  for (const auto& [workspace, own] : by_workspace_) {
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
  return UnsettledShare(SumShares(workspace));
}

Demand::ShareSums Demand::SumShares(NameHash workspace) const {
  ShareSums sums;
  if (const WorkspaceUse* use = FindPeerUse(workspace)) {
    sums = {use->share, use->shares, use->unsettled};
  }
  const auto agreed = shares_.find(workspace);
  if (agreed == shares_.end()) {
    ++sums.unsettled_hosts;
  } else {
    ++sums.agreed_hosts;
    sums.agreed += agreed->second;
  }
  return sums;
}

double Demand::UnsettledShare(const ShareSums& sums) const {
  const int hosts = std::max(hosts_ - sums.agreed_hosts, sums.unsettled_hosts);
  return std::max(0.0, 1 - sums.agreed) / std::max(1, hosts);
}

PeerDemand Demand::DemandOfPeers(NameHash workspace, absl::Time now) const {
  PeerDemand peers;
  if (!IsLastUpdateCurrent(now)) return peers;
  peers.report_delay = kReportDelayPeriods * UpdatePeriod();
  if (const WorkspaceUse* use = FindPeerUse(workspace)) {
    peers.tokens_per_second = std::max(0.0F, use->tokens_per_second);
  }
  return peers;
}

double Demand::LimitShare(NameHash workspace, absl::Time now) const {
  // With a share of 0 no request would ever be admitted.
  constexpr double kMinShare = 0.001;
  if (AllHostsReachable(now)) return 1;
  if (!IsLastUpdateCurrent(now)) {
    return std::clamp(LocalShare(workspace), kMinShare, 1.0);
  }
  const ShareSums sums = SumShares(workspace);
  const double unsettled = sums.unsettled_hosts * UnsettledShare(sums);
  return std::clamp(sums.agreed + unsettled, kMinShare, 1.0);
}

}  // namespace gentianlb::gateway
