// A model engine's cache of prompt prefixes, and the events about it that it
// publishes late and with gaps.

#ifndef GENTIANLB_STANDINS_PREFIX_CACHE_H_
#define GENTIANLB_STANDINS_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace gentianlb::standins {

inline constexpr std::int64_t kBytesPerToken = 4;
inline constexpr std::int64_t kTokensPerBlock = 64;

// The hashes of the whole blocks of `prompt`, first block first.
std::vector<std::string> BlockHashes(std::string_view prompt);

struct CacheEvent {
  std::int64_t sequence = 0;
  absl::Time visible;  // Before that, nobody is told.
  std::vector<std::string> added;
  std::vector<std::string> removed;
};

// Evicts the block that was used longest ago. Not thread-safe.
class PrefixCache {
 public:
  // How many of the first blocks are cached.
  std::size_t Match(const std::vector<std::string>& blocks) const;

  // Keeps `blocks`, at most `capacity` in all. The event becomes visible at
  // `visible`; a dropped one is never seen, only its number is missing.
  void Add(const std::vector<std::string>& blocks, std::size_t capacity,
           absl::Time visible, bool drop_event);

  // The visible events after `sequence`.
  std::vector<CacheEvent> Events(std::int64_t sequence, absl::Time now) const;

 private:
  bool Touch(const std::string& block);

  std::list<std::string> blocks_;  // Most recently used first.
  absl::flat_hash_map<std::string, std::list<std::string>::iterator> places_;
  std::int64_t last_sequence_ = 0;
  std::deque<CacheEvent> events_;
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_PREFIX_CACHE_H_
