// Decides the next status of a roll-out.
//
// A version may turn bad at any moment until the old servers are gone, and the
// requests that it has received by then count against what operators allow. So
// few requests go to it while the judge has time, and all of them move at the
// last moment that leaves the longest streams of the old servers time to
// finish before the deadline.

#ifndef GENTIANLB_GATEWAY_ROLLOUT_PLAN_H_
#define GENTIANLB_GATEWAY_ROLLOUT_PLAN_H_

#include <cstdint>
#include <optional>

#include "absl/time/time.h"
#include "gateway/rollout.h"

namespace gentianlb::gateway {

// What is known of the entry hosts.
struct FollowingHosts {
  bool all_reachable = false;  // No known host is missing.
  int hosts = 1;               // Reachable hosts, including this one.
  int following = 0;           // Of these, hosts that know the order.
  RolloutStage lowest = RolloutStage::kNone;  // At which any of these is.
  std::uint32_t open_old = 0;  // Their requests at the old servers.
  bool operator==(const FollowingHosts&) const = default;
};

struct RolloutInputs {
  RolloutOrder order;
  std::optional<RolloutStatus> status;  // The last one that was written.
  absl::Duration elapsed;               // Since the order.
  VersionVerdict verdict = VersionVerdict::kSound;
  FollowingHosts hosts;
  int new_servers = 0;  // Registered servers of the version.
};

struct RolloutDecision {
  RolloutStatus status;
  const char* reason = "";
  bool operator==(const RolloutDecision&) const = default;
};

// Returns nullopt if the status stays as it is.
std::optional<RolloutDecision> NextStatus(const RolloutInputs& inputs);

// Returns whether `status` belongs to `order`.
bool IsOf(const std::optional<RolloutStatus>& status,
          const RolloutOrder& order);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_ROLLOUT_PLAN_H_
