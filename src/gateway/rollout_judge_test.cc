#include "gateway/rollout_judge.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace gentianlb::gateway {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(100);
constexpr int kRoutes = 3;

// What the servers of one version do with requests.
struct Behaviour {
  double failing = 0;       // Part of the answers that are errors.
  double slower = 1;        // Factor of all durations.
  int only_route = -1;      // The route that is affected; -1: all.
  absl::Duration from;      // Until then the version is sound.
  int grey_servers = 0;     // Of the servers; they fail 40% of their requests.
  int crashing_server = 0;  // Breaks its requests for a second, if above 0.
};

// Plays answers of the old and the new version's servers, which are 0.55 to 2.8
// times as fast, as on a site with few requests for the new version.
class VersionPlay {
 public:
  VersionPlay(std::uint64_t seed, Behaviour version, Behaviour old_version)
      : random_(seed), new_(version), old_(old_version) {
    for (double& speed : new_speeds_) speed = PickSpeed();
    for (double& speed : old_speeds_) speed = PickSpeed();
  }

  void Step() {
    now += kStep;
    for (int route = 0; route < kRoutes; ++route) {
      // 27 answers per second of the new version, 500 of the old one.
      Answer(route, true, new_, new_speeds_, 0.9);
      Answer(route, false, old_, old_speeds_, 16.7);
    }
  }

  void SetNewSpeeds(double speed) {
    for (double& item : new_speeds_) item = speed;
  }

  absl::Time now = absl::UnixEpoch();
  std::vector<RouteEvidence> counts;

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  double PickSpeed() {
    constexpr double kSpeeds[] = {0.55, 1.0, 2.8};
    return kSpeeds[random_() % 3];
  }

  template <std::size_t kServers>
  void Answer(int route, bool is_new, const Behaviour& behaviour,
              const double (&speeds)[kServers], double mean) {
    const int answers = std::poisson_distribution<int>(mean)(random_);
    for (int i = 0; i < answers; ++i) {
      const auto server = static_cast<int>(random_() % kServers);
      AddEvidence(OneAnswer(route, is_new, behaviour, server, speeds[server]),
                  &counts);
    }
  }

  RouteEvidence OneAnswer(int route, bool is_new, const Behaviour& behaviour,
                          int server, double speed) {
    RouteEvidence item;
    item.route = static_cast<std::uint32_t>(route + 1);
    item.is_new = is_new;
    const bool turned =
        now - absl::UnixEpoch() >= behaviour.from &&
        (behaviour.only_route < 0 || behaviour.only_route == route);
    const double grey = server < behaviour.grey_servers ? 0.4 : 0;
    const double failing = std::max(grey, turned ? behaviour.failing : 0);
    const absl::Duration age = now - absl::UnixEpoch();
    const bool crashed = behaviour.crashing_server > 0 && server == 0 &&
                         age >= absl::Seconds(2) &&
                         age < absl::Milliseconds(2300);
    if (crashed) {
      item.broken = 1;
    } else if (Uniform() < failing) {
      item.failed = 1;
    } else {
      item.answered = 1;
      const double size = std::lognormal_distribution<double>(0, 0.6)(random_);
      const double slower = turned ? behaviour.slower : 1;
      item.first.Add(absl::Milliseconds(60) * size * slower / speed);
      item.pace.Add(absl::Milliseconds(25) * slower / speed);
    }
    return item;
  }

  std::mt19937_64 random_;
  Behaviour new_;
  Behaviour old_;
  double new_speeds_[5] = {};
  double old_speeds_[90] = {};
};

// The way that the judge is compared with: a version is bad if over a fifth of
// its last second's answers failed, or its mean duration is over twice that of
// the old version, with ten answers at least.
class FixedBound {
 public:
  bool IsBad(const std::vector<RouteEvidence>& counts) {
    history_.push_back(counts);
    if (history_.size() > kWindow) history_.erase(history_.begin());
    const Sums now = SumOf(history_.back());
    const Sums before = SumOf(history_.front());
    const double answers = now.answers - before.answers;
    if (answers < 10) return false;
    const double failed = (now.failed - before.failed) / answers;
    const double logs = (now.logs - before.logs) / answers;
    const double old_logs = (now.old_logs - before.old_logs) /
                            std::max(1.0, now.old_answers - before.old_answers);
    return failed > 0.2 || logs - old_logs > std::log(2);
  }

 private:
  static constexpr std::size_t kWindow = 11;
  struct Sums {
    double answers = 0;
    double failed = 0;
    double logs = 0;
    double old_answers = 0;
    double old_logs = 0;
  };
  static Sums SumOf(const std::vector<RouteEvidence>& counts) {
    Sums sums;
    for (const RouteEvidence& item : counts) {
      if (item.is_new) {
        sums.answers += item.answered + item.failed + item.broken;
        sums.failed += item.failed + item.broken;
        sums.logs += item.first.logs;
      } else {
        sums.old_answers += item.answered;
        sums.old_logs += item.first.logs;
      }
    }
    return sums;
  }
  std::vector<std::vector<RouteEvidence>> history_;
};

// How many of the plays each way calls the version bad in, by the end.
struct Alarms {
  int judge = 0;
  int fixed_bound = 0;
};

constexpr int kPlays = 200;

// The judge's constants were not set on the last range.
constexpr std::uint64_t kFirstSeeds[] = {1, 1001, 5001};

Alarms PlayFrom(std::uint64_t first_seed, Behaviour version,
                Behaviour old_version, absl::Duration span) {
  Alarms alarms;
  for (std::uint64_t seed = first_seed; seed < first_seed + kPlays; ++seed) {
    VersionPlay play(seed, version, old_version);
    RolloutJudge judge;
    FixedBound fixed_bound;
    bool fixed = false;
    for (absl::Duration at; at < span; at += kStep) {
      play.Step();
      judge.Update(play.counts, play.now);
      fixed = fixed_bound.IsBad(play.counts) || fixed;
    }
    alarms.judge += judge.verdict() == VersionVerdict::kBad ? 1 : 0;
    alarms.fixed_bound += fixed ? 1 : 0;
  }
  return alarms;
}

// In how many plays the judge calls the version bad: the fewest and the most of
// all ranges of seeds.
struct Verdicts {
  int fewest = kPlays;
  int most = 0;
};

Verdicts Play(const std::string& name, Behaviour version, Behaviour old_version,
              absl::Duration span) {
  Verdicts verdicts;
  for (std::uint64_t first_seed : kFirstSeeds) {
    const Alarms alarms = PlayFrom(first_seed, version, old_version, span);
    BOOST_TEST_MESSAGE(name << ", from seed " << first_seed << ": judge "
                            << alarms.judge << ", fixed bound "
                            << alarms.fixed_bound << " of " << kPlays);
    verdicts.fewest = std::min(verdicts.fewest, alarms.judge);
    verdicts.most = std::max(verdicts.most, alarms.judge);
  }
  return verdicts;
}

constexpr absl::Duration kSoundSpan = absl::Seconds(5);
constexpr int kMaxFalseAlarms = kPlays / 100;

// Guards against a sound version that is rolled back because its few servers
// are slow ones, fail as the old ones do, or one of them crashes.
BOOST_AUTO_TEST_CASE(ASoundVersionIsNotCalledBad) {
  BOOST_TEST(Play("sound", {}, {}, kSoundSpan).most <= kMaxFalseAlarms);
  BOOST_TEST(Play("one new server fails in part", {.grey_servers = 1},
                  {.grey_servers = 14}, kSoundSpan)
                 .most <= kMaxFalseAlarms);
  BOOST_TEST(
      Play("a new server crashes", {.crashing_server = 1}, {}, kSoundSpan)
          .most <= kMaxFalseAlarms);
}

// Guards against a sound version that is rolled back because the servers of
// both versions begin to fail at the same moment.
BOOST_AUTO_TEST_CASE(FailuresOfAllServersAreNotTheVersionsFault) {
  const Behaviour failing = {.failing = 0.45, .from = absl::Seconds(2)};
  BOOST_TEST(Play("all servers fail", failing, failing, kSoundSpan).most <=
             kMaxFalseAlarms);
}

// Guards against a bad version that is not noticed within the first stage.
BOOST_AUTO_TEST_CASE(ABadVersionIsNoticedInTime) {
  const absl::Duration span = absl::Seconds(3);
  constexpr int kMinFound = kPlays * 99 / 100;
  BOOST_TEST(Play("fails a third", {.failing = 0.33}, {}, span).fewest >=
             kMinFound);
  BOOST_TEST(Play("fails a fifth", {.failing = 0.2}, {}, span).fewest >=
             kMinFound);
  BOOST_TEST(Play("turns after 2 s",
                  {.failing = 0.33, .from = absl::Seconds(2)}, {},
                  absl::Seconds(4))
                 .fewest >= kMinFound);
  BOOST_TEST(
      Play("fails on one route", {.failing = 0.5, .only_route = 1}, {}, span)
          .fewest >= kMinFound);
}

// A few servers of unknown speeds may make up for a slow version, so some are
// noticed only at the next stage, which has four times as many.
BOOST_AUTO_TEST_CASE(ASlowVersionIsMostlyNoticedInTheFirstStage) {
  const absl::Duration span = absl::Seconds(3);
  constexpr int kMinFound = kPlays * 85 / 100;
  BOOST_TEST(Play("four times slower", {.slower = 4}, {}, span).fewest >=
             kMinFound);
  BOOST_TEST(Play("four times slower after 2 s",
                  {.slower = 4, .from = absl::Seconds(2)}, {}, absl::Seconds(5))
                 .fewest >= kMinFound);
}

// Guards against a sound version that is rolled back because the servers that
// receive its requests later are slower than those which did at first.
BOOST_AUTO_TEST_CASE(SlowerServersOfALaterStageAreNotASlowVersion) {
  int alarms = 0;
  for (std::uint64_t seed = 1; seed <= kPlays; ++seed) {
    VersionPlay play(seed, {}, {});
    RolloutJudge judge;
    for (const double speed : {2.8, 1.0}) {
      play.SetNewSpeeds(speed);
      judge.OnServersChanged(play.now);
      for (absl::Duration at; at < absl::Seconds(3); at += kStep) {
        play.Step();
        judge.Update(play.counts, play.now);
      }
    }
    alarms += judge.verdict() == VersionVerdict::kBad ? 1 : 0;
  }
  BOOST_TEST(alarms <= kMaxFalseAlarms);
}

// Guards against counts that shrink, as a host restarts, taken for failures.
BOOST_AUTO_TEST_CASE(CountsThatShrinkStartAnew) {
  RolloutJudge judge;
  absl::Time now = absl::UnixEpoch();
  RouteEvidence item;
  item.route = 1;
  item.is_new = true;
  item.answered = 1000;
  judge.Update({item}, now);
  item.answered = 5;
  item.failed = 0;
  judge.Update({item}, now + kStep);
  BOOST_TEST((judge.verdict() == VersionVerdict::kSound));
  item.failed = 10;
  judge.Update({item}, now + 2 * kStep);
  BOOST_TEST((judge.verdict() == VersionVerdict::kBad));
  BOOST_TEST(judge.finding().kind == "failures");
}

}  // namespace
}  // namespace gentianlb::gateway
