// Work in tokens, the common measure for fairness, backlog and drain rate.

#ifndef GENTIANLB_SCHEDULE_WORK_H_
#define GENTIANLB_SCHEDULE_WORK_H_

#include <algorithm>

#include "schedule/messages.h"

namespace gentianlb::schedule {

// A token of a prompt keeps an engine about a tenth as long as one of output,
// since prompts are computed in parallel.
inline constexpr double kPromptTokenWork = 0.1;

// A call of a plain service has no tokens and counts as one.
inline double WorkOf(int prompt_tokens, double output_tokens) {
  return std::max(1.0, kPromptTokenWork * prompt_tokens + output_tokens);
}

// Work that a server can do in a second with a full window, as configured; a
// first guess for the drain rate. A full batch runs at about half the pace of
// a stream alone.
inline double CapacityOf(const ServerSpec& spec) {
  constexpr double kFullBatchPace = 0.5;
  constexpr double kPlainCallsPerStream = 20;
  const double stream = spec.decode_tokens_per_second > 0
                            ? spec.decode_tokens_per_second * kFullBatchPace
                            : kPlainCallsPerStream;
  return stream * std::max(1, spec.max_streams);
}

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_WORK_H_
