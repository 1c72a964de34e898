// Decides when a call to the platform may be sent and when a failed call is
// retried. Combines the breaker, the rate shares, the retry budget and the
// limit of calls in flight. Uses no network, thread or clock.

#ifndef GENTIANLB_STORE_CALL_GATE_H_
#define GENTIANLB_STORE_CALL_GATE_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "base/retry.h"
#include "store/breaker.h"
#include "store/rate_share.h"

namespace gentianlb::store {

struct GateOptions {
  // Rate limits of the service for all hosts together. The platform states them
  // as several hundred writes and about two thousand reads a second.
  double writes_per_second = 300;
  double reads_per_second = 2000;
  // An idle host keeps its unused share of this time for a burst of calls.
  absl::Duration burst = absl::Seconds(1);
  // Bounds the calls at a slow service. At 5 ms a call, 16 calls in flight
  // allow about three thousand calls a second.
  int max_in_flight = 16;
  BreakerOptions breaker;
  RetryOptions retry;
  bool operator==(const GateOptions&) const = default;
};

enum class CallKind { kRead, kWrite };

// Result of one attempt of a call.
enum class AnswerKind {
  kAnswered,     // The service processed the call.
  kNotApplied,   // Certainly took no effect (503, or never sent).
  kRateLimited,  // Certainly took no effect (429); the service is up.
  kLost,         // No answer: the call may have taken effect.
};

enum class GateState { kOpen, kWait, kDown };

struct GateCounters {
  std::uint64_t sent = 0;
  std::uint64_t retried = 0;
  std::uint64_t lost = 0;
  std::uint64_t rate_limited = 0;
  std::uint64_t not_applied = 0;
  auto operator<=>(const GateCounters&) const = default;
};

// Admits the calls of one host to the platform.
class CallGate {
 public:
  explicit CallGate(GateOptions options);

  // Sets the number of hosts that share the service, this one included.
  void SetHosts(int hosts);

  // Reserves a slot for one attempt and returns kOpen, or returns kWait, or
  // kDown when the service is down and the call must fail at once. OnAnswer()
  // must follow kOpen.
  GateState TryStart(CallKind kind, absl::Time now);

  // Returns when the rate share next admits a call, or InfiniteFuture() while
  // too many calls are in flight.
  absl::Time NextAt(CallKind kind, absl::Time now) const;

  // Frees the slot. Returns when to send the same call again, or nothing if the
  // call is done or must fail. `retries` is the number of earlier retries;
  // `random` is in [0, 1).
  std::optional<absl::Time> OnAnswer(AnswerKind answer, int retries,
                                     absl::Time now, double random);

  bool up() const { return breaker_.up(); }
  const GateCounters& counters() const { return counters_; }

 private:
  RateShare& ShareFor(CallKind kind) {
    return kind == CallKind::kRead ? reads_ : writes_;
  }

  GateOptions options_;
  Breaker breaker_;
  RateShare reads_;
  RateShare writes_;
  RetryBudget budget_;
  int in_flight_ = 0;
  GateCounters counters_;
};

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_CALL_GATE_H_
