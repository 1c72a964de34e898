#include "gateway/groups.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::gateway {
namespace {

// A group's streams. A stream starts some three requests a second, and each
// costs its dispatcher about 0.05 ms of processor time: 512 streams then take 8
// parts in 100 of a processor.
constexpr int kStreamsPerGroup = 512;

// A host that is silent for longer is frozen, cut off or gone; some periods of
// the messages between many hosts.
constexpr absl::Duration kBelieved = absl::Seconds(1);

// One that didn't answer is asked again after this long: a stall has passed by
// then, and a host that freezes costs each request that asks it some
// milliseconds.
constexpr absl::Duration kLeftOut = absl::Seconds(1);

// Only hosts with nearly as much processor as the best one dispatch: a decision
// that takes 0.1 ms there takes a small host several times as long, and all
// callers wait for it.
constexpr double kQuick = 0.75;

}  // namespace

int GroupsFor(int streams) {
  return std::max(1, (streams + kStreamsPerGroup - 1) / kStreamsPerGroup);
}

int GroupsFor(const std::vector<ServerEntry>& servers) {
  int streams = 0;
  for (const ServerEntry& server : servers) streams += server.streams;
  return GroupsFor(streams);
}

std::uint16_t GroupOf(const ServerId& server, int groups) {
  return static_cast<std::uint16_t>(HashName(server.str()) %
                                    static_cast<unsigned>(groups));
}

void GroupHosts::Heard(const EntryHostId& host, bool draining, double processor,
                       absl::Time now) {
  Peer& peer = peers_[host];
  peer.heard = now;
  peer.draining = draining;
  peer.processor = processor;
}

void GroupHosts::Silent(const EntryHostId& host, absl::Time now) {
  peers_[host].left_out_until = now + kLeftOut;
}

bool GroupHosts::MayDispatch(const Peer& peer, absl::Time now) const {
  return now - peer.heard <= kBelieved && !peer.draining &&
         now >= peer.left_out_until;
}

EntryHostId GroupHosts::DispatcherOf(const GroupKey& group,
                                     absl::Time now) const {
  double most = draining_ ? 0 : processor_;
  for (const auto& [host, peer] : peers_) {
    if (MayDispatch(peer, now)) most = std::max(most, peer.processor);
  }
  const auto rank = [&](const EntryHostId& host) {
    return std::pair(HashName(absl::StrCat(host.str(), "/", group.service, "/",
                                           group.group)),
                     host);
  };
  std::pair<NameHash, EntryHostId> best;
  if (!draining_ && processor_ >= kQuick * most) best = rank(self_);
  for (const auto& [host, peer] : peers_) {
    if (!MayDispatch(peer, now) || peer.processor < kQuick * most) continue;
    best = std::max(best, rank(host));
  }
  return best.second.empty() ? self_ : best.second;
}

}  // namespace gentianlb::gateway
