#include "schedule/intake.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "schedule/work.h"

namespace gentianlb::schedule {
namespace {

// A request is long if its expected output is more than this many times the
// median of the service.
constexpr int kLongFactor = 4;

// If three servers in a row can't be reached, the network is at fault and more
// retries won't help.
constexpr int kMaxAttempts = 3;

// A request becomes urgent, and may preempt others, this long before its latest
// start. Cancelling a running request frees its capacity within a few
// milliseconds, so half a second allows several attempts. Long requests have
// more to lose and become urgent earlier.
constexpr absl::Duration kMinUrgentLead = absl::Milliseconds(500);
constexpr double kUrgentLeadFraction = 0.25;

// Retry time if a pool has no usable server: hosts need a few seconds to
// restart.
constexpr double kNoServerRetrySeconds = 2;

// Returns the service time of `waiting` on the fastest idle server if its
// output has `output` tokens.
double MinServiceSeconds(const State& state, const WaitingRequest& waiting,
                         double output) {
  if (waiting.request.model.empty()) return 0;
  const Pool& pool = state.servers.pool(waiting.pool);
  const PrefixCacheTracker::Lookup lookup = state.cache.Find(waiting.marks);
  std::vector<ServerIndex> holders;
  lookup.DeepestHolders(1, &holders);
  const double cached =
      holders.empty() ? 0 : lookup.CachedTokens(holders[0], state.now);
  const double prompt = std::max(0.0, waiting.request.prompt_tokens - cached);
  double seconds = 0;
  if (pool.best_prefill_speed > 0) seconds += prompt / pool.best_prefill_speed;
  if (pool.best_decode_speed > 0) {
    seconds += output / pool.best_decode_speed;
  }
  return seconds;
}

void RecordActivity(State& state, const WaitingRequest& waiting) {
  TierActivity& activity = state.activity[waiting.request.tier.rank];
  activity.last_arrival = state.now;
  if (!waiting.is_long) activity.last_short_arrival = state.now;
}

// Returns the latest start at which the fastest server meets the first token
// deadline.
absl::Time LatestStartForFirstToken(const State& state,
                                    const WaitingRequest& waiting) {
  const absl::Time deadline = waiting.request.first_token_due;
  if (deadline == absl::InfiniteFuture()) return deadline;
  return deadline -
         absl::Seconds(MinServiceSeconds(state, waiting, /*output=*/0));
}

// Returns the sort key of a request within its workspace.
//
// Requests with a first token deadline are served shortest first, so that as
// many as possible are in time if not all can be: output lengths differ by a
// factor of fifty, and a few long ones would occupy most streams. None waits
// long, as all are granted or refused before that deadline. Other requests
// are ordered by slack: a long one is served as its slack runs out.
absl::Time OrderTime(const WaitingRequest& waiting,
                     absl::Duration usual_service) {
  // Large enough that length outweighs the time already waited.
  constexpr double kLengthWeight = 10;
  if (waiting.request.first_token_due == absl::InfiniteFuture()) {
    return waiting.latest_start;
  }
  return waiting.enqueued_at + kLengthWeight * usual_service;
}

// Returns the expected time until `waiting` is granted, counting only the work
// that is ahead of it in the order.
double EstimateWaitSeconds(const State& state, const WaitingRequest& waiting) {
  const LaneKey lane{waiting.request.tier, waiting.pool};
  const double above = state.queue.WorkInHigherTiers(lane.tier, lane.pool);
  const double ahead = state.queue.WorkAhead(
      lane, waiting.workspace, waiting.weight, waiting.order_time);
  const double drained =
      above + ahead <= 0
          ? 0
          : (above + ahead) / DrainPerSecond(state, waiting.pool);
  return std::max(drained,
                  absl::ToDoubleSeconds(state.servers.TimeUntilLimitsAllow(
                      waiting.pool, state.now)));
}

// Returns whether the work ahead of `waiting` in its lane takes longer than the
// time to its latest start, at the rate that higher tiers leave to the lane.
bool LaneBacklogTooLong(const State& state, const WaitingRequest& waiting) {
  const LaneKey lane{waiting.request.tier, waiting.pool};
  const double ahead = state.queue.WorkAhead(
      lane, waiting.workspace, waiting.weight, waiting.order_time);
  const double left = absl::ToDoubleSeconds(waiting.latest_start - state.now);
  return ahead > left * LaneDrainPerSecond(state, lane);
}

// Returns whether the backlog makes `waiting` miss its first token deadline.
bool MissesFirstTokenDeadline(const State& state,
                              const WaitingRequest& waiting) {
  if (waiting.request.first_token_due == absl::InfiniteFuture()) return false;
  const double wait = EstimateWaitSeconds(state, waiting);
  const bool exact = wait > 0 && !HasRoomToReturn(state, waiting);
  const AdmissionEstimate estimate{
      .wait_seconds = wait,
      .service_seconds = 0,
      .deadline_seconds =
          absl::ToDoubleSeconds(waiting.latest_start - state.now),
      .limited = state.servers.AllLimited(waiting.pool),
      .exact = exact};
  return DeadlineUnreachable(estimate) || BacklogTooLong(estimate) ||
         LaneBacklogTooLong(state, waiting);
}

// Refuses a request that is not in the queue for lack of capacity.
void RefuseForCapacity(State& state, const WaitingRequest& waiting, Code code) {
  std::optional<ReturnForecast> forecast;
  const absl::Duration retry_after = LaneRetryAfter(state, waiting, &forecast);
  RefuseRequest(state, waiting.request, code, retry_after, forecast);
}

// Refuses a waiting request for lack of capacity.
void RefuseForCapacity(State& state, WaitIndex index, Code code) {
  std::optional<ReturnForecast> forecast;
  const absl::Duration retry_after =
      LaneRetryAfter(state, state.queue.Get(index), &forecast);
  RefuseWaiting(state, index, code, retry_after, forecast);
}

// Returns whether `request` returns after a refusal.
ReturnKind ClaimReturn(State& state, const Request& request,
                       WorkspaceIndex workspace, PoolIndex pool) {
  if (!state.options.reserve_returns) return ReturnKind::kNew;
  state.counters.returns_expired += state.return_times.DropExpired(state.now);
  const ReturnKind kind =
      state.return_times.Claim({.lane = {request.tier, pool},
                                .workspace = workspace,
                                .content = request.content},
                               state.now);
  if (kind == ReturnKind::kReserved) ++state.counters.returns_kept;
  return kind;
}

// Refuses a request that can't finish in time. Returns whether it was refused.
bool RefuseIfLate(State& state, const WaitingRequest& waiting) {
  const Request& request = waiting.request;
  const AdmissionEstimate estimate{
      .wait_seconds = EstimateWaitSeconds(state, waiting),
      .service_seconds = absl::ToDoubleSeconds(waiting.min_service_time),
      .deadline_seconds = absl::ToDoubleSeconds(request.deadline - state.now),
      .limited = state.servers.AllLimited(waiting.pool)};
  // The forecast allowed for the backlog of a request with a reservation.
  const bool late = waiting.returning
                        ? DeadlineUnreachable(estimate)
                        : DeadlineUnreachable(estimate) ||
                              BacklogTooLong(estimate) ||
                              MissesFirstTokenDeadline(state, waiting);
  if (!late) return false;
  // Lack of power is reported only if no lower tier could give up some.
  const bool lower_waits = state.queue.LowestTier() > request.tier;
  const bool for_power =
      state.power_exhausted && !lower_waits && !DeadlineUnreachable(estimate);
  const Code code = for_power ? Code::kPowerShort : Code::kDeadlineUnreachable;
  RefuseForCapacity(state, waiting, code);
  return true;
}

// Sheds one request of a lower tier of a workspace that is at its limit.
// Returns false if it has none.
bool ShedOwnLowerTier(State& state, const Request& request,
                      WorkspaceIndex workspace) {
  const std::vector<LaneKey> lanes = state.queue.Lanes();
  for (auto lane = lanes.rbegin(); lane != lanes.rend(); ++lane) {
    if (lane->tier <= request.tier) return false;
    const WaitIndex candidate = state.queue.LastInWorkspace(*lane, workspace);
    if (candidate == kNoIndex) continue;
    // The cause is the workspace's limit, not a lack of capacity, so waiting
    // requests of other workspaces in lower tiers don't matter.
    RefuseWaiting(state, candidate, Code::kWorkspaceQueueFull,
                  LaneRetryAfter(state, *lane));
    return true;
  }
  return false;
}

// Refuses a request whose workspace is at a limit. Returns whether it was
// refused.
bool RefuseIfOverLimit(State& state, const Request& request,
                       WorkspaceIndex workspace, PoolIndex pool) {
  const auto breach = state.limits.Check(workspace, request, state.now);
  if (!breach) return false;
  if (breach->code == Code::kWorkspaceQueueFull &&
      ShedOwnLowerTier(state, request, workspace)) {
    return RefuseIfOverLimit(state, request, workspace, pool);
  }
  const absl::Duration backlog = LaneRetryAfter(state, {request.tier, pool});
  RefuseRequest(state, request, breach->code,
                std::max(backlog, breach->retry_after));
  return true;
}

// Sheds a request if the queue is full. Returns true if `waiting` itself was
// refused, because only higher tiers wait, or because no lower tier waits and
// its own workspace has the most work waiting.
bool RefuseIfFull(State& state, const WaitingRequest& waiting) {
  if (state.queue.size() < state.options.max_waiting) return false;
  const Tier lowest = state.queue.LowestTier();
  const Tier tier = waiting.request.tier;
  const WaitIndex candidate = state.queue.ShedCandidate(lowest);
  const bool sheds_lower_tier = lowest > tier;
  const bool sheds_same_tier =
      lowest == tier &&
      state.queue.Get(candidate).workspace != waiting.workspace;
  if (sheds_lower_tier || sheds_same_tier) {
    RefuseForCapacity(
        state, candidate,
        sheds_lower_tier ? Code::kShedForHigherTier : Code::kQueueFull);
    return false;
  }
  RefuseForCapacity(state, waiting, Code::kQueueFull);
  return true;
}

// Returns whether `host` has lost its paths to all usable servers of the pool.
bool HasNoPath(const State& state, const EntryHostId& host, PoolIndex pool) {
  if (state.lost_paths.CountOf(host) == 0) return false;
  const std::vector<ServerIndex>& servers = state.servers.pool(pool).servers;
  return std::all_of(servers.begin(), servers.end(), [&](ServerIndex index) {
    return !state.servers.at(index).usable() ||
           state.lost_paths.IsLost(host, index, state.now);
  });
}

}  // namespace

WaitingRequest MakeWaitingRequest(const State& state, const Request& request,
                                  WorkspaceIndex workspace, PoolIndex pool,
                                  bool returning) {
  WaitingRequest waiting;
  waiting.request = request;
  waiting.returning = returning;
  if (returning) waiting.request.first_token_due = absl::InfiniteFuture();
  waiting.marks = request.parts.empty() ? MakePrefixMarks(request.prefix)
                                        : MakePrefixMarks(request.parts);
  waiting.request.prefix = {};  // The marks suffice and are far smaller.
  waiting.avoid = state.servers.Find(request.avoid);
  waiting.workspace = workspace;
  waiting.pool = pool;
  waiting.weight = state.limits.weight(workspace);
  if (!request.model.empty()) {
    waiting.output = state.estimator.Estimate(request, workspace);
    waiting.is_long =
        waiting.output.median > kLongFactor * state.estimator.ServiceMedian();
  }
  waiting.work = RequestWork(request.prompt_tokens, waiting.output.median);
  // Refusal is based on a short output, urgency on one of median length.
  waiting.min_service_time = absl::Seconds(MinServiceSeconds(
      state, waiting, OptimisticOutputTokens(waiting.output)));
  const absl::Duration usual_service =
      absl::Seconds(MinServiceSeconds(state, waiting, waiting.output.median));
  // No server can meet the first token deadline of a very long prompt, even if
  // idle. Such a request only has its overall deadline; otherwise it would
  // always be refused.
  if (LatestStartForFirstToken(state, waiting) < state.now) {
    waiting.request.first_token_due = absl::InfiniteFuture();
  }
  waiting.latest_start = std::min(request.deadline - waiting.min_service_time,
                                  LatestStartForFirstToken(state, waiting));
  const absl::Time last_usual_start =
      std::min(request.deadline - usual_service,
               LatestStartForFirstToken(state, waiting));
  waiting.urgent_at =
      last_usual_start -
      std::max(kMinUrgentLead, kUrgentLeadFraction * usual_service);
  // It must not preempt: it is late already.
  if (returning) waiting.urgent_at = waiting.latest_start;
  waiting.enqueued_at = state.now;
  waiting.order_time = OrderTime(waiting, usual_service);
  return waiting;
}

void OnRequestArrived(State& state, const Request& request) {
  // Entry hosts send requests again after a change of dispatcher.
  const bool already_known = state.waiting_by_id.contains(request.id) ||
                             state.running.Find(request.id) != kNoIndex;
  if (already_known) return;

  // At least one server must be usable.
  const PoolIndex pool = PoolFor(state, request);
  if (pool == kNoIndex || state.servers.pool(pool).usable == 0) {
    RefuseRequest(state, request, Code::kNoServer,
                  state.retry_after_jitter.RetryAfter(kNoServerRetrySeconds));
    return;
  }

  if (MayEndServers(state, request) && !WaitsForSuspects(state, request)) {
    RefuseRequest(state, request, Code::kEndsServers,
                  SuspectRetryAfter(state, request));
    return;
  }

  // It would wait until the paths are tried again.
  if (HasNoPath(state, request.host, pool)) {
    RefuseRequest(state, request, Code::kServerUnreachable,
                  state.retry_after_jitter.RetryAfter(0));
    return;
  }

  // Workspace limits come first, so that a request over the limit delays no
  // other.
  const WorkspaceIndex workspace = state.limits.IndexOf(request.workspace);
  if (RefuseIfOverLimit(state, request, workspace, pool)) return;

  const ReturnKind kind = ClaimReturn(state, request, workspace, pool);
  const bool returning = kind != ReturnKind::kNew;
  WaitingRequest waiting =
      MakeWaitingRequest(state, request, workspace, pool, returning);
  RecordActivity(state, waiting);
  if (!returning) {
    const bool timed = request.first_token_due != absl::InfiniteFuture();
    state.return_times.RecordArrival({request.tier, pool}, waiting.work, timed,
                                     state.now);
  }
  if (kind == ReturnKind::kUnreserved && !HasRoomNow(state, waiting)) {
    RefuseForCapacity(state, waiting, Code::kDeadlineUnreachable);
    return;
  }
  if (RefuseIfCoolingDown(state, waiting)) return;
  if (RefuseIfLate(state, waiting)) return;
  if (RefuseIfFull(state, waiting)) return;
  waiting.sequence = state.next_sequence++;
  AddWaiting(state, std::move(waiting));
}

bool RefuseIfCoolingDown(State& state, const WaitingRequest& waiting) {
  const Request& request = waiting.request;
  const auto end = CooldownEnd(state, request.host, waiting.pool);
  if (!end || *end <= waiting.latest_start) return false;
  RefuseRequest(state, request, Code::kServersCoolingDown,
                CooldownRetryAfter(state, request, *end));
  return true;
}

void QueueAgain(State& state, WaitingRequest waiting) {
  const LaneKey lane{waiting.request.tier, waiting.pool};
  // Refunds the charge of the grant, which was not used.
  state.queue.CorrectCharge(lane, waiting.workspace, waiting.weight,
                            -waiting.work);
  const bool usable = state.servers.pool(waiting.pool).usable > 0 &&
                      !HasNoPath(state, waiting.request.host, waiting.pool);
  if (!usable) {
    RefuseRequest(state, waiting.request, Code::kServerUnreachable,
                  LaneRetryAfter(state, lane));
    return;
  }
  if (RefuseIfCoolingDown(state, waiting)) return;
  AddWaiting(state, std::move(waiting));
}

void RetryOrRefuse(State& state, WaitingRequest waiting, ServerIndex failed) {
  const LaneKey lane{waiting.request.tier, waiting.pool};
  // Refunds the charge of the grant, which was not used.
  state.queue.CorrectCharge(lane, waiting.workspace, waiting.weight,
                            -waiting.work);
  ++waiting.attempts;
  waiting.avoid = failed;
  const bool usable = state.servers.pool(waiting.pool).usable > 0 &&
                      !HasNoPath(state, waiting.request.host, waiting.pool);
  if (!usable || waiting.attempts >= kMaxAttempts || !state.retries.Take()) {
    RefuseRequest(state, waiting.request, Code::kServerUnreachable,
                  LaneRetryAfter(state, lane));
    return;
  }
  ++state.counters.retried;
  AddWaiting(state, std::move(waiting));
}

void RefuseExpired(State& state) {
  while (state.queue.NextExpiryTime() <= state.now) {
    const WaitIndex index = state.queue.NextToExpire();
    const WaitingRequest& waiting = state.queue.Get(index);
    const bool passed = waiting.request.deadline <= state.now;
    RefuseForCapacity(
        state, index,
        passed ? Code::kDeadlinePassed : Code::kDeadlineUnreachable);
  }
}

void RefuseUnserved(State& state) {
  for (const LaneKey& lane : state.queue.Lanes()) {
    if (state.servers.pool(lane.pool).usable > 0) continue;
    for (const WaitIndex index : state.queue.RequestsInPool(lane.pool)) {
      RefuseWaiting(state, index, Code::kNoServer,
                    state.retry_after_jitter.RetryAfter(kNoServerRetrySeconds));
    }
  }
}

}  // namespace gentianlb::schedule
