#include "replay/prefix_cache.h"

#include <algorithm>
#include <utility>

namespace gentianlb::replay {

using schedule::PrefixHash;

PrefixCache::PrefixCache(std::int64_t capacity_tokens)
    : capacity_blocks_(capacity_tokens / schedule::kPrefixBlockTokens) {}

int PrefixCache::Match(const std::vector<PrefixHash>& chain) const {
  auto missing = std::find_if_not(chain.begin(), chain.end(),
                                  [&](PrefixHash b) { return Holds(b); });
  return static_cast<int>(missing - chain.begin());
}

bool PrefixCache::Holds(PrefixHash block) const {
  return position_.contains(block);
}

void PrefixCache::Insert(const std::vector<PrefixHash>& chain) {
  const std::size_t count = std::min(chain.size(), capacity_blocks_);
  // From the tail to the head, so that the head, which more prompts share, is
  // the last to go.
  for (std::size_t i = count; i-- > 0;) Touch(chain[i]);
  while (position_.size() > capacity_blocks_) Evict();
}

void PrefixCache::Clear() {
  by_use_.clear();
  position_.clear();
  added_.clear();
  removed_.clear();
  cleared_ = true;
}

bool PrefixCache::TakeChanges(schedule::CacheChanged* changes) {
  if (!cleared_ && added_.empty() && removed_.empty()) return false;
  // A block that went and came back within one report counts as it is now.
  std::erase_if(added_, [&](PrefixHash b) { return !Holds(b); });
  std::erase_if(removed_, [&](PrefixHash b) { return Holds(b); });
  changes->added = std::exchange(added_, {});
  changes->removed = std::exchange(removed_, {});
  changes->cleared = std::exchange(cleared_, false);
  return true;
}

void PrefixCache::Touch(PrefixHash block) {
  auto found = position_.find(block);
  if (found != position_.end()) {
    by_use_.splice(by_use_.begin(), by_use_, found->second);
    return;
  }
  by_use_.push_front(block);
  position_[block] = by_use_.begin();
  added_.push_back(block);
}

void PrefixCache::Evict() {
  removed_.push_back(by_use_.back());
  position_.erase(by_use_.back());
  by_use_.pop_back();
}

}  // namespace gentianlb::replay
