// Early refusal: decides whether a request is refused on arrival, and when its
// caller should retry.
//
// Load pattern: overload. A queue that accepts everything makes every request
// late: the caller has disconnected before its request is granted, and the work
// is wasted. An early refusal costs little. If all refused callers retried
// after the same time, they would cause the next burst, so the retry times are
// spread.
//
// The expected wait is the work ahead divided by the drain rate: the work
// granted per second while requests waited, with the configured capacity as the
// initial value. The work ahead is that of higher tiers and, within the same
// tier, what fair queueing serves first. Work of lower tiers never counts.
//
// Steady arrivals of higher tiers take most of a pool's drain rate. Judged by
// that rate alone, a request of a lower tier would be accepted, wait until
// shortly before its first token deadline, and then be refused. Therefore
// requests with such a deadline are also checked against the drain rate of
// their own lane, which is what higher tiers leave.

#ifndef GENTIANLB_SCHEDULE_REFUSE_H_
#define GENTIANLB_SCHEDULE_REFUSE_H_

#include <cstdint>
#include <random>
#include <vector>

#include "absl/time/time.h"
#include "schedule/index.h"

namespace gentianlb::schedule {

// Measures the work granted per second while there is a backlog, for a pool or
// for one lane. The rate of a lane is what higher tiers leave to it.
class DrainRate {
 public:
  struct Smoothing {
    double time_constant_seconds;  // Decay of old measurements.
    double initial_seconds;  // Weight of the initial rate, as measuring time.
  };
  // Long compared to the gaps between grants, short compared to an overload or
  // a power drop.
  static constexpr Smoothing kPoolSmoothing = {10, 2};
  // What higher tiers leave to a lane changes with each of their bursts.
  static constexpr Smoothing kLaneSmoothing = {2, 0.2};

  explicit DrainRate(Smoothing smoothing = kPoolSmoothing)
      : smoothing_(smoothing) {}

  // Starts or ends a backlog.
  void SetBacklog(bool backlog, absl::Time now);
  // Records granted work. Work granted without a backlog is ignored, as it says
  // nothing about the rate.
  void RecordGrant(double work, absl::Time now);
  // Returns the rate in work per second; `capacity` is the initial value.
  double PerSecond(double capacity, absl::Time now) const;

 private:
  void Advance(absl::Time now);

  Smoothing smoothing_;
  double granted_work_ = 0;
  double backlog_seconds_ = 0;
  bool backlog_ = false;
  absl::Time backlog_since_;
  absl::Time advanced_at_;
};

// Input of an early refusal; all times are seconds from now.
struct AdmissionEstimate {
  double wait_seconds = 0;     // Until the request is granted.
  double service_seconds = 0;  // On the fastest idle server.
  double deadline_seconds = 0;
  bool limited = false;  // All servers name request limits: the wait is known.
  // The caller has no chance later either, so it is judged without the usual
  // tolerance: a refusal after a wait in vain costs it most.
  bool exact = false;
  auto operator<=>(const AdmissionEstimate&) const = default;
};

// Returns whether even an idle system would miss the deadline.
bool DeadlineUnreachable(const AdmissionEstimate& estimate);

// Returns whether the request would miss its deadline because of the backlog.
bool BacklogTooLong(const AdmissionEstimate& estimate);

// Adds jitter to retry times, so that refused callers don't all retry at once.
// Unlike the standard library's distributions, the same seed gives the same
// times on every platform.
class RetryAfterJitter {
 public:
  // No retry time is below `min_retry_after`.
  RetryAfterJitter(std::uint64_t seed, absl::Duration min_retry_after)
      : random_(seed), min_seconds_(absl::ToDoubleSeconds(min_retry_after)) {}

  // Returns the retry time for a backlog of `seconds`.
  absl::Duration RetryAfter(double seconds);

  // Returns a random number in [0, 1).
  double Uniform();

 private:
  std::mt19937_64 random_;
  double min_seconds_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_REFUSE_H_
