// Decides which servers an entry host prefers when many hosts share all
// servers.
//
// Load pattern: each host sends requests to a server that seems to have free
// capacity, and learns of its peers' requests some tenths of a second late. So
// dozens of hosts choose the fastest such server at once: 30 to 60 streams
// start on a server with a capacity of ten, and their callers wait a second or
// more for the first token while other servers are idle.
//
// So each host has near servers, and each server has few near hosts, which know
// most of its load because they cause it. Far servers take the requests for
// which near ones have no capacity.

#ifndef GENTIANLB_GATEWAY_SERVER_AFFINITY_H_
#define GENTIANLB_GATEWAY_SERVER_AFFINITY_H_

#include <cstddef>

#include "base/ids.h"

namespace gentianlb::gateway {

struct ServerAffinity {
  // As in schedule::ServerSpec.
  double cost_factor = 1;
  double expected_competitors = 0;
  auto operator<=>(const ServerAffinity&) const = default;
};

// Returns the affinity of `host`, one of `hosts`, for `server`, one of
// `servers` of its service. Depends on the arguments alone, so all hosts
// compute the same.
ServerAffinity AffinityFor(const EntryHostId& host, const ServerId& server,
                           std::size_t servers, int hosts);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SERVER_AFFINITY_H_
