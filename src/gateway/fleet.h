// This entry host among the others: tells about itself, learns of them, and
// aggregates for its zone when that falls to it.
//
// Knows no network and no clock; the hooks carry what has to leave.

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
#include "gateway/fleet_messages.h"
#include "gateway/zone_role.h"

namespace gentianlb::gateway {

struct FleetHooks {
  // Fills in what this host has to tell.
  std::function<void(FleetNews* own)> compose;
  // What all other hosts do.
  std::function<void(const FleetNews& others)> on_others;
  // What the aggregator of another zone tells of it, where this one aggregates.
  std::function<void(const FleetNews& zone)> on_zone;
  // Another host is known, or has another address.
  std::function<void(const HostEntry& host)> on_host;
  std::function<void(const std::string& host, const FleetNews& news)> send;
};

class Fleet {
 public:
  // `incarnation` is higher after each start.
  Fleet(HostEntry self, std::int64_t incarnation, FleetHooks hooks,
        absl::Time now);

  // The table of hosts names it.
  void Learn(const HostEntry& host);
  // All that the table names is learnt, or it can't be read.
  void Begin(absl::Time now) { role_.Begin(now); }

  void Take(const FleetNews& news, absl::Time now);

  // To be called each Period().
  void Tick(absl::Time now);
  absl::Duration Period() const { return period_; }

  // Hosts that are known, this one included.
  int known() const { return role_.known(); }
  bool aggregates() const { return role_.aggregates(); }
  const std::string& aggregator() const { return role_.aggregator(); }
  // Hosts that may know what this one lacks: its aggregator, and from the
  // second try on two more, which `draw` picks among all.
  std::vector<std::string> WhomToAsk(int tries, std::uint64_t draw) const;
  // The others of the zone that are heard, where this host aggregates.
  std::vector<std::string> Followers() const;

 private:
  void Report();
  void BeginToAggregate(absl::Time now);
  bool IsSettled(absl::Time now) const;
  void Spread(absl::Time now);
  void SpreadToZones(absl::Time now);
  void SpreadToHosts(absl::Time now);
  std::vector<std::string> Listeners(absl::Time now) const;
  // Fills in what each message of this host has.
  void Sign(FleetNews* news);
  FleetNews ComposeOwn();
  void TakeOthers(const FleetNews& news, absl::Time now);
  // Tells `host` who aggregates; `aggregator` may be none.
  void Name(const std::string& host, const HostEntry* aggregator);
  void TakeZone(const FleetNews& news, absl::Time now);
  // Whom to send to in a zone.
  std::set<std::string> TargetsIn(const std::string& zone,
                                  const std::vector<std::string>& hosts,
                                  absl::Time now);
  const HostEntry* Aggregator() const;

  const std::int64_t incarnation_;
  const FleetHooks hooks_;
  ZoneRole role_;
  Aggregate aggregate_;
  std::int64_t aggregate_incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  absl::Duration period_;
  std::uint64_t ticks_ = 0;
  absl::Time ticked_ = absl::InfinitePast();
  absl::Time began_;                            // To aggregate.
  absl::Time detailed_ = absl::InfinitePast();  // Details were told.
  std::vector<HostEntry> told_dispatchers_;
  NewsPlace others_place_;
  std::string others_from_;
  absl::Time others_at_ = absl::InfinitePast();
  // Whom a host of another zone named as its aggregator.
  std::map<std::string, std::string> named_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FLEET_H_
