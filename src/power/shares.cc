#include "power/shares.h"

#include <algorithm>
#include <map>
#include <utility>

namespace gentianlb::power {
namespace {

// The sums of the idle and full draw of some servers, in watts.
struct PowerDraw {
  double idle = 0;
  double full = 0;
};

using Key = std::pair<ServiceId, ZoneId>;

std::map<Key, PowerDraw> PowerDrawByDomain(
    const config::Configuration& configuration) {
  std::map<Key, PowerDraw> draws;
  for (const auto& server : configuration.servers) {
    PowerDraw& draw = draws[{server.service, server.zone}];
    draw.idle += server.spec.power.idle_watts;
    draw.full += FullDraw(server.spec);
  }
  return draws;
}

// Returns the watts of each zone: first the floors, then the remaining watts in
// proportion to the full draw above the floor.
std::map<ZoneId, double> DivideAmongZones(
    const config::Configuration& configuration,
    const std::map<ZoneId, PowerDraw>& zones) {
  std::map<ZoneId, double> floors;
  double total_floor = 0;
  for (const auto& zone : configuration.zones) {
    auto found = zones.find(zone.zone);
    if (found == zones.end()) continue;
    double floor = std::min(zone.floor_watts, found->second.full);
    floors[zone.zone] = floor;
    total_floor += floor;
  }
  // The cap is the hard limit: floors whose sum exceeds it are scaled down.
  double cap = configuration.power_cap_watts;
  double scale = total_floor > cap ? cap / total_floor : 1;
  double remaining = std::max(0.0, cap - total_floor);
  double unmet = 0;
  for (const auto& [zone, draw] : zones) unmet += draw.full - floors[zone];
  double fraction = unmet > 0 ? std::min(1.0, remaining / unmet) : 0;
  std::map<ZoneId, double> shares;
  for (const auto& [zone, draw] : zones) {
    double floor = floors[zone];
    shares[zone] = floor * scale + (draw.full - floor) * fraction;
  }
  return shares;
}

}  // namespace

double FullDraw(const schedule::ServerSpec& spec) {
  return spec.power.idle_watts +
         spec.power.watts_per_stream * spec.max_streams +
         spec.power.joules_per_prefill_token * spec.prefill_tokens_per_second;
}

std::vector<Share> DivideCap(const config::Configuration& configuration) {
  std::map<Key, PowerDraw> domains = PowerDrawByDomain(configuration);
  std::map<ZoneId, PowerDraw> zones;
  for (const auto& [key, draw] : domains) {
    zones[key.second].idle += draw.idle;
    zones[key.second].full += draw.full;
  }
  std::map<ZoneId, double> zone_watts = DivideAmongZones(configuration, zones);
  std::vector<Share> shares;
  for (const auto& [key, draw] : domains) {
    const PowerDraw& zone = zones[key.second];
    double watts = zone_watts[key.second];
    // Idle servers draw their watts whatever is granted, so these come first.
    double above_idle = std::max(0.0, watts - zone.idle);
    double range = zone.full - zone.idle;
    double fraction = range > 0 ? (draw.full - draw.idle) / range : 0;
    double idle = std::min(1.0, watts / std::max(zone.idle, 1e-9)) * draw.idle;
    shares.push_back({key.first, key.second, idle + above_idle * fraction});
  }
  return shares;
}

}  // namespace gentianlb::power
