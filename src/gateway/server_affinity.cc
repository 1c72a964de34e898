#include "gateway/server_affinity.h"

#include <algorithm>
#include <string>

#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {
namespace {

// Up to this number, each host causes and therefore knows a large part of the
// load. It is enough that to each host some servers seem a little slower than
// they are; with near and far servers, requests would wait while servers are
// idle.
constexpr int kSmallFleetHosts = 20;
constexpr double kSmallFleetSpread = 0.25;

// With more hosts, many choose a server at once before they learn of each
// other's requests. So each server is near to a few hosts, which prefer it, and
// far from all others, each of which prefers different servers.
constexpr double kNearHostsPerServer = 4;
// In a service with few servers, each host is near to two of them, and servers
// have more near hosts.
constexpr double kNearServersPerHost = 2;
// A far server is chosen when near ones would take 4 to 16 times as long.
constexpr double kFarCostFactor = 4;
constexpr double kFarCostSpread = 3;
// Expected number of hosts that choose a server at the same time. Some of its
// few near hosts have no requests then; its many far hosts prefer other
// servers.
constexpr double kNearCompetitors = 2;
constexpr double kFarCompetitors = 8;

}  // namespace

ServerAffinity AffinityFor(const EntryHostId& host, const ServerId& server,
                           std::size_t servers, int hosts) {
  const std::string pair_name = host.str() + '/' + server.str();
  const double hash = HashName(pair_name) / 4294967296.0;
  if (hosts <= 1) return {};  // No other host chooses servers.
  if (hosts <= kSmallFleetHosts) return {1 + kSmallFleetSpread * hash, 0};
  const double near_fraction =
      std::max(kNearHostsPerServer / hosts,
               kNearServersPerHost / static_cast<double>(servers));
  if (hash < near_fraction) return {1, kNearCompetitors};
  return {kFarCostFactor * (1 + kFarCostSpread * hash), kFarCompetitors};
}

}  // namespace gentianlb::gateway
