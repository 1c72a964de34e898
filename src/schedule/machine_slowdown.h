// Tracks how slow the machine of one server is at the moment, as its responses
// state it.
//
// Load pattern: servers share their machines; at any time 15 % of them take 2.5
// times as long as usual, each for some 0.6 s. The averages of SpeedEstimator
// follow within seconds, when the slowdown has passed.
//
// A stated value is outdated as soon as the next one is due. It fades to 1, the
// usual time, with the distance from the moment at which it was stated. How
// fast is learnt from the values of the server that differ from 1: how long
// they last until a response states another one.

#ifndef GENTIANLB_SCHEDULE_MACHINE_SLOWDOWN_H_
#define GENTIANLB_SCHEDULE_MACHINE_SLOWDOWN_H_

#include "absl/time/time.h"

namespace gentianlb::schedule {

class MachineSlowdown {
 public:
  // Returns a stated value within the limits of what counts; 1 if it isn't
  // positive.
  static double Limited(double stated);

  // Records the value that a response stated at `now`: the time for any work
  // relative to the usual time.
  void OnStated(double value, absl::Time now);
  // The server restarted, maybe on another machine.
  void Clear() { *this = MachineSlowdown(); }

  // Returns the expected slowdown at a time before or after the last stated
  // value; 1 if it has faded or none was stated.
  double At(absl::Time time) const;
  // Returns the expected seconds of work that starts at `now` and usually takes
  // `seconds`. Work that takes longer than the slowdown lasts is slowed only in
  // part.
  double Seconds(double seconds, absl::Time now) const;
  // Returns whether the slowdown at `now` differs from 1.
  bool IsInEffect(absl::Time now) const { return At(now) != 1; }
  // Time in which a stated value fades by half.
  absl::Duration half_life() const;

 private:
  void Learn(double value, absl::Duration since_last);

  // Prior: half of the slowdowns end within some 0.3 s.
  static constexpr double kPriorChanges = 4;
  static constexpr double kPriorMeanSeconds = 0.43;

  double value_ = 1;
  absl::Time stated_at_ = absl::InfinitePast();
  // Number of changes seen and the seconds in which they could be seen. Their
  // ratio is the rate of change.
  double changes_ = kPriorChanges;
  double observed_seconds_ = kPriorChanges * kPriorMeanSeconds;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_MACHINE_SLOWDOWN_H_
