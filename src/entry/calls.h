// The requests of this entry host, each from its acceptance to its one final
// answer. Owned by the control thread.
//
// A request waits at the dispatcher of its domain until it is granted a server.
// A keyed one also needs its claim; both are sought at the same time, and the
// later of the two lets it go. Then it is sent once, and only its stream may be
// taken up again.

#ifndef GENTIANLB_ENTRY_CALLS_H_
#define GENTIANLB_ENTRY_CALLS_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/answer_log.h"
#include "entry/answer_relay.h"
#include "entry/caller_request.h"
#include "entry/claims.h"
#include "entry/control_loop.h"
#include "entry/dispatch_board.h"
#include "entry/server_call.h"
#include "http/client.h"
#include "metrics/metrics.h"
#include "timeline/recorder.h"

namespace gentianlb::entry {

// One accepted request.
struct Call {
  enum class Phase {
    kWaiting,  // At the dispatcher, or for its claim.
    kGranted,  // Has a server, and waits for its claim.
    kSending,  // The claim is being marked with the server.
    kRunning,  // Sent; its answer streams in.
    kReading,  // Reads an answer that another sending made.
  };

  RequestId id;
  CallerRequest request;
  std::string engine_request;  // X-Request-Id at the server.
  std::string body_digest;     // Of a keyed request.
  std::shared_ptr<AnswerOrigin> origin;
  std::shared_ptr<AnswerLog> log;
  std::shared_ptr<AnswerRelay> relay;
  absl::Time arrival;
  absl::Time deadline;
  Phase phase = Phase::kWaiting;

  std::vector<Domain> domains;  // Still to be tried, best first.
  Domain domain;                // Where it waits or was granted.
  EntryHostId dispatcher;       // Who was told of it; empty: nobody yet.

  claim::ClaimId claim = 0;                 // 0: none is needed.
  bool claimed = false;                     // The verdict was to proceed.
  bool judged = false;                      // A verdict was given.
  std::optional<schedule::Refuse> refusal;  // Waits for the claim's verdict.

  ServerId server;
  http::TransferId transfer = 0;
  std::string stream;
  int tokens = 0;
  int resumes = 0;
  std::vector<ServerId> search;  // Servers that may still have the stream.
  bool search_ended = false;     // The claim says that it ran to its end.
  // Set if a later search may find what this one doesn't.
  bool search_again = false;
  std::optional<GivenUp> stop;  // Why it is being stopped.
  TimerId unserved_timer = 0;
  TimerId deadline_timer = 0;
};

using CallPtr = std::shared_ptr<Call>;

struct CallOptions {
  EntryHostId host;
  Incarnation incarnation = 0;
  ZoneId zone;
};

class Calls {
 public:
  Calls(CallOptions options, ControlLoop* loop, http::Client* client,
        timeline::Recorder* recorder, DispatchBoard* board, Claims* claims,
        Peers* peers, metrics::Metrics* metrics);

  void Configure(ConfigIndexPtr config);

  void Accept(CallerRequest request,
              std::shared_ptr<http::Responder> responder);

  // What the dispatch board reports.
  void OnDecision(const EntryHostId& from, const Domain& domain,
                  const schedule::Decision& decision);
  void OnHolderChanged(const Domain& domain);

  // A server was judged, here or by the host that watches it.
  void OnServerHealth(const ServerId& server, schedule::ServerHealth health);

  // A peer reads the answer to a key for a caller of its own.
  void ServeAnswer(const std::string& key,
                   std::shared_ptr<http::Responder> responder);

  // Refuses new requests from now on.
  void RefuseNew() { refusing_ = true; }

  std::size_t open() const { return calls_.size(); }

  // Those that are not finished, for the log of a drain that is cut short.
  std::vector<RequestId> OpenIds() const;

 private:
  // Answers of keys, for re-sends; from the acceptance on.
  struct Kept {
    std::shared_ptr<AnswerLog> log;
    std::shared_ptr<AnswerOrigin> origin;
    std::string body_digest;
    bool claimed = false;  // This host holds the key, or held it.
    // Peers that wait for the claim to be judged.
    std::vector<std::shared_ptr<http::Responder>> readers;
  };

  // calls.cc: acceptance, waiting, decisions.
  std::vector<Domain> DomainsFor(const CallerRequest& request) const;
  void ChooseDomain(Call& call);
  void Announce(const CallPtr& call);
  void Tell(const Call& call, decltype(DispatchEvent::event) event);
  schedule::Request Describe(const Call& call) const;
  void OnGrant(const EntryHostId& from, const Domain& domain,
               const schedule::Grant& grant);
  void OnRefuse(const CallPtr& call, const schedule::Refuse& refuse);
  void OnCancel(const CallPtr& call, const schedule::Cancel& cancel);
  void OnCallerGone(const RequestId& id);
  void OnUnserved(const RequestId& id);
  void OnOverdue(const RequestId& id);
  CallPtr Find(const RequestId& id) const;
  void GiveUp(const CallPtr& call, GivenUp why);
  void Remove(const CallPtr& call);

  // calls_claim.cc: claims, and answers that another sending made.
  bool AnswerFromKept(const CallPtr& call);
  void ReadKept(const CallPtr& call, const Kept& kept);
  void OpenClaim(const CallPtr& call);
  Claims::OnVerdict VerdictHandler(const RequestId& id);
  void OnVerdict(const CallPtr& call, const claim::ClaimVerdict& verdict);
  void Attach(const CallPtr& call, const EntryHostId& owner);
  void AttachFailed(const CallPtr& call);
  void ReadElsewhere(const CallPtr& call, const claim::Resume& resume);
  void SearchNext(const CallPtr& call);
  void LeaveQueue(const CallPtr& call);
  void OnClaimed(const std::string& key);
  void DropAnswer(const std::string& key);
  void KeepAnswer(const Call& call);
  void ForgetAnswers();

  // calls_dispatch.cc: the transfer from the server and its end.
  void Dispatch(const CallPtr& call);
  void Send(const CallPtr& call);
  void StartTransfer(const CallPtr& call, http::ClientRequest request);
  RelayEvents MakeEvents(const CallPtr& call);
  void OnProgress(const CallPtr& call, int tokens);
  void OnTransferEnd(const CallPtr& call, const RelayEnd& end);
  void OnNotSent(const CallPtr& call);
  void OnComplete(const CallPtr& call, const RelayEnd& end);
  void Resume(const CallPtr& call, const Error& error);
  void FindStream(const CallPtr& call, const Error& error);
  void Stop(const CallPtr& call, GivenUp why);
  void CancelAtServer(const Call& call);
  std::string UrlOf(const ServerId& server) const;

  const CallOptions options_;
  ControlLoop* const loop_;
  http::Client* const client_;
  timeline::Recorder* const recorder_;
  DispatchBoard* const board_;
  Claims* const claims_;
  Peers* const peers_;
  metrics::Metrics* const metrics_;
  ConfigIndexPtr config_;
  bool refusing_ = false;
  std::uint64_t next_id_ = 1;
  std::map<RequestId, CallPtr> calls_;

  std::map<std::string, Kept> answers_;

  // Ended ones in the order of their end, to be forgotten.
  struct Ended {
    std::string key;
    absl::Time when;
    std::size_t bytes = 0;
  };
  std::deque<Ended> ended_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_CALLS_H_
