// How the hosts of a fleet learn of a table's changes with few calls of the
// table service: who of them follows it, and how the others hear of a change.
//
// Aggregators follow, and hand changes on. The service may fail just them, at
// once or by silence, which shows only after the time that an answer may take:
// hosts that it would answer would go on with what was withdrawn. So some other
// hosts follow as well, whichever their zone. They hand nothing on; that they
// know of a change is told with all news, and who hears so asks the service.
// Whom that turns away asks other hosts; so does a host that was started while
// the service is away.
//
// Knows no network and no clock; the hooks carry what has to leave.

#ifndef GENTIANLB_GATEWAY_TABLE_SHARING_H_
#define GENTIANLB_GATEWAY_TABLE_SHARING_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "gateway/fleet_messages.h"
#include "gateway/table_follower.h"
#include "gateway/table_watch.h"

namespace gentianlb::gateway {

// This host's place among the others.
struct FleetPlace {
  bool aggregates = false;  // For its zone.
  int hosts = 1;            // That are known, this one included.
  auto operator<=>(const FleetPlace&) const = default;
};

struct TableSharingHooks {
  // Hands changes on to the hosts of the zone, where this one aggregates.
  std::function<void(const TableChanges& changes)> hand_on;
  // Asks some other hosts; others than before with each try.
  std::function<void(const TableQuestion& question, int tries)> ask;
  std::function<void(const std::string& host, const TableChanges& changes)>
      answer;
};

class TableSharing {
 public:
  // `followers` outlive this object.
  TableSharing(std::string host, std::vector<TableFollower*> followers,
               TableSharingHooks hooks, absl::Time now);

  // What this host knows of the tables.
  std::vector<TableNews> Tell() const;
  // What all others know, as the zone's aggregator tells.
  void HeardOthers(const FleetNews& others, absl::Time now);
  // What the aggregator of another zone tells, where this one aggregates.
  void HeardZone(const FleetNews& zone, absl::Time now);
  // Another host hands changes on, or answers.
  void Take(const TableChanges& changes);
  // Another host asks.
  void Take(const TableQuestion& question);

  // Decides how this host follows. To be called each period.
  void Choose(const FleetPlace& place, absl::Time now);

 private:
  bool OthersFollow(const TableFollower& follower) const;
  Following Choice(const TableFollower& follower, const FleetPlace& place,
                   absl::Time now) const;
  // Whether this host is one of those that follow besides the aggregators.
  bool IsStandby(int hosts) const;

  const double rank_;  // Of this host among all, from 0 to below 1.
  const std::vector<TableFollower*> followers_;
  const TableSharingHooks hooks_;
  FleetPlace place_;
  TableWatch watch_;
  std::vector<TableNews> others_tables_;  // As told last.
  absl::Time others_heard_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_SHARING_H_
