#include "schedule/prefix_cache.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// Depths grow by a quarter: 23 lookups for a chain of 512 blocks.
constexpr int kMarkStep = 4;

// Two numbers, a place in a vector and one in the order of insertion: about 64
// bytes each, 16 MB in all, of the 128 MB that control may use on a host.
constexpr std::size_t kMaxEntries = 262144;

// Unknown events were lost: as if this part of the cache had been replaced.
constexpr double kGapDoubt = 0.25;

// Without any news, an entry is fully doubted after this time, since other
// dispatchers and the engine itself use the cache unseen.
constexpr absl::Duration kFullDoubt = absl::Minutes(10);

// Each report moves the trust by a tenth; it never goes so low that a server
// could not win it back.
constexpr double kTrustWeight = 0.1;
constexpr double kMinTrust = 0.1;

}  // namespace

std::vector<PrefixMark> MarksOf(const std::vector<PrefixHash>& prefix) {
  std::vector<PrefixMark> marks;
  const int blocks = static_cast<int>(prefix.size());
  for (int depth = 1; depth < blocks; depth += std::max(1, depth / kMarkStep)) {
    marks.push_back({prefix[depth - 1], depth * kPrefixBlockTokens});
  }
  if (blocks > 0) {
    marks.push_back({prefix.back(), blocks * kPrefixBlockTokens});
  }
  return marks;
}

double PrefixCache::Lookup::CachedTokens(ServerIndex server,
                                         absl::Time now) const {
  for (const Level& level : levels_) {
    const auto found =
        std::lower_bound(level.holders->begin(), level.holders->end(), server,
                         [](const Holder& holder, ServerIndex key) {
                           return holder.server < key;
                         });
    if (found == level.holders->end() || found->server != server) continue;
    const Server& known = cache_->servers_[server];
    const double belief = cache_->Belief(known, found->touched, now);
    if (belief > 0) return level.tokens * belief;
  }
  return 0;
}

void PrefixCache::Lookup::DeepestHolders(
    std::size_t limit, std::vector<ServerIndex>* servers) const {
  const std::size_t most = servers->size() + limit;
  for (const Level& level : levels_) {
    for (const Holder& holder : *level.holders) {
      if (servers->size() >= most) return;
      const auto known =
          std::find(servers->begin(), servers->end(), holder.server);
      if (known == servers->end()) servers->push_back(holder.server);
    }
  }
}

void PrefixCache::SetServer(ServerIndex server, const ServerSpec& spec) {
  if (server >= servers_.size()) servers_.resize(server + 1);
  servers_[server].capacity = static_cast<double>(spec.cache_tokens);
}

PrefixCache::Lookup PrefixCache::Find(
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

void PrefixCache::Granted(ServerIndex server,
                          const std::vector<PrefixMark>& marks,
                          double new_tokens, absl::Time now) {
  if (servers_[server].capacity <= 0) return;
  Age(&servers_[server], now);
  servers_[server].odometer += new_tokens;
  for (const PrefixMark& mark : marks) Touch(server, mark.hash, now);
}

void PrefixCache::Changed(ServerIndex server, const CacheChanged& event,
                          absl::Time now) {
  Server& known = servers_[server];
  if (event.sequence <= known.sequence) return;  // Twice, or overtaken.
  Age(&known, now);
  const bool gap = known.sequence > 0 && event.sequence > known.sequence + 1;
  if (gap) known.odometer += known.capacity * kGapDoubt;
  known.sequence = event.sequence;
  if (event.cleared) Clear(server, now);
  for (const PrefixHash hash : event.removed) Erase(server, hash);
  for (const PrefixHash hash : event.added) Touch(server, hash, now);
}

void PrefixCache::Reported(ServerIndex server, double predicted,
                           double cached) {
  if (predicted < kPrefixBlockTokens) return;
  Server& known = servers_[server];
  // `predicted` was weighed by the trust already.
  const double full = predicted / known.trust;
  const double sample = std::clamp(cached / full, kMinTrust, 1.0);
  known.trust += kTrustWeight * (sample - known.trust);
}

void PrefixCache::Clear(ServerIndex server, absl::Time now) {
  Server& known = servers_[server];
  Age(&known, now);
  known.odometer += 1;
  known.cleared = known.odometer;
}

double PrefixCache::Belief(const Server& server, double touched,
                           absl::Time now) const {
  if (server.capacity <= 0 || touched < server.cleared) return 0;
  const double replaced = (server.odometer - touched) / server.capacity;
  const double aged = absl::FDivDuration(now - server.aged, kFullDoubt);
  return server.trust * std::clamp(1 - replaced - aged, 0.0, 1.0);
}

void PrefixCache::Age(Server* server, absl::Time now) {
  if (server->aged == absl::Time()) server->aged = now;
  const double aged = absl::FDivDuration(now - server->aged, kFullDoubt);
  server->odometer += server->capacity * std::min(1.0, aged);
  server->aged = now;
}

void PrefixCache::Touch(ServerIndex server, PrefixHash hash, absl::Time now) {
  const double odometer = servers_[server].odometer;
  Holders& holders = holders_[hash];
  const auto place =
      std::lower_bound(holders.begin(), holders.end(), server,
                       [](const Holder& holder, ServerIndex key) {
                         return holder.server < key;
                       });
  if (place != holders.end() && place->server == server) {
    place->touched = odometer;
    return;
  }
  holders.insert(place, {server, odometer});
  order_.emplace_back(hash, server);
  ++entries_;
  Shrink(now);
}

void PrefixCache::Erase(ServerIndex server, PrefixHash hash) {
  const auto found = holders_.find(hash);
  if (found == holders_.end()) return;
  const std::size_t erased = std::erase_if(
      found->second,
      [&](const Holder& holder) { return holder.server == server; });
  entries_ -= erased;
  if (found->second.empty()) holders_.erase(found);
}

void PrefixCache::Shrink(absl::Time now) {
  // What is still believed goes to the back of the order once or twice; then
  // memory goes before knowledge.
  constexpr int kSecondChances = 4;
  constexpr double kWorthKeeping = 0.5;
  int chances = kSecondChances;
  while (entries_ > kMaxEntries || order_.size() > 2 * kMaxEntries) {
    const auto [hash, server] = order_.front();
    order_.pop_front();
    const auto found = holders_.find(hash);
    if (found == holders_.end()) continue;
    const auto holder = std::find_if(found->second.begin(), found->second.end(),
                                     [server = server](const Holder& entry) {
                                       return entry.server == server;
                                     });
    if (holder == found->second.end()) continue;
    const double belief = Belief(servers_[server], holder->touched, now);
    if (chances-- > 0 && belief > kWorthKeeping) {
      order_.emplace_back(hash, server);
    } else {
      Erase(server, hash);
    }
  }
}

}  // namespace gentianlb::schedule
