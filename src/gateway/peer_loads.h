// What the other entry hosts have running on each server, from their news.
//
// Load pattern: every host sends to the same servers, and a server's own report
// is old when it arrives. Counted only for itself, each host would find the
// same server idle and all would send there at once; one notices long waits at
// some servers while others have room.

#ifndef GENTIANLB_GATEWAY_PEER_LOADS_H_
#define GENTIANLB_GATEWAY_PEER_LOADS_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/peer_news.h"

namespace gentianlb::gateway {

class PeerLoads {
 public:
  void Heard(const PeerNews& news, absl::Time now);

  // By server, over all hosts that were heard lately: what runs there in all,
  // and the mean of what they have learnt of its pace.
  absl::flat_hash_map<NameHash, ServerUse> Sum(absl::Time now) const;

 private:
  struct Peer {
    NewsPlace place;  // Of what was heard last.
    absl::Time heard;
    std::vector<ServerUse> servers;
  };

  absl::flat_hash_map<std::string, Peer> peers_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_PEER_LOADS_H_
