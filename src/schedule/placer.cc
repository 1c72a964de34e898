#include "schedule/placer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace gentianlb::schedule {
namespace {

// Maximum numbers of candidates: the fastest open servers (of the request's own
// zone as many again where crossing zones has a cost), the servers with the
// most of the prompt cached, and the fastest that are already computing
// prompts. Two random candidates come close to the best choice (power of two
// choices); more than the best 8 gain little. Scoring costs under 1 us.
constexpr std::size_t kMaxFastest = 8;
constexpr std::size_t kMaxHolders = 8;
constexpr std::size_t kMaxPrefilling = 4;

// Position between the median (0) and the 0.9 quantile (1) of the output length
// assumed while other requests wait. With the median, a request could have
// an even chance of being late and use capacity that another could use.
// Deployments that weight wasted prefill above goodput use the 0.9 quantile.
constexpr double kContendedPosition = 0.25;

// Cost of a second of uncached prompt work relative to a second of finish time.
// Computing a prompt also delays other prompts, draws as much power as many
// streams, and evicts other prefixes from the cache.
constexpr double kUncachedCostFactor = 10;

// Delay scheduling, as in clusters with data locality: waiting a short time for
// the server that has the prompt cached improves both goodput and waste
// compared with computing it elsewhere. The wait is at most half of the time
// until the request becomes urgent. A longer limit improves goodput over all
// tiers, but 120 s reduces the goodput of the top tier by up to 10 %.
constexpr absl::Duration kMaxCacheWait = absl::Seconds(120);
constexpr absl::Duration kMaxTopTierCacheWait = absl::Seconds(30);

// A request is not sent to a candidate, but waits for the server with most of
// its prompt cached, if the candidate lacks more than this many of the tokens
// cached there (about 0.1 s of prefill) and has less than this fraction of
// them.
constexpr double kMinTokensToWaitFor = 512;
constexpr double kMinCachedFraction = 0.5;

// A server that is being probed may take this many times longer than predicted;
// a probe must not make a request miss its deadline.
constexpr double kProbeMargin = 2;

// Appends the first `limit` servers of `from`.
void AddFront(const ServerOrder& from, std::size_t limit,
              std::vector<ServerIndex>* candidates) {
  for (const auto& [key, server] : from) {
    if (limit-- == 0) return;
    candidates->push_back(server);
  }
}

bool Contains(const std::vector<ServerIndex>& servers, ServerIndex server) {
  return std::find(servers.begin(), servers.end(), server) != servers.end();
}

// Records a reason why one candidate was rejected.
void Block(BlockReason reason, Placement* best) {
  if (best->reason == BlockReason::kNone) return;
  best->reason = std::max(best->reason, reason);
}

}  // namespace

// Returns the penalty in seconds for using an engine outside its role. Such
// work delays the work that the engine is dedicated to, so it counts twice.
double RoleMismatchSeconds(const Server& server, const Demand& demand) {
  switch (server.spec.role) {
    case ServerRole::kMixed:
      return 0;
    case ServerRole::kPrefill:
      return demand.output_tokens *
             server.speed.TokenSeconds(server.running() + 1);
    case ServerRole::kDecode:
      return server.speed.PrefillSeconds(demand.prefill_tokens);
  }
  return 0;
}

// The request and the limits that all its candidates are checked against.
struct Placer::Criteria {
  const WaitingRequest& waiting;
  const Reserves& reserves;
  const SearchScope& scope;
  const PrefixCacheTracker::Lookup& lookup;
  absl::Time now;
  double seconds_left = 0;
  double first_token_left = 0;  // Seconds.
  double output = 0;            // Output tokens to assume.
  bool optimistic = false;      // See SearchScope.
  bool may_wait = false;        // May wait for a server with the prompt cached.
  double best_cached = 0;       // Most prompt tokens cached on any server.

  // Returns whether `server` is excluded for this request.
  bool IsExcluded(const ServerSet& servers, ServerIndex server) const {
    if (server == waiting.avoid && servers.pool(waiting.pool).usable > 1) {
      return true;
    }
    if (Contains(*scope.held_servers, server)) return true;
    const std::vector<PoolIndex>& pools = servers.at(server).pools;
    return std::any_of(pools.begin(), pools.end(), [this](PoolIndex pool) {
      return (*scope.closed_pools)[pool];
    });
  }
};

double Placer::AssumedOutputTokens(const WaitingRequest& waiting,
                                   bool contended) const {
  const double median = waiting.output.median;
  const double spread = waiting.output.p90 - median;
  // A default must not block requests whose responses would provide real data.
  if (!waiting.output.learnt) return OptimisticOutputTokens(waiting.output);
  if (weights_.wasted_prefill > weights_.goodput) return median + spread;
  return contended ? median + kContendedPosition * spread : median;
}

bool Placer::MayWaitForCache(const WaitingRequest& waiting,
                             absl::Time now) const {
  const bool top = waiting.request.tier.rank == 0;
  const absl::Duration max_wait =
      std::min(top ? kMaxTopTierCacheWait : kMaxCacheWait,
               (waiting.urgent_at - waiting.enqueued_at) / 2);
  return now - waiting.enqueued_at < max_wait;
}

double Placer::BestCached(const PrefixCacheTracker::Lookup& lookup,
                          const EntryHostId& host, absl::Time now) const {
  std::vector<ServerIndex> holders;
  lookup.DeepestHolders(kMaxHolders, &holders);
  double best = 0;
  for (const ServerIndex holder : holders) {
    const Server& server = servers_.at(holder);
    const bool healthy = server.configured && !server.window.probing() &&
                         server.health == ServerHealth::kAlive &&
                         server.limit.Allows(now) &&
                         !cooldowns_.IsExcluded(host, holder, now);
    if (healthy) best = std::max(best, lookup.CachedTokens(holder, now));
  }
  return best;
}

void Placer::Collect(const WaitingRequest& waiting, const SearchScope& scope,
                     const PrefixCacheTracker::Lookup& lookup) {
  if (scope.only_servers != nullptr) {
    candidates_ = *scope.only_servers;
    return;
  }
  const Pool& pool = servers_.pool(waiting.pool);
  candidates_.clear();
  const std::size_t fastest = kMaxFastest + CountExcluded(waiting.request.host);
  AddFront(pool.open, fastest, &candidates_);
  if (const ServerOrder* own =
          pool.OpenInZone(servers_.FindZone(waiting.request.zone))) {
    AddFront(*own, fastest, &candidates_);
  }
  // With little power left, only servers that are already computing prompts may
  // fit.
  AddFront(pool.open_prefilling, kMaxPrefilling, &candidates_);
  lookup.DeepestHolders(kMaxHolders, &candidates_);
}

Placement Placer::Place(const WaitingRequest& waiting, const Reserves& reserves,
                        const SearchScope& scope, absl::Time now) {
  Placement best;
  if (servers_.pool(waiting.pool).open.empty()) return best;
  if ((*scope.closed_pools)[waiting.pool]) return best;
  const PrefixCacheTracker::Lookup lookup = cache_.Find(waiting.marks);
  const bool may_wait = !waiting.marks.empty() && MayWaitForCache(waiting, now);
  const Criteria criteria{
      .waiting = waiting,
      .reserves = reserves,
      .scope = scope,
      .lookup = lookup,
      .now = now,
      .seconds_left = absl::ToDoubleSeconds(waiting.request.deadline - now),
      .first_token_left =
          absl::ToDoubleSeconds(waiting.request.first_token_due - now),
      .output = AssumedOutputTokens(waiting, scope.contended),
      .optimistic = scope.optimistic,
      .may_wait = may_wait,
      .best_cached =
          may_wait ? BestCached(lookup, waiting.request.host, now) : 0};
  Collect(waiting, scope, lookup);
  double best_score = std::numeric_limits<double>::infinity();
  for (const ServerIndex server : candidates_) {
    Consider(server, criteria, &best, &best_score);
  }
  if (scope.may_hold) HoldForPauses(waiting, now, &best);
  return best;
}

void Placer::HoldForPauses(const WaitingRequest& waiting, absl::Time now,
                           Placement* best) {
  if (best->reason != BlockReason::kNone || best->pauses.weight <= 0) return;
  best->hold = StreamPauses::HoldTime(
      waiting.enqueued_at, std::min(best->spare, waiting.latest_start - now),
      now);
  if (best->hold > absl::ZeroDuration()) best->reason = BlockReason::kPauses;
}

void Placer::Consider(ServerIndex index, const Criteria& criteria,
                      Placement* best, double* best_score) const {
  const Server& server = servers_.at(index);
  const WaitingRequest& waiting = criteria.waiting;
  const auto& pools = server.pools;
  if (std::find(pools.begin(), pools.end(), waiting.pool) == pools.end()) {
    return;  // Changed, or has the prefix cached, but for another model.
  }
  if (!server.IsOpen(criteria.now)) return;
  const int reserved =
      static_cast<int>(criteria.reserves.streams * server.window.streams());
  if (server.FreeStreams(criteria.now) <= reserved && server.running() > 0) {
    return Block(BlockReason::kReserved, best);
  }
  if (criteria.IsExcluded(servers_, index)) return;
  if (lost_paths_.IsLost(waiting.request.host, index, criteria.now)) {
    return Block(BlockReason::kNoPath, best);
  }
  if (cooldowns_.IsExcluded(waiting.request.host, index, criteria.now)) {
    return Block(BlockReason::kCooldown, best);
  }

  const double cached =
      std::min<double>(waiting.request.prompt_tokens,
                       criteria.lookup.CachedTokens(index, criteria.now));
  Demand demand;
  demand.prefill_tokens = waiting.request.prompt_tokens - cached;
  demand.output_tokens = criteria.output;
  demand.kv_tokens = waiting.request.prompt_tokens + waiting.output.p90;
  demand.plain = waiting.request.model.empty();

  if (!server.MemoryFits(demand.kv_tokens, criteria.now) ||
      !server.PrefillFits(demand.prefill_tokens)) {
    const bool first = best->server == kNoIndex;
    const bool more_memory =
        first || server.FreeMemory(demand.kv_tokens, criteria.now) >
                     servers_.at(best->server)
                         .FreeMemory(demand.kv_tokens, criteria.now);
    if (best->reason != BlockReason::kNone && more_memory) best->server = index;
    return Block(BlockReason::kTooLarge, best);
  }
  if (!power_.Fits(index, criteria.reserves.power)) {
    return Block(BlockReason::kNoPower, best);
  }

  // Delay scheduling: the server that has the prompt cached may become free
  // soon.
  const bool misplaced = criteria.best_cached - cached > kMinTokensToWaitFor &&
                         cached < kMinCachedFraction * criteria.best_cached;
  if (criteria.may_wait && misplaced) return Block(BlockReason::kTooSlow, best);

  // Rejects servers on which the request would be late.
  double finish = server.FinishSeconds(demand, criteria.now);
  if (criteria.optimistic) {
    Demand optimistic = demand;
    optimistic.output_tokens = OptimisticOutputTokens(waiting.output);
    finish = server.FinishSeconds(optimistic, criteria.now);
  }
  const bool probe = server.window.probing();
  const double margin = probe ? kProbeMargin : 1;
  if (finish * margin > criteria.seconds_left) {
    return Block(BlockReason::kTooSlow, best);
  }
  const double first =
      server.FirstTokenSeconds(demand.prefill_tokens, criteria.now);
  if (!demand.plain && first * margin > criteria.first_token_left) {
    return Block(BlockReason::kTooSlow, best);
  }

  finish += RoleMismatchSeconds(server, demand);
  const double uncached =
      server.PrefillSeconds(demand.prefill_tokens, criteria.now);
  // A probe gets the best score, so that the first request that can afford it
  // is sent to the server.
  double score =
      probe ? 0
            : server.spec.cost_factor *
                  (weights_.goodput * finish +
                   weights_.wasted_prefill * kUncachedCostFactor * uncached);
  score +=
      zones_.CrossingSeconds(waiting.request.zone, server.spec.zone, score);
  const PauseForecast pauses =
      pauses_.Predict(index, waiting.request, demand.prefill_tokens,
                      server.PromptLoadAt(criteria.now), criteria.now);
  if (best->reason == BlockReason::kNone &&
      std::pair(pauses.weight, score) >=
          std::pair(best->pauses.weight, *best_score)) {
    return;
  }
  *best_score = score;
  const double spare = std::min(criteria.seconds_left - finish * margin,
                                criteria.first_token_left - first * margin);
  *best = {.reason = BlockReason::kNone,
           .server = index,
           .demand = demand,
           .cached_tokens = cached,
           .pauses = pauses,
           .spare = absl::Seconds(spare),
           .hold = {}};
}

}  // namespace gentianlb::schedule
