#include "gateway/rollout.h"

namespace gentianlb::gateway {
namespace {

// Of the allowed exposure. Canary and ramp together use about a third of it by
// the time at which all requests move; the rest allows the hosts a second to
// notice a fault that shows only then.
constexpr double kCanaryExposure = 0.5;
constexpr double kRampExposure = 2;

}  // namespace

std::string_view NameOf(RolloutState state) {
  switch (state) {
    case RolloutState::kRunning:
      return "running";
    case RolloutState::kCompleted:
      return "completed";
    case RolloutState::kRolledBack:
      return "rolled-back";
  }
  return "unknown";
}

std::string_view NameOf(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kNone:
      return "none";
    case RolloutStage::kCanary:
      return "canary";
    case RolloutStage::kRamp:
      return "ramp";
    case RolloutStage::kAll:
      return "all";
  }
  return "unknown";
}

std::string_view NameOf(VersionVerdict verdict) {
  switch (verdict) {
    case VersionVerdict::kSound:
      return "sound";
    case VersionVerdict::kSuspect:
      return "suspect";
    case VersionVerdict::kBad:
      return "bad";
  }
  return "unknown";
}

double ShareOf(RolloutStage stage, double max_exposure) {
  switch (stage) {
    case RolloutStage::kNone:
      return 0;
    case RolloutStage::kCanary:
      return kCanaryExposure * max_exposure;
    case RolloutStage::kRamp:
      return kRampExposure * max_exposure;
    case RolloutStage::kAll:
      return 1;
  }
  return 0;
}

}  // namespace gentianlb::gateway
