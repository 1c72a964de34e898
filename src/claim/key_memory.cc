#include "claim/key_memory.h"

#include <utility>

namespace gentianlb::claim {

bool KeyMemory::AddPromise(const ClaimKey& key, Promise promise) {
  bool known = promises_.contains(key);
  if (!known && promises_.size() >= kMaxEntries) return false;
  std::vector<Promise>& promises = promises_[key];
  std::erase_if(promises, [&](const Promise& earlier) {
    return earlier.requester == promise.requester &&
           earlier.incarnation == promise.incarnation;
  });
  promises.push_back(std::move(promise));
  return true;
}

std::vector<Promise> KeyMemory::FindPromises(const ClaimKey& key) const {
  auto found = promises_.find(key);
  return found == promises_.end() ? std::vector<Promise>() : found->second;
}

void KeyMemory::AddFinished(const ClaimKey& key, FinishedKey finished) {
  finished_[key] = std::move(finished);
}

std::optional<FinishedKey> KeyMemory::FindFinished(const ClaimKey& key) const {
  auto found = finished_.find(key);
  if (found == finished_.end()) return std::nullopt;
  return found->second;
}

void KeyMemory::AddAbandoned(const std::string& token, absl::Time now) {
  // At the limit the token is not recorded: its key stays in doubt, which is
  // safe.
  if (abandoned_.size() < kMaxEntries) abandoned_[token] = now;
}

bool KeyMemory::IsAbandoned(const std::string& token) const {
  return abandoned_.contains(token);
}

void KeyMemory::ForgetBefore(absl::Time time) {
  std::erase_if(promises_, [&](const auto& entry) {
    return entry.second.back().made < time;
  });
  std::erase_if(finished_,
                [&](const auto& e) { return e.second.finished_at < time; });
  std::erase_if(abandoned_, [&](const auto& e) { return e.second < time; });
}

}  // namespace gentianlb::claim
