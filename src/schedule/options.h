// What does not change while a dispatcher lives.

#ifndef GENTIANLB_SCHEDULE_OPTIONS_H_
#define GENTIANLB_SCHEDULE_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <limits>

#include "absl/time/time.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

struct DispatcherOptions {
  Weights weights;
  std::uint64_t seed = 1;  // Spreads the come-back times.
  // Bound of the whole queue. A request without its body takes about a
  // kilobyte here, so this many stay well below the 128 MB of control.
  std::size_t max_waiting = 20000;
  // The share until the first PowerShareChanged. Where a cap is to be kept from
  // the start, set it to 0, and nothing that draws power is granted before.
  double initial_watts = std::numeric_limits<double>::infinity();
  // Whether running requests may be stopped for more urgent ones. Off where a
  // stopped one costs its caller the whole answer.
  bool preempts = true;
  // Shortest time after which a refused caller is asked to come back.
  absl::Duration shortest_come_back = absl::Seconds(1);
  bool operator==(const DispatcherOptions&) const = default;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_OPTIONS_H_
