// Judges the new version of a service by its answers beside those of the old
// version, at the same time and on the same routes.
//
// A bad version fails a part of its requests or is several times slower, at
// once, after a while, under load or on one route only. Servers of both
// versions also crash, fail and differ in speed for other reasons, so a fixed
// bound on the failures of a second alarms on one crashed server and misses a
// route with few requests. This judge accumulates, for each route and for all
// together, how much likelier the failures are if the version is bad than if it
// is sound (a CUSUM test), and compares the logarithms of durations: those of
// the new version with those of the old one, and, as a version may turn slow
// late, with its own earlier ones. In the second comparison it doesn't matter
// how fast the servers of the new version happen to be.
//
// Load pattern: a few tens of answers of the new version per second.

#ifndef GENTIANLB_GATEWAY_ROLLOUT_JUDGE_H_
#define GENTIANLB_GATEWAY_ROLLOUT_JUDGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "gateway/rollout_evidence.h"

namespace gentianlb::gateway {

// The strongest sign against a version, for the log.
struct Finding {
  const char* kind = "none";
  std::uint32_t route = 0;  // 0: all routes together.
  double strength = 0;      // The version is bad from 1.
  bool operator==(const Finding&) const = default;
};

class RolloutJudge {
 public:
  // Handles the counts of all hosts up to now. Counts that shrink, since a
  // host restarted or another host sums them up, start anew.
  void Update(const std::vector<RouteEvidence>& counts, absl::Time now);

  // Handles that other servers of the new version receive requests, so that
  // earlier durations can't be compared with later ones.
  void OnServersChanged(absl::Time now);

  // Bad is final.
  VersionVerdict verdict() const { return verdict_; }
  // The finding that decided the verdict, or the strongest now.
  const Finding& finding() const { return finding_; }

 private:
  // Sums of logarithms of durations that fade with time.
  struct Logs {
    double count = 0;
    double sum = 0;
    double squares = 0;

    void Scale(double factor);
    void Add(const Logs& other);
  };
  struct Durations {
    Logs recent;
    Logs earlier;  // What has faded from `recent`.
  };
  // Numbers of answers that fade with time.
  struct Outcomes {
    double answers = 0;
    double failed = 0;
    double broken = 0;

    void Scale(double factor);
    void Add(const RouteEvidence& growth);
  };
  struct Recent {
    Outcomes outcomes;
    Outcomes latest;  // Fades faster.
    Durations first;
    Durations pace;
  };
  struct Cusum {
    double failures = 0;
    double broken = 0;
  };
  using Key = std::pair<std::uint32_t, bool>;  // Route, and whether it is new.

  void Fade(absl::Duration elapsed, Recent* recent) const;
  static void Add(const RouteEvidence& growth, Recent* recent);
  void AddFailures(std::uint32_t route, const RouteEvidence& growth);
  void CompareLatencies();
  void Weigh(const Finding& finding);

  std::map<Key, RouteEvidence> last_;
  std::map<Key, Recent> recent_;  // Route 0: all routes together.
  std::map<std::uint32_t, Cusum> cusums_;
  absl::Time updated_ = absl::InfinitePast();
  absl::Time earlier_from_ = absl::InfinitePast();
  VersionVerdict verdict_ = VersionVerdict::kSound;
  Finding finding_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_ROLLOUT_JUDGE_H_
