#include "gateway/demand.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace gentianlb::gateway {
namespace {

// The memory of what callers ask for: long against the gaps between large
// requests, short against the seconds over which limits are checked.
constexpr double kMemorySeconds = 3;

// Ten messages are sent in a second. Until a cut shows, every side uses the
// whole limit, so that little more than one that is missing is taken for one.
// Where it was lost by chance, leaving out that host's part for a tenth of a
// second harms nobody.
constexpr absl::Duration kSilent = absl::Milliseconds(180);

// A host that is not registered counts for this long after it was heard.
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

void Demand::SetHosts(const std::vector<std::string>& hosts) {
  for (auto& [name, peer] : peers_) peer.registered = false;
  for (const std::string& host : hosts) peers_[host].registered = true;
}

std::vector<WorkspaceUse> Demand::Own(absl::Time now) const {
  std::vector<WorkspaceUse> uses;
  for (const auto& [workspace, own] : own_) {
    const auto agreed = agreed_.find(workspace);
    const double part = agreed == agreed_.end() ? 0 : agreed->second;
    uses.push_back({workspace, static_cast<float>(own.At(now)), own.let_through,
                    static_cast<float>(part)});
  }
  return uses;
}

// A host that is registered and silent may be cut off and serve on, for however
// long. Only when its registration is removed is it taken for gone.
bool Demand::Counts(const Peer& peer, absl::Time now) {
  return peer.registered || now - peer.heard <= kGone;
}

bool Demand::IsHeard(const Peer& peer, absl::Time now) {
  return now - peer.heard <= kSilent;
}

int Demand::hosts(absl::Time now) const {
  return 1 + static_cast<int>(std::count_if(
                 peers_.begin(), peers_.end(),
                 [&](const auto& item) { return Counts(item.second, now); }));
}

bool Demand::AllHeard(absl::Time now) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return !Counts(item.second, now) || IsHeard(item.second, now);
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

double Demand::OwnPart(NameHash workspace, absl::Time now) const {
  const auto agreed = agreed_.find(workspace);
  if (agreed != agreed_.end()) return agreed->second;
  // Started anew: what the others leave, divided among those of whom nothing is
  // known.
  double left = 1;
  int unknown = 1;
  for (const auto& [name, peer] : peers_) {
    if (!Counts(peer, now)) continue;
    const auto use = peer.uses.find(workspace);
    const bool known = use != peer.uses.end() && use->second.part > 0;
    if (known) left -= use->second.part;
    if (!known) ++unknown;
  }
  return std::max(0.0, left) / unknown;
}

double Demand::Part(NameHash workspace, absl::Time now) const {
  // Nothing is let through with no part at all.
  constexpr double kLeast = 0.001;
  if (AllHeard(now)) return 1;
  double part = OwnPart(workspace, now);
  for (const auto& [name, peer] : peers_) {
    if (!IsHeard(peer, now)) continue;
    const auto use = peer.uses.find(workspace);
    if (use != peer.uses.end()) part += std::max(0.0F, use->second.part);
  }
  return std::clamp(part, kLeast, 1.0);
}

}  // namespace gentianlb::gateway
