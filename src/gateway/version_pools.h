// Splits the servers of a service into those of the version that a roll-out
// brings in and the others, so that each part has a queue and dispatchers of
// its own.

#ifndef GENTIANLB_GATEWAY_VERSION_POOLS_H_
#define GENTIANLB_GATEWAY_VERSION_POOLS_H_

#include <set>
#include <string>
#include <vector>

#include "gateway/messages.h"
#include "gateway/rollout.h"

namespace gentianlb::gateway {

// Servers with a queue of their own, under the id of the service or, for a
// version that is brought in, under one derived from it.
struct ServerPool {
  ServiceId id;
  std::vector<ServerEntry> servers;
  bool operator==(const ServerPool&) const = default;
};

// Returns the id of the pool of a version that is brought in.
ServiceId NewPoolId(const ServiceId& service, const std::string& target);

struct VersionSplit {
  std::vector<ServerEntry> old_servers;
  std::vector<ServerEntry> new_servers;  // All of the target.
};

// Remembers which versions may serve without an order. A server of another
// version may register before its order arrives; requests must not reach it,
// unless no version needs an order.
class KnownVersions {
 public:
  // From now on no version needs an order.
  void AllowAll() { allows_all_ = true; }
  // Splits `servers`. `target` is empty without an order.
  VersionSplit Split(const std::vector<ServerEntry>& servers,
                     const std::string& target);
  // From now on only `version` is known.
  void Replace(const std::string& version) { versions_ = {version}; }

 private:
  bool allows_all_ = false;
  std::set<std::string> versions_;
};

// Returns the part of the new servers that receive requests at a stage with
// this share of them, in the order of their ids: the same ones on every host.
std::vector<ServerEntry> SelectServers(std::vector<ServerEntry> servers,
                                       double share);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_VERSION_POOLS_H_
