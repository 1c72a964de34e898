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

// Maximum number of events per round; the rest follows in the next one.
constexpr int kMaxEventsPerRound = 64;

// Maximum duration of one epoll_wait() call, which takes an int of
// milliseconds. Longer waits take several calls.
constexpr absl::Duration kMaxWait = absl::Minutes(1);

// The end of the pipe that the signal handler writes to.
std::atomic<int> signal_pipe_writer = -1;

extern "C" void OnSignal(int signal) {
  const int saved_errno = errno;
  const auto byte = static_cast<unsigned char>(signal);
  // If the pipe is full, the signal may be dropped: enough are pending already.
  [[maybe_unused]] const ssize_t written = write(signal_pipe_writer, &byte, 1);
  errno = saved_errno;
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
    signal_pipe_writer = -1;
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
  // libcurl may have closed the socket and opened another with the same
  // descriptor in between.
  const int fallback_operation =
      operation == EPOLL_CTL_ADD ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
  if (epoll_ctl(epoll_, fallback_operation, descriptor, &event) != 0) {
    PLOG(ERROR) << "event=watch-failed descriptor=" << descriptor;
  }
}

void EventLoop::Unwatch(int descriptor) {
  if (watchers_.erase(descriptor) == 0) return;
  // Fails if the descriptor is already closed, which removes it from epoll too.
  epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void EventLoop::SetSignalCallback(const std::vector<int>& signals,
                                  SignalCallback callback) {
  PCHECK(pipe2(signal_pipe_, O_CLOEXEC | O_NONBLOCK) == 0) << "pipe2";
  signal_pipe_writer = signal_pipe_[1];
  on_signal_ = std::move(callback);
  signals_ = signals;
  for (const int signal : signals) {
    struct sigaction action = {};
    action.sa_handler = &OnSignal;
    action.sa_flags = SA_RESTART;
    PCHECK(sigaction(signal, &action, nullptr) == 0) << "sigaction";
  }
  Watch(signal_pipe_[0], EPOLLIN, [this](std::uint32_t) { HandleSignals(); });
}

void EventLoop::HandleSignals() {
  std::array<unsigned char, 16> pending;
  const ssize_t count = read(signal_pipe_[0], pending.data(), pending.size());
  for (ssize_t i = 0; i < count; ++i) on_signal_(pending[i]);
}

void EventLoop::Defer(std::function<void()> closure) {
  deferred_.push_back(std::move(closure));
}

void EventLoop::RunDeferred() {
  while (!deferred_.empty()) {
    std::vector<std::function<void()>> pending;
    pending.swap(deferred_);
    for (auto& closure : pending) closure();
  }
}

int EventLoop::WaitMilliseconds() const {
  const absl::Duration wait =
      std::min(timers_.NextDue() - SteadyNow(), kMaxWait);
  if (wait <= absl::ZeroDuration()) return 0;
  // Rounded up: otherwise the loop spins during the last fraction of a
  // millisecond.
  return static_cast<int>(
      absl::ToInt64Milliseconds(absl::Ceil(wait, absl::Milliseconds(1))));
}

void EventLoop::Run() {
  std::array<epoll_event, kMaxEventsPerRound> events;
  stopping_ = false;
  while (true) {
    RunDeferred();
    // A deferred closure may stop the loop, which must not wait then.
    if (stopping_) return;
    const int count = epoll_wait(epoll_, events.data(), kMaxEventsPerRound,
                                 WaitMilliseconds());
    now_ = SteadyNow();
    const std::uint64_t newest = next_generation_;
    for (int i = 0; i < count; ++i) {
      const auto found = watchers_.find(events[i].data.fd);
      // An earlier callback of this round may have closed the descriptor, which
      // may already belong to another socket.
      if (found == watchers_.end()) continue;
      if (found->second->generation >= newest) continue;
      const std::shared_ptr<Watcher> watcher = found->second;
      watcher->callback(events[i].events);
    }
    timers_.Advance(now_);
  }
}

}  // namespace gentianlb::loop
