// One thread that waits for sockets, signals and timers and runs what they
// call. A small host has a part of one core: handing a request from thread to
// thread costs two wake-ups each way there, and a loop costs none.

#ifndef GENTIANLB_LOOP_EVENT_LOOP_H_
#define GENTIANLB_LOOP_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/timer_service.h"

namespace gentianlb::loop {

// Time that never jumps: the steady clock, shown as a time so that it can be
// compared. Only differences mean anything.
absl::Time SteadyNow();

// Not thread-safe; everything runs on the thread that calls Run().
class EventLoop {
 public:
  // `events` as epoll reports them.
  using SocketCallback = std::function<void(std::uint32_t events)>;
  using SignalCallback = std::function<void(int signal)>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Calls `callback` whenever one of `events` is reported for `descriptor`.
  // Watching again changes both.
  void Watch(int descriptor, std::uint32_t events, SocketCallback callback);
  // Also when nothing watches it.
  void Unwatch(int descriptor);

  // Calls `callback` on this thread after one of `signals` has come. At most
  // one call of it stands in a process.
  void OnSignals(const std::vector<int>& signals, SignalCallback callback);

  // Runs `closure` before the loop next waits, after what runs now has ended:
  // for whoever must not destroy itself or its caller at once.
  void Defer(std::function<void()> closure);

  // Until Stop() is called.
  void Run();
  void Stop() { stopping_ = true; }

  TimerService& timers() { return timers_; }
  // When this round of events began.
  absl::Time now() const { return now_; }

 private:
  void RunDeferred();
  int WaitMilliseconds() const;
  void TakeSignals();

  struct Watcher {
    std::uint64_t generation = 0;
    SocketCallback callback;
  };

  int epoll_ = -1;
  int signal_pipe_[2] = {-1, -1};
  SignalCallback on_signal_;
  std::vector<int> signals_;
  std::uint64_t next_generation_ = 1;
  absl::flat_hash_map<int, std::shared_ptr<Watcher>> watchers_;
  std::vector<std::function<void()>> deferred_;
  TimerService timers_;
  absl::Time now_;
  bool stopping_ = false;
};

}  // namespace gentianlb::loop

#endif  // GENTIANLB_LOOP_EVENT_LOOP_H_
