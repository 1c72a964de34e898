// Queue of waiting requests: decides which one is granted next.
//
// Load pattern: bursts, one workspace that sends far more than its share, and
// long jobs among short ones. In order of arrival, the busy workspace would
// delay all others, and a long draft would hold up a short question.
//
// A lane holds the waiting requests of one server pool in one tier. Between
// tiers the order is strict. Within a lane, workspaces share by start-time fair
// queueing, measured in tokens of work and not in requests. Within a workspace
// the request with the least slack goes first, whatever its size: short
// requests with a near deadline pass long ones, and a long one is served as its
// own slack runs out. Requests with a first token deadline go shortest first
// instead; see OrderTime() in intake.cc.
//
// Requests that return after a refusal are late already. They follow those of
// their lane that can still be in time, and go by latest start. Each operation
// but RequestsInPool() costs O(log n) in the number of waiting requests.

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

// Maximum number of heads of a lane that are tried in one round: a long and a
// short request of three workspaces. Trying more costs time and rarely finds a
// grant.
inline constexpr std::size_t kMaxHeads = 6;

// A request in the queue, with the values derived from it.
struct WaitingRequest {
  Request request;  // `prefix` and `parts` are replaced by `marks`.
  std::vector<PrefixMark> marks;
  WorkspaceIndex workspace = 0;
  PoolIndex pool = 0;
  double weight = 1;  // Of the workspace.
  OutputEstimate output;
  double work = 0;  // In tokens.
  bool is_long = false;
  absl::Duration min_service_time;  // On the fastest idle server, short output.
  absl::Time latest_start;          // Latest start that meets both deadlines.
  absl::Time order_time;            // Sort key within its workspace.
  absl::Time urgent_at;             // From then on it may preempt.
  absl::Time enqueued_at;           // Time of arrival in the queue.
  std::uint64_t sequence = 0;       // Order of arrival.
  bool returning = false;           // Late already; see return_times.h.
  int attempts = 0;                 // Grants that ended as not sent.
  ServerIndex avoid = kNoIndex;
};

// Identifies the lane of one tier and one pool.
struct LaneKey {
  Tier tier;
  PoolIndex pool = 0;
  auto operator<=>(const LaneKey&) const = default;
};

// Holds all waiting requests of a dispatcher in the order described above.
class WaitingQueue {
 public:
  WaitIndex Add(WaitingRequest waiting);
  WaitingRequest Remove(WaitIndex index);
  const WaitingRequest& Get(WaitIndex index) const { return waiting_[index]; }

  std::size_t size() const { return waiting_.size(); }
  bool empty() const { return size() == 0; }

  // Returns the lanes that hold requests, ordered by tier, then by pool.
  std::vector<LaneKey> Lanes() const;

  bool LaneEmpty(const LaneKey& key) const;

  // Appends up to `limit` requests of the lane in the order in which they
  // should be granted: of each workspace the first short and the first long
  // request, then of each workspace the second ones, and so on; at last those
  // that return.
  void Heads(const LaneKey& key, std::size_t limit,
             std::vector<WaitIndex>* heads) const;

  // Charges the workspace for `waiting`, which was granted and is already
  // removed.
  void Charge(const WaitingRequest& waiting);

  // Corrects an earlier charge by `tokens`, which is negative if less was used
  // than charged.
  void CorrectCharge(const LaneKey& key, WorkspaceIndex workspace,
                     double weight, double tokens);

  // Returns the lowest tier with waiting requests; rank -1 if there are none.
  Tier LowestTier() const;

  // Returns the request to shed in `tier`: in the lane with the most work, the
  // last one that returns, or else the last request of the workspace with the
  // most work.
  WaitIndex ShedCandidate(Tier tier) const;

  // Returns the workspace's last request in a lane, by order_time; kNoIndex if
  // it has none.
  WaitIndex LastInWorkspace(const LaneKey& key, WorkspaceIndex workspace) const;

  // Returns the work that waits for `pool` in tiers above `tier`.
  double WorkInHigherTiers(Tier tier, PoolIndex pool) const;
  double LaneWork(const LaneKey& key) const;
  std::size_t LaneSize(const LaneKey& key) const;
  // Returns the number of requests that wait for a pool, in all tiers.
  int PoolSize(PoolIndex pool) const {
    return pool < pool_sizes_.size() ? pool_sizes_[pool] : 0;
  }

  // Returns the work in the lane that is served before a new request of
  // `workspace` with sort key `order_time`, if all workspaces stay backlogged.
  double WorkAhead(const LaneKey& key, WorkspaceIndex workspace, double weight,
                   absl::Time order_time) const;

  // Returns the earliest `latest_start` of all waiting requests;
  // InfiniteFuture() if the queue is empty.
  absl::Time NextExpiryTime() const;
  WaitIndex NextToExpire() const;

  // Returns whether `index` is among the first kMaxHeads of its lane.
  bool IsHead(WaitIndex index) const;

  // Returns all requests of a pool, in an order that is the same on each run.
  std::vector<WaitIndex> RequestsInPool(PoolIndex pool) const;

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
  using RequestSet = absl::btree_set<Key>;

  // The waiting requests of one workspace in one lane.
  struct Flow {
    double tag = 0;  // Virtual start time of its next request.
    double weight = 1;
    double work = 0;
    RequestSet short_requests;
    RequestSet long_requests;
    bool empty() const {
      return short_requests.empty() && long_requests.empty();
    }
  };

  struct Lane {
    double virtual_time = 0;
    double work = 0;  // Without `returning`.
    double active_weight = 0;
    std::size_t size = 0;
    absl::node_hash_map<WorkspaceIndex, Flow> flows;
    // Flows with waiting requests, by tag and by work.
    absl::btree_set<std::pair<double, WorkspaceIndex>> by_tag;
    absl::btree_set<std::pair<double, WorkspaceIndex>> by_work;
    // Flows without waiting requests, by tag.
    absl::btree_set<std::pair<double, WorkspaceIndex>> idle;
    RequestSet returning;  // Of all workspaces, by latest start.
    double returning_work = 0;
    bool empty() const { return by_tag.empty() && returning.empty(); }
    double total_work() const { return work + returning_work; }
  };

  static Key OrderKey(const WaitingRequest& waiting, WaitIndex index);
  static Key ExpiryKey(const WaitingRequest& waiting, WaitIndex index);
  static void Activate(Lane* lane, WorkspaceIndex workspace, Flow* flow);
  static void Deactivate(Lane* lane, WorkspaceIndex workspace, Flow* flow);
  static void SetTag(Lane* lane, WorkspaceIndex workspace, Flow* flow,
                     double tag);
  static void AddWork(Lane* lane, WorkspaceIndex workspace, Flow* flow,
                      double work);
  static void EvictIdleFlows(Lane* lane);
  // Adds `index` to the requests of its workspace, or removes it.
  void AddToFlow(Lane* lane, WaitIndex index);
  void RemoveFromFlow(Lane* lane, WaitIndex index);

  Slab<WaitingRequest> waiting_;
  std::map<LaneKey, Lane> lanes_;
  std::vector<int> pool_sizes_;
  absl::btree_set<Key> expiry_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_ORDER_H_
