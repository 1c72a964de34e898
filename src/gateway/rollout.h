// The roll-out of a new version of a service: the operators' order, and the
// status of its execution that the entry hosts write for operators and peers.

#ifndef GENTIANLB_GATEWAY_ROLLOUT_H_
#define GENTIANLB_GATEWAY_ROLLOUT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "base/ids.h"

namespace gentianlb::gateway {

// An order to move the requests of a service to the servers of one version.
struct RolloutOrder {
  ServiceId service;
  std::string target;          // The version.
  absl::Duration duration;     // Until the deadline.
  std::uint64_t revision = 0;  // Version of the order's row; identifies it.
  bool operator==(const RolloutOrder&) const = default;
};

enum class RolloutState { kRunning, kCompleted, kRolledBack };

// The fraction of the requests that the servers of the new version receive.
enum class RolloutStage : std::uint8_t {
  kNone,
  // As few as suffice to judge the version, on as few servers that each has
  // about the load of an old one: some faults show only under load.
  kCanary,
  kRamp,
  kAll,  // Requests on the old servers finish there.
};

struct RolloutStatus {
  RolloutState state = RolloutState::kRunning;
  std::string target;
  std::uint64_t order = 0;  // Revision of the order that this belongs to.
  RolloutStage stage = RolloutStage::kCanary;
  absl::Duration elapsed;  // From the order until this status was decided.
  bool operator==(const RolloutStatus&) const = default;
};

// What an entry host assumes of the new version.
enum class VersionVerdict { kSound, kSuspect, kBad };

std::string_view NameOf(RolloutState state);
std::string_view NameOf(RolloutStage stage);
std::string_view NameOf(VersionVerdict verdict);

// Returns the fraction of requests of a stage, if operators allow a bad version
// `max_exposure` of all requests until the deadline.
double ShareOf(RolloutStage stage, double max_exposure);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_ROLLOUT_H_
