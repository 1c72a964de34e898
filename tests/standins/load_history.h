// A server's report of its load, shown as it was some time ago.

#ifndef GENTIANLB_STANDINS_LOAD_HISTORY_H_
#define GENTIANLB_STANDINS_LOAD_HISTORY_H_

#include <json/json.h>

#include <cstdint>
#include <deque>

#include "absl/time/time.h"

namespace gentianlb::standins {

struct Load {
  absl::Time measured;
  std::int64_t running = 0;
  std::int64_t queued = 0;
  std::int64_t kv_used_tokens = 0;
  bool leaving = false;
};

// Not thread-safe.
class LoadHistory {
 public:
  void Add(const Load& load) {
    samples_.push_back(load);
    while (load.measured - samples_.front().measured > kKept) {
      samples_.pop_front();
    }
  }

  // The latest sample from `then` or before; without any, no load at all.
  Json::Value At(absl::Time then) const {
    Load shown{.measured = then};
    for (const Load& sample : samples_) {
      if (sample.measured <= then) shown = sample;
    }
    Json::Value report;
    report["measured"] = absl::ToUnixMicros(shown.measured);
    report["running"] = shown.running;
    report["queued"] = shown.queued;
    report["kv_used_tokens"] = shown.kv_used_tokens;
    report["leaving"] = shown.leaving;
    return report;
  }

 private:
  static constexpr absl::Duration kKept = absl::Seconds(10);
  std::deque<Load> samples_;
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_LOAD_HISTORY_H_
