#include "gateway/peer_loads.h"

namespace gentianlb::gateway {
namespace {

// A host that is silent for longer is frozen, cut off or gone; what it had
// running then is mostly over.
constexpr absl::Duration kBelieved = absl::Seconds(1);

}  // namespace

void PeerLoads::Heard(const PeerNews& news, absl::Time now) {
  Peer& peer = peers_[news.host];
  // Datagrams may overtake each other.
  const NewsPlace place = PlaceOf(news);
  if (place <= peer.place) return;
  peer.place = place;
  peer.heard = now;
  peer.servers = news.servers;
}

absl::flat_hash_map<NameHash, ServerUse> PeerLoads::Sum(absl::Time now) const {
  absl::flat_hash_map<NameHash, ServerUse> sum;
  absl::flat_hash_map<NameHash, int> teachers;
  for (const auto& [name, peer] : peers_) {
    if (now - peer.heard > kBelieved) continue;
    for (const ServerUse& use : peer.servers) {
      ServerUse& total = sum[use.server];
      total.running = static_cast<std::uint16_t>(total.running + use.running);
      total.alone = static_cast<std::uint16_t>(total.alone + use.alone);
      if (use.decode <= 0) continue;
      const auto count = static_cast<float>(++teachers[use.server]);
      total.prefill += (use.prefill - total.prefill) / count;
      total.decode += (use.decode - total.decode) / count;
    }
  }
  return sum;
}

}  // namespace gentianlb::gateway
