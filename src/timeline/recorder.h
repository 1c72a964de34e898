// The bounded ring of events that a process keeps for peers and operators.

#ifndef GENTIANLB_TIMELINE_RECORDER_H_
#define GENTIANLB_TIMELINE_RECORDER_H_

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "timeline/event.h"

namespace gentianlb::timeline {

// Thread-safe. A full ring forgets its oldest event.
class Recorder {
 public:
  Recorder(EntryHostId host, Incarnation incarnation, std::size_t capacity);

  // Stamps and keeps an event. Reads the wall clock.
  void Record(EventKind kind, std::string subject, std::string detail = "");

  // The stamp to send along with a message.
  Stamp Now();

  // Learns the stamp of a message that has arrived.
  void Observe(Stamp remote);

  // All that is kept, oldest first.
  std::vector<Event> Events() const;

 private:
  Stamp NextLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const EntryHostId host_;
  const Incarnation incarnation_;
  const std::size_t capacity_;
  mutable absl::Mutex mutex_;
  Stamp last_ ABSL_GUARDED_BY(mutex_);
  std::deque<Event> events_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace gentianlb::timeline

#endif  // GENTIANLB_TIMELINE_RECORDER_H_
