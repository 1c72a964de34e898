// Measures the pauses between the events of a stream as they arrive.

#ifndef GENTIANLB_GATEWAY_PAUSE_METER_H_
#define GENTIANLB_GATEWAY_PAUSE_METER_H_

#include <algorithm>

#include "absl/time/time.h"
#include "schedule/messages.h"

namespace gentianlb::gateway {

class PauseMeter {
 public:
  // Records that `count` events arrived together.
  void OnEvents(int count, absl::Time now) {
    if (count <= 0) return;
    if (events_ == 0) first_ = now;
    if (events_ > 0) longest_ = std::max(longest_, now - last_);
    last_ = now;
    events_ += count;
  }

  absl::Duration longest() const { return longest_; }

  schedule::EventPauses pauses() const {
    schedule::EventPauses pauses{.longest = longest_};
    const int others = events_ - 2;  // Pauses without the longest one.
    if (others > 0) pauses.typical = (last_ - first_ - longest_) / others;
    return pauses;
  }

 private:
  int events_ = 0;
  absl::Time first_;
  absl::Time last_;
  absl::Duration longest_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_PAUSE_METER_H_
