// Which servers an entry host uses first, where many hosts share them all.
//
// Load pattern: each host sends to whichever server seems to have room, and
// hears of what the others did some tenths of a second late. The quickest
// server with room is then chosen by dozens of hosts at once: 30 to 60 streams
// begin on a server of ten, and their callers wait a second and more for the
// first token while other servers stand idle.
//
// So each host has servers that it is near to, and each server few such hosts.
// They know most of what goes on there from themselves. Far servers are for
// what the near ones have no room for.

#ifndef GENTIANLB_GATEWAY_SERVER_AFFINITY_H_
#define GENTIANLB_GATEWAY_SERVER_AFFINITY_H_

#include <cstddef>

#include "base/ids.h"

namespace gentianlb::gateway {

struct ServerAffinity {
  // See schedule::ServerSpec.
  double cost_factor = 1;
  double expected_competitors = 0;
  auto operator<=>(const ServerAffinity&) const = default;
};

// How `host`, one of `hosts`, likes `server`, one of `servers` of its service.
// The same on each host and at each time, as long as the numbers are.
ServerAffinity AffinityFor(const EntryHostId& host, const ServerId& server,
                           std::size_t servers, int hosts);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SERVER_AFFINITY_H_
