// A sum with exponential decay, which measures recent activity.

#ifndef GENTIANLB_BASE_DECAYING_SUM_H_
#define GENTIANLB_BASE_DECAYING_SUM_H_

#include <cmath>

#include "absl/time/time.h"

namespace gentianlb {

class DecayingSum {
 public:
  // After `time_constant`, 37% of an amount remains.
  explicit DecayingSum(absl::Duration time_constant)
      : time_constant_(time_constant) {}

  void Add(double amount, absl::Time now) {
    sum_ = At(now) + amount;
    updated_at_ = now;
  }

  double At(absl::Time now) const {
    return sum_ *
           std::exp(-absl::FDivDuration(now - updated_at_, time_constant_));
  }

 private:
  absl::Duration time_constant_;
  double sum_ = 0;
  absl::Time updated_at_;
};

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_DECAYING_SUM_H_
