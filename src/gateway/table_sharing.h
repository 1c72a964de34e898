// Distributes the changes of tables among the hosts of a fleet with few calls
// of the table service: decides which hosts subscribe at the service, and how
// the others receive changes.
//
// Aggregators subscribe and propagate changes. The service may fail just for
// them, by refusal or by not answering, which shows only after the time that an
// answer may take. Hosts that it would answer would then stay on withdrawn
// data. So some standbys of any zone subscribe too. They don't propagate
// changes, but all updates name the newest change that any host has, and a host
// that lacks it calls the service. A host that the service refuses queries its
// peers, and so does a host that starts while the service is unavailable.
//
// Has no network and no clock of its own; the hooks send the messages.

#ifndef GENTIANLB_GATEWAY_TABLE_SHARING_H_
#define GENTIANLB_GATEWAY_TABLE_SHARING_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gateway/fleet_messages.h"
#include "gateway/table_subscriber.h"
#include "gateway/table_watch.h"

namespace gentianlb::gateway {

// This host's role in the fleet, and the size of the fleet.
struct FleetPlace {
  bool is_aggregator = false;  // This host is the aggregator of its zone.
  int known_hosts = 1;         // Number of known hosts, including this one.
  auto operator<=>(const FleetPlace&) const = default;
};

struct TableSharingHooks {
  // Sends changes to the live peers of the zone, if this host is the
  // aggregator.
  std::function<void(const TableChanges& changes)> hand_on;
  // Sends a query to some peers, to different ones with each try.
  std::function<void(const TableQuestion& query, int tries)> ask;
  // Replies to a peer's query.
  std::function<void(const std::string& host, const TableChanges& changes)>
      answer;
};

// Sets the subscription modes of this host and exchanges changes with peers.
class TableSharing {
 public:
  // `followers` must outlive this object.
  TableSharing(std::string host, std::vector<TableSubscriber*> followers,
               TableSharingHooks hooks, absl::Time now);

  // Returns the state of this host's tables, to be published.
  std::vector<TableState> Tell() const;
  // Handles the merged state of all peers.
  void HeardOthers(const FleetUpdate& others, absl::Time now);
  // Handles another zone's state, if this host is an aggregator.
  void HeardZone(const FleetUpdate& zone, absl::Time now);
  // Applies changes that a peer propagates or replies with.
  void Take(const TableChanges& changes);
  // Replies to a peer's query, if this host has newer data.
  void Take(const TableQuestion& query);

  // Sets the subscription modes. To be called once per period.
  void Choose(const FleetPlace& place, absl::Time now);

 private:
  bool OthersFollow(const TableSubscriber& follower) const;
  SubscriptionMode Choice(const TableSubscriber& follower,
                          const FleetPlace& place, absl::Time now) const;
  // Returns whether this host is a standby in a fleet of `hosts` hosts.
  bool IsStandby(int hosts) const;

  const double rank_;  // Hash of this host's name, from 0 to below 1.
  const std::vector<TableSubscriber*> followers_;
  const TableSharingHooks hooks_;
  FleetPlace place_;
  TableWatch watch_;
  std::vector<TableState> others_tables_;  // Of the last update.
  absl::Time others_heard_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_SHARING_H_
