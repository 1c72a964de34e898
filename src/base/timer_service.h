// One-shot and periodic timers, driven by Advance() from the control thread.
// The service reads no clock, so that tests can set the time and get the same
// order of callbacks in each run.

#ifndef GENTIANLB_BASE_TIMER_SERVICE_H_
#define GENTIANLB_BASE_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace gentianlb {

// Identifies a timer; 0 identifies none.
using TimerId = std::uint64_t;

// Not thread-safe: owned by the control thread.
class TimerService {
 public:
  using Callback = std::function<void(absl::Time now)>;

  // Calls `callback` once, at the first Advance() at or after `when`.
  TimerId At(absl::Time when, Callback callback);

  // Calls `callback` at `first` and then every `period`. Periods missed while
  // the process was paused are skipped: a burst of overdue heartbeats or
  // renewals would act on outdated state.
  TimerId Every(absl::Time first, absl::Duration period, Callback callback);

  // Cancels a timer. Does nothing if it has fired or never existed.
  void Cancel(TimerId id);

  // Fires all timers due at `now`, ordered by time and then by creation.
  void Advance(absl::Time now);

  // Returns when the next timer is due; InfiniteFuture() if there is none.
  absl::Time NextDue() const;

 private:
  struct Entry {
    absl::Time due;
    absl::Duration period;  // Zero for a one-shot timer.
    Callback callback;
  };

  std::uint64_t next_id_ = 1;
  std::map<std::pair<absl::Time, TimerId>, Entry> entries_;
  absl::flat_hash_map<TimerId, absl::Time> due_by_id_;
};

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_TIMER_SERVICE_H_
