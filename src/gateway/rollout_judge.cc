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
constexpr absl::Duration kLatestMemory = absl::Milliseconds(200);
constexpr absl::Duration kLatencyMemory = absl::Seconds(1);

// With fewer answers the latest rate is chance.
constexpr double kMinLatestAnswers = 20;

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
constexpr double kSlowErrors = 3.8;
constexpr double kVarianceFactor = 2.5;
constexpr double kMinNewDurations = 8;
constexpr double kMinOldDurations = 20;
constexpr double kMinVariance = 0.05;

// A version has turned slow if its durations have grown this much more than
// those of the old one.
constexpr double kTurnedSlowFactor = 2.0;
constexpr absl::Duration kEarlierMemory = absl::Seconds(10);

// After a change of the servers, recent durations are mostly those of the new
// ones once they have faded this many times.
constexpr double kSettlingMemories = 2;

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

// Mean of differences, each weighted by how well it is known.
class WeightedMean {
 public:
  void Add(const Difference& difference) {
    weights_ += 1 / difference.variance;
    sum_ += difference.mean / difference.variance;
  }
  std::optional<Difference> Result() const {
    if (weights_ <= 0) return std::nullopt;
    return Difference{sum_ / weights_, 1 / weights_};
  }

 private:
  double weights_ = 0;
  double sum_ = 0;
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

// Returns how much more the new version's durations have grown than those of
// the old one.
template <typename Durations>
std::optional<Difference> CompareGrowth(const Durations& old_one,
                                        const Durations& new_one) {
  const auto now = Compare(old_one.recent, new_one.recent);
  const auto earlier = Compare(old_one.earlier, new_one.earlier);
  if (!now || !earlier) return std::nullopt;
  // The same servers answered then, so that their speeds don't widen errors.
  return Difference{now->mean - earlier->mean,
                    (now->variance + earlier->variance) / kVarianceFactor};
}

// Returns the strength of the sign that durations have grown by `factor`.
double SlownessOf(const Difference& difference, double factor) {
  const double errors = difference.mean / std::sqrt(difference.variance);
  return std::min(difference.mean / std::log(factor), errors / kSlowErrors);
}

}  // namespace

void RolloutJudge::Logs::Scale(double factor) {
  count *= factor;
  sum *= factor;
  squares *= factor;
}

void RolloutJudge::Logs::Add(const Logs& other) {
  count += other.count;
  sum += other.sum;
  squares += other.squares;
}

void RolloutJudge::Outcomes::Scale(double factor) {
  answers *= factor;
  failed *= factor;
  broken *= factor;
}

void RolloutJudge::Outcomes::Add(const RouteEvidence& growth) {
  answers += growth.answered + growth.failed + growth.broken;
  failed += growth.failed;
  broken += growth.broken;
}

void RolloutJudge::Fade(absl::Duration elapsed, Recent* recent) const {
  const auto remaining = [elapsed](absl::Duration memory) {
    return std::exp(-absl::FDivDuration(elapsed, memory));
  };
  recent->outcomes.Scale(remaining(kRateMemory));
  recent->latest.Scale(remaining(kLatestMemory));
  for (Durations* durations : {&recent->first, &recent->pace}) {
    Logs faded = durations->recent;
    faded.Scale(1 - remaining(kLatencyMemory));
    durations->recent.Scale(remaining(kLatencyMemory));
    durations->earlier.Scale(remaining(kEarlierMemory));
    if (updated_ >= earlier_from_) durations->earlier.Add(faded);
  }
}

void RolloutJudge::Add(const RouteEvidence& growth, Recent* recent) {
  recent->outcomes.Add(growth);
  recent->latest.Add(growth);
  const auto logs_of = [](const LatencySums& sums) {
    return Logs{static_cast<double>(sums.count), sums.logs, sums.squares};
  };
  recent->first.recent.Add(logs_of(growth.first));
  recent->pace.recent.Add(logs_of(growth.pace));
}

void RolloutJudge::AddFailures(std::uint32_t route,
                               const RouteEvidence& growth) {
  const Recent& old = recent_[{route, false}];
  Cusum& cusum = cusums_[route];
  const double fine = growth.answered;
  // What makes all servers fail at once shows in the latest answers first.
  const auto rate_of = [&old](double Outcomes::*part) {
    const double usual = RateOf(old.outcomes.*part, old.outcomes.answers);
    if (old.latest.answers < kMinLatestAnswers) return usual;
    return std::max(usual, RateOf(old.latest.*part, old.latest.answers));
  };
  cusum.failures += LogLikelihood(kFailures, rate_of(&Outcomes::failed),
                                  growth.failed, fine + growth.broken);
  cusum.broken += LogLikelihood(kBroken, rate_of(&Outcomes::broken),
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
    const char* slow;
    const char* turned_slow;
    Durations Recent::*durations;
  };
  for (const Phase& phase :
       {Phase{"slow-first", "turned-slow-first", &Recent::first},
        Phase{"slow-pace", "turned-slow-pace", &Recent::pace}}) {
    WeightedMean of_version;
    WeightedMean of_growth;
    for (const auto& [key, recent] : recent_) {
      const auto& [route, is_new] = key;
      if (!is_new || route == kAllRoutes) continue;
      const Durations& old_one = recent_[{route, false}].*phase.durations;
      const Durations& new_one = recent.*phase.durations;
      const auto difference = Compare(old_one.recent, new_one.recent);
      if (!difference) continue;
      of_version.Add(*difference);
      Weigh({phase.slow, route, SlownessOf(*difference, kSlowFactor)});
      const auto growth = CompareGrowth(old_one, new_one);
      if (!growth) continue;
      of_growth.Add(*growth);
      Weigh({phase.turned_slow, route, SlownessOf(*growth, kTurnedSlowFactor)});
    }
    if (const auto mean = of_version.Result()) {
      Weigh({phase.slow, kAllRoutes, SlownessOf(*mean, kSlowFactor)});
    }
    if (const auto mean = of_growth.Result()) {
      Weigh({phase.turned_slow, kAllRoutes,
             SlownessOf(*mean, kTurnedSlowFactor)});
    }
  }
}

void RolloutJudge::Weigh(const Finding& finding) {
  if (verdict_ == VersionVerdict::kBad) return;
  if (finding.strength > finding_.strength) finding_ = finding;
  if (finding_.strength >= 1) verdict_ = VersionVerdict::kBad;
}

void RolloutJudge::OnServersChanged(absl::Time now) {
  earlier_from_ = now + kSettlingMemories * kLatencyMemory;
  for (auto& [key, recent] : recent_) {
    recent.first.earlier = Logs();
    recent.pace.earlier = Logs();
  }
}

void RolloutJudge::Update(const std::vector<RouteEvidence>& counts,
                          absl::Time now) {
  if (verdict_ == VersionVerdict::kBad) return;
  finding_ = Finding();
  const absl::Duration elapsed =
      updated_ == absl::InfinitePast() ? absl::ZeroDuration() : now - updated_;
  updated_ = now;
  for (auto& [key, recent] : recent_) Fade(elapsed, &recent);
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
