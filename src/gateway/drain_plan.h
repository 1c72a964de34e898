// What an entry host does how long after it was told to stop.
//
// What goes wrong: callers come until the platform has noticed, on connections
// that they keep also later, and some requests last as long as the process may
// still live. One that is taken too late is cut when the process ends, and its
// caller never learns what became of it. So what may last is refused first,
// then everything, while a refusal still reaches its caller in time to go
// elsewhere.

#ifndef GENTIANLB_GATEWAY_DRAIN_PLAN_H_
#define GENTIANLB_GATEWAY_DRAIN_PLAN_H_

#include <algorithm>

#include "absl/time/time.h"

namespace gentianlb::gateway {

struct DrainPlan {
  // From here on streams are refused, which may last.
  absl::Time no_streams_from = absl::InfiniteFuture();
  // From here on connections without a request are closed soon. Those in use
  // are told to close with their next answer from the beginning.
  absl::Time close_idle_from = absl::InfiniteFuture();
  // From here on no connection is taken and every request refused.
  absl::Time no_requests_from = absl::InfiniteFuture();
  // The process ends, whatever is still in progress.
  absl::Time end = absl::InfiniteFuture();
  bool operator==(const DrainPlan&) const = default;
};

// `grace` is the time from the signal until the process is killed.
inline DrainPlan PlanDrain(absl::Time began, absl::Duration grace) {
  // The platform asks once a second and takes a host out after two misses;
  // callers come for a moment longer.
  constexpr absl::Duration kCallersCome = absl::Seconds(3);
  constexpr absl::Duration kIdleFrom = absl::Milliseconds(2500);
  // Left for the exit itself.
  constexpr absl::Duration kExit = absl::Milliseconds(400);
  // A call of a plain service may take as long as its route allows, which is
  // 1.2 s in today's deployments.
  constexpr absl::Duration kLongestCall = absl::Milliseconds(1300);
  DrainPlan plan;
  plan.end = began + grace - std::min(kExit, grace / 4);
  plan.no_requests_from = std::max(began + grace / 2, plan.end - kLongestCall);
  plan.no_streams_from = std::min(began + kCallersCome, plan.no_requests_from);
  plan.close_idle_from = std::min(began + kIdleFrom, plan.no_requests_from);
  return plan;
}

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DRAIN_PLAN_H_
