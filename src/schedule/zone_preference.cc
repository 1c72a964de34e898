#include "schedule/zone_preference.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// A server of the request's own zone is preferred if its score is at most this
// fraction worse.
constexpr double kMaxFractionOfScore = 0.25;

}  // namespace

double ZonePreference::CrossingSeconds(const ZoneId& request,
                                       const ZoneId& server,
                                       double score) const {
  if (!enabled() || request.empty() || server.empty()) return 0;
  if (request == server) return 0;
  return std::min(cost_seconds_, kMaxFractionOfScore * score);
}

}  // namespace gentianlb::schedule
