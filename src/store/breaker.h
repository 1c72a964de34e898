// A circuit breaker: decides whether a call to a failing service is worth
// sending.

#ifndef GENTIANLB_STORE_BREAKER_H_
#define GENTIANLB_STORE_BREAKER_H_

#include <compare>
#include <cstdint>

#include "absl/time/time.h"

namespace gentianlb::store {

struct BreakerOptions {
  // One lost answer is ordinary; five failures without any success between
  // them are an outage, and are seen within half a second at ten calls a
  // second.
  int failures_to_open = 5;
  // A caller waits this long at most until a returned service is noticed.
  absl::Duration open_time = absl::Seconds(1);
  bool operator==(const BreakerOptions&) const = default;
};

// In an outage every call would wait for its timeout: queues fill, and whoever
// waits for a claim learns too late that it can't get one. One would notice
// refusals that come only after seconds. The breaker answers at once, and lets
// a single call through now and then to find out when the service is back.
class Breaker {
 public:
  explicit Breaker(BreakerOptions options) : options_(options) {}

  // Whether a call may be sent now. A call that is let through must be followed
  // by OnSuccess(), OnFailure() or OnNothing().
  bool Allow(absl::Time now);

  void OnSuccess();
  void OnFailure(absl::Time now);
  // The call told nothing about the service, such as a refusal for its rate.
  void OnInconclusive() { probing_ = false; }

  bool up() const { return failures_ < options_.failures_to_open; }
  // When Allow() may next say yes, while it says no.
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
