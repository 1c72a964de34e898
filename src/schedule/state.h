// State of one dispatcher, shared by its steps: intake, grants, preemption and
// responses. Each module in it keeps its own invariants; the functions below
// apply changes that span several modules.

#ifndef GENTIANLB_SCHEDULE_STATE_H_
#define GENTIANLB_SCHEDULE_STATE_H_

#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/lost_paths.h"
#include "base/retry.h"
#include "schedule/cooldowns.h"
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
#include "schedule/return_times.h"
#include "schedule/running.h"
#include "schedule/server_set.h"
#include "schedule/signature.h"
#include "schedule/stream_pauses.h"

namespace gentianlb::schedule {

// Times of the last arrivals in one tier.
struct TierActivity {
  absl::Time last_arrival = absl::InfinitePast();
  absl::Time last_short_arrival = absl::InfinitePast();
};

// Changes since the last round of grants that may allow a grant. Lanes that no
// change touches stay blocked as before.
struct Changes {
  bool all = false;
  std::vector<ServerIndex> servers;
  std::vector<PoolIndex> pools;  // Their servers may have free capacity.
  std::vector<LaneKey> lanes;    // A head was added to them.
};

// Capacity that a waiting lane withholds from lower tiers.
struct LaneBlock {
  bool whole_pool = false;           // All servers of its pool.
  std::vector<ServerIndex> servers;  // Single servers.
};

struct State {
  explicit State(const DispatcherOptions& dispatcher_options)
      : options(dispatcher_options),
        retry_after_jitter(dispatcher_options.seed,
                           dispatcher_options.min_retry_after) {
    power.SetShare(dispatcher_options.initial_share_watts);
    if (dispatcher_options.zone_crossing_cost > absl::ZeroDuration()) {
      servers.IndexZones();
    }
    if (options.suspects == nullptr) {
      options.suspects = std::make_shared<Suspects>();
    }
  }

  DispatcherOptions options;
  absl::Time now;
  std::vector<Decision>* decisions = nullptr;  // Set while an event is handled.

  WaitingQueue queue;
  RunningTable running;
  ServerSet servers;
  PowerLedger power;
  PrefixCacheTracker cache;
  LostPaths<ServerIndex> lost_paths;
  Cooldowns cooldowns;
  StreamPauses pauses;
  SuspectRequests& suspects() const { return options.suspects->requests; }
  SuspectParts& suspect_parts() const { return options.suspects->parts; }
  WorkspaceLimits limits;
  OutputEstimator estimator;
  RetryBudget retries{RetryOptions{}};
  RetryAfterJitter retry_after_jitter;
  ReturnTimes return_times;
  std::vector<DrainRate> pool_drains;  // Indexed by pool.
  std::vector<double> pool_mean_work;  // Of a granted request, by pool.
  std::map<LaneKey, DrainRate> lane_drains;

  absl::flat_hash_map<RequestId, WaitIndex> waiting_by_id;
  std::map<int, TierActivity> activity;  // By tier rank.
  std::uint64_t next_sequence = 0;
  Changes changes;
  bool power_exhausted = false;  // Whether the last round ran out of power.
  LaneKey power_exhausted_lane;  // The lane in which it did.
  int pending_preemptions = 0;   // Cancelled for a higher tier, not finished.
  std::map<LaneKey, LaneBlock> lane_blocks;  // Of lanes that were tried.
  std::uint64_t lane_rotation = 0;           // Rotates the lanes within a tier.
  absl::Time next_urgent_check = absl::InfiniteFuture();

  Counters counters;
  Signature signature;
};

// Returns the pool of the servers that may run the request; kNoIndex if no
// server has its model.
PoolIndex PoolFor(State& state, const Request& request);

// Appends a decision and counts it.
void Emit(State& state, Decision decision);

// Adds a request to the queue and updates limits and drain rates.
void AddWaiting(State& state, WaitingRequest waiting);
// Removes a request from the queue and returns it; emits no decision.
WaitingRequest RemoveWaiting(State& state, WaitIndex index);

// Removes a waiting request from the queue and refuses it.
void RefuseWaiting(State& state, WaitIndex index, Code code,
                   absl::Duration retry_after,
                   const std::optional<ReturnForecast>& forecast = {});

// Refuses a request that is not in the queue.
void RefuseRequest(State& state, const Request& request, Code code,
                   absl::Duration retry_after,
                   const std::optional<ReturnForecast>& forecast = {});

// Returns whether `request` must not be sent now, because servers ended under
// requests with the same content or with a part of its prompt.
bool MayEndServers(const State& state, const Request& request);

// Returns whether such a request waits for what the running ones show. Only
// those do that lost their server themselves, no more than ran there: others
// could fill the front of the queue.
bool WaitsForSuspects(const State& state, const Request& request);

// Returns how long the caller of such a request should wait before a retry:
// until the running ones have shown what they do, the content is forgotten, or
// the part may be sent again.
absl::Duration SuspectRetryAfter(State& state, const Request& request);

// Emits a Cancel for a running request. The request was granted, so
// the code says that it may have run, whatever the cause.
void CancelRunning(State& state, RunIndex index, WasteCause cause);

// Returns this dispatcher's share of the pool's drain rate, in work per second.
double DrainPerSecond(const State& state, PoolIndex pool);
// Returns the lane's drain rate: what higher tiers leave to it, in work per
// second.
double LaneDrainPerSecond(const State& state, const LaneKey& lane);

// Returns when `host` may use the first server of the pool again, if all usable
// ones are excluded for it and at least one by a cooldown; else nullopt.
std::optional<absl::Time> CooldownEnd(const State& state,
                                      const EntryHostId& host, PoolIndex pool);

// Returns when the caller of a request that is refused until then should retry.
// If its time ends earlier, at once: another host may be welcome.
absl::Duration CooldownRetryAfter(State& state, const Request& request,
                                  absl::Time end);

// Starts the measurement of drain rates anew: a server's limit has begun or
// ended, and what was measured before says nothing about it.
void ResetDrainRates(State& state);

// Returns how long a refused caller of this lane should wait before a retry:
// until the lane's backlog has drained and a server's limit allows a request.
absl::Duration LaneRetryAfter(State& state, const LaneKey& lane);

// Like LaneRetryAfter(), for a request that is refused for lack of capacity: if
// it has a first token deadline, capacity is reserved for its retry, and
// `forecast` is set.
absl::Duration LaneRetryAfter(State& state, const WaitingRequest& refused,
                              std::optional<ReturnForecast>* forecast);

// Returns whether the forecast has room for a retry of `waiting` within the
// time for which its caller waits. True if nothing is reserved for such
// requests.
bool HasRoomToReturn(const State& state, const WaitingRequest& waiting);

// Returns whether the forecast has room for `waiting`, which returns without a
// reservation, before its deadline.
bool HasRoomNow(const State& state, const WaitingRequest& waiting);

// Reindexes `server` after a change that may have freed capacity there, and
// marks its pools for the next round of grants.
void OnCapacityFreed(State& state, ServerIndex server);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_STATE_H_
