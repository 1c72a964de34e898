// The sizes of the two deployments that the replay measures, as built-in
// values: their services and unlike servers, workspaces, kinds of requests and
// power. A confirmed configuration can take the place of the servers, so that a
// replay answers for the operators' own site.

#ifndef GENTIANLB_REPLAY_DEPLOYMENT_H_
#define GENTIANLB_REPLAY_DEPLOYMENT_H_

#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"
#include "config/configuration.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

// A range whose values are drawn evenly by their logarithm, so that lengths
// spread over its whole span.
struct TokenRange {
  int least = 0;
  int most = 0;
  auto operator<=>(const TokenRange&) const = default;
};

// What one kind of request looks like.
struct RequestKind {
  std::string name;
  ServiceId service;
  Tier tier;
  double share = 0;            // Of the service's requests.
  int instruction_tokens = 0;  // The kind's own prompt head, alike in all.
  TokenRange document_tokens;  // A text that several requests share.
  int document_readers = 1;    // Requests of a workspace on one document.
  TokenRange tail_tokens;      // The request's own words.
  TokenRange output_tokens;
  int max_output_tokens = 0;  // The bound that callers send.
  absl::Duration deadline;    // After the arrival.
  bool operator==(const RequestKind&) const = default;
};

// A workspace and its share of the requests in ordinary times.
struct WorkspaceLoad {
  schedule::WorkspaceSpec spec;
  double share = 0;
  bool operator==(const WorkspaceLoad&) const = default;
};

// All servers of one service: what one dispatcher drives in the replay.
struct ServiceLoad {
  ServiceId id;
  ModelId model;  // Empty for a plain service.
  double power_fraction = 0;
  std::vector<schedule::ServerSpec> servers;
  bool operator==(const ServiceLoad&) const = default;
};

struct Deployment {
  std::string name;
  double power_cap_watts = 0;
  schedule::Weights weights;
  std::vector<ServiceLoad> services;
  std::vector<WorkspaceLoad> workspaces;
  std::vector<RequestKind> kinds;
  bool operator==(const Deployment&) const = default;
};

// The built-in deployment `name`: "association" or "almaty".
Result<Deployment> FindDeployment(std::string_view name);

// The names that FindDeployment knows.
std::vector<std::string> DeploymentNames();

// `built_in` with the servers, cap, weights and workspaces' limits of
// `configuration`. What the configuration does not have stays built in.
Deployment WithConfiguration(const Deployment& built_in,
                             const config::Configuration& configuration);

// The draw of `servers` when each runs as much as it can.
double FullLoadWatts(const std::vector<schedule::ServerSpec>& servers);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_DEPLOYMENT_H_
