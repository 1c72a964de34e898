#include "schedule/running.h"

#include <algorithm>
#include <utility>

namespace gentianlb::schedule {

RunningTable::VictimKey RunningTable::KeyOf(const RunningRequest& running,
                                            RunIndex index) {
  const int wasted =
      running.first_token ? static_cast<int>(running.demand.prefill_tokens) : 0;
  return {-running.origin.request.tier.rank, wasted, index};
}

RunIndex RunningTable::Add(RunningRequest running) {
  const RequestId id = running.origin.request.id;
  const RunIndex index = running_.Add(std::move(running));
  const RunningRequest& added = running_[index];
  by_id_.emplace(id, index);
  // A call of a plain service can't be cancelled once it runs.
  if (!added.demand.plain) {
    victims_.insert(KeyOf(added, index));
    deadlines_.insert({added.origin.request.deadline, index});
  }
  if (!added.first_token) overdue_.insert({added.overdue_at, index});
  return index;
}

RunningRequest RunningTable::Remove(RunIndex index) {
  const RunningRequest& removed = running_[index];
  by_id_.erase(removed.origin.request.id);
  victims_.erase(KeyOf(removed, index));
  deadlines_.erase({removed.origin.request.deadline, index});
  overdue_.erase({removed.overdue_at, index});
  return running_.Remove(index);
}

RunIndex RunningTable::Find(const RequestId& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? kNoIndex : found->second;
}

std::size_t RunningTable::CountContent(ContentHash content,
                                       absl::Time since) const {
  return static_cast<std::size_t>(
      std::count_if(by_id_.begin(), by_id_.end(), [&](const auto& item) {
        const RunningRequest& running = running_[item.second];
        return running.origin.request.content == content &&
               running.granted_at >= since;
      }));
}

void RunningTable::SetFirstToken(RunIndex index) {
  RunningRequest& running = running_[index];
  const bool listed = victims_.erase(KeyOf(running, index)) > 0;
  overdue_.erase({running.overdue_at, index});
  running.first_token = true;
  if (listed) victims_.insert(KeyOf(running, index));
}

void RunningTable::SetOutputTokens(RunIndex index, int tokens, absl::Time now) {
  running_[index].output_tokens = tokens;
  running_[index].last_report_at = now;
}

void RunningTable::SetDemand(RunIndex index, const Demand& demand) {
  RunningRequest& running = running_[index];
  const bool listed = victims_.erase(KeyOf(running, index)) > 0;
  running.demand = demand;
  if (listed) victims_.insert(KeyOf(running, index));
}

void RunningTable::SetOverdueTime(RunIndex index, absl::Time overdue_at) {
  RunningRequest& running = running_[index];
  overdue_.erase({running.overdue_at, index});
  running.overdue_at = overdue_at;
  overdue_.insert({overdue_at, index});
}

void RunningTable::IgnoreTimes(RunIndex index) {
  running_[index].times_unknown = true;
  if (!running_[index].first_token) {
    SetOverdueTime(index, absl::InfiniteFuture());
  }
}

void RunningTable::IgnoreDeadline(RunIndex index) {
  deadlines_.erase({running_[index].origin.request.deadline, index});
}

void RunningTable::SetCancelCause(RunIndex index, WasteCause cause) {
  RunningRequest& running = running_[index];
  victims_.erase(KeyOf(running, index));
  deadlines_.erase({running.origin.request.deadline, index});
  overdue_.erase({running.overdue_at, index});
  running.cancel_cause = cause;
}

RunIndex RunningTable::FirstOverdue(absl::Time now) const {
  if (overdue_.empty() || overdue_.begin()->first > now) return kNoIndex;
  return overdue_.begin()->second;
}

absl::Time RunningTable::NextOverdueTime() const {
  if (overdue_.empty()) return absl::InfiniteFuture();
  return overdue_.begin()->first;
}

RunIndex RunningTable::EarliestDeadline() const {
  return deadlines_.empty() ? kNoIndex : deadlines_.begin()->second;
}

double ComputedPrefill(const RunningRequest& running, absl::Time now) {
  const double prefill = running.demand.prefill_tokens;
  if (running.first_token) return prefill;
  // Before the first token, assumes progress in proportion to elapsed time.
  const double elapsed = absl::ToDoubleSeconds(now - running.granted_at);
  const double predicted =
      std::max(0.001, running.predicted_first_token_seconds);
  return prefill * std::clamp(elapsed / predicted, 0.0, 1.0);
}

}  // namespace gentianlb::schedule
