// Finds a request's route, workspace and service in one version of the
// configuration.

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

  // Returns the route of `host` with the longest prefix of `path`; null if
  // there is none. Takes one lookup per slash of the path, for any number of
  // routes.
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  // Returns the workspace with this API key; null if there is none.
  const Workspace* FindWorkspace(std::string_view key) const;

  // Returns null if the service is not configured.
  const Service* FindService(const ServiceId& id) const;

  const Configuration& configuration() const { return configuration_; }

 private:
  const Configuration configuration_;
  absl::flat_hash_map<std::string, const Route*>
      routes_;  // By host and prefix.
  absl::flat_hash_map<std::string, const Workspace*> workspaces_;  // By key.
  absl::flat_hash_map<ServiceId, const Service*> services_;
};

// Returns the tier of a request. The workspace's tier takes precedence; the
// route's orders requests within it. `workspace` may be null.
Tier TierOf(const Route& route, const Workspace* workspace);

// Returns the service for a request of `route`, chosen by weight. `hash` is a
// uniformly distributed number; equal values give the same service.
const ServiceId& ChooseService(const Route& route, std::uint64_t hash);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_ROUTE_INDEX_H_
