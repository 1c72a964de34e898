#include "gateway/table_sharing.h"

#include <algorithm>
#include <utility>

namespace gentianlb::gateway {
namespace {

// A host that hears nothing of the others for so long follows the tables by
// itself; the next aggregator of a zone is there long before.
constexpr absl::Duration kUnlinked = absl::Seconds(2);

// Where no host that is heard reaches the table service, one of all hosts tries
// each so often.
constexpr absl::Duration kProbePerHost = absl::Milliseconds(100);

bool IsOf(const TableFollower& follower, NameHash table) {
  return table == HashName(follower.table());
}

}  // namespace

TableSharing::TableSharing(std::string host,
                           std::vector<TableFollower*> followers,
                           HandOn hand_on, absl::Time now)
    : followers_(std::move(followers)),
      watch_(std::move(host), now),
      others_heard_(now) {
  for (TableFollower* follower : followers_) {
    // Who follows shows before the first change; none probes before that.
    follower->SetFollowing(Following::kWhenTold,
                           /*probe_period=*/absl::InfiniteDuration());
    follower->HandOnTo(
        [hand_on, follower](std::uint64_t since, const TablePage& page) {
          hand_on({HashName(follower->table()), since, page});
        });
  }
}

std::vector<TableNews> TableSharing::Tell() const {
  std::vector<TableNews> tables;
  for (const TableFollower* follower : followers_) {
    TableNews news;
    news.table = HashName(follower->table());
    news.newest_change = follower->newest_change();
    news.version = follower->version();
    news.up = follower->follows();
    tables.push_back(news);
  }
  return tables;
}

void TableSharing::HeardOthers(const FleetNews& others, absl::Time now) {
  others_tables_ = others.tables;
  others_heard_ = now;
  for (const TableNews& table : others.tables) {
    for (TableFollower* follower : followers_) {
      if (!IsOf(*follower, table.table)) continue;
      follower->HeardOf(table.newest_change, table.version);
    }
  }
}

void TableSharing::HeardZone(const FleetNews& zone, absl::Time now) {
  watch_.Heard(zone, now);
}

void TableSharing::Take(const TableChanges& changes) {
  for (TableFollower* follower : followers_) {
    if (!IsOf(*follower, changes.table)) continue;
    follower->TakeHandedOn(changes.since, changes.page);
  }
}

bool TableSharing::OthersFollow(const TableFollower& follower) const {
  return std::any_of(others_tables_.begin(), others_tables_.end(),
                     [&](const TableNews& table) {
                       return IsOf(follower, table.table) && table.up;
                     });
}

void TableSharing::Choose(const FleetPlace& place, absl::Time now) {
  const bool linked = now - others_heard_ <= kUnlinked;
  const bool reaches =
      std::all_of(followers_.begin(), followers_.end(),
                  [](const TableFollower* one) { return one->up(); });
  const bool watches = place.aggregates && watch_.IsWatcher(reaches, now);
  for (TableFollower* follower : followers_) {
    follower->SetWatching(watches);
    Following following =
        OthersFollow(*follower) ? Following::kWhenTold : Following::kProbing;
    if (place.aggregates || !linked) following = Following::kAlways;
    follower->SetFollowing(following, kProbePerHost * place.hosts);
  }
}

}  // namespace gentianlb::gateway
