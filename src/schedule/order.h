// Which waiting request is next.
//
// Load pattern: bursts, one workspace that sends far more than its share, long
// jobs among short ones. In order of arrival, the loud workspace delays all
// others and a tender draft holds up a size question.
//
// A lane holds what waits for one pool of servers in one tier. Between tiers
// the order is strict. Inside a lane it is start-time fair queueing over
// workspaces, by tokens of work and not by count; inside a workspace the least
// slack goes first, whatever the size, so that short ones with a near deadline
// pass long ones, and a long one's turn comes as its own slack runs out. Each
// operation costs O(log n) of what waits.

#ifndef GENTIANLB_SCHEDULE_ORDER_H_
#define GENTIANLB_SCHEDULE_ORDER_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "absl/container/btree_set.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "schedule/index.h"
#include "schedule/messages.h"
#include "schedule/output_estimator.h"
#include "schedule/prefix_cache_tracker.h"

namespace gentianlb::schedule {

// Heads of a lane that are tried before it is left alone: three workspaces with
// a long and a short one each. More cost time and find little.
inline constexpr std::size_t kHeadsTried = 6;

// A request that waits, with what was derived from it.
struct Waiting {
  Request request;  // Its prefix is moved out into `marks`.
  std::vector<PrefixMark> marks;
  WorkspaceIndex workspace = 0;
  PoolIndex pool = 0;
  double weight = 1;  // The workspace's.
  OutputEstimate output;
  double work = 0;  // Tokens.
  bool is_long = false;
  absl::Duration best_service;  // Fastest server, alone, a short answer.
  absl::Time latest_start;      // Later, no server makes the deadline.
  absl::Time order_at;          // Its place among those of its workspace.
  absl::Time urgent_at;         // From here on it may preempt.
  absl::Time since;             // When it came into the queue.
  std::uint64_t sequence = 0;   // Of arrival.
  int attempts = 0;             // Grants that came back as not sent.
  ServerIndex avoid = kNoIndex;
};

struct LaneKey {
  Tier tier;
  PoolIndex pool = 0;
  auto operator<=>(const LaneKey&) const = default;
};

class WaitingQueue {
 public:
  WaitIndex Add(Waiting waiting);
  Waiting Remove(WaitIndex index);
  const Waiting& Get(WaitIndex index) const { return waiting_[index]; }

  std::size_t size() const { return waiting_.size(); }
  bool empty() const { return size() == 0; }

  // Lanes with anything waiting, by tier; inside a tier by pool.
  std::vector<LaneKey> Lanes() const;

  bool LaneEmpty(const LaneKey& key) const;

  // The first few of a lane in the order in which they should be granted: the
  // heads of the first workspaces, each with its first long and short one, then
  // those behind them.
  void Heads(const LaneKey& key, std::size_t limit,
             std::vector<WaitIndex>* heads) const;

  // The first workspace's turn was used for `waiting`, which is removed.
  void Charge(const Waiting& waiting);

  // What was charged for was `tokens` more, or less, than estimated.
  void Correct(const LaneKey& key, WorkspaceIndex workspace, double weight,
               double tokens);

  // The lowest tier in which anything waits; rank -1 when nothing does.
  Tier LowestTier() const;

  // Whom to shed in `tier`: of the workspace with the most work waiting, the
  // one with the most slack.
  WaitIndex ShedCandidate(Tier tier) const;

  // The same inside one workspace; kNoIndex when it has none in that lane.
  WaitIndex LastOf(const LaneKey& key, WorkspaceIndex workspace) const;

  // Work that waits for `pool` in tiers above `tier`.
  double WorkAbove(Tier tier, PoolIndex pool) const;
  double LaneWork(const LaneKey& key) const;
  std::size_t LaneSize(const LaneKey& key) const;
  // How many wait for a pool, in all tiers.
  int PoolSize(PoolIndex pool) const { return pool_sizes_[pool]; }

  // Work in the lane that is served before a new request of `workspace` whose
  // place is `order_at`, if all workspaces go on waiting.
  double WorkAhead(const LaneKey& key, WorkspaceIndex workspace, double weight,
                   absl::Time order_at) const;

  // The first that no server can finish in time any more.
  absl::Time FirstExpiry() const;
  WaitIndex FirstExpiring() const;

  // Whether `index` is among the first kHeadsTried of its lane.
  bool InHeads(WaitIndex index) const;

  // All of a pool, in no order of merit but the same on each run.
  std::vector<WaitIndex> AllOf(PoolIndex pool) const;

 private:
  struct Key {
    absl::Time at;
    std::uint64_t sequence = 0;
    WaitIndex index = kNoIndex;
    bool operator==(const Key&) const = default;
    bool operator<(const Key& other) const {
      return std::tie(at, sequence) < std::tie(other.at, other.sequence);
    }
  };
  using Line = absl::btree_set<Key>;

  // One workspace in one lane.
  struct Flow {
    double tag = 0;  // Virtual time at which its next turn starts.
    double weight = 1;
    double work = 0;
    Line shorts;
    Line longs;
    bool empty() const { return shorts.empty() && longs.empty(); }
  };

  struct Lane {
    double virtual_time = 0;
    double work = 0;
    double active_weight = 0;
    std::size_t size = 0;
    absl::node_hash_map<WorkspaceIndex, Flow> flows;
    absl::btree_set<std::pair<double, WorkspaceIndex>> turns;    // By tag.
    absl::btree_set<std::pair<double, WorkspaceIndex>> by_work;  // Waiting.
    absl::btree_set<std::pair<double, WorkspaceIndex>> resting;  // By tag.
  };

  static Key PlaceOf(const Waiting& waiting, WaitIndex index);
  static Key ExpiryOf(const Waiting& waiting, WaitIndex index);
  static void Activate(Lane* lane, WorkspaceIndex workspace, Flow* flow);
  static void Rest(Lane* lane, WorkspaceIndex workspace, Flow* flow);
  static void MoveTag(Lane* lane, WorkspaceIndex workspace, Flow* flow,
                      double tag);
  static void AddWork(Lane* lane, WorkspaceIndex workspace, Flow* flow,
                      double work);
  static void ForgetRested(Lane* lane);

  Slab<Waiting> waiting_;
  std::map<LaneKey, Lane> lanes_;
  std::vector<int> pool_sizes_;
  absl::btree_set<Key> expiry_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_ORDER_H_
