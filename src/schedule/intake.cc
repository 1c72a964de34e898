#include "schedule/intake.h"

#include <algorithm>
#include <utility>

#include "schedule/work.h"

namespace gentianlb::schedule {
namespace {

// An answer this many times longer than the service's usual one is long.
constexpr int kLongFactor = 4;

// A third server that can't be reached either is a fault of the network that
// further tries won't mend.
constexpr int kMaxAttempts = 3;

// So close to its last start a request may cost others something. Cancelling a
// running request and getting its room takes a few milliseconds; half a second
// leaves time for several attempts. Long requests have more to lose and begin
// sooner.
constexpr absl::Duration kUrgentBefore = absl::Milliseconds(500);
constexpr double kUrgentPart = 0.25;

// Without any usable server nothing is known but that hosts need some seconds
// to come back.
constexpr double kNoServerSeconds = 2;

// On the fastest server, alone, for an answer of `output` tokens.
double BestServiceSeconds(const State& state, const Waiting& waiting,
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

void NoteActivity(State& state, const Waiting& waiting) {
  Activity& activity = state.activity[waiting.request.tier.rank];
  activity.last = state.now;
  if (!waiting.is_long) activity.last_short = state.now;
}

// The last moment at which the fastest server would put out the first token in
// time.
absl::Time LatestForFirstToken(const State& state, const Waiting& waiting) {
  const absl::Time due = waiting.request.first_token_due;
  if (due == absl::InfiniteFuture()) return due;
  return due - absl::Seconds(BestServiceSeconds(state, waiting, /*output=*/0));
}

// Where an objective of the first token bounds the wait, the shortest come
// first: when not all can be in time, the most are. Answers' lengths differ
// fiftyfold, and a few long ones would use most of the streams. None waits for
// long, as all are out or refused within their objective. Without one, by
// slack: a long one's turn comes as its own runs out.
absl::Time PlaceInLine(const Waiting& waiting, absl::Duration usual_service) {
  // The age of those that wait is then worth little against their length.
  constexpr double kLengthWeight = 10;
  if (waiting.request.first_token_due == absl::InfiniteFuture()) {
    return waiting.latest_start;
  }
  return waiting.since + kLengthWeight * usual_service;
}

// How long until the turn of `waiting` comes, counting only what the order puts
// ahead of it.
double WaitSeconds(const State& state, const Waiting& waiting) {
  const LaneKey lane{waiting.request.tier, waiting.pool};
  const double above = state.queue.WorkAbove(lane.tier, lane.pool);
  const double ahead = state.queue.WorkAhead(lane, waiting.workspace,
                                             waiting.weight, waiting.order_at);
  return above + ahead <= 0
             ? 0
             : (above + ahead) / DrainPerSecond(state, waiting.pool);
}

// Whether those of its own tier that are served before it use up the time for
// its first token, at the rate that higher tiers leave them.
bool TierIsFull(const State& state, const Waiting& waiting) {
  const LaneKey lane{waiting.request.tier, waiting.pool};
  const double ahead = state.queue.WorkAhead(lane, waiting.workspace,
                                             waiting.weight, waiting.order_at);
  const double left = absl::ToDoubleSeconds(waiting.latest_start - state.now);
  return ahead > left * LaneDrainPerSecond(state, lane);
}

// Whether its first token can't be out in time, by the backlog.
bool MissesObjective(const State& state, const Waiting& waiting) {
  if (waiting.request.first_token_due == absl::InfiniteFuture()) return false;
  const Outlook outlook{
      .wait = WaitSeconds(state, waiting),
      .service = 0,
      .deadline = absl::ToDoubleSeconds(waiting.latest_start - state.now)};
  return Unreachable(outlook) || Overloaded(outlook) ||
         TierIsFull(state, waiting);
}

// True when it was refused, because it can't finish in time.
bool RefuseLate(State& state, const Waiting& waiting) {
  const Request& request = waiting.request;
  const Outlook outlook{
      .wait = WaitSeconds(state, waiting),
      .service = absl::ToDoubleSeconds(waiting.best_service),
      .deadline = absl::ToDoubleSeconds(request.deadline - state.now)};
  if (!Unreachable(outlook) && !Overloaded(outlook) &&
      !MissesObjective(state, waiting)) {
    return false;
  }
  // Power is named only when no lower tier could give up some.
  const bool lower_waits = state.queue.LowestTier() > request.tier;
  const bool for_power =
      state.power_short && !lower_waits && !Unreachable(outlook);
  const Code code = for_power ? Code::kPowerShort : Code::kDeadlineUnreachable;
  RefuseRequest(state, request, code,
                ComeBackAfter(state, {request.tier, waiting.pool}));
  return true;
}

// Room for one request of a workspace that is at its bound: from its own lower
// tiers. False when it has none.
bool ShedOwnLower(State& state, const Request& request,
                  WorkspaceIndex workspace) {
  const std::vector<LaneKey> lanes = state.queue.Lanes();
  for (auto lane = lanes.rbegin(); lane != lanes.rend(); ++lane) {
    if (lane->tier <= request.tier) return false;
    const WaitIndex last = state.queue.LastOf(*lane, workspace);
    if (last == kNoIndex) continue;
    // Its own workspace's bound is why, not the site's room: others that wait
    // in lower tiers are not in question.
    RefuseWaiting(state, last, Code::kWorkspaceQueueFull,
                  ComeBackAfter(state, *lane));
    return true;
  }
  return false;
}

// True when it was refused, because its workspace is at a bound.
bool RefuseOverLimit(State& state, const Request& request,
                     WorkspaceIndex workspace, PoolIndex pool) {
  const auto breach = state.limits.Check(workspace, request, state.now);
  if (!breach) return false;
  if (breach->code == Code::kWorkspaceQueueFull &&
      ShedOwnLower(state, request, workspace)) {
    return RefuseOverLimit(state, request, workspace, pool);
  }
  const absl::Duration backlog = ComeBackAfter(state, {request.tier, pool});
  RefuseRequest(state, request, breach->code,
                std::max(backlog, breach->retry_after));
  return true;
}

// Makes room in a full queue. True when it is `waiting` itself that has to go:
// nobody below it waits, and its own workspace has the most waiting.
bool RefuseFull(State& state, const Waiting& waiting) {
  if (state.queue.size() < state.options.max_waiting) return false;
  const Tier lowest = state.queue.LowestTier();
  const Tier tier = waiting.request.tier;
  const WaitIndex last = state.queue.ShedCandidate(lowest);
  const bool below = lowest > tier;
  const bool louder =
      lowest == tier && state.queue.Get(last).workspace != waiting.workspace;
  const LaneKey lane{below ? lowest : tier, waiting.pool};
  if (below || louder) {
    RefuseWaiting(state, last,
                  below ? Code::kShedForHigherTier : Code::kQueueFull,
                  ComeBackAfter(state, lane));
    return false;
  }
  RefuseRequest(state, waiting.request, Code::kQueueFull,
                ComeBackAfter(state, lane));
  return true;
}

}  // namespace

Waiting Describe(const State& state, const Request& request,
                 WorkspaceIndex workspace, PoolIndex pool) {
  Waiting waiting;
  waiting.request = request;
  waiting.marks =
      request.parts.empty() ? MakePrefixMarks(request.prefix) : request.parts;
  waiting.request.prefix = {};  // The marks are enough, and far smaller.
  waiting.request.parts = {};
  waiting.avoid = state.servers.Find(request.avoid);
  waiting.workspace = workspace;
  waiting.pool = pool;
  waiting.weight = state.limits.weight(workspace);
  if (!request.model.empty()) {
    waiting.output = state.estimator.Estimate(request, workspace);
    waiting.is_long =
        waiting.output.median > kLongFactor * state.estimator.ServiceMedian();
  }
  waiting.work = WorkOf(request.prompt_tokens, waiting.output.median);
  // Hopeless is what could not finish even with a short answer; urgent what
  // needs its turn now if its answer is as long as usual.
  waiting.best_service = absl::Seconds(BestServiceSeconds(
      state, waiting, OptimisticOutputTokens(waiting.output)));
  const absl::Duration usual =
      absl::Seconds(BestServiceSeconds(state, waiting, waiting.output.median));
  // A prompt so long that no server could be in time, also alone, has only its
  // deadline; refused for its size, it could never run.
  if (LatestForFirstToken(state, waiting) < state.now) {
    waiting.request.first_token_due = absl::InfiniteFuture();
  }
  waiting.latest_start = std::min(request.deadline - waiting.best_service,
                                  LatestForFirstToken(state, waiting));
  const absl::Time last_usual_start =
      std::min(request.deadline - usual, LatestForFirstToken(state, waiting));
  waiting.urgent_at =
      last_usual_start - std::max(kUrgentBefore, kUrgentPart * usual);
  waiting.since = state.now;
  waiting.order_at = PlaceInLine(waiting, usual);
  return waiting;
}

void Arrive(State& state, const Request& request) {
  // Told twice, as after a change of dispatcher.
  const bool known = state.waiting_by_id.contains(request.id) ||
                     state.running.Find(request.id) != kNoIndex;
  if (known) return;

  // Somebody has to be there to serve it.
  const PoolIndex pool = state.servers.FindPool(request.model);
  if (pool == kNoIndex || state.servers.pool(pool).usable == 0) {
    RefuseRequest(state, request, Code::kNoServer,
                  state.come_back.After(kNoServerSeconds));
    return;
  }

  // Its workspace's limits come first: what is over them delays nobody.
  const WorkspaceIndex workspace = state.limits.IndexOf(request.workspace);
  if (RefuseOverLimit(state, request, workspace, pool)) return;

  Waiting waiting = Describe(state, request, workspace, pool);
  NoteActivity(state, waiting);
  if (RefuseLate(state, waiting)) return;
  if (RefuseFull(state, waiting)) return;
  waiting.sequence = state.next_sequence++;
  AddWaiting(state, std::move(waiting));
}

void Retry(State& state, Waiting waiting, ServerIndex failed) {
  const LaneKey lane{waiting.request.tier, waiting.pool};
  // The turn was not used.
  state.queue.Correct(lane, waiting.workspace, waiting.weight, -waiting.work);
  ++waiting.attempts;
  waiting.avoid = failed;
  const bool usable = state.servers.pool(waiting.pool).usable > 0;
  if (!usable || waiting.attempts >= kMaxAttempts || !state.retries.Take()) {
    RefuseRequest(state, waiting.request, Code::kServerUnreachable,
                  ComeBackAfter(state, lane));
    return;
  }
  ++state.counters.retried;
  AddWaiting(state, std::move(waiting));
}

void ExpireWaiting(State& state) {
  while (state.queue.FirstExpiry() <= state.now) {
    const WaitIndex index = state.queue.FirstExpiring();
    const Waiting& waiting = state.queue.Get(index);
    const bool passed = waiting.request.deadline <= state.now;
    const LaneKey lane{waiting.request.tier, waiting.pool};
    RefuseWaiting(state, index,
                  passed ? Code::kDeadlinePassed : Code::kDeadlineUnreachable,
                  ComeBackAfter(state, lane));
  }
}

void RefuseUnserved(State& state) {
  for (const LaneKey& lane : state.queue.Lanes()) {
    if (state.servers.pool(lane.pool).usable > 0) continue;
    for (const WaitIndex index : state.queue.AllOf(lane.pool)) {
      RefuseWaiting(state, index, Code::kNoServer,
                    state.come_back.After(kNoServerSeconds));
    }
  }
}

}  // namespace gentianlb::schedule
