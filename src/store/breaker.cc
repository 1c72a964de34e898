#include "store/breaker.h"

namespace gentianlb::store {

bool Breaker::Allow(absl::Time now) {
  if (up()) return true;
  if (probing_ || now < retry_at_) return false;
  probing_ = true;
  return true;
}

void Breaker::OnSuccess() {
  failures_ = 0;
  probing_ = false;
}

void Breaker::OnFailure(absl::Time now) {
  bool was_up = up();
  if (was_up) ++failures_;
  if (was_up && !up()) ++times_opened_;
  probing_ = false;
  if (!up()) retry_at_ = now + options_.open_time;
}

}  // namespace gentianlb::store
