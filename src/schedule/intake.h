// A request arrives: it is described, limited, refused at once, or put into the
// queue, for which a request of a lower tier may have to leave.

#ifndef GENTIANLB_SCHEDULE_INTAKE_H_
#define GENTIANLB_SCHEDULE_INTAKE_H_

#include "schedule/state.h"

namespace gentianlb::schedule {

void Arrive(State& state, const Request& request);

// What was granted and certainly not sent waits once more, while the budget
// for retries lasts.
void Retry(State& state, Waiting waiting, ServerIndex failed);

// The request with what is derived from it; its pool must be known.
Waiting Describe(const State& state, const Request& request,
                 WorkspaceIndex workspace, PoolIndex pool);

// Refuses what no server can finish in time any more.
void ExpireWaiting(State& state);

// Refuses what waits for a pool that has no server left.
void RefuseUnserved(State& state);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_INTAKE_H_
