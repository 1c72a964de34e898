// Decides whether an unframed body that ended in good order is complete.
//
// A body with neither a length nor chunks ends with its connection. The kernel
// ends the connections of a killed process in good order too, so that such an
// end alone proves nothing. An answer to a question that was sent after the end
// proves that its server lives, if the answer says which server gave it: the
// address may belong to another process by then.

#ifndef GENTIANLB_GATEWAY_END_CONFIRMATION_H_
#define GENTIANLB_GATEWAY_END_CONFIRMATION_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/timer_service.h"
#include "gateway/messages.h"
#include "gateway/server_probe.h"
#include "metrics/metrics.h"

namespace gentianlb::gateway {

enum class EndVerdict { kComplete, kBroken, kProbeAgain };

// What is known of the server after a probe.
struct EndEvidence {
  ServerProbe probe = ServerProbe::kUnanswered;
  int probes = 1;         // Including this one.
  absl::Duration waited;  // Since the end.
  // Transfers to the same server that were open before the end and still are.
  int open_transfers = 0;
};

// Returns what the evidence says of the end. A refusal doesn't prove that the
// server died, since a full one may refuse too, nor does a lost packet. What
// stays unknown is broken.
EndVerdict JudgeEnd(const EndEvidence& evidence);

// The end to be confirmed, for log lines.
struct UnframedEnd {
  std::string request;      // "-" for that of a peer.
  ServerEntry server;       // As it was registered before the request was sent.
  std::uint64_t bytes = 0;  // Of the body; of a tunnel: of all responses.
  bool in_tunnel = false;  // Of a connection that this host tunnels for a peer.
};

// How an end was judged.
struct EndReport {
  bool complete = false;
  ServerProbe last_probe = ServerProbe::kUnanswered;
  std::string detail;  // Says why an end is not confirmed.
};

struct EndConfirmationHooks {
  // Asks who listens at the server's address, and calls `done` later. Returns
  // an id.
  std::function<std::uint64_t(const ServerEntry& server,
                              std::function<void(ServerProbe)> done)>
      probe;
  std::function<void(std::uint64_t id)> cancel_probe;
  // Returns the number of open transfers to `server` that were open at `since`.
  std::function<int(const ServerEntry& server, absl::Time since)>
      open_transfers;
};

// Not thread-safe: used by the event loop's thread only.
class EndConfirmations {
 public:
  using Done = std::function<void(const EndReport& report)>;  // Called once.

  // The pointers must outlive this object.
  EndConfirmations(TimerService* timers, std::function<absl::Time()> clock,
                   metrics::Metrics* metrics, EndConfirmationHooks hooks);
  ~EndConfirmations();  // Gives up without calls.
  EndConfirmations(const EndConfirmations&) = delete;
  EndConfirmations& operator=(const EndConfirmations&) = delete;

  // Returns an id. Never calls `done` before it returns.
  std::uint64_t Start(UnframedEnd end, Done done);
  // Gives up without a call. Does nothing if the end has been judged.
  void Cancel(std::uint64_t id);

  // Records that `server` has answered a request that was sent at `sent_at`.
  // Reports later that its ends before that are complete.
  void OnAnswered(const ServerEntry& server, absl::Time sent_at);

  // Number of ends that are not judged yet.
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Waiting {
    UnframedEnd end;
    Done done;
    absl::Time ended_at;
    int probes = 0;
    absl::Duration pause;     // Before the next probe.
    TimerId timer = 0;        // Until the next probe.
    std::uint64_t probe = 0;  // The probe in progress.
    bool is_probing = false;
    bool has_answered = false;  // A request that was sent after the end.
  };

  void ProbeAt(std::uint64_t id, absl::Time when);
  void Probe(std::uint64_t id);
  void OnProbed(std::uint64_t id, ServerProbe probe);
  void GiveUpProbe(Waiting& waiting);
  void Finish(std::uint64_t id, const EndEvidence& evidence, bool complete);

  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  metrics::Metrics* const metrics_;
  const EndConfirmationHooks hooks_;
  std::uint64_t next_id_ = 1;
  absl::flat_hash_map<std::uint64_t, Waiting> waiting_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_END_CONFIRMATION_H_
