// Maintenance of the claim state: routes table answers, deletes released rows,
// writes deferred rows, and renews the lease.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "claim/claim_machine.h"

namespace gentianlb::claim {
namespace {

const store::Row* FirstRow(const ReadAnswered& event) {
  bool any = event.rows && !event.rows->empty();
  return any ? &event.rows->front() : nullptr;
}

}  // namespace

void ClaimMachine::On(const CommitAnswered& event) {
  auto node = calls_.extract(event.call);
  if (node.empty()) return;
  const Call& call = node.mapped();
  store::CommitState state = event.result.state;
  OnTableAnswer(state == store::CommitState::kCommitted ||
                state == store::CommitState::kConflict);
  Claim* claim = Find(call.claim);
  // Ignore an answer that belongs to an earlier claim of the same request.
  if (claim != nullptr && claim->token != call.token) claim = nullptr;
  switch (call.purpose) {
    case Purpose::kClaimWrite:
      if (claim != nullptr) OnRowWritten(*claim, event.result);
      break;
    case Purpose::kFence:
      if (claim != nullptr) OnFenceWritten(*claim, event.result);
      break;
    case Purpose::kProgress:
      if (claim != nullptr && !event.result.versions.empty()) {
        claim->version = event.result.versions[0].version;
      }
      break;
    case Purpose::kDeleteWrite:
      OnDeleteWritten(call.token, state);
      break;
    case Purpose::kDeferredWrite:
      OnDeferredRowWritten(call.token, event.result);
      break;
    case Purpose::kRenew:
      renewing_ = false;
      coverage_.OnRenewed(event.result, now_);
      ResumeAwaitingScan();
      break;
    default:
      break;
  }
}

void ClaimMachine::On(const ReadAnswered& event) {
  auto node = calls_.extract(event.call);
  if (node.empty()) return;
  const Call& call = node.mapped();
  bool answered = event.rows.has_value();
  if (call.purpose == Purpose::kScan) scanning_ = false;
  OnTableAnswer(answered);
  if (call.purpose == Purpose::kScan) {
    absl::Duration pause =
        answered ? options_.coverage.renew_interval : options_.probe_interval;
    next_scan_ = now_ + pause;
    if (answered) OnScanned(call, *event.rows);
    return;
  }
  if (call.purpose == Purpose::kDeleteRead) {
    OnDeleteRead(call.token, FirstRow(event), answered);
    return;
  }
  if (call.purpose == Purpose::kDeferredRead) {
    OnDeferredRowRead(call.token, FirstRow(event), answered);
    return;
  }
  Claim* claim = Find(call.claim);
  if (claim == nullptr || claim->token != call.token) return;
  if (answered && claim->phase == Phase::kFenceReading) {
    OnFenceRead(*claim, FirstRow(event));
  } else if (answered) {
    OnRowRead(*claim, FirstRow(event));
  } else if (claim->phase == Phase::kFenceReading) {
    // The fence may be in the row, but nothing was sent under it.
    claim->phase = Phase::kReady;
    RefuseDispatch(*claim, Code::kClaimStoreDown);
  } else if (claim->phase == Phase::kReading) {
    OnTableFailed(*claim);
  }
}

void ClaimMachine::On(const TimePassed&) {
  if (now_ >= next_scan_) StartScan();
  ResumeQueued();
  if (!table_up_) return;
  for (auto& [token, pending] : pending_deletes_) ContinueDelete(pending);
  for (auto& [token, deferred] : deferred_) WriteDeferredRow(deferred);
}

void ClaimMachine::OnTableAnswer(bool answered) {
  bool recovered = answered && !table_up_;
  table_up_ = answered;
  if (recovered) ResumeQueued();
}

// Resumes waiting claims: with the table when it has recovered, or without it
// when the lease has lapsed.
void ClaimMachine::ResumeQueued() {
  std::vector<ClaimId> waiting;
  for (const auto& [id, claim] : claims_) {
    bool with_table = claim.phase == Phase::kQueued ||
                      claim.phase == Phase::kQueryingAllPeers;
    bool no_table =
        claim.phase == Phase::kQueued || claim.phase == Phase::kAwaitingScan;
    bool lapsed = coverage_.HasLapsed(now_);
    if (table_up_ ? with_table : no_table && lapsed) waiting.push_back(id);
  }
  for (ClaimId id : waiting) {
    Claim* claim = Find(id);
    if (claim == nullptr) continue;
    claim->queries.clear();
    claim->in_doubt = false;
    if (!table_up_) {
      RunWithoutTable(*claim);
    } else if (claim->version != 0) {
      CheckUnrecordedRuns(*claim);
    } else {
      WriteRow(*claim);
    }
  }
}

// --- Row deletes ------------------------------------------------------------

// Starts the deletion of a released claim's row. A row that stays would block
// its key until the owner dies: a re-send would be attached to a request that
// does not run.
void ClaimMachine::StartDelete(Claim& claim) {
  memory_.AddAbandoned(claim.token, now_);
  PendingDelete& pending = pending_deletes_[claim.token];
  pending.key = claim.request.key;
  pending.token = claim.token;
  if (table_up_) ContinueDelete(pending);
}

void ClaimMachine::ContinueDelete(PendingDelete& pending) {
  if (pending.in_flight) return;
  pending.in_flight = true;
  Read(Purpose::kDeleteRead, 0, pending.token, RowKey(pending.key));
}

void ClaimMachine::OnDeleteRead(const std::string& token, const store::Row* row,
                                bool answered) {
  auto found = pending_deletes_.find(token);
  if (found == pending_deletes_.end()) return;
  PendingDelete& pending = found->second;
  pending.in_flight = false;
  if (!answered) return;
  std::optional<ClaimRow> claim;
  if (row != nullptr) claim = DecodeClaim(row->value);
  if (!claim || claim->token != token) {
    pending_deletes_.erase(found);
    return;
  }
  pending.in_flight = true;
  Commit(Purpose::kDeleteWrite, 0, token, RowKey(pending.key), row->version,
         std::nullopt);
}

void ClaimMachine::OnDeleteWritten(const std::string& token,
                                   store::CommitState state) {
  auto found = pending_deletes_.find(token);
  if (found == pending_deletes_.end()) return;
  found->second.in_flight = false;
  if (state == store::CommitState::kCommitted) pending_deletes_.erase(found);
}

// --- Deferred rows ----------------------------------------------------------

void ClaimMachine::WriteDeferredRow(DeferredRow& deferred) {
  if (deferred.in_flight) return;
  deferred.in_flight = true;
  Commit(Purpose::kDeferredWrite, 0, deferred.row.token, RowKey(deferred.key),
         0, Encode(deferred.row));
}

void ClaimMachine::OnDeferredRowWritten(const std::string& token,
                                        const store::CommitResult& result) {
  auto found = deferred_.find(token);
  if (found == deferred_.end()) return;
  found->second.in_flight = false;
  if (result.state == store::CommitState::kNotApplied) return;
  if (result.state == store::CommitState::kCommitted) {
    OnDeferredRowDurable(
        token, result.versions.empty() ? 1 : result.versions[0].version);
    return;
  }
  found->second.in_flight = true;
  Read(Purpose::kDeferredRead, 0, token, RowKey(found->second.key));
}

void ClaimMachine::OnDeferredRowRead(const std::string& token,
                                     const store::Row* row, bool answered) {
  auto found = deferred_.find(token);
  if (found == deferred_.end()) return;
  DeferredRow& deferred = found->second;
  deferred.in_flight = false;
  if (!answered) return;
  if (row == nullptr) {
    WriteDeferredRow(deferred);
    return;
  }
  std::optional<ClaimRow> foreign = DecodeClaim(row->value);
  if (foreign && foreign->token == token) {
    OnDeferredRowDurable(token, row->version);
    return;
  }
  // Replace the other claim's row. Its owner has not dispatched the key: it
  // must query this host first, and this host answers that it holds the key.
  deferred.in_flight = true;
  Commit(Purpose::kDeferredWrite, 0, token, RowKey(deferred.key), row->version,
         Encode(deferred.row));
}

void ClaimMachine::OnDeferredRowDurable(const std::string& token,
                                        store::RowVersion version) {
  auto node = deferred_.extract(token);
  if (Claim* claim = FindHolder(node.mapped().key)) {
    if (claim->token == token) {
      claim->version = version;
      claim->row_may_exist = true;
    }
  }
  // A new scan allows the next lease renewal.
  if (deferred_.empty()) StartScan();
}

// --- The lease --------------------------------------------------------------

void ClaimMachine::StartScan() {
  if (scanning_) return;
  scanning_ = true;
  CallId call = NewCall(Purpose::kScan, 0, "");
  actions_->push_back(ScanCall{call, std::string(kLeasePrefix)});
}

void ClaimMachine::OnScanned(const Call& call,
                             const std::vector<store::Row>& rows) {
  // Keep entries for two windows: the last re-send of a key may still wait at a
  // peer when the key's window has passed.
  memory_.ForgetBefore(now_ - 2 * options_.coverage.key_window);
  coverage_.OnScan(rows, call.sent, now_);
  for (auto& [token, deferred] : deferred_) WriteDeferredRow(deferred);
  RenewLeaseIfSafe();
  ResumeAwaitingScan();
}

void ClaimMachine::ResumeAwaitingScan() {
  if (!coverage_.registered()) return;
  std::vector<ClaimId> waiting;
  for (const auto& [id, claim] : claims_) {
    if (claim.phase == Phase::kAwaitingScan) waiting.push_back(id);
  }
  for (ClaimId id : waiting) {
    if (Claim* claim = Find(id)) CheckUnrecordedRuns(*claim);
  }
}

// Renews the lease if every key that this host ran has a row. Peers that see a
// current lease rely on that: an earlier renewal would let a re-send run a
// second time.
void ClaimMachine::RenewLeaseIfSafe() {
  bool busy = std::any_of(claims_.begin(), claims_.end(), [](auto& entry) {
    return entry.second.phase == Phase::kQueryingAllPeers;
  });
  if (renewing_ || busy || !deferred_.empty() || coverage_.superseded()) return;
  renewing_ = true;
  CallId call = NewCall(Purpose::kRenew, 0, "");
  actions_->push_back(CommitCall{call, coverage_.Renew(now_)});
}

}  // namespace gentianlb::claim
