#include "gateway/version_pools.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {
namespace {

// Servers differ in speed, and one may crash.
constexpr std::size_t kMinSelected = 4;

}  // namespace

ServiceId NewPoolId(const ServiceId& service, const std::string& target) {
  return ServiceId(absl::StrCat(service.str(), "@", target));
}

VersionSplit KnownVersions::Split(const std::vector<ServerEntry>& servers,
                                  const std::string& target) {
  VersionSplit split;
  std::set<std::string> others;
  bool any_known = false;
  for (const ServerEntry& server : servers) {
    const bool is_target = !target.empty() && server.version == target;
    if (is_target) {
      split.new_servers.push_back(server);
      continue;
    }
    others.insert(server.version);
    any_known |= versions_.contains(server.version);
  }
  // The first versions that this host sees, or all that is left.
  const bool replaces_known = allows_all_ || !any_known;
  if (replaces_known && !others.empty()) versions_ = others;
  for (const ServerEntry& server : servers) {
    const bool is_target = !target.empty() && server.version == target;
    if (is_target || !versions_.contains(server.version)) continue;
    split.old_servers.push_back(server);
  }
  return split;
}

std::vector<ServerEntry> SelectServers(std::vector<ServerEntry> servers,
                                       double share) {
  const auto by_hash = [](const ServerEntry& a, const ServerEntry& b) {
    const NameHash hash_a = HashName(a.id.str());
    const NameHash hash_b = HashName(b.id.str());
    return hash_a != hash_b ? hash_a < hash_b : a.id < b.id;
  };
  const double wanted = std::ceil(share * static_cast<double>(servers.size()));
  const std::size_t count =
      std::max(kMinSelected, static_cast<std::size_t>(wanted));
  if (share <= 0) return {};
  if (count >= servers.size()) return servers;
  std::sort(servers.begin(), servers.end(), by_hash);
  servers.resize(count);
  std::sort(
      servers.begin(), servers.end(),
      [](const ServerEntry& a, const ServerEntry& b) { return a.id < b.id; });
  return servers;
}

}  // namespace gentianlb::gateway
