// Requests that come before the host knows a configuration and servers.
//
// Load pattern: all hosts are killed and restarted. Their callers come back in
// the same moment, and the first 20 ms, until the table service has answered,
// bring some 30 requests to each host. Refused, they come back later and are
// late; held that long, nobody notices.

#ifndef GENTIANLB_GATEWAY_EARLY_REQUESTS_H_
#define GENTIANLB_GATEWAY_EARLY_REQUESTS_H_

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/timer_service.h"
#include "gateway/messages.h"
#include "http/server.h"

namespace gentianlb::gateway {

class EarlyRequests {
 public:
  using Responder = std::shared_ptr<http::Responder>;
  using Accept = std::function<void(CallerRequest, Responder)>;

  // `accept` takes a request in the end, whether the host is ready or not.
  EarlyRequests(TimerService* timers, std::function<absl::Time()> clock,
                Accept accept)
      : timers_(timers), clock_(std::move(clock)), accept_(std::move(accept)) {}
  ~EarlyRequests() { timers_->Cancel(give_up_); }
  EarlyRequests(const EarlyRequests&) = delete;
  EarlyRequests& operator=(const EarlyRequests&) = delete;

  // Until Release(), but not for long, and not many.
  void Hold(CallerRequest request, Responder responder) {
    // An objective of today's deployments is 150 ms and more; a table service
    // that has not answered after this time is away.
    constexpr absl::Duration kLongest = absl::Milliseconds(120);
    constexpr std::size_t kMost = 500;
    if (held_.size() >= kMost || gave_up_) {
      return accept_(std::move(request), std::move(responder));
    }
    held_.emplace_back(std::move(request), std::move(responder));
    if (give_up_ != 0) return;
    give_up_ = timers_->At(clock_() + kLongest, [this](absl::Time) {
      gave_up_ = true;
      Release();
    });
  }

  // Passes on all that are held, in the order of their arrival.
  void Release() {
    timers_->Cancel(give_up_);
    std::vector<std::pair<CallerRequest, Responder>> taken;
    taken.swap(held_);
    for (auto& [request, responder] : taken) {
      accept_(std::move(request), std::move(responder));
    }
  }

  std::size_t held() const { return held_.size(); }

 private:
  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  const Accept accept_;
  std::vector<std::pair<CallerRequest, Responder>> held_;
  TimerId give_up_ = 0;
  bool gave_up_ = false;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_EARLY_REQUESTS_H_
