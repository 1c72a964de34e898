#include "gateway/table_watch.h"

#include <algorithm>
#include <utility>

namespace gentianlb::gateway {
namespace {

// A host that is silent for longer is frozen, cut off or gone; some periods
// between messages of a large site, so that lost ones make no second watcher.
constexpr absl::Duration kBelieved = absl::Seconds(1);

// A host that was just started has not heard of the others yet.
constexpr absl::Duration kSettled = absl::Seconds(2);

}  // namespace

void TableWatch::Heard(const PeerNews& news, absl::Time now) {
  const bool reaches =
      std::all_of(news.tables.begin(), news.tables.end(),
                  [](const TableNews& table) { return table.up; });
  peers_[news.host] = {now, reaches && !news.tables.empty()};
}

bool TableWatch::IsWatcher(bool reaches, absl::Time now) const {
  if (!reaches || now - started_ < kSettled) return false;
  const auto own = std::pair(HashName(host_), host_);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const auto& [host, peer] = item;
    return peer.reaches && now - peer.heard <= kBelieved &&
           std::pair(HashName(host), host) < own;
  });
}

}  // namespace gentianlb::gateway
