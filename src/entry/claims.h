// The claims of this host, wired to the platform's table and to the peers.

#ifndef GENTIANLB_ENTRY_CLAIMS_H_
#define GENTIANLB_ENTRY_CLAIMS_H_

#include <functional>
#include <optional>

#include "claim/claim_table.h"
#include "entry/control_loop.h"
#include "entry/peers.h"
#include "rpc/codec.h"
#include "store/client.h"

namespace gentianlb::entry {

// Asks a peer about a key, by JSON-RPC.
class PeerAsker {
 public:
  explicit PeerAsker(Peers* peers) : peers_(peers) {}

  void Query(const EntryHostId& peer, const claim::PeerQuery& query,
             std::function<void(std::optional<claim::PeerAnswer>)> done);

 private:
  Peers* peers_;
};

using Claims = claim::ClaimTable<store::Client, PeerAsker, LoopClock>;

// Adds the method by which peers ask.
void RegisterClaims(rpc::AsyncMethodTable* methods, Claims* claims);

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_CLAIMS_H_
