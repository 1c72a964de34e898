#include "gateway/server_affinity.h"

#include <algorithm>
#include <string>

#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {
namespace {

// Up to this many hosts each see a good part of what goes on. It is enough that
// each finds some servers a little slower than they are; with near and far
// servers, as below, requests would wait for room that there is.
constexpr int kMaxHostsWithoutAffinity = 20;
constexpr double kSmallFleetCostSpread = 0.25;

// With more hosts, many choose at once before they hear of each other. So each
// server is near to a few hosts, which use it first, and far from all others,
// each with favourites of its own.
constexpr double kNearHostsPerServer = 4;
// A service with few servers has more: each host is near to two of them.
constexpr double kNearServersPerHost = 2;
// A far server is asked when the near ones would take four times as long, or
// up to sixteen.
constexpr double kFarCostFactor = 4;
constexpr double kFarCostSpread = 3;
// Of the few hosts that a server is near to, some have nothing to send when
// this one has; of the many others, each has other favourites.
constexpr double kNearCompetitors = 2;
constexpr double kFarCompetitors = 8;

}  // namespace

ServerAffinity AffinityFor(const EntryHostId& host, const ServerId& server,
                           std::size_t servers, int hosts) {
  const std::string pair_name = host.str() + '/' + server.str();
  const double hash = HashName(pair_name) / 4294967296.0;
  if (hosts <= 1) return {};  // Nobody else chooses.
  if (hosts <= kMaxHostsWithoutAffinity)
    return {1 + kSmallFleetCostSpread * hash, 0};
  const double near_fraction =
      std::max(kNearHostsPerServer / hosts,
               kNearServersPerHost / static_cast<double>(servers));
  if (hash < near_fraction) return {1, kNearCompetitors};
  return {kFarCostFactor * (1 + kFarCostSpread * hash), kFarCompetitors};
}

}  // namespace gentianlb::gateway
