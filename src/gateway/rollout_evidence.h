// What the entry hosts count of the answers of a service's old and new servers
// during a roll-out. All counts only grow while a host runs.

#ifndef GENTIANLB_GATEWAY_ROLLOUT_EVIDENCE_H_
#define GENTIANLB_GATEWAY_ROLLOUT_EVIDENCE_H_

#include <cstdint>
#include <vector>

#include "gateway/rollout.h"

namespace gentianlb::gateway {

// Sums of the logarithms of durations in seconds. Servers differ in speed by
// factors, and so do sizes of requests.
struct LatencySums {
  std::uint32_t count = 0;
  double logs = 0;
  double squares = 0;
  auto operator<=>(const LatencySums&) const = default;

  void Add(absl::Duration duration);
  LatencySums& operator+=(const LatencySums& other);
};

// The answers of the old or the new servers to the requests of one route.
struct RouteEvidence {
  std::uint32_t route = 0;  // Hash of its name.
  bool is_new = false;      // Of the new servers.
  std::uint32_t answered = 0;
  std::uint32_t failed = 0;  // Server errors, and no answer by the deadline.
  std::uint32_t broken = 0;  // Connections that broke before the answer's end.
  LatencySums first;  // Time to the answer, or to a stream's first event.
  LatencySums pace;   // Mean time between the events of a stream.
  auto operator<=>(const RouteEvidence&) const = default;

  RouteEvidence& operator+=(const RouteEvidence& other);
};

// Adds `item` to the entry of its route and version.
void AddEvidence(const RouteEvidence& item, std::vector<RouteEvidence>* sums);

// What one or several hosts report of a roll-out.
struct RolloutReport {
  std::uint32_t service = 0;  // Hash of its name.
  std::uint64_t order = 0;    // Revision of the order.
  std::uint16_t hosts = 0;    // Number of hosts that know the order.
  RolloutStage stage = RolloutStage::kNone;  // The lowest of these hosts.
  std::uint32_t open_old =
      0;  // Requests at the old servers or queued for them.
  std::vector<RouteEvidence> evidence;
  bool operator==(const RolloutReport&) const = default;
};

// Merges `report` into the one of the same order.
void MergeReport(const RolloutReport& report,
                 std::vector<RolloutReport>* merged);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_ROLLOUT_EVIDENCE_H_
