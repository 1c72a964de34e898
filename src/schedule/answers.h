// What comes back from the servers, and what is learnt from it.

#ifndef GENTIANLB_SCHEDULE_ANSWERS_H_
#define GENTIANLB_SCHEDULE_ANSWERS_H_

#include "schedule/state.h"

namespace gentianlb::schedule {

// A request that another dispatcher granted.
void TakeOver(State& state, const RequestRunning& event);

void Streamed(State& state, const TokensStreamed& event);
void Ended(State& state, const RequestEnded& event);

// Cuts the windows of servers whose first tokens are long overdue: a server
// that hangs gives no slow answer to learn from, only none.
void NoticeSilence(State& state);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_ANSWERS_H_
