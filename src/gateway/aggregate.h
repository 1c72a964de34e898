// Merges the states of a zone's hosts and of the other zones, for the zone's
// aggregator.
//
// Each of hundreds of hosts needs to know how much of the limits and servers
// all its peers use, and which hosts are live. If every host sent to every
// other, a host's messages would grow with the number of hosts and the total
// with its square; sent less often, they would be too old to enforce limits.
// With merging, a host receives one message per period whatever the number of
// hosts.
//
// Has no network and no clock of its own.

#ifndef GENTIANLB_GATEWAY_AGGREGATE_H_
#define GENTIANLB_GATEWAY_AGGREGATE_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "gateway/fleet_messages.h"
#include "gateway/use_counters.h"

namespace gentianlb::gateway {

// Names of the hosts of each zone.
using ZoneHosts = std::map<std::string, std::vector<std::string>>;

// Collects state updates and merges them on demand.
class Aggregate {
 public:
  explicit Aggregate(std::string zone) : zone_(std::move(zone)) {}

  // Records an update of a host of the zone, the aggregator included, or of
  // another zone's aggregator. Returns false if the scope doesn't fit the
  // sender.
  bool RecordUpdate(const FleetUpdate& update, absl::Time now);

  // Adds hosts of the zone and other zones that should send updates. A host or
  // zone that is unresponsive for a minute is dropped, but only while more than
  // half of all hosts are live: a minority that is cut off must not claim the
  // whole limits.
  void AddExpected(const std::vector<std::string>& hosts,
                   const ZoneHosts& zones, absl::Time now);

  // Merges the recorded updates. Without `all_expected`, some hosts may not
  // have been added, and the result is not complete. The functions below that
  // take no time return the state of the last merge.
  void Merge(absl::Time now, bool all_expected = true);

  // Returns the zone's state for the aggregators of other zones.
  FleetUpdate ZoneUpdate() const;
  // Returns the state of all peers of one host of the zone.
  FleetUpdate UpdateForHost(const std::string& host) const;

  // Returns whether to send to a host of the zone: its updates arrive, or it
  // may not know yet that this host is the aggregator.
  bool ShouldSendTo(const std::string& host, absl::Time now) const;
  // Returns the live hosts of the zone.
  const std::vector<HostEntry>& live() const { return live_; }
  // Returns the live aggregators of a zone, the best first. There may be two
  // while one takes over from the other.
  std::vector<HostEntry> LiveAggregatorsOf(const std::string& zone,
                                           absl::Time now) const;

 private:
  struct Total {
    std::uint64_t admitted = 0;
    std::uint64_t refunded = 0;
  };
  using Totals = std::map<NameHash, Total>;
  struct Source {
    FleetUpdate update;
    absl::Time received;
    UseCounters counters;
    Totals contribution;  // This source's part of the totals.
  };
  struct Expected {
    absl::Time received;  // Last update, or the time when added.
    std::size_t hosts = 1;
    bool dropped = false;
  };
  // Sums over all sources.
  struct Sums {
    std::size_t hosts = 0;
    std::uint16_t known_hosts = 1;
    bool complete = true;
    std::map<NameHash, WorkspaceUse> workspaces;
    std::map<NameHash, ServerUse> servers;
    std::map<NameHash, TableState> tables;
    std::vector<RolloutReport> rollouts;
    std::map<NameHash, int> up;  // Number of sources that reach a table.
    // `age`: time since the update arrived.
    void Add(const FleetUpdate& update, bool current, absl::Duration age);
    void AddTable(const TableState& table, absl::Duration age);
    void AddServers(const std::vector<ServerUse>& uses);
    // Number of sources that measured a server's slowdown.
    std::map<NameHash, int> slowdown_sources_;
  };

  bool IsOfZone(const FleetUpdate& update) const {
    return update.sender.zone == zone_;
  }
  static bool IsLive(const Source& source, absl::Time now);
  // Returns whether the source is live and, if it is of another zone, the best
  // of that zone's live aggregators. Only such sources are merged.
  bool IsCounted(const Source& source, absl::Time now) const;
  FirstMessage FirstMessageRule(const FleetUpdate& update,
                                absl::Time now) const;
  void MarkReceived(const FleetUpdate& update, absl::Time now);
  void DropUnresponsive(absl::Time now);
  bool IsComplete(bool zone_only, absl::Time now) const;
  void ChooseDispatchers();
  static FleetUpdate Compose(const Sums& sums, const Totals& totals);

  std::string zone_;
  std::map<std::string, Source> sources_;
  Totals zone_total_;
  Totals total_;
  std::map<std::string, Expected> expected_hosts_;
  std::map<std::string, Expected> expected_zones_;

  // Results of the last merge.
  Sums zone_sums_;
  Sums sums_;
  std::vector<HostEntry> live_;
  std::vector<HostEntry> zone_dispatchers_;
  std::vector<HostEntry> dispatchers_;
  absl::Time merge_time_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_AGGREGATE_H_
