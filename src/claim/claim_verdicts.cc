// Verdicts of claims: what their callers may do, and what remains of the claim.

#include <utility>

#include "claim/claim_machine.h"

namespace gentianlb::claim {
namespace {

// Retry-after times of refused callers. The table's breaker probes once a
// second, and a lease lapses within its duration.
constexpr absl::Duration kRetryAfter = absl::Seconds(2);
constexpr absl::Duration kRetryAfterInDoubt = absl::Seconds(15);

}  // namespace

void ClaimMachine::GiveProceed(Claim& claim) {
  ++counters_.proceeded;
  claim.phase = Phase::kReady;
  claim.without_table = claim.version == 0;
  if (claim.without_table) {
    ++counters_.proceeded_without_table;
    // Add the entry before RowOf(), so that the row is marked as not fenced.
    DeferredRow& deferred = deferred_[claim.token];
    deferred = {claim.request.key, RowOf(claim, RowState::kClaimed)};
  }
  actions_->push_back(VerdictGiven{claim.id, Proceed{}});
}

void ClaimMachine::GiveAttach(Claim& claim, const EntryHostId& owner) {
  ++counters_.attached;
  Release(claim);
  claim.phase = Phase::kAttached;
  actions_->push_back(VerdictGiven{claim.id, Attach{owner}});
}

void ClaimMachine::GiveResume(Claim& claim, const Resume& resume) {
  ++counters_.resumed;
  Release(claim);
  actions_->push_back(VerdictGiven{claim.id, resume});
  claims_.erase(claim.id);
}

void ClaimMachine::GiveRefusal(Claim& claim, Code code, std::string detail) {
  ++counters_.refused;
  Release(claim);
  bool in_doubt = code == Code::kClaimInDoubt;
  Refuse refusal{{code, std::move(detail)},
                 in_doubt ? kRetryAfterInDoubt : kRetryAfter};
  actions_->push_back(VerdictGiven{claim.id, std::move(refusal)});
  claims_.erase(claim.id);
}

// Releases the key and starts the deletion of the claim's row. Nothing is
// dispatched under the claim's token afterwards.
void ClaimMachine::Release(Claim& claim) {
  auto holder = holders_.find(claim.request.key);
  if (holder != holders_.end() && holder->second == claim.id) {
    holders_.erase(holder);
  }
  claim.queries.clear();
  bool deferred = deferred_.erase(claim.token) > 0;
  if (claim.row_may_exist || deferred) StartDelete(claim);
  claim.row_may_exist = false;
}

// Returns the result code of a request that fails because the table is down.
// It is kClaimInDoubt if the key may have run under an earlier claim.
Code ClaimMachine::TableDownCode(const Claim& claim) const {
  bool earlier =
      claim.request.attempt > 1 || !claim.promises.empty() ||
      claim.attach_failed ||
      (claim.phase == Phase::kQueryingAllPeers && claim.request.attempt != 1);
  return earlier ? Code::kClaimInDoubt : Code::kClaimStoreDown;
}

}  // namespace gentianlb::claim
