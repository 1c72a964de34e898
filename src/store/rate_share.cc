#include "store/rate_share.h"

#include <algorithm>

namespace gentianlb::store {

double RateShare::AvailableTokens(absl::Time now) const {
  // The bucket holds at least one call, even for a very small share.
  double max_tokens = std::max(1.0, rate() * absl::ToDoubleSeconds(burst_));
  if (updated_at_ == absl::InfinitePast()) return 1;
  double earned =
      rate() * std::max(0.0, absl::ToDoubleSeconds(now - updated_at_));
  return std::min(max_tokens, tokens_ + earned);
}

bool RateShare::TryTake(absl::Time now) {
  double tokens = AvailableTokens(now);
  updated_at_ = std::max(updated_at_, now);
  tokens_ = tokens;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

absl::Time RateShare::NextAt(absl::Time now) const {
  double missing = 1 - AvailableTokens(now);
  if (missing <= 0) return now;
  // One microsecond more, so that rounding does not give a time too early.
  return now + absl::Seconds(missing / rate()) + absl::Microseconds(1);
}

}  // namespace gentianlb::store
