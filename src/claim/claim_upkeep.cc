// What goes on beside the claims: answers of the table, rows to close, rows
// that come late, the lease.

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
  // An answer to an earlier turn of the same request says nothing of this one.
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
    case Purpose::kCloseWrite:
      OnCloseWritten(call.token, state);
      break;
    case Purpose::kLateWrite:
      OnLateWritten(call.token, event.result);
      break;
    case Purpose::kRenew:
      renewing_ = false;
      coverage_.OnRenewed(event.result, now_);
      ResumeAwaiting();
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
        answered ? options_.coverage.renew_every : options_.probe_every;
    next_scan_ = now_ + pause;
    if (answered) OnScanned(call, *event.rows);
    return;
  }
  if (call.purpose == Purpose::kCloseRead) {
    OnCloseRead(call.token, FirstRow(event), answered);
    return;
  }
  if (call.purpose == Purpose::kLateRead) {
    OnLateRead(call.token, FirstRow(event), answered);
    return;
  }
  Claim* claim = Find(call.claim);
  if (claim == nullptr || claim->token != call.token) return;
  if (answered && claim->phase == Phase::kFenceReading) {
    OnFenceRead(*claim, FirstRow(event));
  } else if (answered) {
    OnRowRead(*claim, FirstRow(event));
  } else if (claim->phase == Phase::kFenceReading) {
    // Whether the fence stands isn't known, but nothing was sent under it.
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
  for (auto& [token, closing] : closings_) StepClosing(closing);
  for (auto& [token, late] : late_) StepLate(late);
}

void ClaimMachine::OnTableAnswer(bool answered) {
  bool returned = answered && !table_up_;
  table_up_ = answered;
  if (returned) ResumeQueued();
}

// Claims that wait go on: by the table when it is back, without it when the
// lease has lapsed.
void ClaimMachine::ResumeQueued() {
  std::vector<ClaimId> waiting;
  for (const auto& [id, claim] : claims_) {
    bool by_table =
        claim.phase == Phase::kQueued || claim.phase == Phase::kAskingAll;
    bool without =
        claim.phase == Phase::kQueued || claim.phase == Phase::kAwaitingScan;
    bool lapsed = coverage_.Lapsed(now_);
    if (table_up_ ? by_table : without && lapsed) waiting.push_back(id);
  }
  for (ClaimId id : waiting) {
    Claim* claim = Find(id);
    if (claim == nullptr) continue;
    claim->asked.clear();
    claim->doubt = false;
    if (!table_up_) {
      RunWithoutTable(*claim);
    } else if (claim->version != 0) {
      AskAboutUnwritten(*claim);
    } else {
      WriteRow(*claim);
    }
  }
}

// --- Rows to close ----------------------------------------------------------

// A row that nobody will use would hold its key until its owner dies, and a
// caller's next sending would be attached to nothing.
void ClaimMachine::StartClosing(Claim& claim) {
  memory_.AddAbandoned(claim.token, now_);
  Closing& closing = closings_[claim.token];
  closing.key = claim.request.key;
  closing.token = claim.token;
  if (table_up_) StepClosing(closing);
}

void ClaimMachine::StepClosing(Closing& closing) {
  if (closing.busy) return;
  closing.busy = true;
  Read(Purpose::kCloseRead, 0, closing.token, RowKey(closing.key));
}

void ClaimMachine::OnCloseRead(const std::string& token, const store::Row* row,
                               bool answered) {
  auto found = closings_.find(token);
  if (found == closings_.end()) return;
  Closing& closing = found->second;
  closing.busy = false;
  if (!answered) return;
  std::optional<ClaimRow> claim;
  if (row != nullptr) claim = DecodeClaim(row->value);
  if (!claim || claim->token != token) {
    closings_.erase(found);
    return;
  }
  closing.busy = true;
  Commit(Purpose::kCloseWrite, 0, token, RowKey(closing.key), row->version,
         std::nullopt);
}

void ClaimMachine::OnCloseWritten(const std::string& token,
                                  store::CommitState state) {
  auto found = closings_.find(token);
  if (found == closings_.end()) return;
  found->second.busy = false;
  if (state == store::CommitState::kCommitted) closings_.erase(found);
}

// --- Rows that come late ----------------------------------------------------

void ClaimMachine::StepLate(Late& late) {
  if (late.busy) return;
  late.busy = true;
  Commit(Purpose::kLateWrite, 0, late.row.token, RowKey(late.key), 0,
         Encode(late.row));
}

void ClaimMachine::OnLateWritten(const std::string& token,
                                 const store::CommitResult& result) {
  auto found = late_.find(token);
  if (found == late_.end()) return;
  found->second.busy = false;
  if (result.state == store::CommitState::kNotApplied) return;
  if (result.state == store::CommitState::kCommitted) {
    OnLateDurable(token,
                  result.versions.empty() ? 1 : result.versions[0].version);
    return;
  }
  found->second.busy = true;
  Read(Purpose::kLateRead, 0, token, RowKey(found->second.key));
}

void ClaimMachine::OnLateRead(const std::string& token, const store::Row* row,
                              bool answered) {
  auto found = late_.find(token);
  if (found == late_.end()) return;
  Late& late = found->second;
  late.busy = false;
  if (!answered) return;
  if (row == nullptr) {
    StepLate(late);
    return;
  }
  std::optional<ClaimRow> other = DecodeClaim(row->value);
  if (other && other->token == token) {
    OnLateDurable(token, row->version);
    return;
  }
  // Its owner hasn't dispatched the key: it must hear from us first, and we
  // answer that we hold it.
  late.busy = true;
  Commit(Purpose::kLateWrite, 0, token, RowKey(late.key), row->version,
         Encode(late.row));
}

void ClaimMachine::OnLateDurable(const std::string& token,
                                 store::RowVersion version) {
  auto node = late_.extract(token);
  if (Claim* claim = Holder(node.mapped().key)) {
    if (claim->token == token) {
      claim->version = version;
      claim->maybe_row = true;
    }
  }
  // The lease may be renewed again, after a fresh look.
  if (late_.empty()) StartScan();
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
  // The last sending of a key may still wait at a peer when its window is over.
  memory_.ForgetBefore(now_ - 2 * options_.coverage.key_window);
  coverage_.OnScan(rows, call.sent, now_);
  for (auto& [token, late] : late_) StepLate(late);
  RenewIfClean();
  ResumeAwaiting();
}

void ClaimMachine::ResumeAwaiting() {
  if (!coverage_.registered()) return;
  std::vector<ClaimId> waiting;
  for (const auto& [id, claim] : claims_) {
    if (claim.phase == Phase::kAwaitingScan) waiting.push_back(id);
  }
  for (ClaimId id : waiting) {
    if (Claim* claim = Find(id)) AskAboutUnwritten(*claim);
  }
}

// Whoever sees this host's lease current takes it for certain that all it ran
// has a row. A renewal before that would let a re-send run a second time.
void ClaimMachine::RenewIfClean() {
  bool asking = std::any_of(claims_.begin(), claims_.end(), [](auto& entry) {
    return entry.second.phase == Phase::kAskingAll;
  });
  if (renewing_ || asking || !late_.empty() || coverage_.superseded()) return;
  renewing_ = true;
  CallId call = NewCall(Purpose::kRenew, 0, "");
  actions_->push_back(CommitCall{call, coverage_.Renew(now_)});
}

}  // namespace gentianlb::claim
