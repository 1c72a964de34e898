#include "standins/prefix_cache.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_format.h"

namespace gentianlb::standins {
namespace {

constexpr std::size_t kMaxEventsKept = 10'000;
constexpr std::size_t kMaxEventsPerCall = 1000;

}  // namespace

std::vector<std::string> BlockHashes(std::string_view prompt) {
  constexpr std::size_t kBlockBytes = kBytesPerToken * kTokensPerBlock;
  std::vector<std::string> hashes;
  XXH64_hash_t previous = 0;
  while (prompt.size() >= kBlockBytes) {
    previous = XXH3_64bits_withSeed(prompt.data(), kBlockBytes, previous);
    hashes.push_back(absl::StrFormat("%016x", previous));
    prompt.remove_prefix(kBlockBytes);
  }
  return hashes;
}

std::size_t PrefixCache::Match(const std::vector<std::string>& blocks) const {
  auto missing = std::find_if(
      blocks.begin(), blocks.end(),
      [&](const std::string& block) { return !places_.contains(block); });
  return static_cast<std::size_t>(missing - blocks.begin());
}

void PrefixCache::Add(const std::vector<std::string>& blocks,
                      std::size_t capacity, absl::Time visible,
                      bool drop_event) {
  CacheEvent event;
  // The deepest block is touched first, so that it is evicted before those
  // without which it is of no use.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    if (Touch(*block)) event.added.push_back(*block);
  }
  while (blocks_.size() > capacity) {
    event.removed.push_back(blocks_.back());
    places_.erase(blocks_.back());
    blocks_.pop_back();
  }
  if (event.added.empty() && event.removed.empty()) return;
  std::reverse(event.added.begin(), event.added.end());
  event.sequence = ++last_sequence_;
  event.visible = visible;
  if (!drop_event) events_.push_back(std::move(event));
  if (events_.size() > kMaxEventsKept) events_.pop_front();
}

std::vector<CacheEvent> PrefixCache::Events(std::int64_t sequence,
                                            absl::Time now) const {
  std::vector<CacheEvent> found;
  for (const CacheEvent& event : events_) {
    if (event.sequence <= sequence || event.visible > now) continue;
    found.push_back(event);
    if (found.size() == kMaxEventsPerCall) break;
  }
  return found;
}

// Whether the block is new.
bool PrefixCache::Touch(const std::string& block) {
  auto place = places_.find(block);
  if (place != places_.end()) {
    blocks_.splice(blocks_.begin(), blocks_, place->second);
    return false;
  }
  blocks_.push_front(block);
  places_[block] = blocks_.begin();
  return true;
}

}  // namespace gentianlb::standins
