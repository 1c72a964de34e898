#include "schedule/machine_slowdown.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace gentianlb::schedule {
namespace {

// Limits of a stated value. A machine that states more is treated as one that
// hangs, which the window of its server detects.
constexpr double kMinValue = 0.1;
constexpr double kMaxValue = 20;

// A slowdown that differs from 1 by less counts as 1. Without this, a server
// would never again be equal to one of the same speed that stated nothing.
constexpr double kNegligible = 0.05;

// Relative difference from which two stated values count as different.
constexpr double kMinChange = 0.1;

// Longest time between two stated values from which the rate of change is
// learnt. Over a longer time the value may have changed and changed back.
constexpr absl::Duration kMaxLearnableGap = absl::Seconds(2);

// Number of changes after which older ones count half.
constexpr double kMaxChanges = 32;

constexpr absl::Duration kMinHalfLife = absl::Milliseconds(50);
constexpr absl::Duration kMaxHalfLife = absl::Seconds(5);

}  // namespace

double MachineSlowdown::Limited(double stated) {
  return stated > 0 ? std::clamp(stated, kMinValue, kMaxValue) : 1;
}

void MachineSlowdown::OnStated(double value, absl::Time now) {
  value = Limited(value);
  if (now - stated_at_ <= kMaxLearnableGap) Learn(value, now - stated_at_);
  value_ = value;
  stated_at_ = now;
}

void MachineSlowdown::Learn(double value, absl::Duration since_last) {
  if (std::abs(value_ - 1) <= kNegligible) return;
  const bool changed = std::abs(value - value_) > kMinChange * value_;
  // A change came at some moment between the two responses: on average, half
  // of the time had passed.
  observed_seconds_ += absl::ToDoubleSeconds(since_last) * (changed ? 0.5 : 1);
  if (changed) ++changes_;
  if (changes_ < kMaxChanges) return;
  changes_ /= 2;
  observed_seconds_ /= 2;
}

absl::Duration MachineSlowdown::half_life() const {
  const double mean = observed_seconds_ / changes_;
  return std::clamp(absl::Seconds(std::numbers::ln2 * mean), kMinHalfLife,
                    kMaxHalfLife);
}

double MachineSlowdown::At(absl::Time time) const {
  if (value_ == 1) return 1;
  const double half_lives =
      absl::FDivDuration(absl::AbsDuration(time - stated_at_), half_life());
  const double excess = (value_ - 1) * std::exp2(-half_lives);
  return std::abs(excess) < kNegligible ? 1 : 1 + excess;
}

double MachineSlowdown::Seconds(double seconds, absl::Time now) const {
  const double excess = At(now) - 1;
  if (excess == 0) return seconds;
  // The integral of the fading slowdown over the usual time.
  const double time_constant =
      absl::ToDoubleSeconds(half_life()) / std::numbers::ln2;
  return seconds +
         excess * time_constant * -std::expm1(-seconds / time_constant);
}

}  // namespace gentianlb::schedule
