// Options of a dispatcher, fixed for its lifetime.

#ifndef GENTIANLB_SCHEDULE_OPTIONS_H_
#define GENTIANLB_SCHEDULE_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>

#include "absl/time/time.h"
#include "schedule/messages.h"
#include "schedule/suspect_parts.h"
#include "schedule/suspects.h"

namespace gentianlb::schedule {

// Under what servers were lost.
struct Suspects {
  SuspectRequests requests;
  SuspectParts parts;
};

struct DispatcherOptions {
  Weights weights;
  std::uint64_t seed = 1;  // Seeds the jitter of retry-after times.
  // Maximum number of waiting requests over all tiers. A request without its
  // body takes about 1 KB, so a full queue stays well below the 128 MB that the
  // load balancer may use on a host.
  std::size_t max_waiting = 20000;
  // Power share in watts until the first PowerShareChanged. With 0, the
  // dispatcher grants nothing that draws power before that event, so a power
  // cap holds from the start.
  double initial_share_watts = std::numeric_limits<double>::infinity();
  // Whether a running request may be cancelled in favour of a more urgent one.
  // Disabled where a cancelled caller would lose its whole response.
  bool allow_preemption = true;
  // Minimum retry-after time sent to a refused caller.
  absl::Duration min_retry_after = absl::Seconds(1);
  // Cost of sending a request to a server in another zone, added to the
  // server's predicted time within the bound of ZonePreference; zero: off.
  absl::Duration zone_crossing_cost;
  // Whether capacity is reserved for the retries of refused requests that have
  // a first token deadline.
  bool reserve_returns = true;
  // Shared by all dispatchers of an entry host. Null: the dispatcher's own.
  std::shared_ptr<Suspects> suspects;
  bool operator==(const DispatcherOptions&) const = default;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_OPTIONS_H_
