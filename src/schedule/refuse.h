// When a request is refused at once, and when its caller may come back.
//
// Load pattern: overload. A queue that takes everything makes everyone late: by
// the time a request's turn comes its caller is gone, and the work is wasted. A
// refusal at once costs little and tells the caller the truth. Without spread
// come-back times all that were refused return in the same second and make the
// next burst.
//
// The wait is the work ahead over the drain rate: what was granted in a second
// while requests waited, measured, with the configured capacity as the first
// guess. Ahead is only what the order puts ahead: higher tiers, and of the same
// tier what fair queueing serves first. Work of lower tiers never counts.
//
// Higher tiers that go on arriving take most of what a pool drains. By the
// pool's rate a lower tier seems to have its turn soon; its callers would wait
// until their objective is nearly over, be refused then, and come back to the
// same. So the rate of its own lane, which is what the others leave, counts
// too.

#ifndef GENTIANLB_SCHEDULE_REFUSE_H_
#define GENTIANLB_SCHEDULE_REFUSE_H_

#include <cstdint>
#include <random>
#include <vector>

#include "absl/time/time.h"
#include "schedule/index.h"

namespace gentianlb::schedule {

// Work that is granted in a second while there is a backlog: of a pool, or of
// one lane, whose rate is what higher tiers leave it.
class DrainRate {
 public:
  struct Memory {
    double seconds;        // The rate forgets over this time.
    double guess_seconds;  // The first guess weighs like this much measuring.
  };
  // Long against the gaps between grants, short against how long an overload
  // or a power drop lasts.
  static constexpr Memory kOfPool = {10, 2};
  // What is left for a lower tier changes with each burst of a higher one.
  static constexpr Memory kOfLane = {2, 0.2};

  explicit DrainRate(Memory memory = kOfPool) : memory_(memory) {}

  // Something waits from now on, or nothing does.
  void SetBacklog(bool backlog, absl::Time now);
  // What never waited says nothing of the rate and is left out.
  void Granted(double work, absl::Time now);
  // `capacity` is the first guess.
  double PerSecond(double capacity, absl::Time now) const;

 private:
  void Advance(absl::Time now);

  Memory memory_;
  double work_ = 0;
  double busy_ = 0;  // Seconds.
  bool backlog_ = false;
  absl::Time backlog_since_;
  absl::Time last_;
};

// What the decision rests on, in seconds from now.
struct Outlook {
  double wait = 0;     // Until its turn, by the backlog.
  double service = 0;  // On the fastest server, alone.
  double deadline = 0;
  auto operator<=>(const Outlook&) const = default;
};

// Not even an empty system makes it.
bool Unreachable(const Outlook& outlook);

// The backlog can't carry it.
bool Overloaded(const Outlook& outlook);

// Spreads what would otherwise return together. The same seed gives the same
// times on each run and machine, which the library's distributions don't.
class ComeBack {
 public:
  // No caller should be back sooner than after `shortest`.
  ComeBack(std::uint64_t seed, absl::Duration shortest)
      : random_(seed), shortest_(absl::ToDoubleSeconds(shortest)) {}

  // For a backlog of `seconds`.
  absl::Duration After(double seconds);

 private:
  std::mt19937_64 random_;
  double shortest_;  // Seconds.
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_REFUSE_H_
