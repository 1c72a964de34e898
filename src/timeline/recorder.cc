#include "timeline/recorder.h"

#include <utility>

#include "absl/time/clock.h"

namespace gentianlb::timeline {

Recorder::Recorder(EntryHostId host, Incarnation incarnation,
                   std::size_t capacity)
    : host_(std::move(host)), incarnation_(incarnation), capacity_(capacity) {}

void Recorder::Record(EventKind kind, std::string subject, std::string detail) {
  absl::MutexLock lock(&mutex_);
  events_.push_back({NextLocked(), host_, incarnation_, kind,
                     std::move(subject), std::move(detail)});
  if (events_.size() > capacity_) events_.pop_front();
}

Stamp Recorder::Now() {
  absl::MutexLock lock(&mutex_);
  return NextLocked();
}

void Recorder::Observe(Stamp remote) {
  absl::MutexLock lock(&mutex_);
  last_ = std::max(last_, remote);
}

std::vector<Event> Recorder::Events() const {
  absl::MutexLock lock(&mutex_);
  return {events_.begin(), events_.end()};
}

Stamp Recorder::NextLocked() {
  Stamp wall{absl::ToUnixMicros(absl::Now()), 0};
  // A wall clock that stands still or lags behind a peer's must not put an
  // effect before its cause.
  if (wall <= last_) wall = {last_.micros, last_.counter + 1};
  last_ = wall;
  return wall;
}

}  // namespace gentianlb::timeline
