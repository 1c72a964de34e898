// The servers of one service and zone, and for each model an index of those
// that can take work now, the quickest first.
//
// Load pattern: a thousand servers and ten thousand decisions a second. Looking
// at every server for every request costs as much as there are servers; the
// index makes a decision cost O(log n), whatever the size.

#ifndef GENTIANLB_SCHEDULE_FLEET_H_
#define GENTIANLB_SCHEDULE_FLEET_H_

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/time/time.h"
#include "schedule/index.h"
#include "schedule/messages.h"
#include "schedule/server.h"

namespace gentianlb::schedule {

// The servers that hold one model. Those of a plain service, which list none,
// make the pool of the empty model.
struct Pool {
  ModelId model;
  std::vector<ServerIndex> servers;  // Configured.
  // Those with room, by the time a typical request would take there.
  absl::btree_set<std::pair<double, ServerIndex>> open;
  // Those of them that compute prompts now: there, one more prompt draws no
  // further watts.
  absl::btree_set<std::pair<double, ServerIndex>> open_prefilling;
  // The fastest of its servers that may come to take work.
  double best_prefill_speed = 0;
  double best_decode_speed = 0;
  int usable = 0;       // Alive or suspect.
  double capacity = 0;  // Tokens of work a second, all windows full.
};

class Fleet {
 public:
  // Numbers of servers that are new or changed, in the order given.
  std::vector<ServerIndex> Configure(const std::vector<ServerSpec>& specs,
                                     absl::Time now);

  // kNoIndex when unknown.
  ServerIndex Find(const ServerId& id) const { return numbers_.Find(id); }
  PoolIndex FindPool(const ModelId& model) const { return models_.Find(model); }

  Server& at(ServerIndex server) { return servers_[server]; }
  const Server& at(ServerIndex server) const { return servers_[server]; }
  const Pool& pool(PoolIndex pool) const { return pools_[pool]; }
  std::size_t size() const { return servers_.size(); }
  std::size_t pools() const { return pools_.size(); }

  void SetHealth(ServerIndex server, ServerHealth health, absl::Time now);

  // To be called after any change to a server, or its index entry is stale.
  void Reindex(ServerIndex server, absl::Time now);

  // The part of what runs on a pool's servers that this dispatcher has granted,
  // as far as the others' is known.
  double OwnPart(PoolIndex pool, absl::Time now) const;

  // When the next closed server may be probed, or an idle one be forgiven.
  absl::Time NextReopening() const;
  // Takes up those that are due; true when there were any.
  bool Reopen(absl::Time now);

 private:
  struct IndexEntry {
    double key = 0;
    bool open = false;
    bool prefilling = false;
    absl::Time reopening = absl::InfiniteFuture();
  };

  PoolIndex PoolOf(const ModelId& model);
  void Join(ServerIndex server, const ModelId& model);
  void SummarizePools();
  void Unindex(ServerIndex server);
  // Whether the entry is still right but for a little.
  bool StaysInPlace(ServerIndex server, double key) const;

  Numbering<ServerId> numbers_;
  Numbering<ModelId> models_;
  std::deque<Server> servers_;
  std::vector<IndexEntry> entries_;
  std::vector<Pool> pools_;
  absl::btree_set<std::pair<absl::Time, ServerIndex>> reopenings_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_FLEET_H_
