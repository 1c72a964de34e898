// Intake of arriving requests: derives their values, applies limits, and
// refuses or queues them. Queueing a request may shed one of a lower tier.

#ifndef GENTIANLB_SCHEDULE_INTAKE_H_
#define GENTIANLB_SCHEDULE_INTAKE_H_

#include "schedule/state.h"

namespace gentianlb::schedule {

// Queues an arriving request or refuses it. Ignores a request that is already
// waiting or running.
void OnRequestArrived(State& state, const Request& request);

// Queues a request again that was granted but certainly not sent. Refuses it if
// the attempts or the retry budget are used up, or no server is usable.
void RetryOrRefuse(State& state, WaitingRequest waiting, ServerIndex failed);

// Queues a request again that its host didn't send, since the server wants
// nothing from it. That is neither a failed attempt nor a retry.
void QueueAgain(State& state, WaitingRequest waiting);

// Refuses a request that is not in the queue, if all servers want nothing from
// its host until later than its latest start. Returns whether it was refused.
bool RefuseIfCoolingDown(State& state, const WaitingRequest& waiting);

// Returns the request with its derived values; `pool` must be the pool of its
// model. The first token deadline of a `returning` request has passed, whatever
// its entry host states.
WaitingRequest MakeWaitingRequest(const State& state, const Request& request,
                                  WorkspaceIndex workspace, PoolIndex pool,
                                  bool returning = false);

// Refuses waiting requests that no server can finish in time any more.
void RefuseExpired(State& state);

// Refuses waiting requests whose pool has no usable server left.
void RefuseUnserved(State& state);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_INTAKE_H_
