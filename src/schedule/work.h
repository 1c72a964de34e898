// Work in tokens: the common unit of fairness, backlog and drain rate.

#ifndef GENTIANLB_SCHEDULE_WORK_H_
#define GENTIANLB_SCHEDULE_WORK_H_

#include <algorithm>

#include "schedule/messages.h"

namespace gentianlb::schedule {

// Work of a prompt token relative to an output token. Prompt tokens are
// computed in parallel and occupy an engine for about a tenth of the time.
inline constexpr double kPromptTokenWork = 0.1;

// Returns the work of a request. A call of a plain service has no tokens and
// counts as 1.
inline double RequestWork(int prompt_tokens, double output_tokens) {
  return std::max(1.0, kPromptTokenWork * prompt_tokens + output_tokens);
}

// Returns the work per second that a server does with a full window, according
// to its configuration: the initial value of the drain rate. A stream in a full
// batch runs at about half the speed of a single stream.
inline double ServerCapacity(const ServerSpec& spec) {
  constexpr double kFullBatchSpeedFraction = 0.5;
  constexpr double kPlainCallsPerStreamSecond = 20;
  const double stream =
      spec.decode_tokens_per_second > 0
          ? spec.decode_tokens_per_second * kFullBatchSpeedFraction
          : kPlainCallsPerStreamSecond;
  return stream * std::max(1, spec.max_streams);
}

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_WORK_H_
