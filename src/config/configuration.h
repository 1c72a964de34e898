// The configuration that operators have confirmed: an immutable value with a
// version that only grows. Entry hosts read it as a whole or not at all.

#ifndef GENTIANLB_CONFIG_CONFIGURATION_H_
#define GENTIANLB_CONFIG_CONFIGURATION_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "schedule/messages.h"

namespace gentianlb::config {

// Version 0 means that none was confirmed yet.
using Version = std::int64_t;

struct TierConfig {
  std::string name;
  Tier tier;                        // Rank 0 is the most urgent.
  absl::Duration deadline;          // For requests that state none.
  std::vector<ServiceId> services;  // Open to its workspaces; empty: all.
  bool operator==(const TierConfig&) const = default;
};

enum class ServiceKind { kModel, kPlain };

struct ServiceConfig {
  ServiceId id;
  ServiceKind kind = ServiceKind::kModel;
  std::string path_prefix;  // Of a plain service, such as /member-portal/.
  // Calls of a plain service that may not be repeated: "METHOD /path" under
  // the prefix, where a path that ends in '/' covers all below it.
  std::vector<std::string> non_idempotent;
  bool operator==(const ServiceConfig&) const = default;
};

struct WorkspaceConfig {
  std::string token;  // Bearer token; never logged.
  std::string tier;
  std::vector<ServiceId> services;
  std::vector<ModelId> models;
  bool keys_carry_time = false;    // Its keys are UUIDv7 with honest time.
  schedule::WorkspaceSpec limits;  // Names the workspace.
  bool operator==(const WorkspaceConfig&) const = default;
};

// Whether a backend server refuses an order with an old fencing number.
enum class Fencing { kChecks, kIgnores };

struct ServerConfig {
  ServiceId service;
  ZoneId zone;
  std::string address;  // IP:PORT
  Fencing fencing = Fencing::kChecks;
  schedule::ServerSpec spec;  // Names the server.
  bool operator==(const ServerConfig&) const = default;
};

struct ZonePowerConfig {
  ZoneId zone;
  double floor_watts = 0;  // The zone may always draw this much.
  bool operator==(const ZonePowerConfig&) const = default;
};

// Where a model must be available.
struct ModelConfig {
  ModelId id;
  ServiceId service;
  std::vector<ZoneId> zones;  // Empty: every zone of the service.
  int min_servers = 1;        // In each of them.
  bool operator==(const ModelConfig&) const = default;
};

struct Configuration {
  Version version = 0;
  std::string site;
  double power_cap_watts = 0;
  schedule::Weights weights;
  std::vector<ZonePowerConfig> zones;
  std::vector<TierConfig> tiers;
  std::vector<ServiceConfig> services;
  std::vector<ModelConfig> models;
  std::vector<WorkspaceConfig> workspaces;
  std::vector<ServerConfig> servers;
  bool operator==(const Configuration&) const = default;
};

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_CONFIGURATION_H_
