#include "schedule/grant.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "schedule/preempt.h"

namespace gentianlb::schedule {
namespace {

// A request too large for what is free lets others pass for this long; then a
// server is kept for it, or a stream of small ones would starve it.
constexpr absl::Duration kPassedFor = absl::Seconds(2);

// Tiers that sent something this lately are expected to do so again.
constexpr absl::Duration kActive = absl::Seconds(30);

// Trunk reservation, as in telephone networks: a small part kept free for the
// class above shields it almost wholly, at little cost for the class below.
// One stream in sixteen for each tier above, at most a quarter.
constexpr double kStreamsPerTier = 1.0 / 16;
constexpr double kMaxStreams = 0.25;
constexpr double kPowerPerTier = 0.04;
constexpr double kMaxPower = 0.1;

// Long ones leave an eighth to short ones, as a long one gives its room back
// only after minutes. Not where an objective bounds the wait: a short one then
// takes each stream that comes free, and under overload the largest of a kind
// would hardly be served.
constexpr double kStreamsForShort = 1.0 / 8;

// A first token is overdue after several times the prediction, which counts
// the prompts ahead, and some seconds for what no prediction covers.
constexpr double kSilenceFactor = 4;
constexpr double kSilenceSeconds = 2;

// By tier; inside a tier the lanes take turns to be first, or the pool that
// happens to be numbered first would get all the power.
std::vector<LaneKey> LanesInTurn(State& state) {
  std::vector<LaneKey> lanes = state.queue.Lanes();
  ++state.rotation;
  for (auto first = lanes.begin(); first != lanes.end();) {
    const auto last = std::find_if(
        first, lanes.end(),
        [&](const LaneKey& lane) { return lane.tier != first->tier; });
    const auto count = static_cast<std::uint64_t>(last - first);
    std::rotate(first,
                first + static_cast<std::ptrdiff_t>(state.rotation % count),
                last);
    first = last;
  }
  return lanes;
}

// One round of grants over all lanes that a change may have let through.
class Round {
 public:
  explicit Round(State& state)
      : state_(state),
        placer_(state.options.weights, state.servers, state.power, state.cache),
        closed_pools_(state.servers.pools(), false) {}

  void Run();

 private:
  // Whether the lane may fare otherwise than when it was tried last.
  bool Affected(const LaneKey& lane) const;

  // Whether its heads were not tried since all of it changed.
  bool IsNew(const LaneKey& lane) const;

  // Tries one lane until nothing more fits, and notes what it waits for.
  void GrantLane(const LaneKey& lane);

  // Tries the heads once. True when one was granted.
  bool GrantOne(const LaneKey& lane);

  // The same, hopeful or not.
  bool GrantAmong(const LaneKey& lane, bool hopeful);

  // A server is kept for a head that is too large for the room there is.
  void Hold(WaitIndex index, const Placement& placement);

  void Grant(WaitIndex index, const Placement& placement);

  State& state_;
  Placer placer_;
  bool all_ = false;
  std::vector<bool> closed_pools_;
  std::vector<ServerIndex> held_;  // Kept from everybody behind.
  std::vector<WaitIndex> heads_;
  LaneBlock block_;  // Of the lane that is tried.
  const std::vector<ServerIndex>* only_ = nullptr;  // See SearchScope.
  bool no_room_ = false;
  bool late_only_ = false;  // All heads were tried, and are too slow.
  bool power_out_ = false;
};

void Round::Run() {
  const Changes& changes = state_.changes;
  // Watts are shared: where they ran out, any change may help anybody.
  const bool power_freed = state_.power_short && !changes.pools.empty();
  all_ = changes.all || power_freed;
  const bool short_before = state_.power_short && !all_;
  for (const LaneKey& lane : LanesInTurn(state_)) {
    if (Affected(lane)) {
      GrantLane(lane);
    } else {
      power_out_ = short_before && lane == state_.power_short_at;
    }
    // Lower tiers get nothing that this lane waits for.
    if (power_out_) {
      state_.power_short_at = lane;
      break;
    }
    const LaneBlock& block = state_.blocks.at(lane);
    if (block.pool) closed_pools_[lane.pool] = true;
    held_.insert(held_.end(), block.held.begin(), block.held.end());
  }
  state_.power_short = power_out_;
}

bool Round::Affected(const LaneKey& lane) const {
  const std::vector<PoolIndex>& pools = state_.changes.pools;
  return IsNew(lane) ||
         std::find(pools.begin(), pools.end(), lane.pool) != pools.end();
}

bool Round::IsNew(const LaneKey& lane) const {
  const std::vector<LaneKey>& lanes = state_.changes.lanes;
  return all_ || !state_.blocks.contains(lane) ||
         std::find(lanes.begin(), lanes.end(), lane) != lanes.end();
}

void Round::GrantLane(const LaneKey& lane) {
  no_room_ = false;
  const std::size_t held = held_.size();
  // Heads that were tried before only look at what has changed.
  only_ = IsNew(lane) ? nullptr : &state_.changes.servers;
  const bool granted = GrantOne(lane);
  const bool same_block = only_ != nullptr && !granted;
  only_ = nullptr;
  if (granted) {
    while (!no_room_ && !power_out_ && GrantOne(lane)) {
    }
  }
  held_.resize(held);
  if (!same_block) state_.blocks[lane] = block_;
}

bool Round::GrantOne(const LaneKey& lane) {
  return GrantAmong(lane, /*hopeful=*/false) ||
         (late_only_ && GrantAmong(lane, /*hopeful=*/true));
}

bool Round::GrantAmong(const LaneKey& lane, bool hopeful) {
  late_only_ = false;
  heads_.clear();
  block_ = {};
  if (state_.queue.LaneEmpty(lane)) return false;
  state_.queue.Heads(lane, kHeadsTried, &heads_);
  const SearchScope search{.closed_pools = &closed_pools_,
                           .held_servers = &held_,
                           .only_servers = only_,
                           .contended = state_.queue.LaneSize(lane) > 1,
                           .optimistic = hopeful};
  bool urgent = false;
  for (const WaitIndex index : heads_) {
    const Waiting& waiting = state_.queue.Get(index);
    if (hopeful && state_.now < waiting.urgent_at) continue;
    const Placement placement = placer_.Place(
        waiting, ReservesFor(state_, waiting), search, state_.now);
    switch (placement.reason) {
      case BlockReason::kNone:
        Grant(index, placement);
        return true;
      case BlockReason::kNoCapacity:
        no_room_ = true;
        block_.pool = true;
        Preempt(state_, index, /*for_power=*/false);
        return false;
      case BlockReason::kNoPower:
        power_out_ = true;
        Preempt(state_, index, /*for_power=*/true);
        return false;
      case BlockReason::kReserved:
        block_.pool = true;
        Preempt(state_, index, /*for_power=*/false);
        // What is kept from a short one is kept from all behind it.
        if (!waiting.is_long) return false;
        break;
      case BlockReason::kTooLarge:
        Hold(index, placement);
        break;
      case BlockReason::kTooSlow:
        urgent |= state_.now >= waiting.urgent_at;
        break;
    }
  }
  // Everybody was tried and nobody would be in time: what can wait no longer is
  // begun in hope rather than lost while servers stand idle.
  late_only_ = urgent && state_.queue.LaneSize(lane) <= heads_.size();
  return false;
}

void Round::Hold(WaitIndex index, const Placement& placement) {
  if (placement.server == kNoIndex) return;
  // From lower tiers at once, from those behind it in its own only after a
  // while.
  block_.held.push_back(placement.server);
  const absl::Time since = state_.queue.Get(index).since;
  if (state_.now - since >= kPassedFor) held_.push_back(placement.server);
}

void Round::Grant(WaitIndex index, const Placement& placement) {
  const absl::Time now = state_.now;
  const Waiting& head = state_.queue.Get(index);
  // Before it is taken out, as the backlog may end with it.
  state_.lane_drains.at({head.request.tier, head.pool}).Granted(head.work, now);
  Waiting waiting = RemoveWaiting(state_, index);
  Server& server = state_.servers.at(placement.server);
  const Demand& demand = placement.demand;

  // The turn, the rate and the drain are paid with the estimate; the end of the
  // request corrects the first.
  state_.queue.Charge(waiting);
  state_.limits.AddRunning(waiting.workspace);
  state_.limits.Charge(waiting.workspace,
                       waiting.request.prompt_tokens + waiting.output.median);
  state_.drains[waiting.pool].Granted(waiting.work, now);

  RunningRequest running = BeginOn(state_, std::move(waiting), placement.server,
                                   demand, placement.cached_tokens);
  const Waiting& origin = running.origin;
  server.OnGrant(demand, now);
  state_.power.AddStream(placement.server, /*prefilling=*/true);
  state_.cache.OnGrant(placement.server, origin.marks,
                       demand.prefill_tokens + origin.output.median, now);
  const schedule::Grant decision{origin.request.id, origin.request.host,
                                 server.spec.id};
  state_.running.Add(std::move(running));
  state_.servers.Reindex(placement.server, now);
  ++state_.counters.granted;
  Emit(state_, decision);
}

}  // namespace

RunningRequest BeginOn(const State& state, Waiting waiting, ServerIndex index,
                       const Demand& demand, double cached_tokens) {
  const Server& server = state.servers.at(index);
  const absl::Time now = state.now;
  RunningRequest running;
  running.server = index;
  running.demand = demand;
  running.cached_tokens = cached_tokens;
  running.expected_first_token =
      server.ExpectedFirstToken(demand.prefill_tokens, now);
  // A prefix that was evicted unseen must not look like a slow server.
  const double prompt = waiting.request.prompt_tokens;
  running.expected_first_token_uncached =
      server.ExpectedFirstToken(prompt, now);
  running.predicted_first_token_seconds =
      demand.plain ? server.speed.CallSeconds()
                   : server.FirstTokenSeconds(prompt, now);
  running.granted_at = now;
  running.last_report_at = now;
  // A call of a plain service shows nothing before its end, and may take any
  // time: silence says nothing. A slow server shows in the mean of its calls,
  // and a dead one is judged by those who poll it.
  running.overdue_at =
      demand.plain
          ? absl::InfiniteFuture()
          : now + absl::Seconds(kSilenceSeconds +
                                kSilenceFactor *
                                    running.predicted_first_token_seconds);
  running.origin = std::move(waiting);
  return running;
}

Reserves ReservesFor(const State& state, const Waiting& waiting) {
  Reserves reserves;
  const int rank = waiting.request.tier.rank;
  const absl::Time since = state.now - kActive;
  for (const auto& [above, activity] : state.activity) {
    if (above >= rank) break;
    if (activity.last < since) continue;
    reserves.streams += kStreamsPerTier;
    reserves.power += kPowerPerTier;
  }
  reserves.streams = std::min(reserves.streams, kMaxStreams);
  reserves.power = std::min(reserves.power, kMaxPower);
  const bool bounded =
      waiting.request.first_token_due != absl::InfiniteFuture();
  if (!waiting.is_long || bounded) return reserves;
  for (const auto& [tier, activity] : state.activity) {
    if (tier > rank) break;
    if (activity.last_short < since) continue;
    reserves.streams += kStreamsForShort;
    break;
  }
  return reserves;
}

void GrantWaiting(State& state) {
  const Changes& changes = state.changes;
  if (!changes.all && changes.pools.empty() && changes.lanes.empty()) return;
  if (!state.queue.empty()) Round(state).Run();
  state.changes = {};
}

}  // namespace gentianlb::schedule
