// The decisions on claims of one entry host, without network, thread or clock:
// events go in with the time, actions come out. A copyable value, so that the
// explorer can branch it at every step. docs/design/at-most-once.md has the
// states and every transition.

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
  // How long a sending may be on its way: the HTTP server refuses a message
  // that isn't whole within 30 s.
  absl::Duration max_transit = absl::Seconds(30);
  // The control thread wakes every second; a longer gap means that the process
  // was paused, and messages may have waited in its sockets meanwhile.
  absl::Duration pause_gap = absl::Seconds(5);
  // While the table is out: how soon its return is noticed.
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

  // Appends the actions that `event` leads to, in order.
  void Handle(const Event& event, absl::Time now, std::vector<Action>* actions);

  // A peer asks about a key.
  PeerAnswer HandleQuery(const PeerQuery& query, absl::Time now,
                         std::vector<Action>* actions);

  // Entry hosts known to membership. They are added: a host that has left may
  // still be running what it ran, and isn't forgotten before a restart.
  void SetPeers(std::vector<EntryHostId> peers);

  // When TimePassed is due at the latest.
  absl::Time NextWakeup() const;

  const ClaimCounters& counters() const { return counters_; }
  bool table_up() const { return table_up_; }
  const Coverage& coverage() const { return coverage_; }
  std::size_t open_claims() const { return claims_.size(); }

  // All that decides the future, as text: for dumps and for the explorer.
  std::string Describe() const;

 private:
  enum class Phase {
    kQueued,         // Waits for the table to come back, or the lease to lapse.
    kWriting,        // Its row is on the way.
    kReading,        // Reads the row: after a conflict or a lost answer.
    kQueryingOwner,  // Another's row was found.
    kAwaitingScan,   // Row durable; the picture of the leases is too old.
    kQueryingPeers,  // Row durable; someone may have run it without a row.
    kQueryingAllPeers,  // Without the table.
    kReady,             // Proceed was given.
    kFencing,           // Names the server in the row before the dispatch.
    kFenceReading,      // The answer to that was lost, or it met a change.
    kRunning,           // Dispatched.
    kAttached,          // Attach was given.
  };

  struct Claim {
    ClaimId id = 0;
    ClaimRequest request;
    std::string token;
    Phase phase = Phase::kQueued;
    absl::Time row_sent;
    store::RowVersion replaced_version = 0;  // What the next write replaces.
    store::RowVersion version = 0;           // Of the own row; 0: not durable.
    bool row_may_exist = false;              // The row may be in the table.
    bool without_table = false;  // Was allowed to run without a row.
    bool attach_failed = false;
    bool in_doubt = false;  // An asked peer can't rule the key out.
    ServerId server;
    std::optional<store::Row> found_row;  // Another's row, while asking.
    std::map<CallId, EntryHostId> queries;
    std::vector<Promise> promises;  // Given to peers before it was opened.
    absl::Time first_sent;          // The key was never sent before this.
  };

  // A row to delete: nothing will be dispatched under its token.
  struct PendingDelete {
    ClaimKey key;
    std::string token;
    bool in_flight = false;  // A call is on its way.
  };

  // A key that runs without a row; its row must follow.
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

  // What an answer belongs to.
  struct Call {
    Purpose purpose = Purpose::kScan;
    ClaimId claim = 0;
    std::string token;  // Of a closing or late row.
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
  void On(const TimerFired& event);

  // The claim's way, claim_machine.cc.
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
  void GiveResume(Claim& claim, const ServerId& server, bool finished);
  void GiveRefusal(Claim& claim, Code code, std::string detail);
  void Release(Claim& claim);
  Code TableDownCode(const Claim& claim) const;
  void AdvanceTime(absl::Time now);
  absl::Time EarliestSendTime() const;
  absl::Time EarliestFirstSend(const ClaimRequest& request) const;
  void AnswerQuery(const PeerQuery& query, PeerAnswer* answer);
  bool YieldsTo(const Claim& holder, const PeerQuery& query) const;

  // Around the dispatch, claim_dispatch.cc.
  bool IsFenced(const Claim& claim) const;
  void WriteFence(Claim& claim);
  void OnFenceWritten(Claim& claim, const store::CommitResult& result);
  void OnFenceRead(Claim& claim, const store::Row* row);
  void AllowDispatch(Claim& claim);
  void RefuseDispatch(Claim& claim, Code code);
  void WriteProgress(Claim& claim, RowState state);
  void Finish(Claim& claim);
  ClaimRow RowOf(const Claim& claim, RowState state) const;

  // What follows the claims, claim_upkeep.cc.
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
  Actions* actions_ = nullptr;  // Only during a call.
  bool table_up_ = true;
  bool scanning_ = false;
  bool renewing_ = false;
  absl::Time next_scan_;
  // The last pause of the process, or several in short succession.
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
  std::set<EntryHostId> aware_peers_;  // Peers that certainly know this host.
  ClaimCounters counters_;
};

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_CLAIM_MACHINE_H_
