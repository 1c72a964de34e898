#include "gateway/table_sharing.h"

#include <glog/logging.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace gentianlb::gateway {
namespace {

// A host that receives no state of its peers for this time polls the tables
// itself. A lost aggregator is replaced much sooner.
constexpr absl::Duration kUnlinked = absl::Seconds(2);

// Mean interval between probes of all hosts together, while no live host
// reaches the table service.
constexpr absl::Duration kProbePerHost = absl::Milliseconds(100);

// Mean number of standbys. The service may refuse a third of all hosts at once,
// but hardly ever all standbys. Each makes at most one call per second while
// there are changes.
constexpr double kStandbys = 5;

// Returns a value from 0 to below 1 that a restart does not change.
double RankOf(std::string_view host) {
  constexpr double kHashes = 1ULL << 32;
  return HashName(host) / kHashes;
}

bool IsOf(const TableSubscriber& follower, NameHash table) {
  return table == HashName(follower.table());
}

}  // namespace

TableSharing::TableSharing(std::string host,
                           std::vector<TableSubscriber*> followers,
                           TableSharingHooks hooks, absl::Time now)
    : rank_(RankOf(host)),
      followers_(std::move(followers)),
      hooks_(std::move(hooks)),
      watch_(host, now),
      others_heard_(now) {
  for (TableSubscriber* follower : followers_) {
    // The mode is set before the first change matters; no probe comes earlier.
    follower->SetMode(SubscriptionMode::kPassive,
                      /*probe_period=*/absl::InfiniteDuration());
    const NameHash table = HashName(follower->table());
    follower->SetOnChanges(
        [this, table](std::uint64_t since, const TablePage& page) {
          hooks_.hand_on({table, since, page});
        });
    follower->SetOnMissing([this, host, table](std::uint64_t since, int tries) {
      hooks_.ask({host, table, since}, tries);
    });
  }
}

std::vector<TableState> TableSharing::Tell() const {
  std::vector<TableState> tables;
  for (const TableSubscriber* follower : followers_) {
    TableState update;
    update.table = HashName(follower->table());
    update.history = follower->History();
    update.up = follower->subscribed();
    tables.push_back(update);
  }
  return tables;
}

void TableSharing::HeardOthers(const FleetUpdate& others, absl::Time now) {
  others_tables_ = others.tables;
  others_heard_ = now;
  for (const TableState& table : others.tables) {
    for (TableSubscriber* follower : followers_) {
      if (!IsOf(*follower, table.table)) continue;
      follower->RecordPeerHistory(table.history);
    }
  }
}

void TableSharing::HeardZone(const FleetUpdate& zone, absl::Time now) {
  watch_.RecordUpdate(zone, now);
}

void TableSharing::Take(const TableChanges& changes) {
  for (TableSubscriber* follower : followers_) {
    if (!IsOf(*follower, changes.table)) continue;
    const bool changed = follower->ApplyPropagated(changes.since, changes.page);
    // The service refused this host, and may refuse others of its zone.
    if (changed && place_.is_aggregator) hooks_.hand_on(changes);
  }
}

void TableSharing::Take(const TableQuestion& query) {
  for (const TableSubscriber* follower : followers_) {
    if (!IsOf(*follower, query.table)) continue;
    if (!follower->complete() || follower->version() <= query.since) return;
    const std::uint64_t since = follower->ReplySince(query.since);
    LOG(INFO) << "event=table-told table=" << follower->table()
              << " to=" << query.requester << " knows=" << query.since
              << " since=" << since << " version=" << follower->version();
    hooks_.answer(query.requester,
                  {query.table, since, follower->ChangesSince(since)});
  }
}

bool TableSharing::OthersFollow(const TableSubscriber& follower) const {
  return std::any_of(others_tables_.begin(), others_tables_.end(),
                     [&](const TableState& table) {
                       return IsOf(follower, table.table) && table.up;
                     });
}

bool TableSharing::IsStandby(int hosts) const {
  // With one known host, the size of the fleet is not known yet.
  return hosts > 1 && rank_ * hosts < kStandbys;
}

SubscriptionMode TableSharing::Choice(const TableSubscriber& follower,
                                      const FleetPlace& place,
                                      absl::Time now) const {
  const bool linked = now - others_heard_ <= kUnlinked;
  if (place.is_aggregator || !linked) return SubscriptionMode::kAlways;
  if (IsStandby(place.known_hosts)) return SubscriptionMode::kStandby;
  return OthersFollow(follower) ? SubscriptionMode::kPassive
                                : SubscriptionMode::kProbing;
}

void TableSharing::Choose(const FleetPlace& place, absl::Time now) {
  place_ = place;
  const bool reaches =
      std::all_of(followers_.begin(), followers_.end(),
                  [](const TableSubscriber* one) { return one->up(); });
  const bool watches = place.is_aggregator && watch_.IsMonitor(reaches, now);
  for (TableSubscriber* follower : followers_) {
    follower->SetMonitoring(watches);
    follower->SetMode(Choice(*follower, place, now),
                      kProbePerHost * place.known_hosts);
  }
}

}  // namespace gentianlb::gateway
