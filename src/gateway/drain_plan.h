// The schedule of an entry host's shutdown.
//
// Callers keep sending requests until the platform has taken the host out of
// service, and later on connections that they keep open. A request that is
// still open when the process exits has no answer, and its caller doesn't learn
// whether it has run. So once the platform had time to direct callers to other
// hosts, the host accepts only requests whose deadline comes before its end.

#ifndef GENTIANLB_GATEWAY_DRAIN_PLAN_H_
#define GENTIANLB_GATEWAY_DRAIN_PLAN_H_

#include <algorithm>

#include "absl/time/time.h"

namespace gentianlb::gateway {

struct DrainPlan {
  // Requests that arrive before are accepted even if their deadline comes after
  // `answer_all`, since most end much sooner.
  absl::Time accept_all_until = absl::InfiniteFuture();
  // Idle connections are closed after a short timeout from this time on.
  // Responses carry "Connection: close" from the start of the shutdown.
  absl::Time close_idle_from = absl::InfiniteFuture();
  // No connection is accepted from this time on, and each request without an
  // answer gets its final one.
  absl::Time answer_all = absl::InfiniteFuture();
  // The process exits, even with streams and slow readers in progress.
  absl::Time end = absl::InfiniteFuture();

  // Returns whether a request that arrives at `now` is accepted. `deadline`:
  // the earlier of its caller's and its route's.
  bool Accepts(absl::Time now, absl::Time deadline) const {
    return now < accept_all_until || deadline < answer_all;
  }
  bool operator==(const DrainPlan&) const = default;
};

// Returns the schedule of a shutdown that begins at `start`. `grace` is the
// time from the signal until the process is killed.
inline DrainPlan PlanDrain(absl::Time start, absl::Duration grace) {
  // The platform checks readiness once a second and takes a host out of service
  // after two failures; new requests arrive for a moment longer.
  constexpr absl::Duration kRemovalTime = absl::Seconds(3);
  constexpr absl::Duration kIdleCloseDelay = absl::Milliseconds(2500);
  // Reserved for sending the last answers, and for the exit of the process.
  constexpr absl::Duration kSendReserve = absl::Milliseconds(150);
  constexpr absl::Duration kExitReserve = absl::Milliseconds(400);
  DrainPlan plan;
  plan.end = start + grace - std::min(kExitReserve, grace / 4);
  plan.answer_all = plan.end - std::min(kSendReserve, grace / 8);
  plan.accept_all_until = start + std::min(kRemovalTime, grace / 2);
  plan.close_idle_from =
      std::min(start + kIdleCloseDelay, plan.accept_all_until);
  return plan;
}

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DRAIN_PLAN_H_
