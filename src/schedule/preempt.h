// Cancels work that has begun: the share of watts shrank, a higher tier
// needs the room, or the deadline has passed while others wait.
//
// Load pattern: a power drop; urgent work that finds every engine filled with
// overnight work. What is cancelled throws prompt work away, so the lowest tier
// goes first, in it whoever has computed least, and the deployment's weights
// say whether it is worth it.

#ifndef GENTIANLB_SCHEDULE_PREEMPT_H_
#define GENTIANLB_SCHEDULE_PREEMPT_H_

#include "schedule/state.h"

namespace gentianlb::schedule {

// Cancels, from the lowest tier up, until the worst case is within the share.
void EnforceShare(State& state);

// Cancels what is late, while others wait for its room.
void CancelLate(State& state);

// Cancels something of a lower tier for a waiting request that is about to
// miss its last start.
void Preempt(State& state, WaitIndex index, bool for_power);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_PREEMPT_H_
