// The operators' configuration as the gateway uses it: routes, services,
// workspaces and limits. Immutable once built. Each request uses the version
// that was in force when the request arrived.

#ifndef GENTIANLB_GATEWAY_CONFIGURATION_H_
#define GENTIANLB_GATEWAY_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace gentianlb::gateway {

// How the gateway may retry a request whose outcome is unknown.
enum class RouteKind {
  kIdempotent,     // The request may run again.
  kNonIdempotent,  // No retry, since the request may have run.
  kStream,         // Resumed if the route is resumable; otherwise no retry.
};

// A service of a route and its weight in the route's traffic split.
struct ServiceShare {
  ServiceId service;
  double weight = 1;
  bool operator==(const ServiceShare&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Path prefix; begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  bool resumable = false;
  bool needs_key = true;
  Tier tier;
  int max_attempts = 1;      // Servers that one request may be sent to.
  absl::Duration timeout;    // From arrival to the end of the response.
  absl::Duration objective;  // To the response, or a stream's first event.
  // Longest pause between two events with which a stream is in time.
  absl::Duration max_pause = absl::InfiniteDuration();
  std::vector<ServiceShare> services;
  bool operator==(const Route&) const = default;
};

// The inference engines of a service, as configured by the operators.
struct EngineSpec {
  int streams = 1;             // Concurrent streams per server.
  std::int64_t kv_tokens = 0;  // KV cache size of one server.
  int tokens_per_event = 1;    // Tokens in one event of a stream.
  std::vector<ModelId> models;
  bool operator==(const EngineSpec&) const = default;
};

struct Service {
  ServiceId id;
  int max_connections = 0;  // To one server, from all hosts; 0: unlimited.
  std::optional<EngineSpec> engine;  // Unset for a plain service.
  std::string health_path;           // Of its servers; empty: not stated.
  bool operator==(const Service&) const = default;
};

// The token limit of a workspace, shared by all entry hosts.
struct Quota {
  double tokens_per_second = 0;  // 0: unlimited.
  double burst_tokens = 0;
  int tokens_without_count = 1;  // Charged to a request without a token count.
  bool operator==(const Quota&) const = default;
};

struct Workspace {
  WorkspaceId id;
  std::vector<std::string> keys;
  std::optional<Tier> tier;  // Takes precedence over the routes' tiers.
  Quota quota;
  bool operator==(const Workspace&) const = default;
};

struct CallerLimits {
  std::int64_t body_bytes = 8 << 20;
  std::int64_t header_bytes = 16 << 10;
  absl::Duration idle_timeout = absl::Seconds(30);
  bool operator==(const CallerLimits&) const = default;
};

struct Configuration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;
  CallerLimits limits;
  bool operator==(const Configuration&) const = default;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_CONFIGURATION_H_
