// Distributes the changes of tables among the hosts of a fleet with few calls
// of the table service: decides which hosts subscribe at the service, and how
// the others receive changes.
//
// Aggregators subscribe and propagate changes. The service may fail just for
// them, by refusal or by not answering, which shows only after the time that an
// answer may take. Hosts that it would answer would then stay on withdrawn
// data. So some standbys of any zone subscribe too. They don't propagate
// changes, but all updates name the newest change that any host has, and a host
// that lacks it calls the service. If the service doesn't answer any of these,
// nobody would notice a change: one of them, the monitor, polls with short
// waits, and when its answer is overdue the other hosts probe the service. A
// host that the service refuses queries its peers, and so does a host that
// starts while the service is unavailable.
//
// Has no network and no clock of its own; the hooks send the messages.

#ifndef GENTIANLB_GATEWAY_TABLE_SHARING_H_
#define GENTIANLB_GATEWAY_TABLE_SHARING_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/fleet_messages.h"
#include "gateway/monitor_election.h"
#include "gateway/table_subscriber.h"

namespace gentianlb::gateway {

// This host's role in the fleet, and the size of the fleet.
struct FleetRole {
  bool is_aggregator = false;  // This host is the aggregator of its zone.
  int known_hosts = 1;         // Number of known hosts, including this one.
  auto operator<=>(const FleetRole&) const = default;
};

struct TableSharingHooks {
  // Sends changes to the live peers of the zone, if this host is the
  // aggregator.
  std::function<void(const TableChanges& changes)> propagate;
  // Sends a query to some peers, to different ones with each try.
  std::function<void(const TableQuery& query, int tries)> query;
  // Replies to a peer's query.
  std::function<void(const std::string& host, const TableChanges& changes)>
      reply;
};

// Sets the subscription modes of this host and exchanges changes with peers.
class TableSharing {
 public:
  // `subscribers` must outlive this object.
  TableSharing(std::string host, std::vector<TableSubscriber*> subscribers,
               TableSharingHooks hooks, absl::Time now);

  // Returns the state of this host's tables, to be published.
  std::vector<TableState> TableStates() const;
  // Handles the merged state of all peers.
  void OnPeersUpdate(const FleetUpdate& peers, absl::Time now);
  // Handles another zone's state, if this host is an aggregator.
  void OnZoneUpdate(const FleetUpdate& zone, absl::Time now);
  // Applies changes that a peer propagates or replies with.
  void HandleMessage(const TableChanges& changes);
  // Replies to a peer's query, if this host has newer data.
  void HandleMessage(const TableQuery& query);

  // Sets the subscription modes. To be called once per period.
  void UpdateModes(const FleetRole& role, absl::Time now);

  // Returns whether a peer receives this table's changes from the service.
  bool HasSubscribedPeer(const TableSubscriber& subscriber) const;

 private:
  // Returns whether the peers have recently reported that the service answers
  // its monitor.
  bool IsMonitored(const TableSubscriber& subscriber, absl::Time now) const;
  SubscriptionMode ChooseMode(const TableSubscriber& subscriber,
                              const FleetRole& role, absl::Time now) const;
  // Returns whether this host is a standby in a fleet of `hosts` hosts.
  bool IsStandby(int hosts) const;

  const double rank_;  // Hash of this host's name, from 0 to below 1.
  const std::vector<TableSubscriber*> subscribers_;
  const TableSharingHooks hooks_;
  FleetRole role_;
  MonitorElection monitor_election_;
  std::vector<TableState> peer_tables_;  // Of the last update.
  absl::Time peers_received_;
  const absl::Time started_;
  // When peers last reported a table as monitored.
  absl::flat_hash_map<NameHash, absl::Time> monitored_at_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_SHARING_H_
