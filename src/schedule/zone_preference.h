// Prefers servers in the availability zone of a request's entry host.
//
// Load pattern: three zones, each with a third of the servers, and demand that
// moves across them within seconds. Bytes sent between zones are charged, and
// a server in another zone answers some milliseconds later. Without a
// preference, two thirds of the requests leave their zone.
//
// Crossing zones adds a cost to the score of a server. It is bounded by a
// fraction of the score, because requests differ in length by a factor of 100:
// a cost that matters for a long stream would make short calls wait for a
// server that is several times slower.

#ifndef GENTIANLB_SCHEDULE_ZONE_PREFERENCE_H_
#define GENTIANLB_SCHEDULE_ZONE_PREFERENCE_H_

#include "absl/time/time.h"
#include "base/ids.h"

namespace gentianlb::schedule {

class ZonePreference {
 public:
  // `cost`: of a request sent to another zone; zero turns the preference off.
  explicit ZonePreference(absl::Duration cost)
      : cost_seconds_(absl::ToDoubleSeconds(cost)) {}

  bool enabled() const { return cost_seconds_ > 0; }

  // Returns the seconds to add to `score`, the score in seconds of a server in
  // the zone `server`, for a request of the zone `request`. Zero if either zone
  // is unknown.
  double CrossingSeconds(const ZoneId& request, const ZoneId& server,
                         double score) const;

 private:
  double cost_seconds_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_ZONE_PREFERENCE_H_
