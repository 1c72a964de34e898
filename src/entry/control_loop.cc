#include "entry/control_loop.h"

#include <chrono>
#include <utility>

#include "absl/time/clock.h"

namespace gentianlb::entry {

absl::Time ControlLoop::MonotonicNow() {
  using Steady = std::chrono::steady_clock;
  static const absl::Time wall_start = absl::Now();
  static const Steady::time_point steady_start = Steady::now();
  return wall_start + absl::FromChrono(Steady::now() - steady_start);
}

void ControlLoop::Start() {
  now_ = MonotonicNow();
  thread_ = std::thread([this] { Run(); });
}

void ControlLoop::Stop() {
  if (!thread_.joinable()) return;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
}

void ControlLoop::Post(Closure closure) {
  absl::MutexLock lock(&mutex_);
  if (!stopping_) mailbox_.push_back(std::move(closure));
}

void ControlLoop::Run() {
  std::vector<Closure> taken;
  while (true) {
    {
      auto awake = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
        return stopping_ || !mailbox_.empty();
      };
      absl::MutexLock lock(&mutex_);
      mutex_.AwaitWithTimeout(absl::Condition(&awake),
                              timers_.NextDue() - MonotonicNow());
      taken.swap(mailbox_);
      if (taken.empty() && stopping_) return;
    }
    now_ = MonotonicNow();
    for (Closure& closure : taken) closure();
    taken.clear();
    timers_.Advance(now_);
  }
}

}  // namespace gentianlb::entry
