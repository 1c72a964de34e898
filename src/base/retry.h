// Retries of failed calls: a budget for all calls of a service, and a jittered
// delay for each retry.

#ifndef GENTIANLB_BASE_RETRY_H_
#define GENTIANLB_BASE_RETRY_H_

#include "absl/time/time.h"

namespace gentianlb {

struct RetryOptions {
  // Maximum load, as a fraction of the calls, that retries add to a failing
  // service. The caller of OnCall() decides whether sent or successful calls
  // count.
  double retries_per_call = 0.1;
  // Maximum number of retries in a row. A host with few calls can still retry
  // this often, which is enough when one server fails.
  double max_saved_retries = 10;
  absl::Duration first_delay = absl::Milliseconds(20);
  absl::Duration max_delay = absl::Seconds(1);
  bool operator==(const RetryOptions&) const = default;
};

// Limits retries to a fraction of the preceding calls. Without a limit, callers
// that each retry three times put four times the load on a slow service, and
// the outage continues after its cause is repaired.
class RetryBudget {
 public:
  explicit RetryBudget(RetryOptions options)
      : options_(options), saved_(options.max_saved_retries) {}

  // Records a call, which adds `retries_per_call` to the budget.
  void OnCall();
  // Takes one retry from the budget; returns false if none is left.
  bool Take();
  // Returns a retry that was taken and not made.
  void Refund();
  // Sets the maximum budget, for example when more users share a limit.
  void SetMaxSavedRetries(double max_saved_retries);

 private:
  RetryOptions options_;
  double saved_;
};

// Returns the delay before retry number `retry`, counted from 0: `random`,
// which is in [0, 1), times the exponential backoff (full jitter). Hosts that
// failed together thus retry at different times.
absl::Duration RetryDelay(const RetryOptions& options, int retry,
                          double random);

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_RETRY_H_
