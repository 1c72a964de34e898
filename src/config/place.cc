#include "config/place.h"

#include <algorithm>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace gentianlb::config {
namespace {

bool Holds(const ServerConfig& server, const ModelId& model) {
  const std::vector<ModelId>& models = server.spec.models;
  return std::find(models.begin(), models.end(), model) != models.end();
}

class Placement {
 public:
  Placement(const Configuration& base, Configuration* wanted)
      : wanted_(*wanted) {
    for (ServerConfig& server : wanted_.servers) {
      if (server.spec.models.empty()) open_.push_back(&server);
    }
    for (const ServerConfig& server : base.servers) {
      base_.emplace(server.spec.id, &server);
    }
  }

  void Run() {
    for (ServerConfig* server : open_) Keep(server);
    for (const ModelConfig& model : wanted_.models) {
      for (const ZonePowerConfig& zone : wanted_.zones) {
        if (WantedIn(model, zone.zone)) Fill(model, zone.zone);
      }
    }
    for (ServerConfig* server : open_) {
      std::sort(server->spec.models.begin(), server->spec.models.end());
    }
  }

 private:
  // What it holds already and the intent still knows.
  void Keep(ServerConfig* server) {
    auto before = base_.find(server->spec.id);
    if (before == base_.end()) return;
    for (const ModelConfig& model : wanted_.models) {
      if (model.service != server->service) continue;
      if (Holds(*before->second, model.id)) {
        server->spec.models.push_back(model.id);
      }
    }
  }

  static bool WantedIn(const ModelConfig& model, const ZoneId& zone) {
    return model.zones.empty() ||
           std::find(model.zones.begin(), model.zones.end(), zone) !=
               model.zones.end();
  }

  void Fill(const ModelConfig& model, const ZoneId& zone) {
    auto holders =
        std::count_if(wanted_.servers.begin(), wanted_.servers.end(),
                      [&](const ServerConfig& server) {
                        return server.zone == zone && Holds(server, model.id);
                      });
    for (; holders < model.min_servers; ++holders) {
      ServerConfig* server = FewestModels(model, zone);
      if (server == nullptr) return;
      server->spec.models.push_back(model.id);
    }
  }

  // The first by name among equals; none when all hold the model.
  ServerConfig* FewestModels(const ModelConfig& model, const ZoneId& zone) {
    ServerConfig* best = nullptr;
    for (ServerConfig* server : open_) {
      bool fits = server->zone == zone && server->service == model.service;
      if (!fits || Holds(*server, model.id)) continue;
      if (best == nullptr ||
          server->spec.models.size() < best->spec.models.size()) {
        best = server;
      }
    }
    return best;
  }

  Configuration& wanted_;
  std::vector<ServerConfig*> open_;  // Sorted by name.
  absl::flat_hash_map<ServerId, const ServerConfig*> base_;
};

}  // namespace

void PlaceModels(const Configuration& base, Configuration* wanted) {
  Placement(base, wanted).Run();
}

}  // namespace gentianlb::config
