#include "gateway/table_sharing.h"

#include <glog/logging.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace gentianlb::gateway {
namespace {

// A host that receives no state of its peers for this time polls the tables
// itself. A lost aggregator is replaced much sooner.
constexpr absl::Duration kPeersTimeout = absl::Seconds(2);

// The monitor's reports are missing for longer only if the service doesn't
// answer it, another one is elected, or messages were lost.
constexpr absl::Duration kMonitorGap = absl::Milliseconds(100);

// Time until a host that has just started receives reports of a monitor.
constexpr absl::Duration kMonitorStart = absl::Seconds(4);

// Mean interval between probes of all hosts together, while no live host
// reaches the table service.
constexpr absl::Duration kProbeIntervalPerHost = absl::Milliseconds(100);

// Mean number of standbys. The service may refuse a third of all hosts at once,
// but hardly ever all standbys. Each makes at most one call per second while
// there are changes.
constexpr double kMeanStandbys = 5;

// Returns a value from 0 to below 1 that a restart does not change.
double RankOf(std::string_view host) {
  constexpr double kHashes = 1ULL << 32;
  return HashName(host) / kHashes;
}

bool IsOf(const TableSubscriber& subscriber, NameHash table) {
  return table == HashName(subscriber.table());
}

}  // namespace

TableSharing::TableSharing(std::string host,
                           std::vector<TableSubscriber*> subscribers,
                           TableSharingHooks hooks, absl::Time now)
    : rank_(RankOf(host)),
      subscribers_(std::move(subscribers)),
      hooks_(std::move(hooks)),
      monitor_election_(host, now),
      peers_received_(now),
      started_(now) {
  for (TableSubscriber* subscriber : subscribers_) {
    // The mode is chosen anew before the first change. Until then this host
    // doesn't probe.
    subscriber->SetMode(SubscriptionMode::kPassive,
                        /*probe_period=*/absl::InfiniteDuration());
    const NameHash table = HashName(subscriber->table());
    subscriber->SetOnChanges(
        [this, subscriber, table](std::uint64_t since, const TablePage& page) {
          hooks_.propagate({table, since, page, subscriber->KnownAnswers()});
        });
    subscriber->SetOnMissing(
        [this, host, table](std::uint64_t since, int tries) {
          hooks_.query({host, table, since}, tries);
        });
  }
}

std::vector<TableState> TableSharing::TableStates() const {
  std::vector<TableState> tables;
  for (const TableSubscriber* subscriber : subscribers_) {
    TableState state;
    state.table = HashName(subscriber->table());
    state.history = subscriber->History();
    state.up = subscriber->subscribed();
    state.monitored = subscriber->IsMonitoredHere();
    state.answers = subscriber->OwnAnswers();
    tables.push_back(state);
  }
  return tables;
}

void TableSharing::OnPeersUpdate(const FleetUpdate& peers, absl::Time now) {
  peer_tables_ = peers.tables;
  peers_received_ = now;
  for (const TableState& table : peers.tables) {
    if (table.monitored) monitored_at_[table.table] = now;
    for (TableSubscriber* subscriber : subscribers_) {
      if (!IsOf(*subscriber, table.table)) continue;
      subscriber->RecordPeerAnswers(table.answers);
      subscriber->RecordPeerHistory(table.history);
    }
  }
}

void TableSharing::OnZoneUpdate(const FleetUpdate& zone, absl::Time now) {
  monitor_election_.RecordUpdate(zone, now);
}

void TableSharing::HandleMessage(const TableChanges& changes) {
  for (TableSubscriber* subscriber : subscribers_) {
    if (!IsOf(*subscriber, changes.table)) continue;
    subscriber->RecordPeerAnswers(changes.answers);
    const bool changed =
        subscriber->ApplyPropagated(changes.since, changes.page);
    // The service refused this host, and may refuse others of its zone.
    if (changed && role_.is_aggregator) hooks_.propagate(changes);
  }
}

void TableSharing::HandleMessage(const TableQuery& query) {
  for (const TableSubscriber* subscriber : subscribers_) {
    if (!IsOf(*subscriber, query.table)) continue;
    if (!subscriber->complete() || subscriber->version() <= query.since) return;
    const std::uint64_t since = subscriber->ReplySince(query.since);
    LOG(INFO) << "event=table-told table=" << subscriber->table()
              << " to=" << query.requester << " knows=" << query.since
              << " since=" << since << " version=" << subscriber->version();
    hooks_.reply(query.requester,
                 {query.table, since, subscriber->ChangesSince(since),
                  subscriber->KnownAnswers()});
  }
}

bool TableSharing::HasSubscribedPeer(const TableSubscriber& subscriber) const {
  return std::any_of(peer_tables_.begin(), peer_tables_.end(),
                     [&](const TableState& table) {
                       return IsOf(subscriber, table.table) && table.up;
                     });
}

bool TableSharing::IsMonitored(const TableSubscriber& subscriber,
                               absl::Time now) const {
  if (now - started_ <= kMonitorStart) return true;
  const auto found = monitored_at_.find(HashName(subscriber.table()));
  return found != monitored_at_.end() && now - found->second <= kMonitorGap;
}

bool TableSharing::IsStandby(int hosts) const {
  // With one known host, the size of the fleet is not known yet.
  return hosts > 1 && rank_ * hosts < kMeanStandbys;
}

SubscriptionMode TableSharing::ChooseMode(const TableSubscriber& subscriber,
                                          const FleetRole& role,
                                          absl::Time now) const {
  const bool connected = now - peers_received_ <= kPeersTimeout;
  if (role.is_aggregator || !connected) return SubscriptionMode::kAlways;
  if (IsStandby(role.known_hosts)) return SubscriptionMode::kStandby;
  return HasSubscribedPeer(subscriber) && IsMonitored(subscriber, now)
             ? SubscriptionMode::kPassive
             : SubscriptionMode::kProbing;
}

void TableSharing::UpdateModes(const FleetRole& role, absl::Time now) {
  role_ = role;
  const bool reaches = std::all_of(
      subscribers_.begin(), subscribers_.end(),
      [](const TableSubscriber* subscriber) { return subscriber->up(); });
  const bool is_monitor =
      role.is_aggregator && monitor_election_.IsMonitor(reaches, now);
  for (TableSubscriber* subscriber : subscribers_) {
    subscriber->SetMonitoring(is_monitor);
    subscriber->SetMode(ChooseMode(*subscriber, role, now),
                        kProbeIntervalPerHost * role.known_hosts);
  }
}

}  // namespace gentianlb::gateway
