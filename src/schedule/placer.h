// Selects the server for a request.
//
// Load pattern: engines of different speeds, some of which have the prefix of
// the prompt cached. A least-outstanding policy would send a long draft to an
// old engine that can't finish it in time, and would not reuse cached prefixes.
//
// A few candidates are scored: the fastest servers with free capacity, and
// those that have most of the prompt cached. The score is the predicted finish
// time plus the time to compute the uncached part of the prompt, in seconds,
// with the weights of the deployment, plus the cost of crossing zones. A server
// on which the request would be late is not selected as long as a better one
// may become free.

#ifndef GENTIANLB_SCHEDULE_PLACER_H_
#define GENTIANLB_SCHEDULE_PLACER_H_

#include <vector>

#include "absl/time/time.h"
#include "base/lost_paths.h"
#include "schedule/cooldowns.h"
#include "schedule/index.h"
#include "schedule/order.h"
#include "schedule/power_ledger.h"
#include "schedule/prefix_cache_tracker.h"
#include "schedule/server_set.h"
#include "schedule/stream_pauses.h"
#include "schedule/zone_preference.h"

namespace gentianlb::schedule {

// Why a request can't be granted now. If several reasons apply, the last one in
// this order is reported.
enum class BlockReason {
  kNone,
  kNoCapacity,  // No server has a free stream.
  kNoPath,      // The request's host can't reach the servers with free streams.
  kCooldown,    // Those that it reaches want nothing from it for now.
  kReserved,    // Free streams are reserved for short requests or higher tiers.
  kPauses,      // Would make a stream late by a pause, and may still wait.
  kTooSlow,     // Late on every server with capacity, or better off waiting for
                // a server that has the prompt cached.
  kTooLarge,    // Streams are free, but memory or prefill capacity is short.
  kNoPower,     // The power share is used up.
};

// The selected server, or the reason why there is none.
struct Placement {
  BlockReason reason = BlockReason::kNoCapacity;
  // The selected server; for kTooLarge, the one with most free memory.
  ServerIndex server = kNoIndex;
  Demand demand;  // On the selected server.
  double cached_tokens = 0;
  PauseForecast pauses;  // On the selected server.
  // Until the request would be late on the selected server.
  absl::Duration spare;
  absl::Duration hold;  // For kPauses: the longest time to wait.
};

// Capacity to keep free for short requests and higher tiers.
struct Reserves {
  double streams = 0;  // Fraction of each server's window.
  double power = 0;    // Fraction of the power share above idle.
};

// Restricts the servers considered for one request.
struct SearchScope {
  // Pools for which requests of a higher tier wait; indexed by PoolIndex.
  const std::vector<bool>* closed_pools = nullptr;
  // Servers kept free for a large request.
  const std::vector<ServerIndex>* held_servers = nullptr;
  // If set, only these servers are considered: all others were tried before and
  // have not changed since.
  const std::vector<ServerIndex>* only_servers = nullptr;
  bool contended = false;  // Whether other requests wait in the same lane.
  // Whether to grant a request that meets its deadline only with a short
  // output.
  bool optimistic = false;
  // Whether the request may wait for a server on which it makes no stream late.
  bool may_hold = true;
};

// Scores candidate servers and selects the best one for a request.
class Placer {
 public:
  Placer(const Weights& weights, const ServerSet& servers,
         const PowerLedger& power, const PrefixCacheTracker& cache,
         const LostPaths<ServerIndex>& lost_paths, const Cooldowns& cooldowns,
         const ZonePreference& zones, const StreamPauses& pauses)
      : weights_(weights),
        servers_(servers),
        power_(power),
        cache_(cache),
        lost_paths_(lost_paths),
        cooldowns_(cooldowns),
        zones_(zones),
        pauses_(pauses) {}

  // Returns the best placement of `waiting`. Changes no state.
  Placement Place(const WaitingRequest& waiting, const Reserves& reserves,
                  const SearchScope& scope, absl::Time now);

 private:
  struct Criteria;

  // Returns whether the request may still wait for a server that has its prompt
  // cached.
  bool MayWaitForCache(const WaitingRequest& waiting, absl::Time now) const;
  // Returns the maximum expected number of cached prompt tokens over the
  // healthy servers that hold the prefix and may get requests of `host`.
  double BestCached(const PrefixCacheTracker::Lookup& lookup,
                    const EntryHostId& host, absl::Time now) const;
  // Returns how many servers may be excluded for `host`.
  std::size_t CountExcluded(const EntryHostId& host) const {
    return lost_paths_.CountOf(host) + cooldowns_.CountOf(host);
  }
  // Returns the output tokens to assume when predicting the finish time.
  double AssumedOutputTokens(const WaitingRequest& waiting,
                             bool contended) const;
  // Fills `candidates_`.
  void Collect(const WaitingRequest& waiting, const SearchScope& scope,
               const PrefixCacheTracker::Lookup& lookup);
  // Blocks a placement that makes a stream late, if the request may still wait
  // for a better server.
  static void HoldForPauses(const WaitingRequest& waiting, absl::Time now,
                            Placement* best);
  // Scores one candidate and updates `best` if it is better or blocked for a
  // different reason.
  void Consider(ServerIndex server, const Criteria& criteria, Placement* best,
                double* best_score) const;

  Weights weights_;
  const ServerSet& servers_;
  const PowerLedger& power_;
  const PrefixCacheTracker& cache_;
  const LostPaths<ServerIndex>& lost_paths_;
  const Cooldowns& cooldowns_;
  ZonePreference zones_;
  const StreamPauses& pauses_;
  std::vector<ServerIndex> candidates_;  // Reused to avoid allocations.
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_PLACER_H_
