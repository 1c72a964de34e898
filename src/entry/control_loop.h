// The control thread: the one thread that owns an entry host's state. Others
// post closures to it; it runs them in order and drives the timer service.

#ifndef GENTIANLB_ENTRY_CONTROL_LOOP_H_
#define GENTIANLB_ENTRY_CONTROL_LOOP_H_

#include <functional>
#include <thread>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/timer_service.h"

namespace gentianlb::entry {

class ControlLoop {
 public:
  using Closure = std::function<void()>;

  ControlLoop() = default;
  ~ControlLoop() { Stop(); }
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  void Start();

  // Runs what is already posted, then ends the thread. Later posts are dropped.
  void Stop();

  // Thread-safe.
  void Post(Closure closure);

  // The wall clock at the start of the process, moved on by the monotonic
  // clock: a wall clock that is set must neither stop the timers nor make a
  // lease seem to last longer. Thread-safe.
  static absl::Time MonotonicNow();

  // For the control thread only.
  TimerService& timers() { return timers_; }

  // The time that the closures of this round share; for the control thread.
  absl::Time now() const { return now_; }

 private:
  void Run();

  absl::Mutex mutex_;
  std::vector<Closure> mailbox_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  TimerService timers_;
  absl::Time now_ = absl::InfinitePast();
  std::thread thread_;
};

// The time of the very moment, for what is checked right before an action; the
// loop's own time is that of the round.
struct LoopClock {
  absl::Time operator()() const { return ControlLoop::MonotonicNow(); }
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_CONTROL_LOOP_H_
