// Divides the site's power cap among the dispatchers: each (service,
// availability zone) has a share that is fixed by the configuration alone, and
// the shares add up to at most the cap. No message is needed to keep under it,
// so that a zone that is cut off, or a table that is out, cannot break the cap.

#ifndef GENTIANLB_POWER_SHARES_H_
#define GENTIANLB_POWER_SHARES_H_

#include <compare>
#include <vector>

#include "config/configuration.h"

namespace gentianlb::power {

struct Share {
  ServiceId service;
  ZoneId zone;
  double watts = 0;
  auto operator<=>(const Share&) const = default;
};

// The draw of a server with all its streams running and a prompt computed.
double FullDraw(const schedule::ServerSpec& spec);

// Sorted by service and zone. First every zone gets its floor, then the rest of
// the cap goes to the zones by what their full draw exceeds the floor; inside a
// zone each service gets the idle draw of its servers and a part of the rest.
std::vector<Share> DivideCap(const config::Configuration& configuration);

}  // namespace gentianlb::power

#endif  // GENTIANLB_POWER_SHARES_H_
