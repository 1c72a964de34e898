#include "config/intent_check.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

namespace gentianlb::config {
namespace {

// A shorter token can be guessed by trying.
constexpr std::size_t kMinTokenBytes = 16;

// Paths that the entry hosts answer themselves.
constexpr std::string_view kReservedPaths[] = {"/v1/", "/healthz", "/readyz",
                                               "/metrics", "/rpc"};

class Checker {
 public:
  Checker(const settings::Document& document,
          const Configuration& configuration, settings::Problems* problems)
      : document_(document),
        configuration_(configuration),
        problems_(problems) {
    for (const settings::Section& section : document.sections) {
      sections_.emplace(absl::StrCat(section.kind, " ", section.name),
                        &section);
    }
    for (const ServiceConfig& service : configuration.services) {
      services_.emplace(service.id, &service);
    }
    for (const ModelConfig& model : configuration.models) {
      models_.emplace(model.id, &model);
    }
    for (const TierConfig& tier : configuration.tiers) {
      tiers_.emplace(tier.name, &tier);
    }
    for (const ServerConfig& server : configuration.servers) {
      ++servers_[{server.service, server.zone}];
      idle_watts_[server.zone] += server.spec.power.idle_watts;
    }
  }

  void Run() {
    RequireSections();
    CheckPower();
    CheckTiers();
    for (const ServiceConfig& service : configuration_.services) {
      CheckService(service);
    }
    for (const ModelConfig& model : configuration_.models) CheckModel(model);
    for (const WorkspaceConfig& workspace : configuration_.workspaces) {
      CheckWorkspace(workspace);
    }
    for (const ServerConfig& server : configuration_.servers) {
      CheckServer(server);
    }
  }

 private:
  void RequireSections() {
    Require(!configuration_.site.empty() || sections_.contains("site "),
            "[site]");
    Require(!configuration_.zones.empty(), "[zone NAME]");
    Require(!configuration_.tiers.empty(), "[tier NAME]");
    Require(!configuration_.services.empty(), "[service NAME]");
  }

  void Require(bool there, std::string_view section) {
    if (there) return;
    Note("", "", Code::kMissingSetting,
         absl::StrCat(std::string(section), " is missing"));
  }

  // A zone that is cut off draws up to its floor without asking anyone, so the
  // floors together must fit under the cap; and servers that are on draw their
  // idle power whatever is decided.
  void CheckPower() {
    double floors = 0;
    for (const ZonePowerConfig& zone : configuration_.zones) {
      floors += zone.floor_watts;
      double idle = idle_watts_[zone.zone];
      if (zone.floor_watts >= idle) continue;
      Note(
          "zone " + zone.zone.str(), "power_floor", Code::kContradiction,
          absl::StrCat("power_floor ", zone.floor_watts,
                       "W is under the idle draw of its servers, ", idle, "W"));
    }
    bool missing = configuration_.power_cap_watts == 0;
    if (missing || floors <= configuration_.power_cap_watts) return;
    Note(
        "site ", "power_cap", Code::kContradiction,
        absl::StrCat("power_cap ", configuration_.power_cap_watts,
                     "W is under the sum of the zones' floors, ", floors, "W"));
  }

  void CheckTiers() {
    absl::flat_hash_map<int, std::string> by_rank;
    for (const TierConfig& tier : configuration_.tiers) {
      std::string place = "tier " + tier.name;
      auto [other, fresh] = by_rank.emplace(tier.tier.rank, tier.name);
      if (!fresh) {
        Note(place, "rank", Code::kContradiction,
             absl::StrCat("rank ", tier.tier.rank, " is that of tier ",
                          other->second));
      }
      CheckServices(place, tier.services);
    }
  }

  void CheckService(const ServiceConfig& service) {
    std::string place = "service " + service.id.str();
    bool plain = service.kind == ServiceKind::kPlain;
    if (!plain) {
      Forbid(service.path_prefix.empty(), place, "path_prefix",
             "is for plain services");
      Forbid(service.non_idempotent.empty(), place, "non_idempotent",
             "is for plain services");
      return;
    }
    CheckPrefix(place, service);
    for (const std::string& call : service.non_idempotent) {
      CheckCall(place, call);
    }
  }

  void CheckPrefix(const std::string& place, const ServiceConfig& service) {
    const std::string& prefix = service.path_prefix;
    if (prefix.empty()) {
      return Note(place, "path_prefix", Code::kMissingSetting,
                  "path_prefix is missing in a plain service");
    }
    if (prefix.size() < 3 || prefix.front() != '/' || prefix.back() != '/') {
      Note(place, "path_prefix", Code::kOutOfRange,
           "path_prefix must have the form /NAME/");
    }
    for (std::string_view reserved : kReservedPaths) {
      if (!prefix.starts_with(reserved)) continue;
      Note(place, "path_prefix", Code::kContradiction,
           absl::StrCat("path_prefix lies under ", std::string(reserved)));
    }
    for (const ServiceConfig& other : configuration_.services) {
      bool same = other.id == service.id || other.path_prefix.empty();
      if (same || !prefix.starts_with(other.path_prefix)) continue;
      Note(place, "path_prefix", Code::kContradiction,
           absl::StrCat("path_prefix lies under that of ", other.id.str()));
    }
  }

  // "METHOD /path".
  void CheckCall(const std::string& place, const std::string& call) {
    std::size_t space = call.find(' ');
    bool good =
        space != std::string::npos && space > 0 &&
        call.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZ*") == space &&
        call.substr(space + 1).starts_with('/') &&
        call.find(' ', space + 1) == std::string::npos;
    if (good) return;
    Note(place, "non_idempotent", Code::kOutOfRange,
         "non_idempotent '" + call + "' is not METHOD /path");
  }

  void CheckModel(const ModelConfig& model) {
    std::string place = "model " + model.id.str();
    CheckServices(place, {model.service}, "service");
    auto service = services_.find(model.service);
    if (service == services_.end()) return;
    Forbid(service->second->kind == ServiceKind::kModel, place, "service",
           "is a plain service");
    for (const ZoneId& zone : model.zones) CheckZone(place, "zones", zone);
    for (const ZoneId& zone : ZonesOf(model)) {
      int servers = servers_[{model.service, zone}];
      if (servers >= model.min_servers) continue;
      Note(
          place, "min_servers", Code::kContradiction,
          absl::StrCat("min_servers ", model.min_servers, ": zone ", zone.str(),
                       " has ", servers, " servers of ", model.service.str()));
    }
  }

  // Without a list, a model is wanted wherever its service has servers.
  std::vector<ZoneId> ZonesOf(const ModelConfig& model) const {
    if (!model.zones.empty()) return model.zones;
    std::vector<ZoneId> zones;
    for (const ZonePowerConfig& zone : configuration_.zones) {
      if (servers_.contains({model.service, zone.zone})) {
        zones.push_back(zone.zone);
      }
    }
    return zones;
  }

  void CheckWorkspace(const WorkspaceConfig& workspace) {
    std::string place = "workspace " + workspace.limits.id.str();
    CheckToken(place, workspace);
    CheckServices(place, workspace.services);
    CheckTierOf(place, workspace);
    CheckModelsOf(place, workspace);
  }

  // With one token for two workspaces, one would act for the other. The text
  // of a token appears in no message.
  void CheckToken(const std::string& place, const WorkspaceConfig& workspace) {
    if (workspace.token.empty()) return;
    if (workspace.token.size() < kMinTokenBytes) {
      Note(place, "token", Code::kOutOfRange,
           absl::StrCat("token must have at least ", kMinTokenBytes, " bytes"));
    }
    auto [other, fresh] = tokens_.emplace(workspace.token, place);
    if (fresh) return;
    Note(place, "token", Code::kContradiction,
         "token is that of " + other->second);
  }

  void CheckTierOf(const std::string& place, const WorkspaceConfig& workspace) {
    if (workspace.tier.empty()) return;
    auto tier = tiers_.find(workspace.tier);
    if (tier == tiers_.end()) {
      return Note(place, "tier", Code::kContradiction,
                  "tier " + workspace.tier + " is not described");
    }
    const std::vector<ServiceId>& open = tier->second->services;
    if (open.empty()) return;
    for (const ServiceId& service : workspace.services) {
      if (std::find(open.begin(), open.end(), service) != open.end()) continue;
      Note(place, "services", Code::kContradiction,
           absl::StrCat("services: tier ", workspace.tier, " has no ",
                        service.str()));
    }
  }

  void CheckModelsOf(const std::string& place,
                     const WorkspaceConfig& workspace) {
    for (const ModelId& id : workspace.models) {
      auto model = models_.find(id);
      if (model == models_.end()) {
        Note(place, "models", Code::kContradiction,
             "models: " + id.str() + " is not described");
        continue;
      }
      if (HasService(workspace, model->second->service)) continue;
      Note(place, "models", Code::kContradiction,
           absl::StrCat("models: ", id.str(), " belongs to ",
                        model->second->service.str(),
                        ", which is not in services"));
    }
    for (const ServiceId& service : workspace.services) {
      CheckHasModelOf(place, workspace, service);
    }
  }

  static bool HasService(const WorkspaceConfig& workspace,
                         const ServiceId& service) {
    const std::vector<ServiceId>& services = workspace.services;
    return std::find(services.begin(), services.end(), service) !=
           services.end();
  }

  // A workspace that may use a service but none of its models would find every
  // call refused.
  void CheckHasModelOf(const std::string& place,
                       const WorkspaceConfig& workspace, const ServiceId& id) {
    auto service = services_.find(id);
    if (service == services_.end()) return;
    if (service->second->kind == ServiceKind::kPlain) return;
    for (const ModelId& model_id : workspace.models) {
      auto model = models_.find(model_id);
      if (model != models_.end() && model->second->service == id) return;
    }
    Note(place, "models", Code::kMissingSetting,
         "models has none of " + id.str());
  }

  void CheckServer(const ServerConfig& server) {
    std::string place = "server " + server.spec.id.str();
    CheckServices(place, {server.service}, "service");
    CheckZone(place, "zone", server.zone);
    CheckServerAddress(place, server);
    auto service = services_.find(server.service);
    if (service == services_.end()) return;
    if (service->second->kind == ServiceKind::kPlain) {
      return Forbid(server.spec.models.empty(), place, "models",
                    "is for model services");
    }
    CheckEngine(place, server.spec);
    for (const ModelId& id : server.spec.models) {
      auto model = models_.find(id);
      if (model != models_.end() && model->second->service == server.service) {
        continue;
      }
      Note(place, "models", Code::kContradiction,
           absl::StrCat("models: ", id.str(), " is not a model of ",
                        server.service.str()));
    }
  }

  // The dispatcher estimates from these figures; without them it could promise
  // no deadline.
  void CheckEngine(const std::string& place, const schedule::ServerSpec& spec) {
    RequireFigure(spec.prefill_tokens_per_second > 0, place, "prefill_speed");
    RequireFigure(spec.decode_tokens_per_second > 0, place, "decode_speed");
    RequireFigure(spec.kv_tokens > 0, place, "kv_tokens");
  }

  void RequireFigure(bool there, const std::string& place,
                     const std::string& key) {
    if (there) return;
    Note(place, key, Code::kMissingSetting,
         key + " is missing in a server of a model service");
  }

  void CheckServerAddress(const std::string& place,
                          const ServerConfig& server) {
    if (server.address.starts_with(':')) return;
    if (server.address.ends_with(":0")) {
      Note(place, "address", Code::kOutOfRange, "address has no port");
    }
    auto [other, fresh] = addresses_.emplace(server.address, place);
    if (fresh) return;
    Note(place, "address", Code::kContradiction,
         "address is that of " + other->second);
  }

  void CheckServices(const std::string& place,
                     const std::vector<ServiceId>& services,
                     const std::string& key = "services") {
    for (const ServiceId& service : services) {
      if (service.empty() || services_.contains(service)) continue;
      Note(place, key, Code::kContradiction,
           absl::StrCat(key, ": ", service.str(), " is not described"));
    }
  }

  void CheckZone(const std::string& place, const std::string& key,
                 const ZoneId& zone) {
    if (zone.empty()) return;
    for (const ZonePowerConfig& known : configuration_.zones) {
      if (known.zone == zone) return;
    }
    Note(place, key, Code::kContradiction,
         absl::StrCat(key, ": ", zone.str(), " is not described"));
  }

  void Forbid(bool good, const std::string& place, const std::string& key,
              std::string_view text) {
    if (good) return;
    Note(place, key, Code::kContradiction,
         absl::StrCat(key, " ", std::string(text)));
  }

  void Note(const std::string& place, std::string_view key, Code code,
            std::string text) {
    problems_->push_back(
        {document_.file, Line(place, key), code, std::move(text)});
  }

  int Line(const std::string& place, std::string_view key) const {
    auto found = sections_.find(place);
    if (found == sections_.end()) return 0;
    for (const settings::Entry& entry : found->second->entries) {
      if (entry.key == key) return entry.line;
    }
    return found->second->line;
  }

  const settings::Document& document_;
  const Configuration& configuration_;
  settings::Problems* problems_;
  absl::flat_hash_map<std::string, const settings::Section*> sections_;
  absl::flat_hash_map<ServiceId, const ServiceConfig*> services_;
  absl::flat_hash_map<ModelId, const ModelConfig*> models_;
  absl::flat_hash_map<std::string, const TierConfig*> tiers_;
  absl::flat_hash_map<std::pair<ServiceId, ZoneId>, int> servers_;
  absl::flat_hash_map<ZoneId, double> idle_watts_;
  absl::flat_hash_map<std::string, std::string> tokens_;
  absl::flat_hash_map<std::string, std::string> addresses_;
};

}  // namespace

void CheckIntent(const settings::Document& document,
                 const Configuration& configuration,
                 settings::Problems* problems) {
  Checker(document, configuration, problems).Run();
}

}  // namespace gentianlb::config
