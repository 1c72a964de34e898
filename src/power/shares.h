// Divides the site's power cap among the dispatchers. The configuration alone
// determines the share of each service in each availability zone, and the sum
// of the shares is at most the cap. No message is needed to stay below it, so a
// partitioned zone or an unavailable table can't cause more power draw.

#ifndef GENTIANLB_POWER_SHARES_H_
#define GENTIANLB_POWER_SHARES_H_

#include <compare>
#include <vector>

#include "config/configuration.h"

namespace gentianlb::power {

// The power share of the dispatcher of a service in a zone.
struct Share {
  ServiceId service;
  ZoneId zone;
  double watts = 0;
  auto operator<=>(const Share&) const = default;
};

// Returns the draw in watts of a server that runs all its streams and prefills
// prompts at full speed.
double FullDraw(const schedule::ServerSpec& spec);

// Returns the shares, sorted by service and zone. Each zone gets its floor,
// then the zones get the rest of the cap in proportion to their full draw above
// the floor. Inside a zone each service gets the idle draw of its servers and a
// share of the rest.
std::vector<Share> DivideCap(const config::Configuration& configuration);

}  // namespace gentianlb::power

#endif  // GENTIANLB_POWER_SHARES_H_
