#include "entry/config_index.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace gentianlb::entry {
namespace {

std::uint64_t HashToken(std::string_view token) {
  return XXH3_64bits(token.data(), token.size());
}

// The element of `list` whose `field` equals `wanted`, or null.
template <typename List, typename Field, typename Wanted>
auto* FindBy(const List& list, Field field, const Wanted& wanted) {
  auto found = std::find_if(list.begin(), list.end(), [&](const auto& element) {
    return element.*field == wanted;
  });
  return found == list.end() ? nullptr : &*found;
}

}  // namespace

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  unsigned difference = 0;
  for (std::size_t i = 0; i < a.size(); ++i) {
    difference |= static_cast<unsigned char>(a[i] ^ b[i]);
  }
  return difference == 0;
}

ConfigIndex::ConfigIndex(config::Configuration configuration)
    : configuration_(std::move(configuration)) {
  const auto& workspaces = configuration_.workspaces;
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    workspace_by_hash_[HashToken(workspaces[i].token)].push_back(
        static_cast<int>(i));
  }
  const auto& servers = configuration_.servers;
  for (std::size_t i = 0; i < servers.size(); ++i) {
    server_by_id_[servers[i].spec.id] = static_cast<int>(i);
  }
}

const config::WorkspaceConfig* ConfigIndex::WorkspaceByToken(
    std::string_view token) const {
  auto found = workspace_by_hash_.find(HashToken(token));
  if (found == workspace_by_hash_.end()) return nullptr;
  for (int i : found->second) {
    const auto& workspace = configuration_.workspaces[i];
    if (EqualInConstantTime(workspace.token, token)) return &workspace;
  }
  return nullptr;
}

const config::TierConfig* ConfigIndex::TierByName(std::string_view name) const {
  return FindBy(configuration_.tiers, &config::TierConfig::name, name);
}

const config::ServiceConfig* ConfigIndex::Service(const ServiceId& id) const {
  return FindBy(configuration_.services, &config::ServiceConfig::id, id);
}

const config::ServerConfig* ConfigIndex::Server(const ServerId& id) const {
  auto found = server_by_id_.find(id);
  if (found == server_by_id_.end()) return nullptr;
  return &configuration_.servers[found->second];
}

const config::ModelConfig* ConfigIndex::Model(const ModelId& id) const {
  return FindBy(configuration_.models, &config::ModelConfig::id, id);
}

const config::ServiceConfig* ConfigIndex::ServiceByPath(
    std::string_view path) const {
  const config::ServiceConfig* best = nullptr;
  for (const auto& service : configuration_.services) {
    if (service.kind != config::ServiceKind::kPlain) continue;
    if (!path.starts_with(service.path_prefix)) continue;
    if (best != nullptr &&
        best->path_prefix.size() >= service.path_prefix.size()) {
      continue;
    }
    best = &service;
  }
  return best;
}

std::vector<schedule::ServerSpec> ConfigIndex::Servers(
    const ServiceId& service, const ZoneId& zone) const {
  std::vector<schedule::ServerSpec> specs;
  for (const auto& server : configuration_.servers) {
    if (server.service == service && server.zone == zone) {
      specs.push_back(server.spec);
    }
  }
  return specs;
}

std::vector<std::pair<ServiceId, ZoneId>> ConfigIndex::Domains() const {
  std::set<std::pair<ServiceId, ZoneId>> domains;
  for (const auto& server : configuration_.servers) {
    domains.emplace(server.service, server.zone);
  }
  return {domains.begin(), domains.end()};
}

}  // namespace gentianlb::entry
