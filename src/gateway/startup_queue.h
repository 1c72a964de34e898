// Holds requests that arrive before the host has its configuration and servers.
//
// Load pattern: all hosts are killed and restarted. Their callers reconnect at
// once, and about 30 requests reach each host in the 20 ms until the table
// service has answered. Refused callers would retry too late; a delay of 20 ms
// is not noticeable.

#ifndef GENTIANLB_GATEWAY_STARTUP_QUEUE_H_
#define GENTIANLB_GATEWAY_STARTUP_QUEUE_H_

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/timer_service.h"
#include "gateway/messages.h"
#include "http/messages.h"

namespace gentianlb::gateway {

class StartupQueue {
 public:
  using Responder = std::shared_ptr<http::Responder>;
  using Accept = std::function<void(CallerRequest, Responder)>;

  // `accept` receives every request in the end, even if the host is not ready.
  StartupQueue(TimerService* timers, std::function<absl::Time()> clock,
               Accept accept)
      : timers_(timers), clock_(std::move(clock)), accept_(std::move(accept)) {}
  ~StartupQueue() { timers_->Cancel(timeout_timer_); }
  StartupQueue(const StartupQueue&) = delete;
  StartupQueue& operator=(const StartupQueue&) = delete;

  // Holds the request until Release(), or until kMaxHoldTime after the first
  // one. Passes it on at once if the queue is full or has timed out.
  void Hold(CallerRequest request, Responder responder) {
    // Latency objectives in current deployments are 150 ms and more. A table
    // service without a response after this time is unavailable.
    constexpr absl::Duration kMaxHoldTime = absl::Milliseconds(120);
    constexpr std::size_t kMaxHeldRequests = 500;
    if (held_.size() >= kMaxHeldRequests || timed_out_) {
      return accept_(std::move(request), std::move(responder));
    }
    held_.emplace_back(std::move(request), std::move(responder));
    if (timeout_timer_ != 0) return;
    timeout_timer_ = timers_->At(clock_() + kMaxHoldTime, [this](absl::Time) {
      timed_out_ = true;
      Release();
    });
  }

  // Passes on all held requests in the order of their arrival.
  void Release() {
    timers_->Cancel(timeout_timer_);
    std::vector<std::pair<CallerRequest, Responder>> released;
    released.swap(held_);
    for (auto& [request, responder] : released) {
      accept_(std::move(request), std::move(responder));
    }
  }

  std::size_t held() const { return held_.size(); }

 private:
  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  const Accept accept_;
  std::vector<std::pair<CallerRequest, Responder>> held_;
  TimerId timeout_timer_ = 0;
  bool timed_out_ = false;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_STARTUP_QUEUE_H_
