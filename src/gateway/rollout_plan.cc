#include "gateway/rollout_plan.h"

namespace gentianlb::gateway {
namespace {

// Parts of the time until the deadline after which a stage may begin, and which
// each stage lasts at least.
constexpr double kRampFrom = 0.2;
constexpr double kAllFrom = 0.3;
constexpr double kMinStage = 0.08;

RolloutDecision Decide(const RolloutInputs& inputs, RolloutState state,
                       RolloutStage stage, const char* reason) {
  return {{state, inputs.order.target, inputs.order.revision, stage,
           inputs.elapsed},
          reason};
}

RolloutDecision Begin(const RolloutInputs& inputs) {
  // The same order again, after it was carried out.
  const bool done = inputs.status &&
                    inputs.status->state == RolloutState::kCompleted &&
                    inputs.status->target == inputs.order.target;
  if (done) {
    return Decide(inputs, RolloutState::kCompleted, RolloutStage::kAll,
                  "already completed");
  }
  return Decide(inputs, RolloutState::kRunning, RolloutStage::kCanary,
                "new order");
}

// Returns whether all hosts have reached the stage of the status.
bool HostsAreAt(RolloutStage stage, const FollowingHosts& hosts) {
  return hosts.all_reachable && hosts.following >= hosts.hosts &&
         hosts.lowest >= stage;
}

std::optional<RolloutDecision> Advance(const RolloutInputs& inputs) {
  const RolloutStatus& status = *inputs.status;
  if (!HostsAreAt(status.stage, inputs.hosts)) return std::nullopt;
  if (status.stage == RolloutStage::kAll) {
    if (inputs.hosts.open_old > 0) return std::nullopt;
    return Decide(inputs, RolloutState::kCompleted, RolloutStage::kAll,
                  "no request is left on the old servers");
  }
  const absl::Duration duration = inputs.order.duration;
  if (inputs.elapsed - status.elapsed < kMinStage * duration) {
    return std::nullopt;
  }
  const bool canary = status.stage == RolloutStage::kCanary;
  const double from = canary ? kRampFrom : kAllFrom;
  if (inputs.elapsed < from * duration) return std::nullopt;
  return Decide(inputs, RolloutState::kRunning,
                canary ? RolloutStage::kRamp : RolloutStage::kAll,
                "the version is sound so far");
}

}  // namespace

bool IsOf(const std::optional<RolloutStatus>& status,
          const RolloutOrder& order) {
  return status && status->order == order.revision;
}

std::optional<RolloutDecision> NextStatus(const RolloutInputs& inputs) {
  if (!IsOf(inputs.status, inputs.order)) return Begin(inputs);
  if (inputs.status->state != RolloutState::kRunning) return std::nullopt;
  if (inputs.verdict == VersionVerdict::kBad) {
    return Decide(inputs, RolloutState::kRolledBack, RolloutStage::kNone,
                  "the version is bad");
  }
  if (inputs.new_servers == 0) {
    if (inputs.elapsed < inputs.order.duration) return std::nullopt;
    return Decide(inputs, RolloutState::kRolledBack, RolloutStage::kNone,
                  "no server of the version came in time");
  }
  if (inputs.verdict == VersionVerdict::kSuspect) return std::nullopt;
  return Advance(inputs);
}

}  // namespace gentianlb::gateway
