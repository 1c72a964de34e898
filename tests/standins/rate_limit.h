// A token bucket.

#ifndef GENTIANLB_STANDINS_RATE_LIMIT_H_
#define GENTIANLB_STANDINS_RATE_LIMIT_H_

#include <algorithm>

#include "absl/time/time.h"

namespace gentianlb::standins {

// Not thread-safe.
class RateLimit {
 public:
  // Takes `amount`, when there is that much, of what flows in at `rate` a
  // second. At most `burst` gathers, and at the start that much is there.
  bool Take(absl::Time now, double amount, double rate, double burst) {
    double gained = absl::ToDoubleSeconds(now - last_) * rate;
    level_ = std::min(burst, level_ + std::max(0.0, gained));
    last_ = now;
    if (level_ < amount) return false;
    level_ -= amount;
    return true;
  }

 private:
  double level_ = 0;
  absl::Time last_ = absl::UnixEpoch();
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_RATE_LIMIT_H_
