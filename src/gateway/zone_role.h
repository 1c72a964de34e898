// Which entry host of an availability zone is its aggregator.
//
// Nothing is agreed. The best ranked host of a zone that is heard to aggregate
// is taken by all others there. A host that hears no better one aggregates
// itself: at once if it knows of none, else after the better ones have had time
// to. So a lost aggregator is followed by the next that lives, and one that
// comes back takes over again. Two of a zone at once cost some messages, and
// nobody is counted twice, as each host tells about itself to one of them.
//
// Knows no network and no clock.

#ifndef GENTIANLB_GATEWAY_ZONE_ROLE_H_
#define GENTIANLB_GATEWAY_ZONE_ROLE_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {

// A sender that is silent for so long has been killed, froze or is cut off. A
// host with a small processor stands still for some tenths of a second when it
// has used its part up.
inline absl::Duration Believed(absl::Duration period) {
  constexpr int kPeriods = 4;
  constexpr absl::Duration kShortest = absl::Milliseconds(400);
  return std::max(kShortest, kPeriods * period);
}

// Whether what was heard `silence` ago is new enough for parts of limits. Until
// a cut shows, every side uses the whole limit, so that little more than one
// message that is missing is taken for one. Where it was lost by chance,
// leaving out that host's part for a moment harms nobody.
inline bool IsCurrent(absl::Duration silence, absl::Duration period) {
  constexpr double kPeriods = 1.8;
  return silence <= kPeriods * period;
}

class ZoneRole {
 public:
  ZoneRole(HostEntry self, absl::Time now)
      : self_(std::move(self)), unheard_since_(now) {}

  // A host, of any zone, that is known; the newest entry counts.
  void Learn(const HostEntry& host);
  // The table of hosts was read, or can't be: before, every host would take
  // itself for the only one.
  void Begin(absl::Time now);
  // It sent what only an aggregator sends.
  void HeardAggregator(const std::string& host, absl::Duration period,
                       absl::Time now);
  // To be called each period.
  void Tick(absl::Duration period, absl::Time now);

  bool aggregates() const { return aggregates_; }
  // Whom this host takes; empty while it hears none.
  const std::string& aggregator() const { return aggregator_; }
  // Whom to tell about this host: the aggregator, or who should be the next.
  std::string ReportTo() const;

  int known() const { return static_cast<int>(known_.size()) + 1; }
  const HostEntry& self() const { return self_; }
  const HostEntry* Find(const std::string& host) const;
  // The other hosts of this zone, the best first.
  std::vector<std::string> Neighbours() const;
  // The other zones, each with its hosts, the best first.
  std::map<std::string, std::vector<std::string>> OtherZones() const;

 private:
  struct Known {
    HostEntry entry;
    absl::Time silent_until = absl::InfinitePast();
    absl::Time aggregated = absl::InfinitePast();  // Heard to.
    absl::Duration period;
  };

  void Lost(absl::Time now);
  // Better ones that may be about to aggregate, the best first.
  std::vector<std::string> Better(absl::Time now) const;
  void SortBestFirst(std::vector<std::string>* names) const;

  const HostEntry self_;
  absl::flat_hash_map<std::string, Known> known_;
  bool begun_ = false;
  bool aggregates_ = false;
  std::string aggregator_;
  std::string next_;  // Who should be the aggregator while none is heard.
  absl::Time unheard_since_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_ZONE_ROLE_H_
