#include "schedule/limits.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Capacity of a workspace's token bucket, as seconds of its rate. Allows short
// bursts, such as a form being submitted, but not a client that sends in a
// loop.
constexpr double kBurstSeconds = 10;

// Weights are operator input; a weight of 0 would block a workspace forever.
constexpr double kMinWeight = 0.001;

}  // namespace

void TokenBucket::SetRate(double per_second, double capacity, absl::Time now) {
  // An unchanged rate keeps the level, including a negative one.
  if (per_second == rate_ && capacity == capacity_) return;
  rate_ = per_second;
  capacity_ = capacity;
  level_ = capacity;
  refilled_at_ = now;
}

void TokenBucket::Rescale(double per_second, double capacity, absl::Time now) {
  if (capacity_ <= 0) return SetRate(per_second, capacity, now);
  IsEmpty(now);  // Adds the tokens earned at the old rate.
  if (level_ > 0) level_ *= capacity / capacity_;  // A debt is not scaled.
  rate_ = per_second;
  capacity_ = capacity;
}

bool TokenBucket::IsEmpty(absl::Time now) {
  const double earned = rate_ * absl::ToDoubleSeconds(now - refilled_at_);
  level_ = std::min(capacity_, level_ + earned);
  refilled_at_ = now;
  return level_ <= 0;
}

absl::Duration TokenBucket::TimeUntilLevel(double level) const {
  if (level_ > level || rate_ <= 0) return absl::ZeroDuration();
  return absl::Seconds((level - level_) / rate_);
}

WorkspaceIndex WorkspaceLimits::IndexOf(const WorkspaceId& id) {
  const WorkspaceIndex index = ids_.Intern(id);
  if (index == states_.size()) {
    states_.emplace_back();
    states_[index].spec.id = id;
  }
  return index;
}

void WorkspaceLimits::Configure(const std::vector<WorkspaceSpec>& specs,
                                absl::Time now) {
  for (const WorkspaceSpec& spec : specs) {
    State& state = states_[IndexOf(spec.id)];
    state.spec = spec;
    state.tokens.SetRate(spec.tokens_per_second,
                         spec.tokens_per_second * kBurstSeconds, now);
  }
}

double WorkspaceLimits::weight(WorkspaceIndex workspace) const {
  return std::max(kMinWeight, states_[workspace].spec.weight);
}

std::optional<LimitBreach> WorkspaceLimits::Check(WorkspaceIndex workspace,
                                                  const Request& request,
                                                  absl::Time now) {
  State& state = states_[workspace];
  const WorkspaceSpec& spec = state.spec;
  if (spec.tokens_per_second > 0 && state.tokens.IsEmpty(now)) {
    return LimitBreach{Code::kRateLimited, state.tokens.TimeUntilLevel()};
  }
  const int in_flight = state.waiting + state.running;
  if (spec.max_concurrent > 0 && in_flight >= spec.max_concurrent) {
    return LimitBreach{Code::kRateLimited, absl::ZeroDuration()};
  }
  if (state.waiting >= spec.max_waiting ||
      state.waiting_bytes + request.body_bytes > spec.max_waiting_bytes) {
    return LimitBreach{Code::kWorkspaceQueueFull, absl::ZeroDuration()};
  }
  return std::nullopt;
}

void WorkspaceLimits::AddWaiting(WorkspaceIndex workspace,
                                 const Request& request) {
  ++states_[workspace].waiting;
  states_[workspace].waiting_bytes += request.body_bytes;
}

void WorkspaceLimits::RemoveWaiting(WorkspaceIndex workspace,
                                    const Request& request) {
  --states_[workspace].waiting;
  states_[workspace].waiting_bytes -= request.body_bytes;
}

void WorkspaceLimits::Charge(WorkspaceIndex workspace, double tokens) {
  states_[workspace].tokens.Take(tokens);
}

}  // namespace gentianlb::schedule
