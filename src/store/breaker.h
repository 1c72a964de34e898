// Circuit breaker for calls to a failing service.

#ifndef GENTIANLB_STORE_BREAKER_H_
#define GENTIANLB_STORE_BREAKER_H_

#include <compare>
#include <cstdint>

#include "absl/time/time.h"

namespace gentianlb::store {

struct BreakerOptions {
  // Consecutive failures that count as an outage. A single lost answer is
  // normal. At ten calls a second, five failures take half a second.
  int failures_to_open = 5;
  // Interval of the probes: the maximum delay until a recovery is detected.
  absl::Duration open_time = absl::Seconds(1);
  bool operator==(const BreakerOptions&) const = default;
};

// Rejects calls at once during an outage and admits a single probe call per
// open_time to detect the recovery. Without it every call would wait for its
// timeout: queues fill, and requests are refused only after seconds.
class Breaker {
 public:
  explicit Breaker(BreakerOptions options) : options_(options) {}

  // Returns whether a call may be sent now. An admitted call must be followed
  // by OnSuccess(), OnFailure() or OnInconclusive().
  bool Allow(absl::Time now);

  void OnSuccess();
  void OnFailure(absl::Time now);
  // The result says nothing about the service's health, for example a refusal
  // by its rate limit.
  void OnInconclusive() { probing_ = false; }

  bool up() const { return failures_ < options_.failures_to_open; }
  // While Allow() returns false: the time from which it may return true.
  absl::Time RetryAt() const { return retry_at_; }
  std::uint64_t times_opened() const { return times_opened_; }

 private:
  BreakerOptions options_;
  int failures_ = 0;
  bool probing_ = false;
  absl::Time retry_at_ = absl::InfinitePast();
  std::uint64_t times_opened_ = 0;
};

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_BREAKER_H_
