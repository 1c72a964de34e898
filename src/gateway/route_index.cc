#include "gateway/route_index.h"

#include <algorithm>
#include <utility>

namespace gentianlb::gateway {
namespace {

std::string RouteKey(std::string_view host, std::string_view prefix) {
  std::string key;
  key.reserve(host.size() + 1 + prefix.size());
  key.append(host).push_back('\0');
  key.append(prefix);
  return key;
}

}  // namespace

RouteIndex::RouteIndex(Configuration configuration)
    : configuration_(std::move(configuration)) {
  for (const Route& route : configuration_.routes) {
    routes_.emplace(RouteKey(route.host, route.prefix), &route);
  }
  for (const Workspace& workspace : configuration_.workspaces) {
    for (const std::string& key : workspace.keys) {
      workspaces_.emplace(key, &workspace);
    }
  }
  for (const Service& service : configuration_.services) {
    services_.emplace(service.id, &service);
  }
}

const Route* RouteIndex::FindRoute(std::string_view host,
                                   std::string_view path) const {
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found = routes_.find(RouteKey(host, path.substr(0, slash + 1)));
    if (found != routes_.end()) return found->second;
    if (slash == 0) break;
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

const Workspace* RouteIndex::FindWorkspace(std::string_view key) const {
  const auto found = workspaces_.find(std::string(key));
  return found == workspaces_.end() ? nullptr : found->second;
}

const Service* RouteIndex::FindService(const ServiceId& id) const {
  const auto found = services_.find(id);
  return found == services_.end() ? nullptr : found->second;
}

Tier TierOf(const Route& route, const Workspace* workspace) {
  // Operators configure only a few ranks.
  constexpr int kMaxRanks = 16;
  const int route_rank = std::clamp(route.tier.rank, 0, kMaxRanks - 1);
  const bool has_workspace_tier = workspace != nullptr && workspace->tier;
  const int workspace_rank =
      has_workspace_tier ? std::max(0, workspace->tier->rank) : 0;
  return Tier{workspace_rank * kMaxRanks + route_rank};
}

const ServiceId& ChooseService(const Route& route, std::uint64_t hash) {
  double total = 0;
  for (const ServiceShare& share : route.services) total += share.weight;
  // Turns the upper 53 bits into a number in [0, 1).
  double remaining = total * static_cast<double>(hash >> 11) * 0x1.0p-53;
  for (const ServiceShare& share : route.services) {
    if (remaining < share.weight) return share.service;
    remaining -= share.weight;
  }
  return route.services.back().service;
}

}  // namespace gentianlb::gateway
