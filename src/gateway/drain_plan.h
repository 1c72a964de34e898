// The schedule of an entry host's shutdown.
//
// Callers keep sending requests until the platform has taken the host out of
// service, and later on connections that they keep open. A request that is
// accepted too late is aborted when the process exits, and its caller doesn't
// learn the outcome. So the host first refuses streams, which may last long,
// and then all requests, early enough for a refused caller to use another host.

#ifndef GENTIANLB_GATEWAY_DRAIN_PLAN_H_
#define GENTIANLB_GATEWAY_DRAIN_PLAN_H_

#include <algorithm>

#include "absl/time/time.h"

namespace gentianlb::gateway {

struct DrainPlan {
  // New streams are refused from this time on, since they may last long.
  absl::Time refuse_streams_from = absl::InfiniteFuture();
  // Idle connections are closed after a short timeout from this time on.
  // Responses carry "Connection: close" from the start of the shutdown.
  absl::Time close_idle_from = absl::InfiniteFuture();
  // No connection is accepted and every request is refused from this time on.
  absl::Time refuse_requests_from = absl::InfiniteFuture();
  // The process exits, even with requests in progress.
  absl::Time end = absl::InfiniteFuture();
  bool operator==(const DrainPlan&) const = default;
};

// Returns the schedule of a shutdown that begins at `start`. `grace` is the
// time from the signal until the process is killed.
inline DrainPlan PlanDrain(absl::Time start, absl::Duration grace) {
  // The platform checks readiness once a second and takes a host out of service
  // after two failures; new requests arrive for a moment longer.
  constexpr absl::Duration kStreamAcceptTime = absl::Seconds(3);
  constexpr absl::Duration kIdleCloseDelay = absl::Milliseconds(2500);
  // Reserved for the exit of the process.
  constexpr absl::Duration kExitReserve = absl::Milliseconds(400);
  // The longest call of a plain service: a route's timeout, 1.2 s in current
  // deployments, and a margin.
  constexpr absl::Duration kMaxCallTime = absl::Milliseconds(1300);
  DrainPlan plan;
  plan.end = start + grace - std::min(kExitReserve, grace / 4);
  plan.refuse_requests_from =
      std::max(start + grace / 2, plan.end - kMaxCallTime);
  plan.refuse_streams_from =
      std::min(start + kStreamAcceptTime, plan.refuse_requests_from);
  plan.close_idle_from =
      std::min(start + kIdleCloseDelay, plan.refuse_requests_from);
  return plan;
}

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DRAIN_PLAN_H_
