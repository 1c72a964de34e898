// Exchange of state between this entry host and its peers.
//
// Publishes this host's state, receives that of the peers, and aggregates for
// the zone while this host is its aggregator.
//
// Has no network and no clock of its own; the hooks send the messages.

#ifndef GENTIANLB_GATEWAY_FLEET_H_
#define GENTIANLB_GATEWAY_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gateway/aggregate.h"
#include "gateway/aggregator_election.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {

struct FleetHooks {
  // Fills in the state of this host.
  std::function<void(FleetUpdate* own)> compose;
  // Called with the merged state of all peers.
  std::function<void(const FleetUpdate& peers)> on_peers;
  // Called on an aggregator with the state of another zone.
  std::function<void(const FleetUpdate& zone)> on_zone;
  // Called when a peer becomes known or its entry changes.
  std::function<void(const HostEntry& host)> on_host;
  // Sends an update to a peer.
  std::function<void(const std::string& host, const FleetUpdate& update)> send;
};

// This host's membership of the fleet, the set of all entry hosts.
class Fleet {
 public:
  // `incarnation` must increase with each start of the host.
  Fleet(HostEntry self, std::int64_t incarnation, FleetHooks hooks,
        absl::Time now);

  // Adds or updates a peer, from the table of hosts or a message.
  void AddHost(const HostEntry& host);
  // Records that all hosts of the table of hosts were added. Until then, an
  // aggregator may lack hosts that it doesn't know in what it merges, and
  // never calls it complete: its hosts would agree on shares of the limits as
  // if those that it doesn't know used nothing.
  void OnHostsRead() { hosts_read_ = true; }
  // Starts the election of the aggregator. Called once the table of hosts has
  // been read or could not be read in time.
  void StartElection(absl::Time now) { election_.Start(now); }

  // Handles an update from a peer.
  void OnUpdate(const FleetUpdate& update, absl::Time now);

  // Sends this period's messages. To be called once every Period().
  void Tick(absl::Time now);
  absl::Duration Period() const { return period_; }

  // Returns the number of known hosts, including this one.
  int known_hosts() const { return election_.known_hosts(); }
  bool is_aggregator() const { return election_.won(); }
  const std::string& aggregator() const { return election_.aggregator(); }
  // Returns the peers to query for missing data: the aggregator, and from the
  // second try on, or without an aggregator, two random peers as well. `seed`
  // determines their choice.
  std::vector<std::string> QueryTargets(int tries, std::uint64_t seed) const;
  // Returns the live peers of the zone if this host is its aggregator, else
  // none.
  std::vector<std::string> LiveZonePeers() const;

 private:
  // Sends this host's state to the aggregator.
  void SendReport();
  void StartAggregating(absl::Time now);
  bool IsSettled(absl::Time now) const;
  // Merges the updates and publishes the result.
  void Publish(absl::Time now);
  void PublishToZones(absl::Time now);
  void PublishToHosts(absl::Time now);
  std::vector<std::string> Recipients(absl::Time now) const;
  // Fills in the fields that every message of this host has.
  void FillHeader(FleetUpdate* update);
  FleetUpdate ComposeOwnUpdate();
  void OnPeersUpdate(const FleetUpdate& update, absl::Time now);
  // Refers `host` to `aggregator` by a message, unless `aggregator` is null
  // or `host` itself.
  void Refer(const std::string& host, const HostEntry* aggregator);
  void OnZoneUpdate(const FleetUpdate& update, absl::Time now);
  // Returns the hosts of a zone to which this aggregator sends its updates.
  std::set<std::string> TargetsInZone(const std::string& zone,
                                      const std::vector<std::string>& hosts,
                                      absl::Time now);
  const HostEntry* Aggregator() const;

  const std::int64_t incarnation_;
  const FleetHooks hooks_;
  AggregatorElection election_;
  Aggregate aggregate_;
  std::int64_t aggregate_incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  absl::Duration period_;
  bool hosts_read_ = false;
  std::uint64_t ticks_ = 0;
  absl::Time last_tick_ = absl::InfinitePast();
  // Whether this host was the aggregator at the last Tick(). It may win the
  // election between two, when it handles a message.
  bool aggregating_ = false;
  absl::Time aggregating_since_;  // When this host became the aggregator.
  absl::Time last_detailed_ = absl::InfinitePast();
  std::vector<HostEntry> sent_dispatchers_;
  // The last accepted update with the state of all peers.
  UpdatePosition peers_position_;
  std::string peers_sender_;
  absl::Time peers_received_ = absl::InfinitePast();
  // The aggregator that a message last named for each zone; removed once this
  // host, as an aggregator itself, has sent an update to it.
  std::map<std::string, std::string> named_aggregators_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FLEET_H_
