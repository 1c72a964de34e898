// Cancels running requests: if the power share shrinks, if a higher tier needs
// the capacity, or if the deadline has passed while other requests wait.
//
// Load pattern: a power drop, or urgent requests that find every engine filled
// with overnight work. Cancelling wastes the computed prompt, so the lowest
// tier goes first, and within it the request with the least prompt work done.
// The deployment's weights decide whether a cancel is worth it.

#ifndef GENTIANLB_SCHEDULE_PREEMPT_H_
#define GENTIANLB_SCHEDULE_PREEMPT_H_

#include "schedule/state.h"

namespace gentianlb::schedule {

// Cancels requests from the lowest tier up until the worst-case power is within
// the share.
void EnforcePowerShare(State& state);

// Cancels requests past their deadline while others wait for capacity.
void CancelExpired(State& state);

// Cancels a request of a lower tier in favor of the waiting request `index`, if
// that is close to its latest start. `for_power`: it lacks power, and not a
// stream in its pool.
void PreemptFor(State& state, WaitIndex index, bool for_power);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_PREEMPT_H_
