#include "schedule/prefix_cache_tracker.h"

#include <xxhash.h>

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Each depth is 1/4 deeper than the one before: 28 lookups for 512 blocks.
constexpr int kDepthGrowthDivisor = 4;

// An entry takes about 64 bytes in the holder vector and the insertion order:
// 16 MB in total, of the 128 MB that the load balancer may use on a host.
constexpr std::size_t kMaxEntries = 262144;

// Fraction of the cache that counts as replaced when events were lost.
constexpr double kGapReplacedFraction = 0.25;

// Time after which an unused entry counts as evicted, because peer dispatchers
// and the engine itself also use the cache.
constexpr absl::Duration kMaxEntryAge = absl::Minutes(10);

// Weight of one report in the accuracy. The minimum keeps the accuracy high
// enough to recover.
constexpr double kAccuracyWeight = 0.1;
constexpr double kMinAccuracy = 0.1;

}  // namespace

std::vector<PrefixMark> MakePrefixMarks(const std::vector<PrefixHash>& prefix) {
  std::vector<PrefixMark> marks;
  const int blocks = static_cast<int>(prefix.size());
  for (int depth = 1; depth < blocks;
       depth += std::max(1, depth / kDepthGrowthDivisor)) {
    marks.push_back({prefix[depth - 1], depth * kPrefixBlockTokens});
  }
  if (blocks > 0) {
    marks.push_back({prefix.back(), blocks * kPrefixBlockTokens});
  }
  return marks;
}

std::vector<PrefixMark> MakePrefixMarks(const std::vector<PromptPart>& parts) {
  std::vector<PrefixMark> marks;
  PrefixMark mark;
  for (const PromptPart& part : parts) {
    mark.hash = XXH3_64bits_withSeed(&part.hash, sizeof part.hash, mark.hash);
    mark.tokens += part.tokens;
    marks.push_back(mark);
  }
  return marks;
}

double PrefixCacheTracker::Lookup::CachedTokens(ServerIndex server,
                                                absl::Time now) const {
  for (const Level& level : levels_) {
    const auto found =
        std::lower_bound(level.holders->begin(), level.holders->end(), server,
                         [](const Holder& holder, ServerIndex key) {
                           return holder.server < key;
                         });
    if (found == level.holders->end() || found->server != server) continue;
    const Server& state = cache_->servers_[server];
    const double probability =
        cache_->CachedProbability(state, found->last_use, now);
    if (probability > 0) return level.tokens * probability;
  }
  return 0;
}

void PrefixCacheTracker::Lookup::DeepestHolders(
    std::size_t limit, std::vector<ServerIndex>* servers) const {
  const std::size_t max_size = servers->size() + limit;
  for (const Level& level : levels_) {
    for (const Holder& holder : *level.holders) {
      if (servers->size() >= max_size) return;
      const auto listed =
          std::find(servers->begin(), servers->end(), holder.server);
      if (listed == servers->end()) servers->push_back(holder.server);
    }
  }
}

void PrefixCacheTracker::SetServer(ServerIndex server, const ServerSpec& spec) {
  if (server >= servers_.size()) servers_.resize(server + 1);
  servers_[server].capacity = static_cast<double>(spec.cache_tokens);
}

PrefixCacheTracker::Lookup PrefixCacheTracker::Find(
    const std::vector<PrefixMark>& marks) const {
  Lookup lookup;
  lookup.cache_ = this;
  for (auto mark = marks.rbegin(); mark != marks.rend(); ++mark) {
    const auto found = holders_.find(mark->hash);
    if (found == holders_.end()) continue;
    lookup.levels_.push_back({mark->tokens, &found->second});
  }
  return lookup;
}

void PrefixCacheTracker::OnGrant(ServerIndex server,
                                 const std::vector<PrefixMark>& marks,
                                 double new_tokens, absl::Time now) {
  if (servers_[server].capacity <= 0) return;
  AddElapsedTime(&servers_[server], now);
  servers_[server].inserted_tokens += new_tokens;
  for (const PrefixMark& mark : marks) Touch(server, mark.hash, now);
}

void PrefixCacheTracker::OnCacheEvent(ServerIndex server,
                                      const CacheChanged& event,
                                      absl::Time now) {
  Server& state = servers_[server];
  if (event.sequence <= state.sequence) return;  // Duplicate or out of order.
  AddElapsedTime(&state, now);
  const bool gap = state.sequence > 0 && event.sequence > state.sequence + 1;
  if (gap) state.inserted_tokens += state.capacity * kGapReplacedFraction;
  state.sequence = event.sequence;
  if (event.cleared) Clear(server, now);
  for (const PrefixHash hash : event.removed) Erase(server, hash);
  for (const PrefixHash hash : event.added) Touch(server, hash, now);
}

void PrefixCacheTracker::OnCachedTokensReported(ServerIndex server,
                                                double predicted,
                                                double cached) {
  if (predicted < kPrefixBlockTokens) return;
  Server& state = servers_[server];
  // `predicted` already includes the accuracy.
  const double unweighted = predicted / state.accuracy;
  const double sample = std::clamp(cached / unweighted, kMinAccuracy, 1.0);
  state.accuracy += kAccuracyWeight * (sample - state.accuracy);
}

void PrefixCacheTracker::Clear(ServerIndex server, absl::Time now) {
  Server& state = servers_[server];
  AddElapsedTime(&state, now);
  state.inserted_tokens += 1;
  state.cleared_at = state.inserted_tokens;
}

double PrefixCacheTracker::CachedProbability(const Server& server,
                                             double last_use,
                                             absl::Time now) const {
  if (server.capacity <= 0 || last_use < server.cleared_at) return 0;
  const double replaced = (server.inserted_tokens - last_use) / server.capacity;
  const double aged = absl::FDivDuration(now - server.aged_until, kMaxEntryAge);
  return server.accuracy * std::clamp(1 - replaced - aged, 0.0, 1.0);
}

void PrefixCacheTracker::AddElapsedTime(Server* server, absl::Time now) {
  if (server->aged_until == absl::Time()) server->aged_until = now;
  const double aged =
      absl::FDivDuration(now - server->aged_until, kMaxEntryAge);
  server->inserted_tokens += server->capacity * std::min(1.0, aged);
  server->aged_until = now;
}

void PrefixCacheTracker::Touch(ServerIndex server, PrefixHash hash,
                               absl::Time now) {
  const double last_use = servers_[server].inserted_tokens;
  Holders& holders = holders_[hash];
  const auto place =
      std::lower_bound(holders.begin(), holders.end(), server,
                       [](const Holder& holder, ServerIndex key) {
                         return holder.server < key;
                       });
  if (place != holders.end() && place->server == server) {
    place->last_use = last_use;
    return;
  }
  holders.insert(place, {server, last_use});
  insertion_order_.emplace_back(hash, server);
  ++entries_;
  EvictExcess(now);
}

void PrefixCacheTracker::Erase(ServerIndex server, PrefixHash hash) {
  const auto found = holders_.find(hash);
  if (found == holders_.end()) return;
  const std::size_t erased = std::erase_if(
      found->second,
      [&](const Holder& holder) { return holder.server == server; });
  entries_ -= erased;
  if (found->second.empty()) holders_.erase(found);
}

void PrefixCacheTracker::EvictExcess(absl::Time now) {
  // Of the first kSecondChances entries, those that are probably still cached
  // move to the back of the order. After that, entries are erased regardless,
  // to stay within the limit.
  constexpr int kSecondChances = 4;
  constexpr double kMinProbabilityToKeep = 0.5;
  int chances = kSecondChances;
  while (entries_ > kMaxEntries || insertion_order_.size() > 2 * kMaxEntries) {
    const auto [hash, server] = insertion_order_.front();
    insertion_order_.pop_front();
    const auto found = holders_.find(hash);
    if (found == holders_.end()) continue;
    const auto holder = std::find_if(found->second.begin(), found->second.end(),
                                     [server = server](const Holder& entry) {
                                       return entry.server == server;
                                     });
    if (holder == found->second.end()) continue;
    const double probability =
        CachedProbability(servers_[server], holder->last_use, now);
    if (chances-- > 0 && probability > kMinProbabilityToKeep) {
      insertion_order_.emplace_back(hash, server);
    } else {
      Erase(server, hash);
    }
  }
}

}  // namespace gentianlb::schedule
