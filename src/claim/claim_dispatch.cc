// Dispatch of a claim: writes the fence, allows or refuses the dispatch, and
// records its end.

#include <utility>

#include "claim/claim_machine.h"

namespace gentianlb::claim {
namespace {

constexpr absl::Duration kRetryAfter = absl::Seconds(2);

}  // namespace

void ClaimMachine::On(const DispatchRequested& event) {
  Claim* claim = Find(event.id);
  if (claim == nullptr || claim->phase != Phase::kReady) {
    Refuse refusal{{Code::kClaimHeldElsewhere, "not held here"}, kRetryAfter};
    actions_->push_back(DispatchAnswered{event.id, std::move(refusal)});
    return;
  }
  claim->server = event.server;
  if (IsFenced(*claim)) {
    WriteFence(*claim);
  } else {
    AllowDispatch(*claim);
  }
}

void ClaimMachine::On(const DispatchFinished& event) {
  Claim* claim = Find(event.id);
  if (claim == nullptr || claim->phase != Phase::kRunning) return;
  if (event.sent) {
    Finish(*claim);
  } else {
    claim->phase = Phase::kReady;
  }
}

void ClaimMachine::WriteFence(Claim& claim) {
  claim.phase = Phase::kFencing;
  Commit(Purpose::kFence, claim.id, claim.token, RowKey(claim.request.key),
         claim.version, Encode(RowOf(claim, RowState::kDispatched)));
}

void ClaimMachine::OnFenceWritten(Claim& claim,
                                  const store::CommitResult& result) {
  if (claim.phase != Phase::kFencing) return;
  switch (result.state) {
    case store::CommitState::kCommitted:
      claim.version = result.versions.empty() ? claim.version + 1
                                              : result.versions[0].version;
      AllowDispatch(claim);
      return;
    case store::CommitState::kConflict:
    case store::CommitState::kUnknown:
      claim.phase = Phase::kFenceReading;
      Read(Purpose::kClaimRead, claim.id, claim.token,
           RowKey(claim.request.key));
      return;
    case store::CommitState::kNotApplied:
      claim.phase = Phase::kReady;
      RefuseDispatch(claim, Code::kClaimStoreDown);
      return;
  }
}

void ClaimMachine::OnFenceRead(Claim& claim, const store::Row* row) {
  if (claim.phase != Phase::kFenceReading) return;
  std::optional<ClaimRow> found;
  if (row != nullptr) found = DecodeClaim(row->value);
  if (!found || found->token != claim.token) {
    // Another host replaced the row in the meantime.
    RefuseDispatch(claim, Code::kClaimHeldElsewhere);
    Release(claim);
    claims_.erase(claim.id);
    return;
  }
  claim.version = row->version;
  bool fenced =
      found->state == RowState::kDispatched && found->server == claim.server;
  if (fenced) {
    AllowDispatch(claim);
  } else {
    WriteFence(claim);
  }
}

void ClaimMachine::AllowDispatch(Claim& claim) {
  claim.phase = Phase::kRunning;
  auto deferred = deferred_.find(claim.token);
  if (deferred != deferred_.end()) {
    deferred->second.row = RowOf(claim, RowState::kDispatched);
  }
  actions_->push_back(DispatchAnswered{claim.id, std::nullopt});
}

void ClaimMachine::RefuseDispatch(Claim& claim, Code code) {
  Refuse refusal{{code, ""}, kRetryAfter};
  actions_->push_back(DispatchAnswered{claim.id, std::move(refusal)});
}

void ClaimMachine::WriteProgress(Claim& claim, RowState state) {
  Commit(Purpose::kProgress, claim.id, claim.token, RowKey(claim.request.key),
         claim.version, Encode(RowOf(claim, state)));
}

void ClaimMachine::Finish(Claim& claim) {
  const ClaimRequest& request = claim.request;
  memory_.AddFinished(request.key, {claim.server, request.body_digest, now_});
  if (!request.idempotent) WriteProgress(claim, RowState::kDone);
  holders_.erase(request.key);
  claims_.erase(claim.id);
}

// Returns whether the owner must replace the claim's row before it sends the
// first byte. If a host dies or is paused while requests wait on it, another
// host can take over a fenced row: only the host that replaces the row first
// may dispatch. Without the fence, the keys would stay in doubt forever. A
// claim made without the table has no row to fence.
bool ClaimMachine::IsFenced(const Claim& claim) const {
  return !deferred_.contains(claim.token);
}

ClaimRow ClaimMachine::RowOf(const Claim& claim, RowState state) const {
  ClaimRow row;
  row.owner = options_.self;
  row.incarnation = options_.incarnation;
  row.state = state;
  row.body_digest = claim.request.body_digest;
  row.token = claim.token;
  row.server = claim.server;
  row.fenced = IsFenced(claim);
  row.written = now_;
  return row;
}

}  // namespace gentianlb::claim
