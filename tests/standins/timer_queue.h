// Runs closures later, on a thread of its own, by the real clock.

#ifndef GENTIANLB_STANDINS_TIMER_QUEUE_H_
#define GENTIANLB_STANDINS_TIMER_QUEUE_H_

#include <functional>
#include <map>
#include <thread>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace gentianlb::standins {

class TimerQueue {
 public:
  TimerQueue();
  ~TimerQueue();  // Drops what has not run.
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  // Runs `closure` at once, on the caller's thread, when `delay` is zero.
  void After(absl::Duration delay, std::function<void()> closure);

 private:
  void Run();

  absl::Mutex mutex_;
  absl::CondVar changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::multimap<absl::Time, std::function<void()>> due_ ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_TIMER_QUEUE_H_
