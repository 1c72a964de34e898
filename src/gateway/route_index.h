// Finds the route, the workspace and the service of a request in one version of
// the configuration.

#ifndef GENTIANLB_GATEWAY_ROUTE_INDEX_H_
#define GENTIANLB_GATEWAY_ROUTE_INDEX_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "gateway/configuration.h"

namespace gentianlb::gateway {

class RouteIndex {
 public:
  explicit RouteIndex(Configuration configuration);
  RouteIndex(const RouteIndex&) = delete;
  RouteIndex& operator=(const RouteIndex&) = delete;

  // The route of `host` with the longest prefix that begins `path`; null when
  // there is none. Costs a lookup for each slash of the path, however many
  // routes there are.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Whose key it is; null when nobody's.
  const Workspace* FindWorkspace(std::string_view key) const;

  // Null when the configuration doesn't name it.
  const Service* FindService(const ServiceId& id) const;

  const Configuration& configuration() const { return configuration_; }

 private:
  const Configuration configuration_;
  absl::flat_hash_map<std::string, const Route*> routes_;  // Host and prefix.
  absl::flat_hash_map<std::string, const Workspace*> workspaces_;  // By key.
  absl::flat_hash_map<ServiceId, const Service*> services_;
};

// The tier of a request. The workspace's goes first; the route's decides among
// those of one tier. `workspace` may be null.
Tier TierOf(const Route& route, const Workspace* workspace);

// The service that gets a request of `route`: by weight, and always the same
// for the same `draw`, which is any number spread evenly.
const ServiceId& ChooseService(const Route& route, std::uint64_t draw);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_ROUTE_INDEX_H_
