#include "schedule/grant.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "schedule/preempt.h"

namespace gentianlb::schedule {
namespace {

// Time for which smaller requests may bypass one that is too large for the free
// capacity. Then a server is held for it, as a steady flow of small requests
// would starve it.
constexpr absl::Duration kMaxBypassTime = absl::Seconds(2);

// A tier is expected to send requests if its last arrival is at most this old.
constexpr absl::Duration kTierActivityWindow = absl::Seconds(30);

// Trunk reservation, as in telephone networks: a small reserve for a higher
// class shields it almost completely, at little cost for the lower class. One
// stream in 16 for each higher tier, at most a quarter. This doesn't apply to
// requests with a first token deadline: none runs for minutes, so that higher
// tiers get the streams that come free long before their own deadlines, while
// a reserve would be idle exactly when lower tiers are refused.
constexpr double kStreamReservePerTier = 1.0 / 16;
constexpr double kMaxStreamReserve = 0.25;
constexpr double kPowerReservePerTier = 0.04;
constexpr double kMaxPowerReserve = 0.1;

// Long requests leave an eighth of the streams to short ones, since a long
// request holds its stream for minutes. This doesn't apply to requests with a
// first token deadline: short requests would take each stream that becomes
// free, and under overload the long ones would hardly be served.
constexpr double kShortStreamReserve = 1.0 / 8;

// A first token is overdue after several times the prediction, which includes
// the prompts ahead, plus a margin for what isn't predicted.
constexpr double kOverdueFactor = 4;
constexpr double kOverdueMarginSeconds = 2;

// Heads of a lane that may be held at one time so that they make no stream late
// by a pause, or until the first cooldown ends. The requests behind the heads
// get no placement during that time.
constexpr std::size_t kMaxHeldHeads = kMaxHeads / 2;

// Weight of a granted request in the mean work of its pool's requests.
constexpr double kMeanWorkWeight = 0.05;

// Returns the lanes by tier. Within a tier the first lane rotates; otherwise
// the pool with the lowest index would get all the power.
std::vector<LaneKey> RotateLanes(State& state) {
  std::vector<LaneKey> lanes = state.queue.Lanes();
  ++state.lane_rotation;
  for (auto first = lanes.begin(); first != lanes.end();) {
    const auto last = std::find_if(
        first, lanes.end(),
        [&](const LaneKey& lane) { return lane.tier != first->tier; });
    const auto count = static_cast<std::uint64_t>(last - first);
    std::rotate(
        first, first + static_cast<std::ptrdiff_t>(state.lane_rotation % count),
        last);
    first = last;
  }
  return lanes;
}

// One round of grants over all lanes for which a change may allow a grant.
class GrantRound {
 public:
  explicit GrantRound(State& state)
      : state_(state),
        placer_(state.options.weights, state.servers, state.power, state.cache,
                state.lost_paths, state.cooldowns,
                ZonePreference(state.options.zone_crossing_cost), state.pauses),
        closed_pools_(state.servers.pools(), false) {}

  void Run();

 private:
  // Returns whether the result for the lane may differ from the last round.
  bool IsAffected(const LaneKey& lane) const;

  // Returns whether the lane's heads must be tried on all servers, and not just
  // on the changed ones.
  bool NeedsFullSearch(const LaneKey& lane) const;

  // Grants requests of one lane until nothing more fits, and records what the
  // lane blocks for lower tiers.
  void GrantLane(const LaneKey& lane);

  // Grants one head of the lane. Returns false if none can be granted.
  bool GrantNext(const LaneKey& lane);

  // Grants one head. If `optimistic`, only urgent heads are tried, and lateness
  // is judged by a short output.
  bool GrantHead(const LaneKey& lane, bool optimistic);

  // Refuses a head if all servers want nothing from its host, and it could not
  // start in time or `held_requests`, to which it is added, are enough. Returns
  // whether it was refused.
  bool RefuseCoolingDown(WaitIndex index, std::size_t* held_requests);

  // Holds a server for a head that is too large for the free capacity.
  void HoldServer(WaitIndex index, const Placement& placement);

  void Grant(WaitIndex index, const Placement& placement);

  State& state_;
  Placer placer_;
  bool all_ = false;  // All lanes are affected.
  std::vector<bool> closed_pools_;
  std::vector<ServerIndex> held_;  // Not available to later requests.
  std::vector<WaitIndex> heads_;
  LaneBlock block_;  // Of the current lane.
  // If set, only these servers are tried.
  const std::vector<ServerIndex>* changed_servers_ = nullptr;
  bool pool_full_ = false;
  // Every request of the lane was tried, and an urgent one would be late.
  bool urgent_too_slow_ = false;
  bool power_exhausted_ = false;
};

void GrantRound::Run() {
  const Changes& changes = state_.changes;
  // Power is shared by all pools: if it ran out, any change may free some.
  const bool power_may_fit = state_.power_exhausted && !changes.pools.empty();
  all_ = changes.all || power_may_fit;
  const bool still_exhausted = state_.power_exhausted && !all_;
  for (const LaneKey& lane : RotateLanes(state_)) {
    if (IsAffected(lane)) {
      GrantLane(lane);
    } else {
      power_exhausted_ = still_exhausted && lane == state_.power_exhausted_lane;
    }
    // Lower tiers get nothing that this lane waits for.
    if (power_exhausted_) {
      state_.power_exhausted_lane = lane;
      break;
    }
    const LaneBlock& block = state_.lane_blocks.at(lane);
    if (block.whole_pool) closed_pools_[lane.pool] = true;
    held_.insert(held_.end(), block.servers.begin(), block.servers.end());
  }
  state_.power_exhausted = power_exhausted_;
}

bool GrantRound::IsAffected(const LaneKey& lane) const {
  const std::vector<PoolIndex>& pools = state_.changes.pools;
  return NeedsFullSearch(lane) ||
         std::find(pools.begin(), pools.end(), lane.pool) != pools.end();
}

bool GrantRound::NeedsFullSearch(const LaneKey& lane) const {
  const std::vector<LaneKey>& lanes = state_.changes.lanes;
  return all_ || !state_.lane_blocks.contains(lane) ||
         std::find(lanes.begin(), lanes.end(), lane) != lanes.end();
}

void GrantRound::GrantLane(const LaneKey& lane) {
  pool_full_ = false;
  const std::size_t held = held_.size();
  // Heads that were tried before only need the servers that changed.
  changed_servers_ = NeedsFullSearch(lane) ? nullptr : &state_.changes.servers;
  const bool granted = GrantNext(lane);
  const bool same_block = changed_servers_ != nullptr && !granted;
  changed_servers_ = nullptr;
  if (granted) {
    while (!pool_full_ && !power_exhausted_ && GrantNext(lane)) {
    }
  }
  held_.resize(held);
  if (!same_block) state_.lane_blocks[lane] = block_;
}

bool GrantRound::GrantNext(const LaneKey& lane) {
  return GrantHead(lane, /*optimistic=*/false) ||
         (urgent_too_slow_ && GrantHead(lane, /*optimistic=*/true));
}

bool GrantRound::GrantHead(const LaneKey& lane, bool optimistic) {
  urgent_too_slow_ = false;
  heads_.clear();
  block_ = {};
  if (state_.queue.LaneEmpty(lane)) return false;
  state_.queue.Heads(lane, kMaxHeads, &heads_);
  SearchScope search{.closed_pools = &closed_pools_,
                     .held_servers = &held_,
                     .only_servers = changed_servers_,
                     .contended = state_.queue.LaneSize(lane) > 1,
                     .optimistic = optimistic};
  bool urgent = false;
  std::size_t held_requests = 0;
  for (const WaitIndex index : heads_) {
    const WaitingRequest& waiting = state_.queue.Get(index);
    if (MayEndServers(state_, waiting.request)) {
      if (WaitsForSuspects(state_, waiting.request)) continue;
      RefuseWaiting(state_, index, Code::kEndsServers,
                    SuspectRetryAfter(state_, waiting.request));
      return true;
    }
    if (optimistic && state_.now < waiting.urgent_at) continue;
    const Placement placement = placer_.Place(
        waiting, ReservesFor(state_, waiting), search, state_.now);
    switch (placement.reason) {
      case BlockReason::kNone:
        Grant(index, placement);
        return true;
      case BlockReason::kNoCapacity:
        pool_full_ = true;
        block_.whole_pool = true;
        PreemptFor(state_, index, /*for_power=*/false);
        return false;
      case BlockReason::kNoPath:
        // Other hosts have both a path and room, so its caller is better off
        // there. If it waited, it would take a place among the heads.
        if (changed_servers_ != nullptr) break;
        RefuseWaiting(state_, index, Code::kServerUnreachable,
                      state_.retry_after_jitter.RetryAfter(0));
        return true;
      case BlockReason::kCooldown:
        if (RefuseCoolingDown(index, &held_requests)) return true;
        break;
      case BlockReason::kNoPower:
        power_exhausted_ = true;
        PreemptFor(state_, index, /*for_power=*/true);
        return false;
      case BlockReason::kReserved:
        block_.whole_pool = true;
        PreemptFor(state_, index, /*for_power=*/false);
        // A reserve that excludes a short request excludes all requests behind
        // it.
        if (!waiting.is_long) return false;
        break;
      case BlockReason::kTooLarge:
        HoldServer(index, placement);
        break;
      case BlockReason::kPauses:
        state_.pauses.Hold(waiting.request.id, state_.now,
                           state_.now + placement.hold);
        search.may_hold = ++held_requests < kMaxHeldHeads;
        break;
      case BlockReason::kTooSlow:
        urgent |= state_.now >= waiting.urgent_at;
        break;
    }
  }
  // If every request of the lane was tried and none could be granted, urgent
  // ones that would be late are granted optimistically rather than lost while
  // servers are idle.
  urgent_too_slow_ = urgent && state_.queue.LaneSize(lane) <= heads_.size();
  return false;
}

bool GrantRound::RefuseCoolingDown(WaitIndex index,
                                   std::size_t* held_requests) {
  const WaitingRequest& waiting = state_.queue.Get(index);
  const Request& request = waiting.request;
  const auto end = CooldownEnd(state_, request.host, waiting.pool);
  if (!end) return false;  // Other servers are merely full.
  const bool in_time = *end <= waiting.latest_start;
  if (in_time && ++*held_requests < kMaxHeldHeads) return false;
  RefuseWaiting(state_, index, Code::kServersCoolingDown,
                CooldownRetryAfter(state_, request, *end));
  return true;
}

void GrantRound::HoldServer(WaitIndex index, const Placement& placement) {
  if (placement.server == kNoIndex) return;
  // The server is held from lower tiers at once, but from later requests of the
  // same lane only after kMaxBypassTime.
  block_.servers.push_back(placement.server);
  const absl::Time since = state_.queue.Get(index).enqueued_at;
  if (state_.now - since >= kMaxBypassTime) held_.push_back(placement.server);
}

void GrantRound::Grant(WaitIndex index, const Placement& placement) {
  const absl::Time now = state_.now;
  const WaitingRequest& head = state_.queue.Get(index);
  // Must come before the removal, which may end the backlog.
  state_.lane_drains.at({head.request.tier, head.pool})
      .RecordGrant(head.work, now);
  PauseForecast pauses = placement.pauses;
  pauses.held = now - state_.pauses.HeldSince(head.request.id).value_or(now);
  WaitingRequest waiting = RemoveWaiting(state_, index);
  Server& server = state_.servers.at(placement.server);
  const Demand& demand = placement.demand;

  // Charges the queue, the rate limit and the drain rates with the estimate. On
  // completion the actual work corrects the queue and the rate limit.
  state_.queue.Charge(waiting);
  state_.limits.AddRunning(waiting.workspace);
  state_.limits.Charge(waiting.workspace,
                       waiting.request.prompt_tokens + waiting.output.median);
  state_.pool_drains[waiting.pool].RecordGrant(waiting.work, now);
  double& mean_work = state_.pool_mean_work[waiting.pool];
  mean_work += kMeanWorkWeight * (waiting.work - mean_work);

  RunningRequest running =
      MakeRunning(state_, std::move(waiting), placement.server, demand,
                  placement.cached_tokens);
  const WaitingRequest& origin = running.origin;
  server.OnGrant(demand, now);
  server.limit.Take(now);
  state_.cooldowns.OnGrant(origin.request.host, placement.server, now);
  state_.power.AddStream(placement.server, /*prefilling=*/true);
  state_.cache.OnGrant(placement.server, origin.marks,
                       demand.prefill_tokens + origin.output.median, now);
  const schedule::Grant decision{origin.request.id, origin.request.host,
                                 server.spec.id, pauses};
  const RunIndex run = state_.running.Add(std::move(running));
  state_.pauses.OnGrant(placement.server, run,
                        state_.running.Get(run).origin.request,
                        server.PromptLoadAt(now), now);
  state_.servers.Reindex(placement.server, now);
  ++state_.counters.granted;
  Emit(state_, decision);
}

}  // namespace

RunningRequest MakeRunning(const State& state, WaitingRequest waiting,
                           ServerIndex index, const Demand& demand,
                           double cached_tokens) {
  const Server& server = state.servers.at(index);
  const absl::Time now = state.now;
  RunningRequest running;
  running.server = index;
  running.demand = demand;
  running.cached_tokens = cached_tokens;
  running.expected_first_token =
      server.ExpectedFirstToken(demand.prefill_tokens, now);
  // Upper bound of the expectation: an unnoticed eviction of the prefix must
  // not look like a slow server.
  const double prompt = waiting.request.prompt_tokens;
  running.expected_first_token_uncached =
      server.ExpectedFirstToken(prompt, now);
  running.predicted_first_token_seconds =
      demand.plain ? server.speed.CallSeconds()
                   : server.FirstTokenSeconds(prompt, now);
  running.granted_at = now;
  running.last_report_at = now;
  // A plain call reports nothing before its end and may take any time, so it is
  // never overdue. A slow server shows in the mean duration of its calls, and a
  // dead one is detected by the server poller.
  running.overdue_at =
      demand.plain
          ? absl::InfiniteFuture()
          : now + absl::Seconds(kOverdueMarginSeconds +
                                kOverdueFactor *
                                    running.predicted_first_token_seconds);
  running.origin = std::move(waiting);
  return running;
}

Reserves ReservesFor(const State& state, const WaitingRequest& waiting) {
  Reserves reserves;
  const int rank = waiting.request.tier.rank;
  const absl::Time since = state.now - kTierActivityWindow;
  // One that returns had such a deadline.
  const bool has_first_token_deadline =
      waiting.returning ||
      waiting.request.first_token_due != absl::InfiniteFuture();
  for (const auto& [above, activity] : state.activity) {
    if (above >= rank) break;
    if (activity.last_arrival < since) continue;
    if (!has_first_token_deadline) reserves.streams += kStreamReservePerTier;
    reserves.power += kPowerReservePerTier;
  }
  reserves.streams = std::min(reserves.streams, kMaxStreamReserve);
  reserves.power = std::min(reserves.power, kMaxPowerReserve);
  if (!waiting.is_long || has_first_token_deadline) return reserves;
  for (const auto& [tier, activity] : state.activity) {
    if (tier > rank) break;
    if (activity.last_short_arrival < since) continue;
    reserves.streams += kShortStreamReserve;
    break;
  }
  return reserves;
}

void GrantWaiting(State& state) {
  const Changes& changes = state.changes;
  if (!changes.all && changes.pools.empty() && changes.lanes.empty()) return;
  if (!state.queue.empty()) GrantRound(state).Run();
  state.changes = {};
}

}  // namespace gentianlb::schedule
