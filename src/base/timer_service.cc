#include "base/timer_service.h"

namespace gentianlb {

TimerId TimerService::At(absl::Time when, Callback callback) {
  TimerId id = next_id_++;
  entries_.emplace(std::pair(when, id),
                   Entry{when, absl::ZeroDuration(), std::move(callback)});
  due_by_id_[id] = when;
  return id;
}

TimerId TimerService::Every(absl::Time first, absl::Duration period,
                            Callback callback) {
  TimerId id = next_id_++;
  entries_.emplace(std::pair(first, id),
                   Entry{first, period, std::move(callback)});
  due_by_id_[id] = first;
  return id;
}

void TimerService::Cancel(TimerId id) {
  auto found = due_by_id_.find(id);
  if (found == due_by_id_.end()) return;
  entries_.erase(std::pair(found->second, id));
  due_by_id_.erase(found);
}

void TimerService::Advance(absl::Time now) {
  while (!entries_.empty() && entries_.begin()->first.first <= now) {
    auto node = entries_.extract(entries_.begin());
    TimerId id = node.key().second;
    Entry& entry = node.mapped();
    Callback callback = entry.callback;
    if (entry.period > absl::ZeroDuration()) {
      // Skips missed periods: the next call is after `now`.
      absl::Duration late = now - entry.due;
      entry.due +=
          entry.period * (absl::Floor(late, entry.period) / entry.period + 1);
      due_by_id_[id] = entry.due;
      entries_.emplace(std::pair(entry.due, id), std::move(entry));
    } else {
      due_by_id_.erase(id);
    }
    callback(now);
  }
}

absl::Time TimerService::NextDue() const {
  if (entries_.empty()) return absl::InfiniteFuture();
  return entries_.begin()->first.first;
}

}  // namespace gentianlb
