#include "gateway/demand.h"

#include <algorithm>

#include "gateway/aggregator_election.h"

namespace gentianlb::gateway {
namespace {

// Demand that is counted for every host, as a part of all demand together, so
// that the first callers at a quiet host find some.
constexpr double kFloorPart = 0.1;

// How many periods pass until what a host lets through is heard of by another:
// it waits for half a one before each of three messages, and those are not in
// step.
constexpr double kPeriodsUntilHeard = 2;

}  // namespace

double Demand::Own::PerSecond(absl::Time now) const {
  return asked.At(now) / absl::ToDoubleSeconds(kMemory);
}

void Demand::Asked(NameHash workspace, int rank, double tokens,
                   absl::Time now) {
  struct Own& own = own_[workspace];
  own.asked.Add(tokens, now);
  own.by_rank[rank].tokens.Add(tokens, now);
  own.by_rank[rank].requests.Add(1, now);
}

double Demand::PartAbove(NameHash workspace, int rank, absl::Time now) const {
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

void Demand::LetThrough(NameHash workspace, double tokens) {
  own_[workspace].let_through += static_cast<std::uint64_t>(tokens);
  own_[workspace].unheard += tokens;
}

void Demand::GivenBack(NameHash workspace, double tokens) {
  own_[workspace].given_back += static_cast<std::uint64_t>(tokens);
}

std::vector<Spent> Demand::Heard(const FleetUpdate& others, absl::Time now) {
  // Another aggregator counts from another start; and while this host was cut
  // off, the others kept to their parts.
  const bool same = others.sender.host == others_.sender.host &&
                    now - heard_ <= LivenessTimeout(Period());
  if (!same) counters_ = UseCounters();
  std::vector<Spent> spent;
  // What an aggregator tells that began since is new to this host, unless the
  // host itself is.
  const bool began_since = heard_ != absl::InfinitePast() &&
                           now - heard_ >= absl::Milliseconds(others.age_ms);
  const FirstMessage first =
      began_since ? FirstMessage::kAll : FirstMessage::kNothing;
  for (auto& [workspace, own] : own_) own.unheard = 0;
  for (const UseGrowth& grown :
       counters_.Take(others.incarnation, others.workspaces, first)) {
    spent.push_back(
        {grown.workspace, static_cast<double>(grown.let_through) -
                              static_cast<double>(grown.given_back)});
  }
  others_ = others;
  heard_ = now;
  if (others.complete || others.hosts + 1 > hosts_) hosts_ = others.hosts + 1;
  return spent;
}

std::vector<WorkspaceUse> Demand::Tell(absl::Time now) {
  std::vector<WorkspaceUse> uses;
  for (auto& [workspace, own] : own_) {
    std::rotate(own.told.begin(), own.told.begin() + 1, own.told.end());
    own.told.back() = own.PerSecond(now);
    // Quiet hosts are many where hosts are, and their parts next to nothing.
    const bool quiet = own.told.back() == 0 && own.let_through == 0;
    if (quiet && agreed_.contains(workspace)) continue;
    uses.push_back({workspace, static_cast<float>(own.told.back()),
                    own.let_through, own.given_back,
                    static_cast<float>(OwnPart(workspace)), /*parts=*/1,
                    static_cast<float>(own.unheard)});
  }
  return uses;
}

bool Demand::IsHeard(absl::Time now) const {
  return IsCurrent(now - heard_, Period());
}

bool Demand::AllHeard(absl::Time now) const {
  return others_.complete && IsHeard(now);
}

double Demand::PartOfDemand(NameHash workspace) const {
  const auto mine = own_.find(workspace);
  const double own = mine == own_.end() ? 0 : mine->second.told.front();
  double total = own;
  if (const WorkspaceUse* use = OthersUse(workspace)) {
    total += std::max(0.0F, use->tokens_per_second);
  }
  const double floor = std::max(1.0, total) * kFloorPart / hosts_;
  return (own + floor) / (total + floor * hosts_);
}

void Demand::Agree(const std::vector<NameHash>& limited, absl::Time now) {
  for (const NameHash workspace : limited) own_.try_emplace(workspace);
  if (!AllHeard(now)) return;
  for (const auto& [workspace, own] : own_) {
    agreed_[workspace] = PartOfDemand(workspace);
  }
}

const WorkspaceUse* Demand::OthersUse(NameHash workspace) const {
  for (const WorkspaceUse& use : others_.workspaces) {
    if (use.workspace == workspace) return &use;
  }
  return nullptr;
}

double Demand::OwnPart(NameHash workspace) const {
  const auto agreed = agreed_.find(workspace);
  if (agreed != agreed_.end()) return agreed->second;
  // Started anew: what the others leave, divided among those of whom nothing is
  // known.
  const WorkspaceUse* use = OthersUse(workspace);
  const double left = use == nullptr ? 1.0 : 1.0 - use->share;
  const int known = use == nullptr ? 0 : use->shares;
  return std::max(0.0, left) / std::max(1, hosts_ - known);
}

OthersDemand Demand::Others(NameHash workspace, absl::Time now) const {
  OthersDemand others;
  if (!IsHeard(now)) return others;
  others.heard_after = kPeriodsUntilHeard * Period();
  if (const WorkspaceUse* use = OthersUse(workspace)) {
    others.tokens_per_second = std::max(0.0F, use->tokens_per_second);
  }
  return others;
}

double Demand::Part(NameHash workspace, absl::Time now) const {
  // Nothing is let through with no part at all.
  constexpr double kLeast = 0.001;
  if (AllHeard(now)) return 1;
  double part = OwnPart(workspace);
  if (const WorkspaceUse* use = OthersUse(workspace); use && IsHeard(now)) {
    part += std::max(0.0F, use->share);
  }
  return std::clamp(part, kLeast, 1.0);
}

}  // namespace gentianlb::gateway
