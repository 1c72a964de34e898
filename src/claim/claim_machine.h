// State machine that decides on the claims of one entry host. It uses no
// network, thread or clock: it takes events with their time and returns
// actions. It is copyable so that the explorer test can branch at every step.
// docs/design/at-most-once.md lists the states and transitions.

#ifndef GENTIANLB_CLAIM_CLAIM_MACHINE_H_
#define GENTIANLB_CLAIM_CLAIM_MACHINE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "claim/coverage.h"
#include "claim/key_memory.h"
#include "claim/messages.h"
#include "claim/rows.h"

namespace gentianlb::claim {

struct ClaimOptions {
  EntryHostId self;
  Incarnation incarnation = 0;
  CoverageOptions coverage;
  // Maximum transit time of a request: the HTTP server refuses a message that
  // is incomplete after 30 s.
  absl::Duration max_transit = absl::Seconds(30);
  // A longer gap between two events means that the process was paused and that
  // messages may have waited in its sockets. The control thread wakes every
  // second.
  absl::Duration pause_gap = absl::Seconds(5);
  // Interval of the scans that detect the table's recovery.
  absl::Duration probe_interval = absl::Milliseconds(500);
};

struct ClaimCounters {
  std::uint64_t opened = 0;
  std::uint64_t proceeded = 0;
  std::uint64_t proceeded_without_table = 0;
  std::uint64_t attached = 0;
  std::uint64_t resumed = 0;
  std::uint64_t refused = 0;
  std::uint64_t row_writes = 0;
  std::uint64_t row_reads = 0;
  std::uint64_t queries = 0;
  auto operator<=>(const ClaimCounters&) const = default;
};

class ClaimMachine {
 public:
  ClaimMachine(ClaimOptions options, absl::Time now);

  // Processes `event` and appends the resulting actions in order.
  void Handle(const Event& event, absl::Time now, std::vector<Action>* actions);

  // Answers a peer's query about a key.
  PeerAnswer HandleQuery(const PeerQuery& query, absl::Time now,
                         std::vector<Action>* actions);

  // Adds the entry hosts that membership knows. Hosts that left are kept until
  // a restart, since they may still run requests.
  void SetPeers(std::vector<EntryHostId> peers);

  // Returns the latest time of the next TimePassed event.
  absl::Time NextWakeup() const;

  const ClaimCounters& counters() const { return counters_; }
  bool table_up() const { return table_up_; }
  const Coverage& coverage() const { return coverage_; }
  std::size_t open_claims() const { return claims_.size(); }

  // Returns all state that affects later decisions as text, for dumps and for
  // the explorer test.
  std::string Describe() const;

 private:
  enum class Phase {
    kQueued,            // Waits until the table recovers or the lease lapses.
    kWriting,           // The row's write is in flight.
    kReading,           // Reads the row after a conflict or a lost answer.
    kQueryingOwner,     // Found another claim's row; queries its owner.
    kAwaitingScan,      // Row durable; the last lease scan is too old.
    kQueryingPeers,     // Row durable; a peer may have run it without a row.
    kQueryingAllPeers,  // The table is down.
    kReady,             // Proceed was given.
    kFencing,           // Writes the server to the row before the dispatch.
    kFenceReading,      // Reads the row after a conflict or a lost answer.
    kRunning,           // Dispatched.
    kAttached,          // Attach was given.
  };

  struct Claim {
    ClaimId id = 0;
    ClaimRequest request;
    std::string token;
    Phase phase = Phase::kQueued;
    absl::Time row_sent;
    // The next write replaces this version of the row; 0 if there is none.
    store::RowVersion replaced_version = 0;
    store::RowVersion version = 0;  // Of the own row; 0 if not durable.
    bool row_may_exist = false;     // The own row may be in the table.
    bool without_table = false;     // Proceeds without a row.
    bool attach_failed = false;
    bool in_doubt = false;  // A queried peer may have run the key.
    ServerId server;
    std::optional<store::Row> found_row;    // Another claim's row, if any.
    std::map<CallId, EntryHostId> queries;  // Without an answer so far.
    std::vector<Promise> promises;          // Made to peers before the claim.
    absl::Time first_sent;  // Lower bound of the first send time.
  };

  // A row to delete. Nothing is dispatched under its token any more.
  struct PendingDelete {
    ClaimKey key;
    std::string token;
    bool in_flight = false;  // A table call has no answer yet.
  };

  // Row of a key that runs without one, to be written when the table recovers.
  struct DeferredRow {
    ClaimKey key;
    ClaimRow row;
    bool in_flight = false;
  };

  enum class Purpose {
    kClaimWrite,
    kClaimRead,
    kFence,
    kProgress,
    kDeleteRead,
    kDeleteWrite,
    kDeferredWrite,
    kDeferredRead,
    kScan,
    kRenew,
    kQuery,
  };

  // Context of a table or peer call, used when its answer arrives.
  struct Call {
    Purpose purpose = Purpose::kScan;
    ClaimId claim = 0;
    std::string token;  // Of the claim, or of the row to write or delete.
    absl::Time sent;
  };

  using Actions = std::vector<Action>;

  // Events.
  void On(const ClaimOpened& event);
  void On(const DispatchRequested& event);
  void On(const DispatchFinished& event);
  void On(const ClaimAbandoned& event);
  void On(const AttachFailed& event);
  void On(const CommitAnswered& event);
  void On(const ReadAnswered& event);
  void On(const PeerAnswered& event);
  void On(const TimePassed& event);

  // From Open() to the verdict: claim_machine.cc.
  void Begin(Claim& claim);
  void WriteRow(Claim& claim);
  void ReadRow(Claim& claim, Phase phase);
  void OnRowWritten(Claim& claim, const store::CommitResult& result);
  void OnRowRead(Claim& claim, const store::Row* row);
  void OnTableFailed(Claim& claim);
  void OnForeignRow(Claim& claim, const store::Row& row,
                    const ClaimRow& foreign);
  void OnOwnerAnswer(Claim& claim, const std::optional<PeerAnswer>& answer);
  void OnOwnerUnavailable(Claim& claim, const ClaimRow& foreign);
  void TakeOver(Claim& claim);
  void OnRowDurable(Claim& claim, store::RowVersion version);
  void CheckUnrecordedRuns(Claim& claim);
  void RunWithoutTable(Claim& claim);
  void QueryAllPeers(Claim& claim);
  void Query(Claim& claim, const EntryHostId& peer, std::string token);
  void OnPeerAnswer(Claim& claim, const EntryHostId& peer,
                    const std::optional<PeerAnswer>& answer);
  bool ProvesNotRun(const Claim& claim, const EntryHostId& peer,
                    const std::optional<PeerAnswer>& answer) const;
  void OnAllPeersAnswered(Claim& claim);
  void GiveProceed(Claim& claim);
  void GiveAttach(Claim& claim, const EntryHostId& owner);
  void GiveResume(Claim& claim, const Resume& resume);
  void GiveRefusal(Claim& claim, Code code, std::string detail);
  void Release(Claim& claim);
  Code TableDownCode(const Claim& claim) const;
  void AdvanceTime(absl::Time now);
  absl::Time EarliestSendTime() const;
  absl::Time EarliestFirstSend(const ClaimRequest& request) const;
  void AnswerQuery(const PeerQuery& query, PeerAnswer* answer);
  bool YieldsTo(const Claim& holder, const PeerQuery& query) const;

  // Dispatch: claim_dispatch.cc.
  bool IsFenced(const Claim& claim) const;
  void WriteFence(Claim& claim);
  void OnFenceWritten(Claim& claim, const store::CommitResult& result);
  void OnFenceRead(Claim& claim, const store::Row* row);
  void AllowDispatch(Claim& claim);
  void RefuseDispatch(Claim& claim, Code code);
  void WriteProgress(Claim& claim, RowState state);
  void Finish(Claim& claim);
  ClaimRow RowOf(const Claim& claim, RowState state) const;

  // Table answers, row deletes, deferred rows, lease: claim_upkeep.cc.
  void StartDelete(Claim& claim);
  void ContinueDelete(PendingDelete& pending);
  void OnDeleteRead(const std::string& token, const store::Row* row,
                    bool answered);
  void OnDeleteWritten(const std::string& token, store::CommitState state);
  void WriteDeferredRow(DeferredRow& deferred);
  void OnDeferredRowWritten(const std::string& token,
                            const store::CommitResult& result);
  void OnDeferredRowRead(const std::string& token, const store::Row* row,
                         bool answered);
  void OnDeferredRowDurable(const std::string& token,
                            store::RowVersion version);
  void OnScanned(const Call& call, const std::vector<store::Row>& rows);
  void OnTableAnswer(bool answered);
  void ResumeQueued();
  void RenewLeaseIfSafe();
  void ResumeAwaitingScan();
  void StartScan();

  CallId NewCall(Purpose purpose, ClaimId claim, std::string token);
  void Commit(Purpose purpose, ClaimId claim, std::string token,
              const std::string& row_key, store::RowVersion version,
              std::optional<std::string> value);
  void Read(Purpose purpose, ClaimId claim, std::string token,
            const std::string& row_key);
  Claim* Find(ClaimId id);
  Claim* FindHolder(const ClaimKey& key);
  std::vector<EntryHostId> AllPeers() const;

  ClaimOptions options_;
  Coverage coverage_;
  KeyMemory memory_;
  absl::Time started_;
  absl::Time now_;
  Actions* actions_ = nullptr;  // Set only during a call.
  bool table_up_ = true;
  bool scanning_ = false;
  bool renewing_ = false;
  absl::Time next_scan_;
  // Start and end of the last pause of the process. Pauses in short succession
  // count as one.
  absl::Time paused_from_;
  absl::Time awake_since_;
  CallId next_call_ = 1;
  std::uint64_t next_token_ = 1;
  std::map<ClaimId, Claim> claims_;
  std::map<ClaimKey, ClaimId> holders_;
  std::map<std::string, PendingDelete> pending_deletes_;  // By token.
  std::map<std::string, DeferredRow> deferred_;           // By token.
  std::map<CallId, Call> calls_;
  std::set<EntryHostId> peers_;
  std::set<EntryHostId>
      aware_peers_;  // Peers that answered a query, so know this host.
  ClaimCounters counters_;
};

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_CLAIM_MACHINE_H_
