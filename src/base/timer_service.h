// The timer service: parts subscribe to a point in time or a period, and the
// control thread drives it by telling it the time. It reads no clock itself, so
// that a test moves the time by hand and gets the same order of calls each run.

#ifndef GENTIANLB_BASE_TIMER_SERVICE_H_
#define GENTIANLB_BASE_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace gentianlb {

// Names one subscription; 0 names none.
using TimerId = std::uint64_t;

// Not thread-safe: owned by the control thread.
class TimerService {
 public:
  using Callback = std::function<void(absl::Time now)>;

  // Calls `callback` once, at the first Advance() at or after `when`.
  TimerId At(absl::Time when, Callback callback);

  // Calls `callback` at `first` and then every `period`. After a pause of the
  // process, missed periods are not made up: a burst of overdue heartbeats or
  // renewals would act on a picture that is no longer true.
  TimerId Every(absl::Time first, absl::Duration period, Callback callback);

  // Ends a subscription. A no-op when it has fired or never was.
  void Cancel(TimerId id);

  // Fires all that is due at `now`, by time and then by subscription order.
  void Advance(absl::Time now);

  // When the next subscription is due; InfiniteFuture() when there is none.
  absl::Time NextDue() const;

 private:
  struct Entry {
    absl::Time due;
    absl::Duration period;  // Zero when it fires once.
    Callback callback;
  };

  std::uint64_t next_id_ = 1;
  std::map<std::pair<absl::Time, TimerId>, Entry> entries_;
  absl::flat_hash_map<TimerId, absl::Time> due_by_id_;
};

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_TIMER_SERVICE_H_
