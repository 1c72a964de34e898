// Grants waiting requests while there is free capacity: strictly by tier, and
// within a lane in the queue's order. A few heads of each lane are tried, so
// that a request that doesn't fit doesn't block one that does.

#ifndef GENTIANLB_SCHEDULE_GRANT_H_
#define GENTIANLB_SCHEDULE_GRANT_H_

#include "schedule/placer.h"
#include "schedule/state.h"

namespace gentianlb::schedule {

// Returns the record of a request that starts on `server` now, with the
// expected times its response is compared to.
RunningRequest MakeRunning(const State& state, WaitingRequest waiting,
                           ServerIndex server, const Demand& demand,
                           double cached_tokens);

// Grants as many waiting requests as possible. Does nothing unless a change
// since the last call may have freed capacity.
void GrantWaiting(State& state);

// Returns the capacity that a request must leave free for shorter and
// higher-priority requests that are likely to arrive.
Reserves ReservesFor(const State& state, const WaitingRequest& waiting);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_GRANT_H_
