#include "gateway/rollout_judge.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace gentianlb::gateway {
namespace {

constexpr std::uint32_t kAllRoutes = 0;

// Time constants in which answers lose their weight: for the failure rate of
// the old servers, and for durations, where a version may turn slow late.
constexpr absl::Duration kRateMemory = absl::Seconds(10);
constexpr absl::Duration kLatencyMemory = absl::Milliseconds(1500);

// The failure rates of a sound and a bad version, from the rate of the old
// servers. The margin covers servers that fail for reasons of their own: few
// new servers are in use at first, so that one of them weighs much.
struct RateModel {
  double old_factor;
  double margin;  // Sound: old rate times factor, plus this.
  double excess;  // Bad: this much more.
  double alarm;   // Logarithm of the likelihood ratio.
};
constexpr RateModel kFailures = {2, 0.03, 0.15, 6};
// One server that crashes breaks all of its requests at once.
constexpr RateModel kBroken = {2, 0.15, 0.25, 10};
constexpr double kMaxSoundRate = 0.5;

// A version is slow if its durations are this many times those of the old one.
constexpr double kSlowFactor = 2.7;
// Needed distance from no difference, in standard errors. These are widened,
// as answers of the same server are alike.
constexpr double kSlowErrors = 4;
constexpr double kVarianceFactor = 2.5;
constexpr double kMinNewDurations = 8;
constexpr double kMinOldDurations = 20;
constexpr double kMinVariance = 0.05;

// Part of what makes a version bad from which it is suspect.
constexpr double kSuspectStrength = 0.6;

// Returns how much the likelihood ratio of bad to sound changes, as a
// logarithm.
double LogLikelihood(const RateModel& model, double old_rate, double hits,
                     double misses) {
  const double sound =
      std::min(kMaxSoundRate, model.old_factor * old_rate + model.margin);
  const double bad = sound + model.excess;
  return hits * std::log(bad / sound) +
         misses * std::log((1 - bad) / (1 - sound));
}

double RateOf(double part, double whole) {
  return whole <= 0 ? 0 : part / whole;
}

// Returns nullopt if any count has shrunk.
std::optional<RouteEvidence> GrowthOf(const RouteEvidence& before,
                                      const RouteEvidence& after) {
  const bool shrunk =
      after.answered < before.answered || after.failed < before.failed ||
      after.broken < before.broken || after.first.count < before.first.count ||
      after.pace.count < before.pace.count;
  if (shrunk) return std::nullopt;
  const auto subtract = [](const LatencySums& a, const LatencySums& b) {
    return LatencySums{a.count - b.count, a.logs - b.logs,
                       a.squares - b.squares};
  };
  RouteEvidence growth = after;
  growth.answered -= before.answered;
  growth.failed -= before.failed;
  growth.broken -= before.broken;
  growth.first = subtract(after.first, before.first);
  growth.pace = subtract(after.pace, before.pace);
  return growth;
}

template <typename Logs>
double VarianceOf(const Logs& logs) {
  const double mean = logs.sum / logs.count;
  return std::max(kMinVariance, logs.squares / logs.count - mean * mean);
}

// The difference of the mean logarithms of new and old durations.
struct Difference {
  double mean = 0;
  double variance = 0;
};

template <typename Logs>
std::optional<Difference> Compare(const Logs& old_logs, const Logs& new_logs) {
  if (old_logs.count < kMinOldDurations) return std::nullopt;
  if (new_logs.count < kMinNewDurations) return std::nullopt;
  Difference difference;
  difference.mean =
      new_logs.sum / new_logs.count - old_logs.sum / old_logs.count;
  difference.variance =
      kVarianceFactor * (VarianceOf(old_logs) / old_logs.count +
                         VarianceOf(new_logs) / new_logs.count);
  return difference;
}

// Returns the strength of the sign that a version is slow.
double SlownessOf(const Difference& difference) {
  const double errors = difference.mean / std::sqrt(difference.variance);
  return std::min(difference.mean / std::log(kSlowFactor),
                  errors / kSlowErrors);
}

}  // namespace

void RolloutJudge::Fade(Recent* recent, double answers, double latencies) {
  recent->answers *= answers;
  recent->failed *= answers;
  recent->broken *= answers;
  for (Recent::Logs* logs : {&recent->first, &recent->pace}) {
    logs->count *= latencies;
    logs->sum *= latencies;
    logs->squares *= latencies;
  }
}

void RolloutJudge::Add(const RouteEvidence& growth, Recent* recent) {
  recent->answers += growth.answered + growth.failed + growth.broken;
  recent->failed += growth.failed;
  recent->broken += growth.broken;
  const auto add = [](const LatencySums& sums, Recent::Logs* logs) {
    logs->count += sums.count;
    logs->sum += sums.logs;
    logs->squares += sums.squares;
  };
  add(growth.first, &recent->first);
  add(growth.pace, &recent->pace);
}

void RolloutJudge::AddFailures(std::uint32_t route,
                               const RouteEvidence& growth) {
  const Recent& old = recent_[{route, false}];
  Cusum& cusum = cusums_[route];
  const double fine = growth.answered;
  cusum.failures += LogLikelihood(kFailures, RateOf(old.failed, old.answers),
                                  growth.failed, fine + growth.broken);
  cusum.broken += LogLikelihood(kBroken, RateOf(old.broken, old.answers),
                                growth.broken, fine + growth.failed);
  cusum.failures = std::max(0.0, cusum.failures);
  cusum.broken = std::max(0.0, cusum.broken);
  Weigh({"failures", route, cusum.failures / kFailures.alarm});
  Weigh({"broken", route, cusum.broken / kBroken.alarm});
}

// Compares each route, and all routes together, weighted by what is known of
// each. A sum over all answers would compare the routes' shares as well.
void RolloutJudge::CompareLatencies() {
  struct Phase {
    const char* kind;
    Recent::Logs Recent::*logs;
  };
  for (const Phase& phase : {Phase{"slow-first", &Recent::first},
                             Phase{"slow-pace", &Recent::pace}}) {
    double weights = 0;
    double weighted = 0;
    for (const auto& [key, recent] : recent_) {
      const auto& [route, is_new] = key;
      if (!is_new || route == kAllRoutes) continue;
      const Recent& old = recent_[{route, false}];
      const auto difference = Compare(old.*phase.logs, recent.*phase.logs);
      if (!difference) continue;
      Weigh({phase.kind, route, SlownessOf(*difference)});
      weights += 1 / difference->variance;
      weighted += difference->mean / difference->variance;
    }
    if (weights <= 0) continue;
    Weigh({phase.kind, kAllRoutes,
           SlownessOf({weighted / weights, 1 / weights})});
  }
}

void RolloutJudge::Weigh(const Finding& finding) {
  if (verdict_ == VersionVerdict::kBad) return;
  if (finding.strength > finding_.strength) finding_ = finding;
  if (finding_.strength >= 1) verdict_ = VersionVerdict::kBad;
}

void RolloutJudge::Update(const std::vector<RouteEvidence>& counts,
                          absl::Time now) {
  if (verdict_ == VersionVerdict::kBad) return;
  finding_ = Finding();
  const absl::Duration elapsed =
      updated_ == absl::InfinitePast() ? absl::ZeroDuration() : now - updated_;
  updated_ = now;
  for (auto& [key, recent] : recent_) {
    Fade(&recent, std::exp(-absl::FDivDuration(elapsed, kRateMemory)),
         std::exp(-absl::FDivDuration(elapsed, kLatencyMemory)));
  }
  std::vector<RouteEvidence> growths;
  for (const RouteEvidence& item : counts) {
    RouteEvidence& before = last_[{item.route, item.is_new}];
    if (auto growth = GrowthOf(before, item)) growths.push_back(*growth);
    before = item;
  }
  for (const RouteEvidence& growth : growths) {
    Add(growth, &recent_[{growth.route, growth.is_new}]);
    Add(growth, &recent_[{kAllRoutes, growth.is_new}]);
  }
  // After the old servers' rates are current.
  for (const RouteEvidence& growth : growths) {
    if (!growth.is_new) continue;
    AddFailures(growth.route, growth);
    AddFailures(kAllRoutes, growth);
  }
  CompareLatencies();
  if (verdict_ == VersionVerdict::kBad) return;
  verdict_ = finding_.strength >= kSuspectStrength ? VersionVerdict::kSuspect
                                                   : VersionVerdict::kSound;
}

}  // namespace gentianlb::gateway
