#include "gateway/groups.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::gateway {
namespace {

// A group's streams. A stream starts some three requests a second, and each
// costs its dispatcher about 0.05 ms of processor time: 512 streams then take 8
// parts in 100 of a processor.
constexpr int kStreamsPerGroup = 512;

// One that didn't answer is asked again after this long: a stall has passed by
// then, and a host that freezes costs each request that asks it some
// milliseconds.
constexpr absl::Duration kLeftOut = absl::Seconds(1);

// Only hosts with nearly as much processor as the best one dispatch: a decision
// that takes 0.1 ms there takes a small host several times as long, and all
// callers wait for it.
constexpr double kQuick = 0.75;

}  // namespace

int GroupsFor(int streams) {
  return std::max(1, (streams + kStreamsPerGroup - 1) / kStreamsPerGroup);
}

int GroupsFor(const std::vector<ServerEntry>& servers) {
  int streams = 0;
  for (const ServerEntry& server : servers) streams += server.streams;
  return GroupsFor(streams);
}

std::uint16_t GroupOf(const ServerId& server, int groups) {
  return static_cast<std::uint16_t>(HashName(server.str()) %
                                    static_cast<unsigned>(groups));
}

void GroupHosts::Set(const std::vector<HostEntry>& hosts) {
  if (hosts_ == hosts) return;
  hosts_ = hosts;
  chosen_.clear();
}

void GroupHosts::Drain() {
  draining_ = true;
  chosen_.clear();
}

void GroupHosts::Silent(const EntryHostId& host, absl::Time now) {
  left_out_until_[host] = now + kLeftOut;
  chosen_.clear();
}

EntryHostId GroupHosts::DispatcherOf(const GroupKey& group,
                                     absl::Time now) const {
  if (now >= chosen_until_) chosen_.clear();
  if (chosen_.empty()) chosen_until_ = absl::InfiniteFuture();
  const auto [found, is_new] = chosen_.try_emplace(group);
  if (is_new) found->second = Choose(group, now);
  return found->second;
}

EntryHostId GroupHosts::Choose(const GroupKey& group, absl::Time now) const {
  std::vector<const HostEntry*> able;
  float most = 0;
  for (const HostEntry& host : hosts_) {
    const EntryHostId id(host.host);
    if (draining_ && id == self_) continue;
    const auto left_out = left_out_until_.find(id);
    if (left_out != left_out_until_.end() && now < left_out->second) {
      chosen_until_ = std::min(chosen_until_, left_out->second);
      continue;
    }
    able.push_back(&host);
    most = std::max(most, host.processor);
  }
  std::pair<NameHash, EntryHostId> best{0, self_};
  for (const HostEntry* host : able) {
    if (host->processor < kQuick * most) continue;
    const std::string place =
        absl::StrCat(host->host, "/", group.service, "/", group.group);
    best = std::max(best, std::pair(HashName(place), EntryHostId(host->host)));
  }
  return best.second;
}

}  // namespace gentianlb::gateway
