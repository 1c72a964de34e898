// The operators' configuration as the gateway uses it: routes, services,
// workspaces and limits. Immutable once built; a request keeps the version it
// was first looked at with until its end.

#ifndef GENTIANLB_GATEWAY_CONFIGURATION_H_
#define GENTIANLB_GATEWAY_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"

namespace gentianlb::gateway {

// What may be done with a request whose outcome is not known.
enum class RouteKind {
  kIdempotent,     // Run again.
  kNonIdempotent,  // Nothing: it may have run.
  kStream,         // Gone on with, where the route is resumable; else nothing.
};

// A part of a route's requests that one service gets.
struct ServiceShare {
  ServiceId service;
  double weight = 1;
  bool operator==(const ServiceShare&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  bool resumable = false;
  bool needs_key = true;
  Tier tier;
  int max_attempts = 1;      // Servers that one request may be sent to.
  absl::Duration timeout;    // Longest time to the end of the answer.
  absl::Duration objective;  // To the answer, or a stream's first event.
  std::vector<ServiceShare> services;
  bool operator==(const Route&) const = default;
};

// What the engines of a service are, as operators state it.
struct EngineSpec {
  int streams = 1;             // That run at once on one server.
  std::int64_t kv_tokens = 0;  // Memory of one server.
  int tokens_per_event = 1;    // Of a stream.
  std::vector<ModelId> models;
  bool operator==(const EngineSpec&) const = default;
};

struct Service {
  ServiceId id;
  int max_connections = 0;  // To one server, from all hosts; 0: not bounded.
  std::optional<EngineSpec> engine;  // None: a plain service.
  bool operator==(const Service&) const = default;
};

// Tokens that a workspace may use over all hosts.
struct Quota {
  double tokens_per_second = 0;  // 0: no limit.
  double burst_tokens = 0;
  int tokens_without_count = 1;  // For a request that doesn't tell its tokens.
  bool operator==(const Quota&) const = default;
};

struct Workspace {
  WorkspaceId id;
  std::vector<std::string> keys;
  std::optional<Tier> tier;  // Orders workspaces before routes are compared.
  Quota quota;
  bool operator==(const Workspace&) const = default;
};

struct CallerLimits {
  std::int64_t body_bytes = 8 << 20;
  std::int64_t header_bytes = 32 << 10;
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
