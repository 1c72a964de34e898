#include "base/retry.h"

#include <algorithm>
#include <cstdint>

namespace gentianlb {
namespace {

constexpr int kMostDoublings = 20;

}  // namespace

void RetryBudget::OnCall() {
  saved_ =
      std::min(options_.max_saved_retries, saved_ + options_.retries_per_call);
}

bool RetryBudget::Take() {
  if (saved_ < 1) return false;
  saved_ -= 1;
  return true;
}

void RetryBudget::SetMaxSavedRetries(double most) {
  options_.max_saved_retries = most;
  saved_ = std::min(saved_, most);
}

absl::Duration RetryDelay(const RetryOptions& options, int retry,
                          double random) {
  int doublings = std::min(retry, kMostDoublings);
  absl::Duration most = options.first_delay * (std::int64_t{1} << doublings);
  return std::min(most, options.max_delay) * random;
}

}  // namespace gentianlb
