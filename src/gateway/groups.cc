#include "gateway/groups.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::gateway {
namespace {

// Target size of a group. A stream starts about three requests per second, and
// each costs its dispatcher about 0.05 ms of processor time, so that 512
// streams take 8% of a processor.
constexpr int kStreamsPerGroup = 512;

// How long an unresponsive host is not selected. A stall has passed by then,
// and a frozen host delays each request that is sent to it by some
// milliseconds.
constexpr absl::Duration kExclusionTime = absl::Seconds(1);

// Minimum processor share of a dispatcher's host, relative to the largest share
// of any host that may dispatch. A decision that takes 0.1 ms on the fastest
// host takes several times as long on a small one, and all callers wait for it.
constexpr double kMinProcessorRatio = 0.75;

}  // namespace

int GroupCount(int streams) {
  return std::max(1, (streams + kStreamsPerGroup - 1) / kStreamsPerGroup);
}

int GroupCount(const std::vector<ServerEntry>& servers) {
  int streams = 0;
  for (const ServerEntry& server : servers) streams += server.streams;
  return GroupCount(streams);
}

std::uint16_t GroupOf(const ServerId& server, int groups) {
  return static_cast<std::uint16_t>(HashName(server.str()) %
                                    static_cast<unsigned>(groups));
}

bool DispatcherSelector::SetHosts(const std::vector<HostEntry>& hosts) {
  if (hosts_ == hosts) return false;
  hosts_ = hosts;
  cache_.clear();
  return true;
}

void DispatcherSelector::Drain() {
  draining_ = true;
  cache_.clear();
}

void DispatcherSelector::Exclude(const EntryHostId& host, absl::Time now) {
  excluded_until_[host] = now + kExclusionTime;
  cache_.clear();
}

EntryHostId DispatcherSelector::DispatcherOf(const GroupKey& group,
                                             absl::Time now) const {
  if (now >= cache_valid_until_) cache_.clear();
  if (cache_.empty()) cache_valid_until_ = absl::InfiniteFuture();
  const auto [found, is_new] = cache_.try_emplace(group);
  if (is_new) found->second = SelectDispatcher(group, now);
  return found->second;
}

EntryHostId DispatcherSelector::SelectDispatcher(const GroupKey& group,
                                                 absl::Time now) const {
  std::vector<const HostEntry*> candidates;
  for (const HostEntry& host : hosts_) {
    const EntryHostId id(host.host);
    if (draining_ && id == self_) continue;
    const auto excluded = excluded_until_.find(id);
    if (excluded != excluded_until_.end() && now < excluded->second) {
      cache_valid_until_ = std::min(cache_valid_until_, excluded->second);
      continue;
    }
    candidates.push_back(&host);
  }
  return SelectAmong(candidates, group);
}

bool DispatcherSelector::IsPrimary(const GroupKey& group) const {
  std::vector<const HostEntry*> candidates;
  for (const HostEntry& host : hosts_) {
    const bool stopping = draining_ && EntryHostId(host.host) == self_;
    if (!stopping) candidates.push_back(&host);
  }
  return SelectAmong(candidates, group) == self_;
}

EntryHostId DispatcherSelector::SelectAmong(
    const std::vector<const HostEntry*>& candidates,
    const GroupKey& group) const {
  float max_processor = 0;
  for (const HostEntry* host : candidates) {
    max_processor = std::max(max_processor, host->processor);
  }
  std::pair<NameHash, EntryHostId> best{0, self_};
  for (const HostEntry* host : candidates) {
    if (host->processor < kMinProcessorRatio * max_processor) continue;
    const std::string hash_input =
        absl::StrCat(host->host, "/", group.service, "/", group.group);
    best = std::max(best,
                    std::pair(HashName(hash_input), EntryHostId(host->host)));
  }
  return best.second;
}

}  // namespace gentianlb::gateway
