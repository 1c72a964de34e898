// A sum that fades with time: how much came of late.

#ifndef GENTIANLB_BASE_DECAYING_SUM_H_
#define GENTIANLB_BASE_DECAYING_SUM_H_

#include <cmath>

#include "absl/time/time.h"

namespace gentianlb {

class DecayingSum {
 public:
  // After `memory` 37 parts in 100 of an amount are left.
  explicit DecayingSum(absl::Duration memory) : memory_(memory) {}

  void Add(double amount, absl::Time now) {
    sum_ = At(now) + amount;
    as_of_ = now;
  }

  double At(absl::Time now) const {
    return sum_ * std::exp(-absl::FDivDuration(now - as_of_, memory_));
  }

 private:
  absl::Duration memory_;
  double sum_ = 0;
  absl::Time as_of_;
};

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_DECAYING_SUM_H_
