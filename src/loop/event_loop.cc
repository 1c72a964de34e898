#include "loop/event_loop.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <signal.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <utility>

namespace gentianlb::loop {
namespace {

// Events taken in one round; more are taken in the next.
constexpr int kEventsPerRound = 64;

// epoll counts in whole milliseconds; waiting longer than this is cut into
// parts, which costs nothing.
constexpr absl::Duration kLongestWait = absl::Minutes(1);

// The end of the pipe that a signal handler writes to.
std::atomic<int> signal_writer = -1;

extern "C" void OnSignal(int signal) {
  const int kept = errno;
  const auto byte = static_cast<unsigned char>(signal);
  // A full pipe holds enough signals to act on; nothing is lost by dropping one
  // more.
  [[maybe_unused]] const ssize_t written = write(signal_writer, &byte, 1);
  errno = kept;
}

}  // namespace

absl::Time SteadyNow() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return absl::UnixEpoch() + absl::FromChrono(since);
}

EventLoop::EventLoop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
  PCHECK(epoll_ >= 0) << "epoll_create1";
  now_ = SteadyNow();
}

EventLoop::~EventLoop() {
  if (signal_pipe_[0] >= 0) {
    for (const int signal : signals_) ::signal(signal, SIG_DFL);
    signal_writer = -1;
    close(signal_pipe_[0]);
    close(signal_pipe_[1]);
  }
  close(epoll_);
}

void EventLoop::Watch(int descriptor, std::uint32_t events,
                      SocketCallback callback) {
  auto& watcher = watchers_[descriptor];
  const int operation = watcher == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  watcher = std::make_shared<Watcher>(
      Watcher{next_generation_++, std::move(callback)});
  epoll_event event = {};
  event.events = events;
  event.data.fd = descriptor;
  if (epoll_ctl(epoll_, operation, descriptor, &event) == 0) return;
  // libcurl closes a socket and opens another of the same number in between.
  const int other = operation == EPOLL_CTL_ADD ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (epoll_ctl(epoll_, other, descriptor, &event) != 0) {
    PLOG(ERROR) << "event=watch-failed descriptor=" << descriptor;
  }
}

void EventLoop::Unwatch(int descriptor) {
  if (watchers_.erase(descriptor) == 0) return;
  // It fails when the descriptor is closed already, which ends the watch too.
  epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void EventLoop::OnSignals(const std::vector<int>& signals,
                          SignalCallback callback) {
  PCHECK(pipe2(signal_pipe_, O_CLOEXEC | O_NONBLOCK) == 0) << "pipe2";
  signal_writer = signal_pipe_[1];
  on_signal_ = std::move(callback);
  signals_ = signals;
  for (const int signal : signals) {
    struct sigaction action = {};
    action.sa_handler = &OnSignal;
    action.sa_flags = SA_RESTART;
    PCHECK(sigaction(signal, &action, nullptr) == 0) << "sigaction";
  }
  Watch(signal_pipe_[0], EPOLLIN, [this](std::uint32_t) { TakeSignals(); });
}

void EventLoop::TakeSignals() {
  std::array<unsigned char, 16> taken;
  const ssize_t count = read(signal_pipe_[0], taken.data(), taken.size());
  for (ssize_t i = 0; i < count; ++i) on_signal_(taken[i]);
}

void EventLoop::Defer(std::function<void()> closure) {
  deferred_.push_back(std::move(closure));
}

void EventLoop::RunDeferred() {
  while (!deferred_.empty()) {
    std::vector<std::function<void()>> taken;
    taken.swap(deferred_);
    for (auto& closure : taken) closure();
  }
}

int EventLoop::WaitMilliseconds() const {
  const absl::Duration left =
      std::min(timers_.NextDue() - SteadyNow(), kLongestWait);
  if (left <= absl::ZeroDuration()) return 0;
  // Rounded up, or the last part of a millisecond would be spent spinning.
  return static_cast<int>(
      absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1))));
}

void EventLoop::Run() {
  std::array<epoll_event, kEventsPerRound> events;
  stopping_ = false;
  while (true) {
    RunDeferred();
    // Also what was deferred may stop the loop, which must not wait then.
    if (stopping_) return;
    const int count =
        epoll_wait(epoll_, events.data(), kEventsPerRound, WaitMilliseconds());
    now_ = SteadyNow();
    const std::uint64_t newest = next_generation_;
    for (int i = 0; i < count; ++i) {
      const auto found = watchers_.find(events[i].data.fd);
      // An earlier callback of this round may have closed the descriptor, and
      // its number may name another socket by now.
      if (found == watchers_.end()) continue;
      if (found->second->generation >= newest) continue;
      const std::shared_ptr<Watcher> watcher = found->second;
      watcher->callback(events[i].events);
    }
    timers_.Advance(now_);
  }
}

}  // namespace gentianlb::loop
