#include "replay/ledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"
#include "replay/fairness.h"

namespace gentianlb::replay {
namespace {

constexpr int kBytesPerToken = 4;
constexpr int kEntryHosts = 3;  // Requests come in over these, in turn.

bool IsOpen(Phase phase) {
  return phase == Phase::kWaiting || phase == Phase::kRunning;
}

// The codes that tell a caller that there was no room or no power.
bool IsForRoomOrPower(Code code) {
  return code == Code::kQueueFull || code == Code::kShedForHigherTier ||
         code == Code::kPowerShort || code == Code::kNoServer;
}

bool IsForTime(Code code) {
  return code == Code::kDeadlineUnreachable || code == Code::kDeadlinePassed;
}

absl::Duration Quantile(std::vector<absl::Duration> values, double part) {
  if (values.empty()) return absl::ZeroDuration();
  auto rank = std::lround(part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + rank, values.end());
  return values[rank];
}

void Count(Phase phase, TierFigures* figures) {
  ++figures->offered;
  if (phase == Phase::kInTime) ++figures->in_time;
  if (phase == Phase::kLate) ++figures->late;
  if (phase == Phase::kRefused) ++figures->refused;
  if (phase == Phase::kCancelled) ++figures->cancelled;
  if (phase == Phase::kBroken) ++figures->broken;
  if (phase == Phase::kAbandoned) ++figures->abandoned;
}

schedule::Request Describe(const TraceRequest& trace, const ModelId& model,
                           absl::Time arrival, int number) {
  schedule::Request request;
  request.id = trace.id;
  request.host = EntryHostId(absl::StrCat("entry-", number % kEntryHosts + 1));
  request.workspace = trace.workspace;
  request.model = model;
  request.tier = trace.tier;
  request.arrival = arrival;
  request.deadline = arrival + trace.deadline;
  request.prompt_tokens = trace.prompt_tokens;
  request.max_output_tokens = trace.max_output_tokens;
  request.body_bytes = std::int64_t{kBytesPerToken} * trace.prompt_tokens;
  request.prefix = PrefixChain(trace);
  return request;
}

}  // namespace

Ledger::Ledger(const Trace& trace, const ServiceLoad& service,
               absl::Time start) {
  for (const TraceEvent& event : trace.events) {
    const auto* request = std::get_if<TraceRequest>(&event.body);
    if (request == nullptr || request->service != service.id) continue;
    by_id_[request->id] = size();
    tiers_[request->tier];
    Record record;
    record.trace = *request;
    record.request =
        Describe(*request, service.model, start + event.at, size());
    records_.push_back(std::move(record));
  }
}

StreamIndex Ledger::Find(const RequestId& id) const {
  auto found = by_id_.find(id);
  return found == by_id_.end() ? -1 : found->second;
}

bool Ledger::Granted(StreamIndex index, int server) {
  if (records_[index].phase != Phase::kWaiting) {
    Fault(absl::StrCat("granted, but not waiting: ",
                       records_[index].trace.id.str()));
    return false;
  }
  records_[index].server = server;
  records_[index].cancel_sent = false;
  Move(index, Phase::kRunning);
  return true;
}

bool Ledger::Refused(StreamIndex index, Code code, bool could_finish) {
  const Record& record = records_[index];
  if (record.phase == Phase::kAbandoned) return false;  // Its last word.
  if (record.phase != Phase::kWaiting) {
    Fault(absl::StrCat("refused, but not waiting: ", record.trace.id.str()));
    return false;
  }
  TierState& tier = tiers_[record.trace.tier];
  if (LowerTierWaits(record.trace.tier)) {
    if (IsForRoomOrPower(code)) ++tier.inversions;
    if (IsForTime(code) && could_finish) ++tier.doubtful_refusals;
  }
  ++tier.codes[code];
  Move(index, Phase::kRefused);
  return true;
}

bool Ledger::Cancelled(StreamIndex index, Code code) {
  Record& record = records_[index];
  bool never_ran = record.server < 0 || record.phase == Phase::kRefused;
  if (never_ran && record.phase != Phase::kAbandoned) {
    Fault(absl::StrCat("cancelled, but never run: ", record.trace.id.str()));
    return false;
  }
  // It may have ended, or come back unsent, while the decision was on its way.
  if (record.phase != Phase::kRunning || record.cancel_sent) return false;
  record.cancel_sent = true;
  ++tiers_[record.trace.tier].codes[code];
  if (IsForRoomOrPower(code) && LowerTierRuns(record.trace.tier)) {
    ++tiers_[record.trace.tier].cancel_inversions;
  }
  return true;
}

void Ledger::Arrived(StreamIndex index) { Move(index, Phase::kWaiting); }

void Ledger::NotSent(StreamIndex index) {
  bool gone = records_[index].caller_gone;
  Move(index, gone ? Phase::kAbandoned : Phase::kWaiting);
}

void Ledger::PrefillBegan(StreamIndex index, int cached_tokens, double evicted,
                          double misplaced) {
  Record& record = records_[index];
  record.cached_tokens = cached_tokens;
  record.evicted_tokens = evicted;
  record.misplaced_tokens = misplaced;
}

void Ledger::FirstToken(StreamIndex index, absl::Time when) {
  Record& record = records_[index];
  record.first_token = when - record.request.arrival;
  record.prefilled_tokens = record.trace.prompt_tokens - record.cached_tokens;
}

void Ledger::Finished(StreamIndex index, absl::Time when) {
  bool in_time = when <= records_[index].request.deadline;
  Move(index, in_time ? Phase::kInTime : Phase::kLate);
}

void Ledger::Stopped(const StreamRemains& remains, Phase end) {
  Record& record = records_[remains.index];
  record.prefilled_tokens = remains.prefilled_tokens;
  Move(remains.index, record.caller_gone ? Phase::kAbandoned : end);
}

void Ledger::CallerLeft(StreamIndex index) {
  records_[index].caller_gone = true;
  if (records_[index].phase == Phase::kWaiting) {
    Move(index, Phase::kAbandoned);
  }
}

void Ledger::Fault(const std::string& what) { faults_.push_back(what); }

std::vector<TierFigures> Ledger::Tiers(
    const std::vector<WorkspaceLoad>& workspaces) const {
  absl::btree_map<Tier, TierFigures> figures;
  absl::btree_map<Tier, std::vector<absl::Duration>> first_tokens;
  absl::btree_map<Tier, absl::btree_map<WorkspaceId, WorkspaceWork>> work;
  for (const Record& record : records_) {
    Tier tier = record.trace.tier;
    Count(record.phase, &figures[tier]);
    if (record.first_token != absl::InfiniteDuration()) {
      first_tokens[tier].push_back(record.first_token);
    }
    double tokens = record.trace.prompt_tokens + record.trace.output_tokens;
    WorkspaceWork& of = work[tier][record.trace.workspace];
    of.demanded += tokens;
    if (record.phase == Phase::kInTime) of.served += tokens;
  }
  std::vector<TierFigures> result;
  for (auto& [tier, row] : figures) {
    row.tier = tier;
    row.inversions = tiers_.at(tier).inversions;
    row.cancel_inversions = tiers_.at(tier).cancel_inversions;
    row.doubtful_refusals = tiers_.at(tier).doubtful_refusals;
    row.codes = tiers_.at(tier).codes;
    row.first_token_median = Quantile(first_tokens[tier], 0.5);
    row.first_token_p99 = Quantile(first_tokens[tier], 0.99);
    row.fairness = Fairness(work[tier], workspaces);
    result.push_back(row);
  }
  return result;
}

PrefillFigures Ledger::Prefill() const {
  PrefillFigures prefill;
  for (const Record& record : records_) {
    double tokens = record.prefilled_tokens;
    prefill.computed += tokens;
    switch (record.phase) {
      case Phase::kCancelled:
      case Phase::kAbandoned:
        prefill.cancelled += tokens;
        break;
      case Phase::kBroken:
        prefill.broken += tokens;
        break;
      case Phase::kLate:
        prefill.late += tokens;
        break;
      default:
        prefill.evicted += record.evicted_tokens;
        prefill.misplaced += record.misplaced_tokens;
        break;
    }
  }
  return prefill;
}

void Ledger::Move(StreamIndex index, Phase phase) {
  Record& record = records_[index];
  TierState& tier = tiers_[record.trace.tier];
  if (record.phase == Phase::kWaiting) --tier.waiting;
  if (record.phase == Phase::kRunning) --tier.running;
  open_ += (IsOpen(phase) ? 1 : 0) - (IsOpen(record.phase) ? 1 : 0);
  record.phase = phase;
  if (phase == Phase::kWaiting) ++tier.waiting;
  if (phase == Phase::kRunning) ++tier.running;
}

bool Ledger::LowerTierWaits(Tier tier) const {
  return std::any_of(tiers_.upper_bound(tier), tiers_.end(),
                     [](const auto& row) { return row.second.waiting > 0; });
}

bool Ledger::LowerTierRuns(Tier tier) const {
  return std::any_of(tiers_.upper_bound(tier), tiers_.end(),
                     [](const auto& row) { return row.second.running > 0; });
}

}  // namespace gentianlb::replay
