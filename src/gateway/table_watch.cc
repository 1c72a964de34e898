#include "gateway/table_watch.h"

#include <algorithm>
#include <utility>

#include "gateway/zone_role.h"

namespace gentianlb::gateway {
namespace {

// A host that was just started has not heard of the others yet.
constexpr absl::Duration kSettled = absl::Seconds(2);

}  // namespace

void TableWatch::Heard(const FleetNews& news, absl::Time now) {
  const bool reaches =
      std::all_of(news.tables.begin(), news.tables.end(),
                  [](const TableNews& table) { return table.up; });
  peers_[news.sender.host] = {
      now + Believed(absl::Milliseconds(news.period_ms)),
      reaches && !news.tables.empty()};
}

bool TableWatch::IsWatcher(bool reaches, absl::Time now) const {
  if (!reaches || now - started_ < kSettled) return false;
  const auto own = std::pair(HashName(host_), host_);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const auto& [host, peer] = item;
    return peer.reaches && now <= peer.believed_until &&
           std::pair(HashName(host), host) < own;
  });
}

}  // namespace gentianlb::gateway
