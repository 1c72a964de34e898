#include "schedule/state.h"

#include <algorithm>
#include <utility>

namespace gentianlb::schedule {
namespace {

// Returns whether `code` is a refusal for lack of capacity or power. A tier
// must not get one while a lower tier waits.
bool IsCapacityRefusal(Code code) {
  return code == Code::kQueueFull || code == Code::kPowerShort ||
         code == Code::kShedForHigherTier;
}

// Retry time while other requests with the same suspected content run: about
// the time that a call or a short stream takes.
constexpr double kSuspectRetrySeconds = 1;

// Callers that are refused for the same cooldown retry within this time after
// its end, so that they don't meet at the server.
constexpr absl::Duration kCooldownSpread = absl::Milliseconds(250);

// Returns this dispatcher's share of the pool's configured capacity; several
// dispatchers may share the pool.
double OwnPoolCapacity(const State& state, PoolIndex pool) {
  return state.servers.Capacity(pool, state.pool_mean_work[pool]) *
         state.servers.OwnShare(pool, state.now);
}

// Returns whether capacity is reserved for a retry of `refused`. A caller whose
// first attempt had a reservation doesn't return again.
bool ReservesReturns(const State& state, const WaitingRequest& refused) {
  return state.options.reserve_returns && !refused.returning &&
         refused.request.first_token_due != absl::InfiniteFuture() &&
         refused.request.deadline > state.now;
}

ReturnNeed NeedOf(const WaitingRequest& waiting) {
  return {.lane = {waiting.request.tier, waiting.pool},
          .workspace = waiting.workspace,
          .content = waiting.request.content,
          .work = waiting.work,
          .deadline = waiting.request.deadline};
}

LaneSupply SupplyOf(const State& state, const LaneKey& lane) {
  // A server's limit may allow nothing for longer than the caller waits.
  const absl::Duration allowed =
      state.servers.TimeUntilLimitsAllow(lane.pool, state.now);
  const absl::Duration wait = std::max(
      state.options.min_retry_after,
      allowed == absl::InfiniteDuration() ? absl::ZeroDuration() : allowed);
  return {.drain_per_second = DrainPerSecond(state, lane.pool),
          .backlog = state.queue.WorkInHigherTiers(lane.tier, lane.pool) +
                     state.queue.LaneWork(lane),
          .not_before = state.now + wait};
}

}  // namespace

PoolIndex PoolFor(State& state, const Request& request) {
  const PoolIndex pool =
      state.servers.FindOrAddPool(request.model, request.version, state.now);
  state.pool_drains.resize(state.servers.pools());
  state.pool_mean_work.resize(state.servers.pools(), 0);
  return pool;
}

void Emit(State& state, Decision decision) {
  ++state.counters.decisions;
  state.signature.Add(decision);
  state.decisions->push_back(std::move(decision));
}

void AddWaiting(State& state, WaitingRequest waiting) {
  state.limits.AddWaiting(waiting.workspace, waiting.request);
  const LaneKey lane{waiting.request.tier, waiting.pool};
  const RequestId id = waiting.request.id;
  const WaitIndex index = state.queue.Add(std::move(waiting));
  state.waiting_by_id[id] = index;
  state.pool_drains[lane.pool].SetBacklog(true, state.now);
  state.lane_drains.try_emplace(lane, DrainRate::kLaneSmoothing)
      .first->second.SetBacklog(true, state.now);
  // A request behind the heads can't be granted yet.
  if (state.queue.IsHead(index)) state.changes.lanes.push_back(lane);
}

WaitingRequest RemoveWaiting(State& state, WaitIndex index) {
  WaitingRequest waiting = state.queue.Remove(index);
  state.waiting_by_id.erase(waiting.request.id);
  state.pauses.EndHold(waiting.request.id);
  state.limits.RemoveWaiting(waiting.workspace, waiting.request);
  if (state.queue.PoolSize(waiting.pool) == 0) {
    state.pool_drains[waiting.pool].SetBacklog(false, state.now);
  }
  const LaneKey lane{waiting.request.tier, waiting.pool};
  if (state.queue.LaneEmpty(lane)) {
    state.lane_drains.at(lane).SetBacklog(false, state.now);
  }
  return waiting;
}

void RefuseWaiting(State& state, WaitIndex index, Code code,
                   absl::Duration retry_after,
                   const std::optional<ReturnForecast>& forecast) {
  // A head may have blocked lower tiers.
  state.changes.all |= state.queue.IsHead(index);
  const WaitingRequest waiting = RemoveWaiting(state, index);
  RefuseRequest(state, waiting.request, code, retry_after, forecast);
}

void RefuseRequest(State& state, const Request& request, Code code,
                   absl::Duration retry_after,
                   const std::optional<ReturnForecast>& forecast) {
  const int rank = request.tier.rank;
  ++state.counters.refused[{rank, code}];
  const bool lower_waits = state.queue.LowestTier().rank > rank;
  if (IsCapacityRefusal(code) && lower_waits) ++state.counters.inversions;
  Emit(state, Refuse{request.id, request.host, code, retry_after, forecast});
}

bool MayEndServers(const State& state, const Request& request) {
  if (state.suspect_parts().FindDeadly(request.parts, state.now)) return true;
  const ContentHash content = request.content;
  const absl::Time first_loss = state.suspects().FirstLoss(content, state.now);
  // Only suspects are worth a scan of the running requests. Those that ran
  // before end their servers or don't, whatever is sent now.
  if (first_loss == absl::InfiniteFuture()) return false;
  return !state.suspects().MayRun(
      content, state.running.CountContent(content, first_loss), state.now);
}

bool WaitsForSuspects(const State& state, const Request& request) {
  return !request.avoid.empty() &&
         state.suspects().MayRun(request.content, /*running=*/0, state.now) &&
         !state.suspect_parts().FindDeadly(request.parts, state.now);
}

absl::Duration SuspectRetryAfter(State& state, const Request& request) {
  const SuspectParts& parts = state.suspect_parts();
  if (const auto deadly = parts.FindDeadly(request.parts, state.now)) {
    return parts.QuarantineLeft(*deadly, state.now);
  }
  const SuspectRequests& suspects = state.suspects();
  if (suspects.MayRun(request.content, /*running=*/0, state.now)) {
    return state.retry_after_jitter.RetryAfter(kSuspectRetrySeconds);
  }
  return suspects.TimeUntilForgotten(request.content, state.now);
}

void CancelRunning(State& state, RunIndex index, WasteCause cause) {
  const RunningRequest& running = state.running.Get(index);
  const Request& request = running.origin.request;
  const LaneKey lane{request.tier, running.origin.pool};
  state.power.OnCancel(running.server, !running.first_token);
  state.running.SetCancelCause(index, cause);
  if (cause == WasteCause::kPreempted) ++state.pending_preemptions;
  Emit(state, Cancel{request.id, request.host, Code::kCancelledRunning,
                     LaneRetryAfter(state, lane)});
}

double DrainPerSecond(const State& state, PoolIndex pool) {
  return state.pool_drains[pool].PerSecond(OwnPoolCapacity(state, pool),
                                           state.now);
}

double LaneDrainPerSecond(const State& state, const LaneKey& lane) {
  const double capacity = OwnPoolCapacity(state, lane.pool);
  const auto drain = state.lane_drains.find(lane);
  return drain == state.lane_drains.end()
             ? capacity
             : drain->second.PerSecond(capacity, state.now);
}

absl::Duration LaneRetryAfter(State& state, const LaneKey& lane) {
  const double ahead = state.queue.WorkInHigherTiers(lane.tier, lane.pool) +
                       state.queue.LaneWork(lane);
  const double drained = ahead / DrainPerSecond(state, lane.pool);
  // Where this dispatcher's share of the limits is too small for any request,
  // the caller is better off at another host, at once.
  const absl::Duration allowed =
      state.servers.TimeUntilLimitsAllow(lane.pool, state.now);
  if (allowed == absl::InfiniteDuration()) {
    return state.retry_after_jitter.RetryAfter(drained);
  }
  return state.retry_after_jitter.RetryAfter(
      std::max(drained, absl::ToDoubleSeconds(allowed)));
}

absl::Duration LaneRetryAfter(State& state, const WaitingRequest& refused,
                              std::optional<ReturnForecast>* forecast) {
  const LaneKey lane{refused.request.tier, refused.pool};
  if (!ReservesReturns(state, refused)) return LaneRetryAfter(state, lane);
  const ReturnTime planned =
      state.return_times.Plan(NeedOf(refused), SupplyOf(state, lane),
                              state.retry_after_jitter.Uniform(), state.now);
  if (planned.forecast.reserved) ++state.counters.returns_reserved;
  *forecast = planned.forecast;
  return planned.retry_after;
}

bool HasRoomToReturn(const State& state, const WaitingRequest& waiting) {
  const LaneKey lane{waiting.request.tier, waiting.pool};
  return !ReservesReturns(state, waiting) ||
         state.return_times.HasRoomToReturn(NeedOf(waiting),
                                            SupplyOf(state, lane), state.now);
}

bool HasRoomNow(const State& state, const WaitingRequest& waiting) {
  LaneSupply supply = SupplyOf(state, {waiting.request.tier, waiting.pool});
  supply.not_before = state.now;
  return state.return_times.HasRoomNow(NeedOf(waiting), supply, state.now);
}

std::optional<absl::Time> CooldownEnd(const State& state,
                                      const EntryHostId& host, PoolIndex pool) {
  if (state.cooldowns.CountOf(host) == 0) return std::nullopt;
  std::optional<absl::Time> first;
  for (const ServerIndex index : state.servers.pool(pool).servers) {
    const bool usable = state.servers.at(index).usable();
    if (!usable || state.lost_paths.IsLost(host, index, state.now)) continue;
    const absl::Time end =
        state.cooldowns.ExcludedUntil(host, index, state.now);
    if (end <= state.now) return std::nullopt;
    first = std::min(first.value_or(end), end);
  }
  return first;
}

absl::Duration CooldownRetryAfter(State& state, const Request& request,
                                  absl::Time end) {
  if (end >= request.deadline) return state.retry_after_jitter.RetryAfter(0);
  return std::max(state.options.min_retry_after, end - state.now) +
         state.retry_after_jitter.Uniform() * kCooldownSpread;
}

void ResetDrainRates(State& state) {
  for (PoolIndex pool = 0; pool < state.pool_drains.size(); ++pool) {
    state.pool_drains[pool] = DrainRate();
    state.pool_drains[pool].SetBacklog(state.queue.PoolSize(pool) > 0,
                                       state.now);
  }
  for (auto& [lane, drain] : state.lane_drains) {
    drain = DrainRate(DrainRate::kLaneSmoothing);
    drain.SetBacklog(!state.queue.LaneEmpty(lane), state.now);
  }
}

void OnCapacityFreed(State& state, ServerIndex server) {
  state.servers.Reindex(server, state.now);
  const std::vector<PoolIndex>& pools = state.servers.at(server).pools;
  state.changes.servers.push_back(server);
  state.changes.pools.insert(state.changes.pools.end(), pools.begin(),
                             pools.end());
}

}  // namespace gentianlb::schedule
