// What the hosts of a zone and the aggregators of the other zones have told,
// merged by a zone's aggregator.
//
// Load pattern: hundreds of hosts need to know what all others use of limits
// and servers, and which of them live. Told by each to each, the messages of a
// host grow with the number of hosts and those of all with its square; sent
// more rarely, they are too old for limits. Merged, a host gets one message a
// period whatever the number of hosts.
//
// Knows no network and no clock.

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

// Zones, each with the names of its hosts.
using ZoneHosts = std::map<std::string, std::vector<std::string>>;

class Aggregate {
 public:
  explicit Aggregate(std::string zone) : zone_(std::move(zone)) {}

  // Of a host of the zone, the aggregator included, or of another zone's
  // aggregator. False: it is of no use here.
  bool Heard(const FleetNews& news, absl::Time now);

  // The hosts of the zone and the other zones that should be heard. Who is
  // silent for a minute is forgotten, but only while more than half of all
  // hosts are heard: a few that are cut off from the rest must not take the
  // limits for themselves.
  void Expect(const std::vector<std::string>& hosts, const ZoneHosts& zones,
              absl::Time now);

  // Merges what is known; what follows tells of that moment.
  void Merge(absl::Time now);

  // For the other zones' aggregators.
  FleetNews OfZone() const;
  // For one host of the zone: all that the others do.
  FleetNews ForHost(const std::string& host) const;

  // Whether it is worth telling a host of the zone: it is heard, or may not
  // have heard yet that this one aggregates.
  bool IsWanted(const std::string& host, absl::Time now) const;
  // Hosts of the zone that are heard.
  const std::vector<HostEntry>& live() const { return live_; }
  // The aggregators that are heard of a zone, the best first; while one follows
  // another there may be two.
  std::vector<HostEntry> AggregatorsOf(const std::string& zone,
                                       absl::Time now) const;

 private:
  struct Total {
    std::uint64_t let_through = 0;
    std::uint64_t given_back = 0;
  };
  using Totals = std::map<NameHash, Total>;
  struct Source {
    FleetNews news;
    absl::Time heard;
    UseCounters counters;
    Totals counted;  // Of it.
  };
  struct Expected {
    absl::Time heard;  // Or known, where it wasn't.
    std::size_t hosts = 1;
    bool forgotten = false;
  };
  // Sums over sources.
  struct Sums {
    std::size_t hosts = 0;
    bool complete = true;
    std::map<NameHash, WorkspaceUse> workspaces;
    std::map<NameHash, ServerUse> servers;
    std::map<NameHash, TableNews> tables;
    std::map<NameHash, int> up;  // Sources for which a table is up.
    void Add(const FleetNews& news, bool current);
    void AddTable(const TableNews& table);
    void AddServers(const std::vector<ServerUse>& uses);
    std::map<NameHash, int> teachers_;  // Sources that know a server's pace.
  };

  bool IsOfZone(const FleetNews& news) const {
    return news.sender.zone == zone_;
  }
  static bool IsBelieved(const Source& source, absl::Time now);
  // Whether it is the one that counts, of those of its zone.
  bool Counts(const Source& source, absl::Time now) const;
  FirstMessage CountsAtFirst(const FleetNews& news, absl::Time now) const;
  void NoteHeard(const FleetNews& news, absl::Time now);
  void Forget(absl::Time now);
  bool Complete(bool zone_only, absl::Time now) const;
  void ChooseDispatchers();
  static FleetNews Compose(const Sums& sums, const Totals& totals);

  std::string zone_;
  std::map<std::string, Source> sources_;
  Totals zone_total_;
  Totals total_;
  std::map<std::string, Expected> expected_hosts_;
  std::map<std::string, Expected> expected_zones_;

  // As merged last.
  Sums zone_sums_;
  Sums sums_;
  std::vector<HostEntry> live_;
  std::vector<HostEntry> zone_dispatchers_;
  std::vector<HostEntry> dispatchers_;
  absl::Time merged_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_AGGREGATE_H_
