#include "gateway/rollout_evidence.h"

#include <algorithm>
#include <cmath>

namespace gentianlb::gateway {
namespace {

// Shorter durations are all the same for a caller.
constexpr absl::Duration kMinDuration = absl::Milliseconds(1);

}  // namespace

void LatencySums::Add(absl::Duration duration) {
  const double log =
      std::log(absl::ToDoubleSeconds(std::max(duration, kMinDuration)));
  ++count;
  logs += log;
  squares += log * log;
}

LatencySums& LatencySums::operator+=(const LatencySums& other) {
  count += other.count;
  logs += other.logs;
  squares += other.squares;
  return *this;
}

RouteEvidence& RouteEvidence::operator+=(const RouteEvidence& other) {
  answered += other.answered;
  failed += other.failed;
  broken += other.broken;
  first += other.first;
  pace += other.pace;
  return *this;
}

void AddEvidence(const RouteEvidence& item, std::vector<RouteEvidence>* sums) {
  for (RouteEvidence& sum : *sums) {
    if (sum.route != item.route || sum.is_new != item.is_new) continue;
    sum += item;
    return;
  }
  sums->push_back(item);
}

void MergeReport(const RolloutReport& report,
                 std::vector<RolloutReport>* merged) {
  for (RolloutReport& sum : *merged) {
    if (sum.service != report.service || sum.order != report.order) continue;
    sum.hosts = static_cast<std::uint16_t>(sum.hosts + report.hosts);
    sum.stage = std::min(sum.stage, report.stage);
    sum.open_old += report.open_old;
    for (const RouteEvidence& item : report.evidence) {
      AddEvidence(item, &sum.evidence);
    }
    return;
  }
  merged->push_back(report);
}

}  // namespace gentianlb::gateway
