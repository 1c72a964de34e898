// Estimates which prompt prefixes each engine holds in its prefix cache.
//
// Load pattern: many requests share long prefixes (a system prompt, a tender
// file, a letter thread). On an engine that has the prefix cached, prefill is
// nearly free; elsewhere it costs seconds and power. Cache events arrive late
// and some are lost. An estimate from events alone would lag behind, and
// entries that never expire would send requests to engines that have evicted
// the prefix.
//
// The estimate is therefore based on cache events and on the dispatcher's own
// grants, and the probability that an entry is still cached falls with its age.
// Age is measured in tokens inserted into that cache since the last use: an
// engine with LRU eviction has dropped a block once about its whole cache was
// replaced. Gaps in the events and elapsed time also count as inserted tokens.
// The cached tokens that an engine reports correct the accuracy of its entries.
//
// Only some depths of a chain of blocks are looked up, each a quarter deeper
// than the one before. This takes a few lookups instead of hundreds, and the
// depth found is at most a fifth too short.

#ifndef GENTIANLB_SCHEDULE_PREFIX_CACHE_TRACKER_H_
#define GENTIANLB_SCHEDULE_PREFIX_CACHE_TRACKER_H_

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "schedule/index.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

// Returns the depths of `prefix` to look up, shallowest first. The last block
// is always included.
std::vector<PrefixMark> MakePrefixMarks(const std::vector<PrefixHash>& prefix);
// Returns the end of each part. A mark covers its part and all parts before it,
// without which the part's cache entry is useless.
std::vector<PrefixMark> MakePrefixMarks(const std::vector<PromptPart>& parts);

// Tracks the cached prefixes of all servers.
class PrefixCacheTracker {
 public:
  // A server that holds a prefix, and the last use of the prefix there.
  struct Holder {
    ServerIndex server = kNoIndex;
    double last_use = 0;  // In tokens inserted on that server.
  };
  using Holders = std::vector<Holder>;

  // The result of looking up one request's prefix, for queries about many
  // servers.
  class Lookup {
   public:
    // Returns the expected number of prompt tokens cached on `server`: the
    // deepest known prefix weighted by the probability that it is still cached.
    double CachedTokens(ServerIndex server, absl::Time now) const;

    // Appends up to `limit` servers that hold the deepest prefixes and are not
    // yet in `servers`.
    void DeepestHolders(std::size_t limit,
                        std::vector<ServerIndex>* servers) const;

   private:
    friend class PrefixCacheTracker;
    struct Level {
      int tokens;
      const Holders* holders;
    };
    const PrefixCacheTracker* cache_ = nullptr;
    std::vector<Level> levels_;  // Deepest first.
  };

  // Sets the cache size of `server`.
  void SetServer(ServerIndex server, const ServerSpec& spec);

  // Looks up a prefix. The result is valid until the next change of this
  // object.
  Lookup Find(const std::vector<PrefixMark>& marks) const;

  // Records a grant: the engine will hold the prefix `marks`, and `new_tokens`
  // tokens replace its least recently used blocks.
  void OnGrant(ServerIndex server, const std::vector<PrefixMark>& marks,
               double new_tokens, absl::Time now);

  // Applies a cache event. Ignores duplicate and outdated events.
  void OnCacheEvent(ServerIndex server, const CacheChanged& event,
                    absl::Time now);

  // Corrects the accuracy of a server's entries by one request: the predicted
  // number of cached tokens and the number that the engine reports.
  void OnCachedTokensReported(ServerIndex server, double predicted,
                              double cached);

  // Drops all entries of a server, for example after a restart.
  void Clear(ServerIndex server, absl::Time now);

  std::size_t entries() const { return entries_; }

 private:
  struct Server {
    double capacity = 0;         // Tokens.
    double inserted_tokens = 0;  // Total; the clock that entries age by.
    double cleared_at = 0;  // Entries with an earlier last use are invalid.
    double accuracy = 1;    // Cached tokens reported over predicted.
    std::uint64_t sequence = 0;  // Of the last cache event.
    absl::Time aged_until;       // Time already added to inserted_tokens.
  };

  // Returns the estimated probability that a block last used at `last_use` is
  // still cached.
  double CachedProbability(const Server& server, double last_use,
                           absl::Time now) const;
  // Adds the time since the last call to the server's inserted tokens.
  void AddElapsedTime(Server* server, absl::Time now);
  // Adds an entry, or updates its last use.
  void Touch(ServerIndex server, PrefixHash hash, absl::Time now);
  void Erase(ServerIndex server, PrefixHash hash);
  // Removes the oldest entries above the memory limit.
  void EvictExcess(absl::Time now);

  std::vector<Server> servers_;
  absl::flat_hash_map<PrefixHash, Holders> holders_;
  // Entries in insertion order, oldest first.
  std::deque<std::pair<PrefixHash, ServerIndex>> insertion_order_;
  std::size_t entries_ = 0;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_PREFIX_CACHE_TRACKER_H_
