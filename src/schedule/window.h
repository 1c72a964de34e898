// How many streams a server may hold at once, learnt from its answers.
//
// Load pattern: engines admit all that comes and know no priorities, so what
// waits must wait here, where it can be ordered; and a straggler must not go on
// filling up. Without it a slow server collects a queue of its own, in which
// urgent work waits behind overnight work, until callers time out.
//
// The window opens at the configured bound, halves on slow answers or on
// silence, and grows again while answers are good. At the bottom it is open
// for one stream at a time, at intervals that double: a probe.

#ifndef GENTIANLB_SCHEDULE_WINDOW_H_
#define GENTIANLB_SCHEDULE_WINDOW_H_

#include "absl/time/time.h"

namespace gentianlb::schedule {

class Window {
 public:
  explicit Window(int max_streams);

  // A changed configuration; what was learnt below the new bound stays.
  void SetBound(int max_streams);

  int streams() const { return static_cast<int>(size_); }

  // An answer came as it should; `full` when the window was what held it back.
  void Good(absl::Time now, bool full);

  // An answer was slow, or its first token is long overdue. True when the
  // window was cut.
  bool Slow(absl::Time now);

  // No connection came about.
  void Unreachable(absl::Time now);

  // A request failed there. One alone says little: some calls fail on any
  // server. Several in a row, with no good answer in between, count as
  // unreachable.
  void Failed(absl::Time now);

  // New work went there; if it is slow again, the next probe is later.
  void Granted() { tried_ = true; }

  // Whether new work may go there, as far as failures tell.
  bool OpenAt(absl::Time now) const { return now >= closed_until_; }
  absl::Time closed_until() const { return closed_until_; }

  // At the bottom: what goes there now is a probe.
  bool probing() const { return probing_; }

 private:
  void Close(absl::Time now);

  int bound_;
  double size_;
  bool probing_ = false;
  bool tried_ = true;  // Since it was closed last.
  int failures_ = 0;   // In a row.
  absl::Duration backoff_;
  absl::Time closed_until_ = absl::InfinitePast();
  absl::Time last_cut_ = absl::InfinitePast();
  absl::Time last_growth_ = absl::InfinitePast();
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_WINDOW_H_
