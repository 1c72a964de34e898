// All that one dispatcher knows, shared by the steps that act on it: intake,
// grants, giving way and answers. Each module inside keeps its own rules; what
// spans several of them is done by the functions here.

#ifndef GENTIANLB_SCHEDULE_STATE_H_
#define GENTIANLB_SCHEDULE_STATE_H_

#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/retry.h"
#include "schedule/counters.h"
#include "schedule/index.h"
#include "schedule/limits.h"
#include "schedule/messages.h"
#include "schedule/options.h"
#include "schedule/order.h"
#include "schedule/output_estimator.h"
#include "schedule/power_ledger.h"
#include "schedule/prefix_cache_tracker.h"
#include "schedule/refuse.h"
#include "schedule/running.h"
#include "schedule/server_set.h"
#include "schedule/signature.h"

namespace gentianlb::schedule {

// When requests of one tier came last.
struct Activity {
  absl::Time last = absl::InfinitePast();
  absl::Time last_short = absl::InfinitePast();
};

// What changed since the last round of grants and may let something through.
// Whatever is not touched by a change is blocked as it was before.
struct Changes {
  bool all = false;
  std::vector<ServerIndex> servers;
  std::vector<PoolIndex> pools;  // Their servers may have room.
  std::vector<LaneKey> lanes;    // Something came into them.
};

// What a lane that waits keeps from lower tiers.
struct LaneBlock {
  bool pool = false;              // All servers of its pool.
  std::vector<ServerIndex> held;  // Single servers.
};

struct State {
  explicit State(const DispatcherOptions& chosen)
      : options(chosen), come_back(chosen.seed, chosen.min_retry_after) {
    power.SetShare(chosen.initial_share_watts);
  }

  DispatcherOptions options;
  absl::Time now;
  std::vector<Decision>* out = nullptr;  // During one event.

  WaitingQueue queue;
  RunningTable running;
  ServerSet servers;
  PowerLedger power;
  PrefixCacheTracker cache;
  WorkspaceLimits limits;
  OutputEstimator estimator;
  RetryBudget retries{RetryOptions{}};
  ComeBack come_back;
  std::vector<DrainRate> drains;  // By pool.
  std::map<LaneKey, DrainRate> lane_drains;

  absl::flat_hash_map<RequestId, WaitIndex> waiting_by_id;
  std::map<int, Activity> activity;  // By rank of the tier.
  std::uint64_t next_sequence = 0;
  Changes changes;
  bool power_short = false;  // The last search for room ended for power,
  LaneKey power_short_at;    // at this lane.
  int preempting = 0;        // Cancelled for a higher tier, not yet ended.
  std::map<LaneKey, LaneBlock> blocks;  // Of lanes that were tried.
  std::uint64_t rotation = 0;           // Lanes of a tier take turns.
  absl::Time urgent_at = absl::InfiniteFuture();

  Counters counters;
  Signature signature;
};

// Appends a decision and counts it.
void Emit(State& state, Decision decision);

void AddWaiting(State& state, Waiting waiting);
Waiting RemoveWaiting(State& state, WaitIndex index);

// Takes a waiting request out of the queue and refuses it.
void RefuseWaiting(State& state, WaitIndex index, Code code,
                   absl::Duration retry_after);

// Refuses a request that is not in the queue.
void RefuseRequest(State& state, const Request& request, Code code,
                   absl::Duration retry_after);

// Asks the entry host to stop a running request. It has begun, so the code says
// that it may have run, whatever the cause.
void CancelRunning(State& state, RunIndex index, WasteCause cause);

// Work that this dispatcher's part of a pool takes in a second.
double DrainPerSecond(const State& state, PoolIndex pool);
// Of it, what is left for the lane.
double LaneDrainPerSecond(const State& state, const LaneKey& lane);

// When a caller of this lane may come back: when its backlog has drained.
absl::Duration ComeBackAfter(State& state, const LaneKey& lane);

// Something changed on `server` that may have made room there.
void RoomOn(State& state, ServerIndex server);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_STATE_H_
