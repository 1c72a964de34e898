#include "gateway/table_sharing.h"

#include <glog/logging.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace gentianlb::gateway {
namespace {

// A host that hears nothing of the others for so long follows the tables by
// itself; the next aggregator of a zone is there long before.
constexpr absl::Duration kUnlinked = absl::Seconds(2);

// Where no host that is heard reaches the table service, one of all hosts tries
// each so often.
constexpr absl::Duration kProbePerHost = absl::Milliseconds(100);

// How many hosts follow besides the aggregators, about: a third of all hosts
// may be turned away at once, and hardly ever all of these. Each costs at most
// a call a second while there are changes.
constexpr double kStandbys = 5;

// From 0 to below 1, and the same after a restart.
double RankOf(std::string_view host) {
  constexpr double kHashes = 1ULL << 32;
  return HashName(host) / kHashes;
}

bool IsOf(const TableFollower& follower, NameHash table) {
  return table == HashName(follower.table());
}

}  // namespace

TableSharing::TableSharing(std::string host,
                           std::vector<TableFollower*> followers,
                           TableSharingHooks hooks, absl::Time now)
    : rank_(RankOf(host)),
      followers_(std::move(followers)),
      hooks_(std::move(hooks)),
      watch_(host, now),
      others_heard_(now) {
  for (TableFollower* follower : followers_) {
    // Who follows shows before the first change; none probes before that.
    follower->SetFollowing(Following::kWhenTold,
                           /*probe_period=*/absl::InfiniteDuration());
    const NameHash table = HashName(follower->table());
    follower->HandOnTo(
        [this, table](std::uint64_t since, const TablePage& page) {
          hooks_.hand_on({table, since, page});
        });
    follower->AskOthersWith(
        [this, host, table](std::uint64_t since, int tries) {
          hooks_.ask({host, table, since}, tries);
        });
  }
}

std::vector<TableNews> TableSharing::Tell() const {
  std::vector<TableNews> tables;
  for (const TableFollower* follower : followers_) {
    TableNews news;
    news.table = HashName(follower->table());
    news.known = follower->Known();
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
      follower->HeardOf(table.known);
    }
  }
}

void TableSharing::HeardZone(const FleetNews& zone, absl::Time now) {
  watch_.Heard(zone, now);
}

void TableSharing::Take(const TableChanges& changes) {
  for (TableFollower* follower : followers_) {
    if (!IsOf(*follower, changes.table)) continue;
    const bool news = follower->TakeHandedOn(changes.since, changes.page);
    // The service turned this host away, and perhaps others of its zone.
    if (news && place_.aggregates) hooks_.hand_on(changes);
  }
}

void TableSharing::Take(const TableQuestion& question) {
  for (const TableFollower* follower : followers_) {
    if (!IsOf(*follower, question.table)) continue;
    if (!follower->complete() || follower->version() <= question.since) return;
    const std::uint64_t since = follower->AnswerableSince(question.since);
    LOG(INFO) << "event=table-told table=" << follower->table()
              << " to=" << question.asker << " knows=" << question.since
              << " since=" << since << " version=" << follower->version();
    hooks_.answer(question.asker,
                  {question.table, since, follower->ChangesSince(since)});
  }
}

bool TableSharing::OthersFollow(const TableFollower& follower) const {
  return std::any_of(others_tables_.begin(), others_tables_.end(),
                     [&](const TableNews& table) {
                       return IsOf(follower, table.table) && table.up;
                     });
}

bool TableSharing::IsStandby(int hosts) const {
  // Before it knows of others, a host can't tell.
  return hosts > 1 && rank_ * hosts < kStandbys;
}

Following TableSharing::Choice(const TableFollower& follower,
                               const FleetPlace& place, absl::Time now) const {
  const bool linked = now - others_heard_ <= kUnlinked;
  if (place.aggregates || !linked) return Following::kAlways;
  if (IsStandby(place.hosts)) return Following::kStandby;
  return OthersFollow(follower) ? Following::kWhenTold : Following::kProbing;
}

void TableSharing::Choose(const FleetPlace& place, absl::Time now) {
  place_ = place;
  const bool reaches =
      std::all_of(followers_.begin(), followers_.end(),
                  [](const TableFollower* one) { return one->up(); });
  const bool watches = place.aggregates && watch_.IsWatcher(reaches, now);
  for (TableFollower* follower : followers_) {
    follower->SetWatching(watches);
    follower->SetFollowing(Choice(*follower, place, now),
                           kProbePerHost * place.hosts);
  }
}

}  // namespace gentianlb::gateway
