// The prefix cache of one server fake: blocks of prompts, the least recently
// used go first, and what came and went since the last report.

#ifndef GENTIANLB_REPLAY_PREFIX_CACHE_H_
#define GENTIANLB_REPLAY_PREFIX_CACHE_H_

#include <cstdint>
#include <list>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

class PrefixCache {
 public:
  explicit PrefixCache(std::int64_t capacity_tokens);

  // How many blocks from the head of `chain` are held.
  int Match(const std::vector<schedule::PrefixHash>& chain) const;

  bool Holds(schedule::PrefixHash block) const;

  // Holds all of `chain` that fits, head first, as just used.
  void Insert(const std::vector<schedule::PrefixHash>& chain);

  // Forgets all, as a restarted server does.
  void Clear();

  // What changed since the last call; false when nothing did.
  bool TakeChanges(schedule::CacheChanged* changes);

 private:
  void Touch(schedule::PrefixHash block);
  void Evict();

  const std::size_t capacity_blocks_;
  std::list<schedule::PrefixHash> by_use_;  // The last used first.
  absl::flat_hash_map<schedule::PrefixHash,
                      std::list<schedule::PrefixHash>::iterator>
      position_;
  std::vector<schedule::PrefixHash> added_;
  std::vector<schedule::PrefixHash> removed_;
  bool cleared_ = false;
};

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_PREFIX_CACHE_H_
