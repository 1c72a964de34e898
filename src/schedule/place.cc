#include "schedule/place.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gentianlb::schedule {
namespace {

// The front of the index and the deepest holders. Two random candidates already
// come close to the best (power of two choices); eight of the best leave little
// to gain and cost under a microsecond.
constexpr std::size_t kQuickest = 8;
constexpr std::size_t kHolders = 8;
constexpr std::size_t kPrefilling = 4;

// How far between the median and the ninth decile an answer is judged while
// others wait: an even chance to be late is too little then, as the room would
// serve another. Where thrown away prompts weigh more it is the ninth decile.
constexpr double kContendedSpread = 0.25;

// A prompt computed anew costs more than the seconds of its own request: it
// keeps others' prompts waiting, draws the watts of many streams, and pushes
// other prefixes out of the cache.
constexpr double kUncachedCost = 10;

// Delay scheduling, as known from clusters that store data: to wait a little
// for the server that has the data is better than to compute it again
// elsewhere, for goodput as well as for waste. Never for more than half of the
// time until it becomes urgent. Of 10, 30 and 120 s in the bench, more was
// better for goodput over all tiers, but 120 s cost the top tier up to 10 % of
// its own.
constexpr absl::Duration kPatience = absl::Seconds(120);
constexpr absl::Duration kTopPatience = absl::Seconds(30);
constexpr double kWorthWaiting = 512;  // Tokens: a tenth of a second.
constexpr double kMostOfIt = 0.5;

// A probe must not cost a request its deadline: it may take twice as long as
// predicted.
constexpr double kProbeMargin = 2;

void AddFront(const absl::btree_set<std::pair<double, ServerIndex>>& from,
              std::size_t limit, std::vector<ServerIndex>* candidates) {
  for (const auto& [key, server] : from) {
    if (limit-- == 0) return;
    candidates->push_back(server);
  }
}

bool Contains(const std::vector<ServerIndex>& servers, ServerIndex server) {
  return std::find(servers.begin(), servers.end(), server) != servers.end();
}

void Prefer(Hindrance hindrance, Placement* best) {
  if (best->hindrance == Hindrance::kNone) return;
  best->hindrance = std::max(best->hindrance, hindrance);
}

}  // namespace

// An engine in a special role does the other half of the work at the cost of
// what it is meant for; that half counts twice.
double MisfitSeconds(const Server& server, const Demand& demand) {
  switch (server.spec.role) {
    case ServerRole::kMixed:
      return 0;
    case ServerRole::kPrefill:
      return demand.output_tokens *
             server.pace.TokenSeconds(server.running() + 1);
    case ServerRole::kDecode:
      return server.pace.PrefillSeconds(demand.prefill_tokens);
  }
  return 0;
}

// What all candidates of one request are judged by.
struct Placer::Choice {
  const WaitingRequest& waiting;
  const Reserves& reserves;
  const Search& search;
  const PrefixCache::Lookup& lookup;
  absl::Time now;
  double seconds_left = 0;
  double first_token_left = 0;  // Seconds.
  double output = 0;            // Tokens by which lateness is judged.
  bool hopeful = false;
  bool patient = false;    // May still wait for who has its prompt.
  double best_cached = 0;  // Tokens, on whichever server has most.

  bool IsClosed(const Fleet& fleet, ServerIndex server) const {
    if (server == waiting.avoid && fleet.pool(waiting.pool).usable > 1) {
      return true;
    }
    if (Contains(*search.held, server)) return true;
    const std::vector<PoolIndex>& pools = fleet.at(server).pools;
    return std::any_of(pools.begin(), pools.end(), [this](PoolIndex pool) {
      return (*search.closed_pools)[pool];
    });
  }
};

double Placer::JudgedOutput(const WaitingRequest& waiting,
                            bool contended) const {
  const double median = waiting.output.median;
  const double spread = waiting.output.high - median;
  // A guess must not keep out what would teach better.
  if (!waiting.output.learnt) return HopefulOutput(waiting.output);
  if (weights_.wasted_prefill > weights_.goodput) return median + spread;
  return contended ? median + kContendedSpread * spread : median;
}

bool Placer::Patient(const WaitingRequest& waiting, absl::Time now) const {
  const bool top = waiting.request.tier.rank == 0;
  const absl::Duration patience =
      std::min(top ? kTopPatience : kPatience,
               (waiting.urgent_at - waiting.enqueued_at) / 2);
  return now - waiting.enqueued_at < patience;
}

double Placer::BestCached(const PrefixCache::Lookup& lookup,
                          absl::Time now) const {
  std::vector<ServerIndex> holders;
  lookup.DeepestHolders(kHolders, &holders);
  double best = 0;
  for (const ServerIndex holder : holders) {
    const Server& server = fleet_.at(holder);
    const bool well = server.configured && !server.window.probing() &&
                      server.health == ServerHealth::kAlive;
    if (well) best = std::max(best, lookup.CachedTokens(holder, now));
  }
  return best;
}

void Placer::Collect(const WaitingRequest& waiting, const Search& search,
                     const PrefixCache::Lookup& lookup) {
  if (search.only != nullptr) {
    candidates_ = *search.only;
    return;
  }
  const Pool& pool = fleet_.pool(waiting.pool);
  candidates_.clear();
  AddFront(pool.open, kQuickest, &candidates_);
  // With little power left, those that compute prompts already may be the only
  // ones that fit.
  AddFront(pool.open_prefilling, kPrefilling, &candidates_);
  lookup.DeepestHolders(kHolders, &candidates_);
}

Placement Placer::Place(const WaitingRequest& waiting, const Reserves& reserves,
                        const Search& search, absl::Time now) {
  Placement best;
  if (fleet_.pool(waiting.pool).open.empty()) return best;
  if ((*search.closed_pools)[waiting.pool]) return best;
  const PrefixCache::Lookup lookup = cache_.Find(waiting.marks);
  const bool patient = !waiting.marks.empty() && Patient(waiting, now);
  const Choice choice{
      .waiting = waiting,
      .reserves = reserves,
      .search = search,
      .lookup = lookup,
      .now = now,
      .seconds_left = absl::ToDoubleSeconds(waiting.request.deadline - now),
      .first_token_left =
          absl::ToDoubleSeconds(waiting.request.first_token_due - now),
      .output = JudgedOutput(waiting, search.contended),
      .hopeful = search.hopeful,
      .patient = patient,
      .best_cached = patient ? BestCached(lookup, now) : 0};
  Collect(waiting, search, lookup);
  double best_score = std::numeric_limits<double>::infinity();
  for (const ServerIndex server : candidates_) {
    Consider(server, choice, &best, &best_score);
  }
  return best;
}

void Placer::Consider(ServerIndex index, const Choice& choice, Placement* best,
                      double* best_score) const {
  const Server& server = fleet_.at(index);
  const WaitingRequest& waiting = choice.waiting;
  const auto& pools = server.pools;
  if (std::find(pools.begin(), pools.end(), waiting.pool) == pools.end()) {
    return;  // Holds the prefix for another model.
  }
  if (!server.Open(choice.now)) return;
  const int kept =
      static_cast<int>(choice.reserves.streams * server.window.streams());
  if (server.FreeStreams(choice.now) <= kept && server.running() > 0) {
    return Prefer(Hindrance::kReserved, best);
  }
  if (choice.IsClosed(fleet_, index)) return;

  const double cached =
      std::min<double>(waiting.request.prompt_tokens,
                       choice.lookup.CachedTokens(index, choice.now));
  Demand demand;
  demand.prefill_tokens = waiting.request.prompt_tokens - cached;
  demand.output_tokens = choice.output;
  demand.kv_tokens = waiting.request.prompt_tokens + waiting.output.high;
  demand.plain = waiting.request.model.empty();

  if (!server.MemoryFits(demand.kv_tokens) ||
      !server.PrefillFits(demand.prefill_tokens)) {
    const bool first = best->server == kNoIndex;
    const bool roomier =
        first || server.FreeMemory() > fleet_.at(best->server).FreeMemory();
    if (best->hindrance != Hindrance::kNone && roomier) best->server = index;
    return Prefer(Hindrance::kTooLarge, best);
  }
  if (!power_.Fits(index, choice.reserves.power)) {
    return Prefer(Hindrance::kNoPower, best);
  }

  // Patience: the server that has the prompt may take it soon.
  const bool misplaced = choice.best_cached - cached > kWorthWaiting &&
                         cached < kMostOfIt * choice.best_cached;
  if (choice.patient && misplaced) return Prefer(Hindrance::kTooSlow, best);

  // Time: not where it would be late.
  double finish = server.FinishSeconds(demand, choice.now);
  if (choice.hopeful) {
    Demand hopeful = demand;
    hopeful.output_tokens = HopefulOutput(waiting.output);
    finish = server.FinishSeconds(hopeful, choice.now);
  }
  const bool probe = server.window.probing();
  const double margin = probe ? kProbeMargin : 1;
  if (finish * margin > choice.seconds_left) {
    return Prefer(Hindrance::kTooSlow, best);
  }
  const double first =
      server.FirstTokenSeconds(demand.prefill_tokens, choice.now);
  if (!demand.plain && first * margin > choice.first_token_left) {
    return Prefer(Hindrance::kTooSlow, best);
  }

  finish += MisfitSeconds(server, demand);
  const double uncached = server.pace.PrefillSeconds(demand.prefill_tokens);
  // A probe is for finding out: whoever can bear it takes it.
  const double score =
      probe ? 0
            : server.spec.cost_factor *
                  (weights_.goodput * finish +
                   weights_.wasted_prefill * kUncachedCost * uncached);
  if (best->hindrance == Hindrance::kNone && score >= *best_score) return;
  *best_score = score;
  *best = {Hindrance::kNone, index, demand, cached};
}

}  // namespace gentianlb::schedule
