// The dispatcher of one service in one availability zone: order, refusal,
// window per server, choice of server and power, driven by events.

#ifndef GENTIANLB_SCHEDULE_DISPATCHER_H_
#define GENTIANLB_SCHEDULE_DISPATCHER_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

// What does not change while a dispatcher lives.
struct DispatcherOptions {
  Weights weights;
  std::uint64_t seed = 1;  // Spreads the come-back times.
  bool operator==(const DispatcherOptions&) const = default;
};

// Not thread-safe: owned by one thread.
class Dispatcher {
 public:
  explicit Dispatcher(const DispatcherOptions& options);

  // Takes one event at `now`, which never goes back, and appends what it leads
  // to. Events about an unknown request or server are ignored: they come late.
  void Handle(const Event& event, absl::Time now,
              std::vector<Decision>* decisions);

  // When TimePassed is due at the latest.
  absl::Time NextWakeup() const;

 private:
  DispatcherOptions options_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_DISPATCHER_H_
