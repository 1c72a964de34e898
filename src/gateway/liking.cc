#include "gateway/liking.h"

#include <algorithm>
#include <string>

#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {
namespace {

// Up to this many hosts each see a good part of what goes on. It is enough that
// each finds some servers a little slower than they are; with near and far
// servers, as below, requests would wait for room that there is.
constexpr int kFewHosts = 20;
constexpr double kMildReluctance = 0.25;

// With more hosts, many choose at once before they hear of each other. So each
// server is near to a few hosts, which use it first, and far from all others,
// each with favourites of its own.
constexpr double kNearHosts = 4;
// A service with few servers has more: each host is near to two of them.
constexpr double kNearServers = 2;
// A far server is asked when the near ones would take four times as long, or
// up to sixteen.
constexpr double kFar = 4;
constexpr double kFarSpread = 3;
// Of the few hosts that a server is near to, some have nothing to send when
// this one has; of the many others, each has other favourites.
constexpr double kAlikeNear = 2;
constexpr double kAlikeFar = 8;

}  // namespace

Liking LikingFor(const EntryHostId& host, const ServerId& server,
                 std::size_t servers, int hosts) {
  const std::string both = host.str() + '/' + server.str();
  const double draw = HashName(both) / 4294967296.0;
  if (hosts <= 1) return {};  // Nobody else chooses.
  if (hosts <= kFewHosts) return {1 + kMildReluctance * draw, 0};
  const double near_part =
      std::max(kNearHosts / hosts, kNearServers / static_cast<double>(servers));
  if (draw < near_part) return {1, kAlikeNear};
  return {kFar * (1 + kFarSpread * draw), kAlikeFar};
}

}  // namespace gentianlb::gateway
