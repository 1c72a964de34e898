// A picture of which prompt prefixes each engine keeps in its cache.
//
// Load pattern: many requests share long beginnings (a system prompt, a tender
// file, a letter thread). Sent to an engine that has them, their prefill is
// nearly free; sent elsewhere it costs seconds and watts. Cache events come
// late and with gaps, so a picture from them alone is behind, and one that is
// believed for ever sends work after blocks long evicted.
//
// So the picture stands on events and on the dispatcher's own grants, and every
// entry is doubted more the older it is. Age counts in tokens that went into
// that cache since: an engine that evicts the least recently used block has
// dropped it when about its whole cache was replaced. A gap in the events, and
// plain time, count as tokens too. What an engine reports of cached tokens
// tells how far its picture can be trusted.
//
// Of a chain of blocks only some depths are looked up, spaced by a quarter: a
// few lookups in place of hundreds, and a known depth at most a fifth short.

#ifndef GENTIANLB_SCHEDULE_PREFIX_CACHE_H_
#define GENTIANLB_SCHEDULE_PREFIX_CACHE_H_

#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "schedule/index.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

// The marks of a whole chain, shallow first; the last block is always one.
std::vector<PrefixMark> MarksOf(const std::vector<PrefixHash>& prefix);

class PrefixCache {
 public:
  // Who holds a prefix, and when it was put or used there last.
  struct Holder {
    ServerIndex server = kNoIndex;
    double touched = 0;  // On the server's own count of tokens.
  };
  using Holders = std::vector<Holder>;

  // One request's chain, looked up once and then asked for many servers.
  class Lookup {
   public:
    // Tokens that `server` probably holds, weighed by doubt.
    double CachedTokens(ServerIndex server, absl::Time now) const;

    // Up to `limit` servers with the deepest prefixes.
    void DeepestHolders(std::size_t limit,
                        std::vector<ServerIndex>* servers) const;

   private:
    friend class PrefixCache;
    struct Level {
      int tokens;
      const Holders* holders;
    };
    const PrefixCache* cache_ = nullptr;
    std::vector<Level> levels_;  // Deepest first.
  };

  void SetServer(ServerIndex server, const ServerSpec& spec);

  // Valid until the next change.
  Lookup Find(const std::vector<PrefixMark>& marks) const;

  // A grant: the engine is about to hold these, and `new_tokens` replace what
  // was least recently used there.
  void Granted(ServerIndex server, const std::vector<PrefixMark>& marks,
               double new_tokens, absl::Time now);

  void Changed(ServerIndex server, const CacheChanged& event, absl::Time now);

  // The engine's own word on one request.
  void Reported(ServerIndex server, double predicted, double cached);

  // The engine lost its cache, as after a restart.
  void Clear(ServerIndex server, absl::Time now);

  std::size_t entries() const { return entries_; }

 private:
  struct Server {
    double capacity = 0;  // Tokens.
    double odometer = 0;  // Tokens that went in.
    double cleared = 0;   // What was touched before this is gone.
    double trust = 1;
    std::uint64_t sequence = 0;
    absl::Time aged;  // Until when time was counted.
  };

  double Belief(const Server& server, double touched, absl::Time now) const;
  void Age(Server* server, absl::Time now);
  void Touch(ServerIndex server, PrefixHash hash, absl::Time now);
  void Erase(ServerIndex server, PrefixHash hash);
  void Shrink(absl::Time now);

  std::vector<Server> servers_;
  absl::flat_hash_map<PrefixHash, Holders> holders_;
  std::deque<std::pair<PrefixHash, ServerIndex>> order_;  // Of insertion.
  std::size_t entries_ = 0;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_PREFIX_CACHE_H_
