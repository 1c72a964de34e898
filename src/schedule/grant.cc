#include "schedule/grant.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "schedule/give_way.h"

namespace gentianlb::schedule {
namespace {

// Heads of a lane that are tried before it is left alone: three workspaces with
// a long and a short one each. More cost time and find little.
constexpr std::size_t kHeadsTried = 6;

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
// only after minutes.
constexpr double kStreamsForShort = 1.0 / 8;

// A first token is overdue after several times the prediction, which counts
// the prompts ahead, and some seconds for what no prediction covers.
constexpr double kSilenceFactor = 4;
constexpr double kSilenceSeconds = 2;

// By tier; inside a tier the lane whose head has the least slack first, or the
// pool that happens to be numbered first would get all the power.
std::vector<LaneKey> LanesBySlack(const State& state) {
  std::vector<LaneKey> lanes = state.queue.Lanes();
  const auto slack = [&state](const LaneKey& lane) {
    std::vector<WaitIndex> head;
    state.queue.Heads(lane, 1, &head);
    return state.queue.Get(head[0]).latest_start;
  };
  std::stable_sort(lanes.begin(), lanes.end(),
                   [&slack](const LaneKey& a, const LaneKey& b) {
                     if (a.tier != b.tier) return a.tier < b.tier;
                     return slack(a) < slack(b);
                   });
  return lanes;
}

// One round of grants over all lanes.
class Round {
 public:
  explicit Round(State& state)
      : state_(state),
        placer_(state.options.weights, state.fleet, state.power, state.cache),
        closed_pools_(state.drains.size(), false) {}

  void Run();

 private:
  // Tries one lane until nothing more fits. False when power has run out, so
  // that no later lane may have any.
  bool GrantLane(const LaneKey& lane);

  // Tries the heads once. True when one was granted.
  bool GrantOne(const LaneKey& lane);

  // What a head that does not fit means for those behind it.
  void Hold(WaitIndex index, const Placement& placement);

  void Grant(WaitIndex index, const Placement& placement);

  State& state_;
  Placer placer_;
  std::vector<bool> closed_pools_;
  std::vector<ServerIndex> held_;        // Kept from everybody behind.
  std::vector<ServerIndex> held_below_;  // Kept from lower tiers only.
  std::vector<WaitIndex> heads_;
  bool lane_blocked_ = false;
  bool power_out_ = false;
};

void Round::Run() {
  for (const LaneKey& lane : LanesBySlack(state_)) {
    if (!GrantLane(lane)) break;
  }
  state_.power_short = power_out_;
}

bool Round::GrantLane(const LaneKey& lane) {
  lane_blocked_ = false;
  held_below_.clear();
  while (!lane_blocked_ && !power_out_ && GrantOne(lane)) {
  }
  // Lower tiers get nothing that this lane waits for.
  held_.insert(held_.end(), held_below_.begin(), held_below_.end());
  return !power_out_;
}

bool Round::GrantOne(const LaneKey& lane) {
  heads_.clear();
  state_.queue.Heads(lane, kHeadsTried, &heads_);
  const Closed closed{.pools = &closed_pools_, .held = &held_};
  bool reserved = false;
  held_below_.clear();
  for (const WaitIndex index : heads_) {
    const Waiting& waiting = state_.queue.Get(index);
    const Placement placement = placer_.Place(
        waiting, ReservesFor(state_, waiting), closed, state_.now);
    switch (placement.hindrance) {
      case Hindrance::kNone:
        Grant(index, placement);
        return true;
      case Hindrance::kNoRoom:
        lane_blocked_ = true;
        closed_pools_[lane.pool] = true;
        Preempt(state_, index, /*for_power=*/false);
        return false;
      case Hindrance::kNoPower:
        power_out_ = true;
        Preempt(state_, index, /*for_power=*/true);
        return false;
      case Hindrance::kReserved:
        reserved = true;
        break;
      case Hindrance::kTooLarge:
        Hold(index, placement);
        break;
      case Hindrance::kTooSlow:
        break;
    }
  }
  if (reserved) closed_pools_[lane.pool] = true;
  return false;
}

void Round::Hold(WaitIndex index, const Placement& placement) {
  if (placement.server == kNoIndex) return;
  const Waiting& waiting = state_.queue.Get(index);
  const bool passed_long = state_.now - waiting.since >= kPassedFor;
  (passed_long ? held_ : held_below_).push_back(placement.server);
}

void Round::Grant(WaitIndex index, const Placement& placement) {
  Waiting waiting = RemoveWaiting(state_, index);
  const absl::Time now = state_.now;
  Server& server = state_.fleet.at(placement.server);
  const Demand& demand = placement.demand;

  // The turn, the rate and the drain are paid with the estimate; the end of the
  // request corrects the first.
  state_.queue.Charge(waiting);
  state_.limits.Runs(waiting.workspace);
  state_.limits.Charge(waiting.workspace,
                       waiting.request.prompt_tokens + waiting.output.median);
  state_.drains[waiting.pool].Granted(waiting.work);

  Running running;
  running.server = placement.server;
  running.demand = demand;
  running.cached_tokens = placement.cached_tokens;
  running.expected_first =
      server.ExpectedFirstToken(demand.prefill_tokens, now);
  // A prefix that was evicted unseen must not look like a slow server.
  const double prompt = waiting.request.prompt_tokens;
  running.expected_uncached = server.ExpectedFirstToken(prompt, now);
  running.predicted_first = demand.plain
                                ? server.pace.CallSeconds()
                                : server.FirstTokenSeconds(prompt, now);
  running.granted = now;
  running.reported = now;
  running.overdue =
      now +
      absl::Seconds(kSilenceSeconds + kSilenceFactor * running.predicted_first);

  server.Begin(demand, now);
  state_.power.Begin(placement.server, /*prefilling=*/true);
  state_.cache.Granted(placement.server, waiting.marks,
                       demand.prefill_tokens + waiting.output.median, now);
  const schedule::Grant decision{waiting.request.id, waiting.request.host,
                                 server.spec.id};
  running.origin = std::move(waiting);
  state_.running.Add(std::move(running));
  state_.fleet.Reindex(placement.server, now);
  ++state_.counters.granted;
  Emit(state_, decision);
}

}  // namespace

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
  if (!waiting.is_long) return reserves;
  for (const auto& [tier, activity] : state.activity) {
    if (tier > rank) break;
    if (activity.last_short < since) continue;
    reserves.streams += kStreamsForShort;
    break;
  }
  return reserves;
}

void GrantWaiting(State& state) {
  if (!state.room_changed) return;
  state.room_changed = false;
  Round(state).Run();
}

}  // namespace gentianlb::schedule
