// Helpers shared by the forwarder's source files.

#ifndef GENTIANLB_GATEWAY_FORWARDER_INTERNAL_H_
#define GENTIANLB_GATEWAY_FORWARDER_INTERNAL_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "gateway/exchange.h"

namespace gentianlb::gateway {

// Retry-After of a host that has no configuration or is about to stop: another
// host, or this one, may be ready a moment later.
inline constexpr absl::Duration kShortRetryAfter = absl::Milliseconds(500);

// With less time left no other server can respond: a round trip and its queue
// take about that long.
inline constexpr absl::Duration kMinTimeToRetry = absl::Milliseconds(20);

// With so many events a stream had not just begun.
inline constexpr int kEventsUnderWay = 3;

// Returns for how long the caller of a stream waits for an event. One that gets
// nothing for longer has left, and takes the stream up over another host; see
// docs/design/open-sends.md.
inline absl::Duration CallerEventTimeout(const Route& route) {
  constexpr absl::Duration kMinTimeout = absl::Seconds(2);
  constexpr int kObjectives = 4;
  constexpr int kPauses = 8;
  absl::Duration timeout = std::max(kMinTimeout, kObjectives * route.objective);
  if (route.max_pause < absl::InfiniteDuration()) {
    timeout = std::max(timeout, kPauses * route.max_pause);
  }
  return timeout;
}

inline bool IsSuccess(int status) { return status >= 200 && status < 300; }
inline bool IsServerFailure(int status) { return status >= 500; }

// Returns nullopt if the response doesn't state it.
inline std::optional<double> MachineSlowdownOf(const ResponseHead& head) {
  return head.load ? head.load->machine_slowdown : std::nullopt;
}

// Returns whole milliseconds for log lines.
inline std::int64_t Milliseconds(absl::Duration duration) {
  return absl::ToInt64Milliseconds(duration);
}

// Returns "-" if there is no bound.
inline std::string MillisecondsOrDash(absl::Duration bound) {
  return bound == absl::InfiniteDuration()
             ? "-"
             : std::to_string(Milliseconds(bound));
}

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FORWARDER_INTERNAL_H_
