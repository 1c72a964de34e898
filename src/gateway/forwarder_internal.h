// What the parts of the forwarder share.

#ifndef GENTIANLB_GATEWAY_FORWARDER_INTERNAL_H_
#define GENTIANLB_GATEWAY_FORWARDER_INTERNAL_H_

#include <cstdint>

#include "absl/time/time.h"

namespace gentianlb::gateway {

// A caller that finds no configuration or a host about to stop may find another
// host, or this one, ready a moment later.
inline constexpr absl::Duration kShortRetryAfter = absl::Milliseconds(500);

inline bool IsSuccess(int status) { return status >= 200 && status < 300; }
inline bool IsServerFailure(int status) { return status >= 500; }

// For log lines.
inline std::int64_t Milliseconds(absl::Duration duration) {
  return absl::ToInt64Milliseconds(duration);
}

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FORWARDER_INTERNAL_H_
