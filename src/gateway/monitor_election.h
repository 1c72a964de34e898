// Election of the host that monitors the table service for all subscribers.
//
// Failure: the table service becomes unresponsive while every subscriber has a
// call waiting there. The calls are never answered, no connection breaks, and
// no host receives later changes. Short waits of every subscriber would detect
// it, but cost one call per second and table from each. So one host polls with
// short waits and publishes the newest change that it has; the others call the
// service again when they lag.
//
// Of the live aggregators that reach the service, the first by hash is elected.
// The hosts need no agreement: two monitors for a moment cost some calls, and
// after a network partition each side has its own.

#ifndef GENTIANLB_GATEWAY_MONITOR_ELECTION_H_
#define GENTIANLB_GATEWAY_MONITOR_ELECTION_H_

#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {

// Decides whether this host is the monitor, from the updates of other
// aggregators.
class MonitorElection {
 public:
  MonitorElection(std::string host, absl::Time started)
      : host_(std::move(host)), started_(started) {}

  // Records whether the sender, an aggregator, reaches the service.
  void RecordUpdate(const FleetUpdate& update, absl::Time now);

  // Returns whether this host is the monitor. `reaches` says whether the
  // service answers this host.
  bool IsMonitor(bool reaches, absl::Time now) const;

 private:
  struct Peer {
    absl::Time live_until;
    bool reaches = false;
  };

  const std::string host_;
  const absl::Time started_;
  absl::flat_hash_map<std::string, Peer> peers_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_MONITOR_ELECTION_H_
