// Grants what waits while there is room: strictly by tier, and within a lane in
// the queue's order, of which only a few heads are tried, so that one that does
// not fit holds up nobody who does.

#ifndef GENTIANLB_SCHEDULE_GRANT_H_
#define GENTIANLB_SCHEDULE_GRANT_H_

#include "schedule/placer.h"
#include "schedule/state.h"

namespace gentianlb::schedule {

// A request that begins on `server` now, with the times by which its answer
// will be measured.
RunningRequest BeginOn(const State& state, Waiting waiting, ServerIndex server,
                       const Demand& demand, double cached_tokens);

// Does nothing unless something changed that may have made room.
void GrantWaiting(State& state);

// Room that a request must leave for shorter and more urgent ones that are
// likely to come.
Reserves ReservesFor(const State& state, const Waiting& waiting);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_GRANT_H_
