// When a call to the platform may be sent, and what a failed one does next: the
// breaker, the rate shares, the retry budget and the bound of calls in flight
// taken together. No network, thread or clock.

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
  // Of the service, for all hosts together. "Several hundred writes and about
  // two thousand reads a second" is read as 300 and 2,000.
  double writes_per_second = 300;
  double reads_per_second = 2000;
  // What a quiet host may save up: enough for the few calls of one burst.
  absl::Duration burst = absl::Seconds(1);
  // A slow service must not collect calls without end; at 5 ms a call this
  // still carries some thousand calls a second.
  int max_in_flight = 16;
  BreakerOptions breaker;
  RetryOptions retry;
  bool operator==(const GateOptions&) const = default;
};

enum class CallKind { kRead, kWrite };

// What came back from one sending of a call.
enum class AnswerKind {
  kAnswered,     // The service decided.
  kNotApplied,   // Certain: it took no effect (503, or never sent).
  kRateLimited,  // Certain too (429): the service is up but busy.
  kLost,         // No answer: it may have taken effect.
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

class CallGate {
 public:
  explicit CallGate(GateOptions options);

  void SetHosts(int hosts);

  // Takes the room for one sending when the answer is kOpen; OnAnswer() must
  // follow. kDown: the service is out; fail at once.
  GateState TryStart(CallKind kind, absl::Time now);

  // When TryStart() is worth another try after kWait, if only time is missing.
  absl::Time NextAt(CallKind kind, absl::Time now) const;

  // Frees the room. The time at which to send the same call again, or nothing
  // when it is to fail. `retries` counts those before; `random` is in [0, 1).
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
