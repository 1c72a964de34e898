#include "base/retry.h"

#include <algorithm>
#include <cstdint>

namespace gentianlb {
namespace {

constexpr int kMaxDoublings = 20;

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

void RetryBudget::Refund() {
  saved_ = std::min(options_.max_saved_retries, saved_ + 1);
}

void RetryBudget::SetMaxSavedRetries(double max_saved_retries) {
  options_.max_saved_retries = max_saved_retries;
  saved_ = std::min(saved_, max_saved_retries);
}

absl::Duration RetryDelay(const RetryOptions& options, int retry,
                          double random) {
  int doublings = std::min(retry, kMaxDoublings);
  absl::Duration backoff = options.first_delay * (std::int64_t{1} << doublings);
  return std::min(backoff, options.max_delay) * random;
}

}  // namespace gentianlb
