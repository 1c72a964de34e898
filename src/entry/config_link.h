// What the configuration's follower needs of the peers: their rows when the
// platform doesn't answer, and the spreading of news.

#ifndef GENTIANLB_ENTRY_CONFIG_LINK_H_
#define GENTIANLB_ENTRY_CONFIG_LINK_H_

#include <functional>
#include <string>
#include <vector>

#include "config/follow.h"
#include "entry/peers.h"
#include "rpc/codec.h"
#include "store/client.h"

namespace gentianlb::entry {

class ConfigLink {
 public:
  explicit ConfigLink(Peers* peers) : peers_(peers) {}

  void ReadRows(const EntryHostId& peer, const std::vector<std::string>& keys,
                std::function<void(store::ReadResult)> read);
  void Announce(config::Version version) { peers_->SetConfigVersion(version); }
  std::vector<EntryHostId> Candidates() const;

 private:
  Peers* peers_;
};

using Follower = config::Follower<store::Client, ConfigLink>;

// Adds the method by which peers read rows of the version in force.
void RegisterConfigRows(rpc::AsyncMethodTable* methods,
                        const Follower* follower);

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_CONFIG_LINK_H_
