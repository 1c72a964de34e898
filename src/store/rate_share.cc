#include "store/rate_share.h"

#include <algorithm>

namespace gentianlb::store {

double RateShare::Saved(absl::Time now) const {
  // One whole call must fit, however small the share is.
  double most = std::max(1.0, rate() * absl::ToDoubleSeconds(burst_));
  if (last_ == absl::InfinitePast()) return 1;
  double earned = rate() * std::max(0.0, absl::ToDoubleSeconds(now - last_));
  return std::min(most, saved_ + earned);
}

bool RateShare::Take(absl::Time now) {
  double saved = Saved(now);
  last_ = std::max(last_, now);
  saved_ = saved;
  if (saved_ < 1) return false;
  saved_ -= 1;
  return true;
}

absl::Time RateShare::NextAt(absl::Time now) const {
  double missing = 1 - Saved(now);
  if (missing <= 0) return now;
  // A microsecond more, so that rounding never wakes too early.
  return now + absl::Seconds(missing / rate()) + absl::Microseconds(1);
}

}  // namespace gentianlb::store
