#include "gateway/demand.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gentianlb::gateway {
namespace {

// The memory of what callers ask for: long against the gaps between large
// requests, short against the seconds over which limits are checked.
constexpr double kMemorySeconds = 3;

// Ten messages are sent in a second. Six that are missing in a row are no
// chance losses.
constexpr absl::Duration kSilent = absl::Milliseconds(600);

// A host that is cut off may go on with its part for as long as it likes. After
// this time it is taken for gone all the same, as one that is replaced never
// comes back.
constexpr absl::Duration kGone = absl::Seconds(15);

// Demand that is counted for every host, as a part of all demand together, so
// that the first callers at a quiet host find some.
constexpr double kFloorPart = 0.1;

}  // namespace

double Demand::Own::At(absl::Time now) const {
  const double passed = absl::ToDoubleSeconds(now - counted);
  return per_second * std::exp(-passed / kMemorySeconds);
}

void Demand::Asked(NameHash workspace, double tokens, absl::Time now) {
  struct Own& own = own_[workspace];
  own.per_second = own.At(now) + tokens / kMemorySeconds;
  own.counted = now;
}

void Demand::LetThrough(NameHash workspace, double tokens) {
  own_[workspace].let_through += static_cast<std::uint64_t>(tokens);
}

std::vector<Spent> Demand::Heard(const PeerNews& news, absl::Time now) {
  Peer& peer = peers_[news.host];
  // Datagrams may overtake each other.
  if (std::tie(news.incarnation, news.sequence) <=
      std::tie(peer.incarnation, peer.sequence)) {
    return {};
  }
  const bool first = peer.incarnation == 0;
  const bool restarted = peer.incarnation != news.incarnation;
  if (restarted) peer.uses.clear();
  std::vector<Spent> spent;
  for (const WorkspaceUse& use : news.workspaces) {
    WorkspaceUse& before = peer.uses[use.workspace];
    // Of a host that is heard for the first time, only what comes from now on.
    const std::uint64_t more =
        first ? 0
              : use.let_through - std::min(use.let_through, before.let_through);
    if (more > 0) spent.push_back({use.workspace, static_cast<double>(more)});
    before = use;
  }
  peer.incarnation = news.incarnation;
  peer.sequence = news.sequence;
  peer.heard = now;
  return spent;
}

void Demand::SetHosts(const std::vector<std::string>& hosts, absl::Time now) {
  for (auto& [name, peer] : peers_) peer.is_registered = false;
  for (const std::string& host : hosts) {
    Peer& peer = peers_[host];
    peer.is_registered = true;
    if (peer.registered == absl::InfinitePast()) peer.registered = now;
  }
  absl::erase_if(peers_, [&](const auto& item) {
    return !item.second.is_registered && now - item.second.heard > kGone;
  });
}

std::vector<WorkspaceUse> Demand::Own(absl::Time now) const {
  std::vector<WorkspaceUse> uses;
  for (const auto& [workspace, own] : own_) {
    uses.push_back(
        {workspace, static_cast<float>(own.At(now)), own.let_through});
  }
  return uses;
}

bool Demand::Counts(const Peer& peer, absl::Time now) const {
  return now - std::max(peer.heard, peer.registered) <= kGone;
}

int Demand::hosts(absl::Time now) const {
  return 1 + static_cast<int>(std::count_if(
                 peers_.begin(), peers_.end(),
                 [&](const auto& item) { return Counts(item.second, now); }));
}

bool Demand::AllHeard(absl::Time now) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return !Counts(item.second, now) || now - item.second.heard <= kSilent;
  });
}

double Demand::PartOfDemand(NameHash workspace, absl::Time now) const {
  const auto mine = own_.find(workspace);
  const double own = mine == own_.end() ? 0 : mine->second.At(now);
  double total = own;
  for (const auto& [name, peer] : peers_) {
    if (!Counts(peer, now)) continue;
    const auto found = peer.uses.find(workspace);
    if (found == peer.uses.end()) continue;
    total += std::max(0.0F, found->second.tokens_per_second);
  }
  const int count = hosts(now);
  const double floor = std::max(1.0, total) * kFloorPart / count;
  return (own + floor) / (total + floor * count);
}

void Demand::Agree(absl::Time now) {
  if (!AllHeard(now)) return;
  for (const auto& [workspace, own] : own_) {
    agreed_[workspace] = PartOfDemand(workspace, now);
  }
}

double Demand::Part(NameHash workspace, absl::Time now) const {
  const double equal = 1.0 / hosts(now);
  const auto agreed = agreed_.find(workspace);
  return agreed == agreed_.end() ? equal : agreed->second;
}

}  // namespace gentianlb::gateway
