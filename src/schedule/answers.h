// Handles progress and results of running requests, and learns server speeds,
// output lengths and cache contents from them.

#ifndef GENTIANLB_SCHEDULE_ANSWERS_H_
#define GENTIANLB_SCHEDULE_ANSWERS_H_

#include "schedule/state.h"

namespace gentianlb::schedule {

// Adds a running request that another dispatcher granted.
void AdoptRunning(State& state, const RequestRunning& event);

// Records that more tokens of a running request were streamed.
// Applies a limit that a server named to peers.
void OnPeerLimitReported(State& state, const PeerLimitReported& event);

void OnRequestDelayed(State& state, const RequestDelayed& event);
void OnTokensStreamed(State& state, const TokensStreamed& event);

// Frees the capacity of a finished request and learns from its outcome. A
// request that was not sent is queued again or refused.
void OnRequestFinished(State& state, const RequestFinished& event);

// Reduces the windows of servers whose first tokens are overdue. A server that
// hangs sends no slow response to learn from, so only the missing response
// shows it.
void PenalizeOverdueServers(State& state);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_ANSWERS_H_
