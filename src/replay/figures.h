// What a replay measures, as plain values.

#ifndef GENTIANLB_REPLAY_FIGURES_H_
#define GENTIANLB_REPLAY_FIGURES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "base/result.h"

namespace gentianlb::replay {

// What became of one tier's requests. Each request offered ends in exactly one
// of the six ways.
struct TierFigures {
  Tier tier;
  int offered = 0;
  int in_time = 0;
  int late = 0;       // Finished, but after the deadline.
  int refused = 0;    // Never run.
  int cancelled = 0;  // Stopped by the policy while it ran.
  int broken = 0;     // Its server died.
  int abandoned = 0;  // The caller went away.
  // Refused for room or power while a lower tier's request was waiting.
  int inversions = 0;
  // Cancelled for room or power while a lower tier's request was running.
  int cancel_inversions = 0;
  // Refused as out of time while a lower tier's request was waiting, though an
  // idle server would have made it.
  int doubtful_refusals = 0;
  absl::Duration first_token_median;
  absl::Duration first_token_p99;
  double fairness = 1;        // Jain's index over workspaces.
  std::map<Code, int> codes;  // Of refusals and cancels by the policy.
  bool operator==(const TierFigures&) const = default;
};

// Prompt tokens that servers computed, and those thrown away, by cause. A token
// counts under one cause only.
struct PrefillFigures {
  double computed = 0;
  double cancelled = 0;  // Of requests cancelled or abandoned.
  double broken = 0;     // Of requests whose server died.
  double late = 0;       // Of requests finished after their deadline.
  double evicted = 0;    // Computed before, and held by no server any more.
  double misplaced = 0;  // Held by another server at that moment.
  double wasted() const {
    return cancelled + broken + late + evicted + misplaced;
  }
  bool operator==(const PrefillFigures&) const = default;
};

// The upper bound of a service's requests in time (bound.h).
struct BoundFigures {
  // By tier, when each higher tier first gets all that it can.
  std::vector<double> by_tier;
  double tiers_total = 0;  // Sum of the above.
  double total = 0;        // When tiers do not count.
  bool operator==(const BoundFigures&) const = default;
};

struct ServiceFigures {
  ServiceId service;
  std::vector<TierFigures> tiers;
  PrefillFigures prefill;
  double peak_watts = 0;
  double mean_watts = 0;  // From the first arrival to the last end.
  double lowest_cap_watts = 0;
  double watts_above_cap = 0;  // The worst moment; 0 when never above.
  std::int64_t events = 0;
  std::int64_t decisions = 0;
  double ns_per_decision = 0;   // By the machine's clock; differs each run.
  std::uint64_t signature = 0;  // Over all decisions and their times.
  BoundFigures bound;
  bool operator==(const ServiceFigures&) const = default;
};

struct ReplayFigures {
  std::string deployment;
  std::string note;
  std::string policy;
  std::vector<ServiceFigures> services;
  bool operator==(const ReplayFigures&) const = default;
};

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_FIGURES_H_
