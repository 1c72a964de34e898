// Predicts which streams become late when a server computes one more prompt.
//
// Load pattern: prompts of up to 54,600 tokens next to short streams. A server
// computes a prompt in chunks, one per decode step, and an event takes several
// steps. On a server at 2.8 times the usual time, one long prompt stretches the
// events of all its streams from 100 to 600 ms, beyond a bound of 300 ms; on
// one at its usual time, from 36 to 220 ms, within the bound.
//
// Learnt per server: the usual time between events, and how much prompt work
// fits into the time of one event. The latter depends on the chunk, which
// servers don't state, so it is learnt from the longest pauses.
//
// Only streams and requests with a bound on their pauses count. Without one,
// nothing is learnt and nothing predicted.

#ifndef GENTIANLB_SCHEDULE_STREAM_PAUSES_H_
#define GENTIANLB_SCHEDULE_STREAM_PAUSES_H_

#include <compare>
#include <limits>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "schedule/index.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

// Work of a server as its dispatcher knows it.
struct PromptLoad {
  double backlog = 0;  // Granted prompt tokens that are not computed yet.
  double tokens_per_second = 0;  // Of computing prompts.
  int streams = 0;
  auto operator<=>(const PromptLoad&) const = default;
};

// Learns the pauses of streams on each server and predicts them.
class StreamPauses {
 public:
  // --- Events ---
  // Each takes the server's load after the event.
  void OnGrant(ServerIndex server, RunIndex run, const Request& request,
               const PromptLoad& load, absl::Time now);
  void OnFirstToken(ServerIndex server, RunIndex run, const PromptLoad& load,
                    absl::Time now);
  // `pauses`: of the whole stream so far.
  void OnPauses(ServerIndex server, RunIndex run, const EventPauses& pauses,
                const PromptLoad& load, absl::Time now);
  void OnFinish(ServerIndex server, RunIndex run);
  // Discards what was learnt of a server that has restarted or was replaced.
  void Forget(ServerIndex server);

  // Predicts the effect of granting `request` to `server` now, with
  // `prefill_tokens` of its prompt to compute. Nothing becomes late on a server
  // whose events have not been measured lately.
  PauseForecast Predict(ServerIndex server, const Request& request,
                        double prefill_tokens, const PromptLoad& load,
                        absl::Time now) const;

  // --- Requests that wait for a server on which they make no stream late ---
  // Returns how long a request may go on waiting; zero: it is granted now.
  // `spare`: until it would be late on the best of the present servers.
  static absl::Duration HoldTime(absl::Time enqueued_at, absl::Duration spare,
                                 absl::Time now);
  // Records that it waits until `until`.
  void Hold(const RequestId& id, absl::Time now, absl::Time until);
  // Returns since when it has been held, if it has.
  std::optional<absl::Time> HeldSince(const RequestId& id) const;
  void EndHold(const RequestId& id);
  // Returns when the next held request must be tried again; InfiniteFuture() if
  // never.
  absl::Time next_hold_end() const { return next_hold_end_; }
  // Returns whether a hold has ended since the last call.
  bool TakeEndedHolds(absl::Time now);

 private:
  // A running stream with a bound.
  struct Stream {
    RunIndex run = kNoIndex;
    int rank = 0;
    absl::Duration max_pause;
    absl::Duration longest;  // Measured.
    bool has_begun = false;
    // The most prompt work that the server had at one time since the stream
    // began, and when. Its longest pause shows how much of it fitted into one
    // event.
    double most_work = 0;
    absl::Time most_work_at;
  };

  struct PerServer {
    std::vector<Stream> streams;
    double event_seconds = 0;  // With one stream; 0: not known.
    absl::Time measured_at = absl::InfinitePast();
    double event_work = 0;  // Prompt tokens within one event; 0: not known.
  };

  Stream* Find(ServerIndex server, RunIndex run);
  const PerServer* Known(ServerIndex server, absl::Time now) const;
  // Returns the most prompt tokens that fit into the time of one event.
  double EventWork(const PerServer& server) const;
  // Returns the speed of computing prompts. A server whose events are slow
  // computes prompts slowly too, even if it has got none that showed it.
  double PrefillSpeed(const PerServer& server, const PromptLoad& load) const;
  void LearnMeans(const PerServer& server, const PromptLoad& load);
  void LearnEventWork(PerServer& server, const Stream& stream,
                      const PromptLoad& load, absl::Time now);

  std::vector<PerServer> servers_;  // By index.
  // Means over servers; 0: not known.
  double event_seconds_ = 0;
  double tokens_per_second_ = 0;
  double event_work_ = 0;
  absl::flat_hash_map<RequestId, absl::Time> held_since_;
  absl::Time next_hold_end_ = absl::InfiniteFuture();
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_STREAM_PAUSES_H_
