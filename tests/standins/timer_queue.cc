#include "standins/timer_queue.h"

#include <utility>

#include "absl/time/clock.h"

namespace gentianlb::standins {

TimerQueue::TimerQueue() : thread_([this] { Run(); }) {}

TimerQueue::~TimerQueue() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.Signal();
  }
  thread_.join();
}

void TimerQueue::After(absl::Duration delay, std::function<void()> closure) {
  if (delay <= absl::ZeroDuration()) {
    closure();
    return;
  }
  absl::MutexLock lock(&mutex_);
  due_.emplace(absl::Now() + delay, std::move(closure));
  changed_.Signal();
}

void TimerQueue::Run() {
  absl::MutexLock lock(&mutex_);
  while (!stopping_) {
    absl::Time next =
        due_.empty() ? absl::InfiniteFuture() : due_.begin()->first;
    if (next > absl::Now()) {
      changed_.WaitWithDeadline(&mutex_, next);
      continue;
    }
    std::function<void()> closure = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    mutex_.Unlock();
    closure();
    mutex_.Lock();
  }
}

}  // namespace gentianlb::standins
