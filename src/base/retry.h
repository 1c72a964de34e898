// When a failed call is sent again: a budget over all calls, and a jittered
// delay for each.

#ifndef GENTIANLB_BASE_RETRY_H_
#define GENTIANLB_BASE_RETRY_H_

#include "absl/time/time.h"

namespace gentianlb {

struct RetryOptions {
  // Retries add at most this part to the load of a failing service. Whether a
  // call counts when it is sent or when it succeeds is the user's choice.
  double retries_per_call = 0.1;
  // A tenth is a usual figure for retry budgets. A host with few calls may
  // still retry this often in a row, which rides over one failed server.
  double max_saved_retries = 10;
  absl::Duration first_delay = absl::Milliseconds(20);
  absl::Duration max_delay = absl::Seconds(1);
  bool operator==(const RetryOptions&) const = default;
};

// Every caller that repeats three times makes a slow service four times slower,
// and it stays down after its cause is gone. One would notice an outage that
// outlives its repair. The budget bounds retries by the calls that went before.
class RetryBudget {
 public:
  explicit RetryBudget(RetryOptions options)
      : options_(options), saved_(options.max_saved_retries) {}

  void OnCall();
  // Takes one retry; false when there is none left.
  bool Take();
  // What may be saved up changes, as when a bound is divided among more users.
  void SetMaxSavedRetries(double most);

 private:
  RetryOptions options_;
  double saved_;
};

// The delay before retry number `retry`, from 0. `random` lies in [0, 1); the
// whole delay is drawn, so that hosts that failed together come back apart.
absl::Duration RetryDelay(const RetryOptions& options, int retry,
                          double random);

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_RETRY_H_
