// Limits the number of concurrent streams of a server by its responses.
//
// Load pattern: engines admit every request and have no priorities, so requests
// must wait in the dispatcher's queue, where they are ordered, and a straggler
// must not get more work. Without this limit, a slow server builds up its own
// queue, in which urgent requests wait behind batch requests until callers time
// out.
//
// The window starts at the configured maximum, is halved on slow responses or
// overdue first tokens, and grows while responses are in time. At its minimum,
// the server gets single streams as probes, with exponential backoff.

#ifndef GENTIANLB_SCHEDULE_WINDOW_H_
#define GENTIANLB_SCHEDULE_WINDOW_H_

#include "absl/time/time.h"

namespace gentianlb::schedule {

// A concurrency window with multiplicative decrease and increase, and probing.
class Window {
 public:
  explicit Window(int max_streams);

  // Sets the maximum. A window that was reduced before stays reduced.
  void SetMaxStreams(int max_streams);

  // Returns the maximum number of streams.
  int streams() const { return static_cast<int>(size_); }

  // Records a response in time. `full`: whether all streams of the window were
  // in use; only then the window grows.
  void OnGoodResponse(absl::Time now, bool full);

  // Records a slow response or an overdue first token. Returns whether the
  // window was reduced.
  bool OnSlowResponse(absl::Time now);

  // Records that no connection could be established. Closes the window.
  void OnUnreachable(absl::Time now);

  // Records a failed request. Some calls fail on any server, so only several
  // failures in a row, or a failed probe, close the window.
  void OnFailure(absl::Time now);

  // Records that a request was granted. Only then a further slow response
  // doubles the backoff.
  void OnGrant() { granted_since_close_ = true; }

  // Returns whether the window is not closed at `now`.
  bool IsOpen(absl::Time now) const { return now >= closed_until_; }
  absl::Time closed_until() const { return closed_until_; }

  // Returns whether the next request is a probe.
  bool probing() const { return probing_; }

 private:
  // Closes the window for the backoff time.
  void Close(absl::Time now);

  int max_streams_;
  double size_;  // Streams; fractional while it grows.
  bool probing_ = false;
  bool granted_since_close_ = true;
  int failures_ = 0;  // In a row.
  absl::Duration backoff_;
  absl::Time closed_until_ = absl::InfinitePast();
  absl::Time last_decrease_ = absl::InfinitePast();
  absl::Time last_increase_ = absl::InfinitePast();
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_WINDOW_H_
