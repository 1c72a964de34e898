#include "power/shares.h"

#include <algorithm>
#include <map>
#include <utility>

namespace gentianlb::power {
namespace {

struct Draw {
  double idle = 0;
  double full = 0;
};

using Key = std::pair<ServiceId, ZoneId>;

std::map<Key, Draw> DrawByDomain(const config::Configuration& configuration) {
  std::map<Key, Draw> draws;
  for (const auto& server : configuration.servers) {
    Draw& draw = draws[{server.service, server.zone}];
    draw.idle += server.spec.power.idle_watts;
    draw.full += FullDraw(server.spec);
  }
  return draws;
}

// What each zone may draw: floors first, then the rest by unmet full draw.
std::map<ZoneId, double> ShareZones(const config::Configuration& configuration,
                                    const std::map<ZoneId, Draw>& zones) {
  std::map<ZoneId, double> floors;
  double floor_sum = 0;
  for (const auto& zone : configuration.zones) {
    auto found = zones.find(zone.zone);
    if (found == zones.end()) continue;
    double floor = std::min(zone.floor_watts, found->second.full);
    floors[zone.zone] = floor;
    floor_sum += floor;
  }
  // Floors that together exceed the cap shrink alike: the cap is the hard one.
  double cap = configuration.power_cap_watts;
  double scale = floor_sum > cap ? cap / floor_sum : 1;
  double rest = std::max(0.0, cap - floor_sum);
  double unmet_sum = 0;
  for (const auto& [zone, draw] : zones) unmet_sum += draw.full - floors[zone];
  double part = unmet_sum > 0 ? std::min(1.0, rest / unmet_sum) : 0;
  std::map<ZoneId, double> shares;
  for (const auto& [zone, draw] : zones) {
    double floor = floors[zone];
    shares[zone] = floor * scale + (draw.full - floor) * part;
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
  std::map<Key, Draw> domains = DrawByDomain(configuration);
  std::map<ZoneId, Draw> zones;
  for (const auto& [key, draw] : domains) {
    zones[key.second].idle += draw.idle;
    zones[key.second].full += draw.full;
  }
  std::map<ZoneId, double> zone_watts = ShareZones(configuration, zones);
  std::vector<Share> shares;
  for (const auto& [key, draw] : domains) {
    const Draw& zone = zones[key.second];
    double watts = zone_watts[key.second];
    // Idle servers draw whatever is granted, so their watts come first.
    double above_idle = std::max(0.0, watts - zone.idle);
    double swing = zone.full - zone.idle;
    double part = swing > 0 ? (draw.full - draw.idle) / swing : 0;
    double idle = std::min(1.0, watts / std::max(zone.idle, 1e-9)) * draw.idle;
    shares.push_back({key.first, key.second, idle + above_idle * part});
  }
  return shares;
}

}  // namespace gentianlb::power
