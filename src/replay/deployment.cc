#include "replay/deployment.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::replay {
namespace {

using schedule::ServerSpec;

// The cap leaves seven tenths of the full draw, so that not all servers can run
// at full load at once. Ground: the brief's cap; its size is not published.
constexpr double kCapOfFullLoad = 0.70;

// What the model service gets of the cap; the plain service needs little.
constexpr double kModelPowerFraction = 0.92;

// Four generations, from the oldest to the newest: faster, larger and with less
// energy for a token. Ground: public data sheets span about this ratio.
ServerSpec Engine(int generation) {
  ServerSpec spec;
  spec.generation = generation;
  switch (generation) {
    case 1:
      spec.prefill_tokens_per_second = 2500;
      spec.decode_tokens_per_second = 22;
      spec.max_streams = 8;
      spec.kv_tokens = 80'000;
      spec.cache_tokens = 80'000;
      spec.power = {180, 18, 0.050};
      break;
    case 2:
      spec.prefill_tokens_per_second = 5000;
      spec.decode_tokens_per_second = 30;
      spec.max_streams = 16;
      spec.kv_tokens = 150'000;
      spec.cache_tokens = 120'000;
      spec.power = {220, 14, 0.030};
      break;
    case 3:
      spec.prefill_tokens_per_second = 9000;
      spec.decode_tokens_per_second = 45;
      spec.max_streams = 24;
      spec.kv_tokens = 300'000;
      spec.cache_tokens = 250'000;
      spec.power = {260, 12, 0.020};
      break;
    default:
      spec.prefill_tokens_per_second = 16'000;
      spec.decode_tokens_per_second = 60;
      spec.max_streams = 32;
      spec.kv_tokens = 500'000;
      spec.cache_tokens = 400'000;
      spec.power = {300, 11, 0.014};
      break;
  }
  return spec;
}

// A server of a plain service: no prompt, one output token for one step.
ServerSpec PlainServer() {
  ServerSpec spec;
  spec.prefill_tokens_per_second = 1000;
  spec.decode_tokens_per_second = 50;
  spec.max_streams = 8;
  spec.kv_tokens = 10'000;
  spec.power = {60, 4, 0};
  return spec;
}

// `generations[i]` is that of server i; 0 makes a plain server.
ServiceLoad MakeService(std::string_view name, std::string_view model,
                        const std::vector<int>& generations) {
  ServiceLoad service;
  service.id = ServiceId(std::string(name));
  service.model = ModelId(std::string(model));
  service.power_fraction =
      model.empty() ? 1 - kModelPowerFraction : kModelPowerFraction;
  for (std::size_t i = 0; i < generations.size(); ++i) {
    ServerSpec spec =
        generations[i] == 0 ? PlainServer() : Engine(generations[i]);
    spec.id = ServerId(absl::StrCat(service.id.str(), "-", i + 1));
    if (!model.empty()) spec.models = {service.model};
    service.servers.push_back(std::move(spec));
  }
  return service;
}

WorkspaceLoad MakeWorkspace(std::string_view name, double weight,
                            double share) {
  WorkspaceLoad load;
  load.spec.id = WorkspaceId(std::string(name));
  load.spec.weight = weight;
  load.share = share;
  return load;
}

// The cap follows from the servers, and the model service's part of it.
double CapFor(const std::vector<ServiceLoad>& services) {
  double watts = 0;
  for (const ServiceLoad& service : services) {
    watts += FullLoadWatts(service.servers);
  }
  return watts * kCapOfFullLoad;
}

Deployment Association() {
  Deployment result;
  result.name = "association";
  result.weights = {4, 1};  // One late tender costs more than any waste.
  result.services = {
      MakeService("drafting-llm", "drafting-base",
                  {1, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 4}),
      MakeService("member-portal", "", {0, 0, 0, 0}),
  };
  result.power_cap_watts = CapFor(result.services);
  result.workspaces = {
      MakeWorkspace("municipal-haulers", 2, 0.34),
      MakeWorkspace("clinical-haulers", 2, 0.28),
      MakeWorkspace("commercial-haulers", 1, 0.18),
      MakeWorkspace("complaints-desk", 1, 0.12),
      MakeWorkspace("compliance-desk", 1, 0.08),
  };
  const ServiceId drafting("drafting-llm");
  const ServiceId portal("member-portal");
  result.kinds = {
      {.name = "tender",
       .service = drafting,
       .tier = Tier{0},
       .share = 0.05,
       .instruction_tokens = 1024,
       .document_tokens = {2048, 16'384},
       .document_readers = 6,
       .tail_tokens = {512, 4096},
       .output_tokens = {500, 2000},
       .max_output_tokens = 2048,
       .deadline = absl::Seconds(120)},
      {.name = "summary",
       .service = drafting,
       .tier = Tier{1},
       .share = 0.25,
       .instruction_tokens = 512,
       .document_tokens = {1024, 8192},
       .document_readers = 4,
       .tail_tokens = {64, 512},
       .output_tokens = {120, 500},
       .max_output_tokens = 1024,
       .deadline = absl::Seconds(45)},
      {.name = "tagging",
       .service = drafting,
       .tier = Tier{2},
       .share = 0.70,
       .instruction_tokens = 256,
       .tail_tokens = {24, 400},
       .output_tokens = {4, 24},
       .max_output_tokens = 64,
       .deadline = absl::Seconds(20)},
      {.name = "permit-check",
       .service = portal,
       .tier = Tier{0},
       .share = 0.30,
       .output_tokens = {40, 400},
       .deadline = absl::Seconds(30)},
      {.name = "lookup",
       .service = portal,
       .tier = Tier{1},
       .share = 0.70,
       .output_tokens = {10, 100},
       .deadline = absl::Seconds(10)},
  };
  return result;
}

Deployment Almaty() {
  Deployment result;
  result.name = "almaty";
  result.weights = {1, 4};  // Large overnight batches run on limited power.
  result.services = {
      MakeService("sock-llm", "sock-base", {1, 1, 1, 2, 2, 2, 3, 3, 3}),
      MakeService("sub-records", "", {0, 0, 0}),
  };
  result.power_cap_watts = CapFor(result.services);
  result.workspaces = {
      MakeWorkspace("pensioners", 2, 0.36),
      MakeWorkspace("schools", 2, 0.28),
      MakeWorkspace("workers", 1, 0.18),
      MakeWorkspace("regional-desk", 1, 0.10),
      MakeWorkspace("parcel-desk", 1, 0.08),
  };
  const ServiceId sock("sock-llm");
  const ServiceId records("sub-records");
  result.kinds = {
      {.name = "chat",
       .service = sock,
       .tier = Tier{0},
       .share = 0.50,
       .instruction_tokens = 512,
       .tail_tokens = {16, 400},
       .output_tokens = {10, 200},
       .max_output_tokens = 512,
       .deadline = absl::Seconds(15)},
      {.name = "letter",
       .service = sock,
       .tier = Tier{1},
       .share = 0.15,
       .instruction_tokens = 1024,
       .document_tokens = {1024, 4096},
       .document_readers = 3,
       .tail_tokens = {256, 3000},
       .output_tokens = {200, 900},
       .max_output_tokens = 1024,
       .deadline = absl::Seconds(90)},
      {.name = "sorting",
       .service = sock,
       .tier = Tier{2},
       .share = 0.35,
       .instruction_tokens = 512,
       .document_tokens = {2048, 12'288},
       .document_readers = 10,
       .tail_tokens = {64, 1600},
       .output_tokens = {4, 60},
       .max_output_tokens = 128,
       .deadline = absl::Seconds(120)},
      {.name = "refund",
       .service = records,
       .tier = Tier{0},
       .share = 0.20,
       .output_tokens = {40, 400},
       .deadline = absl::Seconds(30)},
      {.name = "status",
       .service = records,
       .tier = Tier{1},
       .share = 0.80,
       .output_tokens = {10, 100},
       .deadline = absl::Seconds(10)},
  };
  return result;
}

}  // namespace

Result<Deployment> FindDeployment(std::string_view name) {
  if (name == "association") return Association();
  if (name == "almaty") return Almaty();
  return Fail(Code::kUsage,
              absl::StrCat("no deployment named ", std::string(name)));
}

std::vector<std::string> DeploymentNames() { return {"association", "almaty"}; }

Deployment WithConfiguration(const Deployment& built_in,
                             const config::Configuration& configuration) {
  Deployment result = built_in;
  result.power_cap_watts = configuration.power_cap_watts;
  result.weights = configuration.weights;
  for (ServiceLoad& service : result.services) {
    std::vector<ServerSpec> servers;
    for (const config::ServerConfig& server : configuration.servers) {
      if (server.service == service.id) servers.push_back(server.spec);
    }
    if (!servers.empty()) service.servers = std::move(servers);
  }
  for (const config::WorkspaceConfig& workspace : configuration.workspaces) {
    for (WorkspaceLoad& load : result.workspaces) {
      if (load.spec.id == workspace.limits.id) load.spec = workspace.limits;
    }
  }
  return result;
}

double FullLoadWatts(const std::vector<ServerSpec>& servers) {
  double watts = 0;
  for (const ServerSpec& server : servers) {
    watts += server.power.idle_watts;
    watts += server.power.watts_per_stream * server.max_streams;
    watts += server.power.joules_per_prefill_token *
             server.prefill_tokens_per_second;
  }
  return watts;
}

}  // namespace gentianlb::replay
