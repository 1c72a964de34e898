#include "schedule/server_losses.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace gentianlb::schedule {
namespace {

ServerLosses::Losses::const_iterator FindServer(
    const ServerLosses::Losses& losses, const ServerId& server) {
  return std::find_if(
      losses.begin(), losses.end(),
      [&](const ServerLosses::Loss& loss) { return loss.server == server; });
}

}  // namespace

const ServerLosses::Losses* ServerLosses::Find(Key key, absl::Time now) const {
  const auto found = losses_.find(key);
  if (found == losses_.end()) return nullptr;
  return now - found->second.back().at < memory_ ? &found->second : nullptr;
}

bool ServerLosses::Add(Key key, const Loss& loss) {
  if (!losses_.contains(key)) {
    ForgetOld(loss.at);
    MakeRoom();
  }
  Losses& losses = losses_[key];
  const auto known = FindServer(losses, loss.server);
  if (known != losses.end()) {
    Loss& before = losses[static_cast<std::size_t>(known - losses.begin())];
    return std::exchange(before.weight, std::max(before.weight, loss.weight)) <
           loss.weight;
  }
  const auto later = std::upper_bound(
      losses.begin(), losses.end(), loss.at,
      [](absl::Time at, const Loss& other) { return at < other.at; });
  losses.insert(later, loss);
  by_server_[loss.server].insert(key);
  return true;
}

bool ServerLosses::Remove(Key key, const ServerId& server) {
  const auto found = losses_.find(key);
  std::erase_if(found->second,
                [&](const Loss& loss) { return loss.server == server; });
  const bool last = found->second.empty();
  if (last) losses_.erase(found);
  const auto keys = by_server_.find(server);
  keys->second.erase(key);
  if (keys->second.empty()) by_server_.erase(keys);
  return last;
}

bool ServerLosses::Clear(Key key) {
  const auto found = losses_.find(key);
  if (found == losses_.end()) return false;
  const Losses losses = found->second;
  for (const Loss& loss : losses) Remove(key, loss.server);
  return true;
}

std::vector<ServerLosses::Key> ServerLosses::KeysOf(
    const ServerId& server) const {
  const auto found = by_server_.find(server);
  if (found == by_server_.end()) return {};
  return {found->second.begin(), found->second.end()};
}

std::vector<ServerLosses::Key> ServerLosses::RefutedBy(
    const ServerId& server, absl::Time granted_at) const {
  std::vector<Key> refuted = KeysOf(server);
  std::erase_if(refuted, [&](Key key) {
    return FindServer(losses_.at(key), server)->at >= granted_at;
  });
  return refuted;
}

std::vector<std::pair<ServerLosses::Key, ServerLosses::Loss>>
ServerLosses::MostSuspected(std::size_t most) const {
  std::vector<std::pair<std::size_t, Key>> keys;
  keys.reserve(losses_.size());
  for (const auto& [key, losses] : losses_) {
    keys.emplace_back(losses.size(), key);
  }
  std::sort(keys.begin(), keys.end(), std::greater<>());
  std::vector<std::pair<Key, Loss>> found;
  for (const auto& [count, key] : keys) {
    if (found.size() + count > most) break;
    for (const Loss& loss : losses_.at(key)) found.emplace_back(key, loss);
  }
  return found;
}

void ServerLosses::ForgetOld(absl::Time now) {
  std::vector<Key> old;
  for (const auto& [key, losses] : losses_) {
    if (now - losses.back().at >= memory_) old.push_back(key);
  }
  for (const Key key : old) Clear(key);
}

void ServerLosses::MakeRoom() {
  if (losses_.size() < max_keys_) return;
  const auto least = std::min_element(
      losses_.begin(), losses_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.second.size(), a.second.back().at) <
               std::pair(b.second.size(), b.second.back().at);
      });
  Clear(least->first);
}

}  // namespace gentianlb::schedule
