#include "gateway/memory_queries.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace gentianlb::gateway {

std::vector<EntryHostId> MemoryQueries::OnHosts(
    const std::vector<HostEntry>& hosts) {
  std::set<std::string> listed;
  std::vector<EntryHostId> added;
  for (const HostEntry& host : hosts) {
    if (host.host == self_.str()) continue;
    listed.insert(host.host);
    if (!known_.contains(host.host)) added.emplace_back(host.host);
  }
  known_ = std::move(listed);
  if (!added.empty()) {
    // Each host has an order of its own, so that none is asked by all.
    const auto rank = [this](const EntryHostId& host) {
      return HashName(absl::StrCat(self_.str(), "/", host.str()));
    };
    std::sort(added.begin(), added.end(),
              [&](const EntryHostId& a, const EntryHostId& b) {
                return rank(a) < rank(b);
              });
    candidates_ = std::move(added);
    next_ = 0;
    rounds_left_ = kMaxRounds;
  }
  if (rounds_left_ == 0) return {};
  --rounds_left_;
  std::vector<EntryHostId> asked;
  while (asked.size() < std::min(kPeersAtOnce, candidates_.size())) {
    asked.push_back(candidates_[next_++ % candidates_.size()]);
  }
  return asked;
}

}  // namespace gentianlb::gateway
