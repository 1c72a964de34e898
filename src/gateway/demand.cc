#include "gateway/demand.h"

#include <algorithm>

namespace gentianlb::gateway {
namespace {

// Until a cut shows, every side uses the whole limit, so that little more than
// one message that is missing is taken for one. Where it was lost by chance,
// leaving out that host's part for a moment harms nobody.
constexpr double kSilentPeriods = 1.8;

// A host that was replaced never comes back; one that is cut off is back within
// seconds, or a minute at the most.
constexpr absl::Duration kForgetAfter = absl::Minutes(1);

// Demand that is counted for every host, as a part of all demand together, so
// that the first callers at a quiet host find some.
constexpr double kFloorPart = 0.1;

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
}

void Demand::GivenBack(NameHash workspace, double tokens) {
  own_[workspace].given_back += static_cast<std::uint64_t>(tokens);
}

std::vector<Spent> Demand::Heard(const PeerNews& news, absl::Time now) {
  Peer& peer = peers_[news.host];
  // Datagrams may overtake each other.
  const NewsPlace place = PlaceOf(news);
  if (place <= peer.place) return {};
  const bool first = peer.place == NewsPlace{};
  const bool restarted = peer.place.incarnation != place.incarnation;
  if (restarted) peer.uses.clear();
  std::vector<Spent> spent;
  for (const WorkspaceUse& use : news.workspaces) {
    WorkspaceUse& before = peer.uses[use.workspace];
    // Of a host that is heard for the first time, only what comes from now on.
    const auto more = [first](std::uint64_t now_told, std::uint64_t told) {
      return first ? 0.0
                   : static_cast<double>(now_told - std::min(now_told, told));
    };
    const double tokens = more(use.let_through, before.let_through) -
                          more(use.given_back, before.given_back);
    if (tokens != 0) spent.push_back({use.workspace, tokens});
    before = use;
  }
  peer.place = place;
  peer.heard = now;
  peer.forgotten = false;
  return spent;
}

void Demand::SetHosts(const std::vector<std::string>& hosts,
                      absl::Duration period, absl::Time now) {
  period_ = period;
  for (const std::string& host : hosts) {
    Peer& peer = peers_[host];
    peer.known = std::min(peer.known, now);
  }
}

std::vector<WorkspaceUse> Demand::Own(absl::Time now) const {
  std::vector<WorkspaceUse> uses;
  for (const auto& [workspace, own] : own_) {
    const auto agreed = agreed_.find(workspace);
    const double part = agreed == agreed_.end() ? 0 : agreed->second;
    uses.push_back({workspace, static_cast<float>(own.PerSecond(now)),
                    own.let_through, own.given_back, static_cast<float>(part)});
  }
  return uses;
}

bool Demand::IsHeard(const Peer& peer, absl::Time now) const {
  return now - peer.heard <= kSilentPeriods * period_;
}

void Demand::ForgetSilent(absl::Time now) {
  const auto heard = std::count_if(
      peers_.begin(), peers_.end(),
      [&](const auto& item) { return IsHeard(item.second, now); });
  if (2 * (heard + 1) <= static_cast<std::ptrdiff_t>(peers_.size()) + 1) return;
  for (auto& [name, peer] : peers_) {
    const absl::Time last = std::max(peer.heard, std::min(peer.known, now));
    peer.forgotten = now - last > kForgetAfter;
  }
}

int Demand::hosts() const {
  return 1 + static_cast<int>(std::count_if(
                 peers_.begin(), peers_.end(),
                 [](const auto& item) { return !item.second.forgotten; }));
}

bool Demand::AllHeard(absl::Time now) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    return item.second.forgotten || IsHeard(item.second, now);
  });
}

double Demand::PartOfDemand(NameHash workspace, absl::Time now) const {
  const auto mine = own_.find(workspace);
  const double own = mine == own_.end() ? 0 : mine->second.PerSecond(now);
  double total = own;
  for (const auto& [name, peer] : peers_) {
    if (peer.forgotten) continue;
    const auto found = peer.uses.find(workspace);
    if (found == peer.uses.end()) continue;
    total += std::max(0.0F, found->second.tokens_per_second);
  }
  const int count = hosts();
  const double floor = std::max(1.0, total) * kFloorPart / count;
  return (own + floor) / (total + floor * count);
}

void Demand::Agree(absl::Time now) {
  ForgetSilent(now);
  if (!AllHeard(now)) return;
  for (const auto& [workspace, own] : own_) {
    agreed_[workspace] = PartOfDemand(workspace, now);
  }
}

double Demand::OwnPart(NameHash workspace) const {
  const auto agreed = agreed_.find(workspace);
  if (agreed != agreed_.end()) return agreed->second;
  // Started anew: what the others leave, divided among those of whom nothing is
  // known.
  double left = 1;
  int unknown = 1;
  for (const auto& [name, peer] : peers_) {
    if (peer.forgotten) continue;
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
  double part = OwnPart(workspace);
  for (const auto& [name, peer] : peers_) {
    if (!IsHeard(peer, now)) continue;
    const auto use = peer.uses.find(workspace);
    if (use != peer.uses.end()) part += std::max(0.0F, use->second.part);
  }
  return std::clamp(part, kLeast, 1.0);
}

}  // namespace gentianlb::gateway
