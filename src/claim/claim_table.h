// Manages the claims of one entry host: connects its ClaimMachine to a table
// service and to the peers. Owned by the control thread; no call blocks.

#ifndef GENTIANLB_CLAIM_CLAIM_TABLE_H_
#define GENTIANLB_CLAIM_CLAIM_TABLE_H_

#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "claim/claim_machine.h"
#include "claim/messages.h"

namespace gentianlb::claim {

// Queries another entry host. Calls `done` once, later, on the control thread,
// with nothing if the peer gave no answer in time.
template <typename P>
concept PeerService =
    requires(P peers, EntryHostId peer, PeerQuery query,
             std::function<void(std::optional<PeerAnswer>)> done) {
  peers.Query(peer, query, done);
};

// Returns the current time. A decision right before a dispatch must use that
// time, not the time of the event that led to it.
template <typename C>
concept Clock = requires(C clock) {
  { clock() } -> std::convertible_to<absl::Time>;
};

template <store::TableService Table, PeerService Peers, Clock Now>
class ClaimTable {
 public:
  // Receives the claim's id, since a verdict may come before Open() returns it.
  using OnVerdict = std::function<void(ClaimId, ClaimVerdict)>;
  using OnDispatch = std::function<void(std::optional<Refuse>)>;

  // `table` and `peers` outlive this object.
  ClaimTable(ClaimOptions options, Table* table, Peers* peers, Now now)
      : machine_(std::move(options), now()),
        table_(table),
        peers_(peers),
        now_(std::move(now)) {}

  // Opens a claim. Calls `on_verdict` once, possibly before Open() returns.
  ClaimId Open(ClaimRequest request, OnVerdict on_verdict) {
    ClaimId id = next_id_++;
    verdicts_[id] = std::move(on_verdict);
    Run(ClaimOpened{id, std::move(request)});
    return id;
  }

  // Must be called after a Proceed and before the first byte is sent. Calls
  // `on_dispatch` without a refusal when the first byte may be sent at once.
  void RequestDispatch(ClaimId id, ServerId server, OnDispatch on_dispatch) {
    dispatches_[id] = std::move(on_dispatch);
    Run(DispatchRequested{id, std::move(server)});
  }

  // Records that the dispatched request finished. `sent` is false only if it is
  // certain that no byte was sent.
  void FinishDispatch(ClaimId id, bool sent) {
    Run(DispatchFinished{id, sent});
    if (sent) Forget(id);
  }

  // Abandons a claim that was not dispatched, with or without a verdict.
  void Abandon(ClaimId id) {
    Run(ClaimAbandoned{id});
    Forget(id);
  }

  // Reports that an Attach failed. Another verdict follows.
  void OnAttachFailed(ClaimId id, OnVerdict on_verdict) {
    verdicts_[id] = std::move(on_verdict);
    Run(AttachFailed{id});
  }

  // Answers a peer's query about a key.
  PeerAnswer HandleQuery(const PeerQuery& query) {
    std::vector<Action> actions;
    PeerAnswer answer = machine_.HandleQuery(query, now_(), &actions);
    Perform(std::move(actions));
    return answer;
  }

  // Adds the entry hosts that membership knows.
  void SetPeers(std::vector<EntryHostId> peers) {
    machine_.SetPeers(std::move(peers));
  }

  void OnTimer() { Run(TimePassed{}); }
  absl::Time NextWakeup() const { return machine_.NextWakeup(); }
  const ClaimCounters& counters() const { return machine_.counters(); }

 private:
  void Run(Event event) {
    std::vector<Action> actions;
    machine_.Handle(event, now_(), &actions);
    Perform(std::move(actions));
  }

  void Perform(std::vector<Action> actions) {
    for (Action& action : actions) {
      std::visit([this](auto& typed) { this->Do(std::move(typed)); }, action);
    }
  }

  void Do(CommitCall action) {
    table_->Commit(std::move(action.transaction),
                   [this, call = action.call](store::CommitResult result) {
                     this->Run(CommitAnswered{call, std::move(result)});
                   });
  }

  void Do(ReadCall action) {
    table_->Read(std::move(action.keys), Reader(action.call));
  }

  void Do(ScanCall action) {
    table_->Scan(std::move(action.prefix), Reader(action.call));
  }

  void Do(QueryCall action) {
    peers_->Query(std::move(action.peer), std::move(action.query),
                  [this, call = action.call](std::optional<PeerAnswer> answer) {
                    this->Run(PeerAnswered{call, std::move(answer)});
                  });
  }

  void Do(VerdictGiven action) {
    auto node = verdicts_.extract(action.id);
    if (!node.empty()) node.mapped()(action.id, std::move(action.verdict));
  }

  void Do(DispatchAnswered action) {
    auto node = dispatches_.extract(action.id);
    if (!node.empty()) node.mapped()(std::move(action.refusal));
  }

  std::function<void(store::ReadResult)> Reader(CallId call) {
    return [this, call](store::ReadResult result) {
      ReadAnswered answer{call, std::nullopt};
      if (result.ok()) answer.rows = std::move(result.value());
      this->Run(std::move(answer));
    };
  }

  void Forget(ClaimId id) {
    verdicts_.erase(id);
    dispatches_.erase(id);
  }

  ClaimMachine machine_;
  Table* table_;
  Peers* peers_;
  Now now_;
  ClaimId next_id_ = 1;
  absl::flat_hash_map<ClaimId, OnVerdict> verdicts_;
  absl::flat_hash_map<ClaimId, OnDispatch> dispatches_;
};

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_CLAIM_TABLE_H_
