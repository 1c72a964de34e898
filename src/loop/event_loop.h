// An event loop that waits for sockets, signals and timers and runs their
// callbacks on one thread. A small host has a fraction of one core, where
// passing a request between threads costs two wake-ups each way; a loop costs
// none.

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

// Returns the time of the steady clock, which never jumps. Only differences are
// meaningful: the value is not the time of day.
absl::Time SteadyNow();

// Not thread-safe; all callbacks run on the thread that calls Run().
class EventLoop {
 public:
  // `events`: epoll event flags.
  using SocketCallback = std::function<void(std::uint32_t events)>;
  using SignalCallback = std::function<void(int signal)>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Calls `callback` whenever epoll reports one of `events` for `descriptor`. A
  // second call for the same descriptor replaces events and callback.
  void Watch(int descriptor, std::uint32_t events, SocketCallback callback);
  // Stops watching `descriptor`. Does nothing if it isn't watched.
  void Unwatch(int descriptor);

  // Calls `callback` on this thread after one of `signals` has been received.
  // May be used by one event loop per process, once.
  void SetSignalCallback(const std::vector<int>& signals,
                         SignalCallback callback);

  // Runs `closure` after the current callback has returned, before the loop
  // waits again: for objects that must not destroy themselves or their caller
  // within a callback.
  void Defer(std::function<void()> closure);

  // Runs until Stop() is called.
  void Run();
  void Stop() { stopping_ = true; }

  TimerService& timers() { return timers_; }
  // Returns the time at which the current round of events began.
  absl::Time now() const { return now_; }

 private:
  void RunDeferred();
  int WaitMilliseconds() const;
  void HandleSignals();

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
