#include "schedule/refuse.h"

#include <algorithm>
#include <cmath>

namespace gentianlb::schedule {
namespace {

// Backlog estimates err both ways. A request that is predicted late by up to
// this factor is queued: it can still be refused later, while a refused request
// is lost.
constexpr double kWaitTolerance = 1.25;

// Where request limits set the pace, the estimate errs little, and the queue is
// never empty. Below 1, since of those at the edge half would wait in vain.
constexpr double kLimitedTolerance = 0.8;

// The estimate is meaningless beyond ten minutes.
constexpr double kMaxRetryAfterSeconds = 600;

// Retry times are spread over 1 to 1.5 times the backlog.
constexpr double kRetryAfterSpread = 0.5;

}  // namespace

void DrainRate::SetBacklog(bool backlog, absl::Time now) {
  Advance(now);
  if (backlog && !backlog_) backlog_since_ = now;
  backlog_ = backlog;
}

void DrainRate::RecordGrant(double work, absl::Time now) {
  if (!backlog_ || backlog_since_ == now) return;
  Advance(now);
  granted_work_ += work;
}

void DrainRate::Advance(absl::Time now) {
  const double elapsed = absl::ToDoubleSeconds(now - advanced_at_);
  if (backlog_ && elapsed > 0) {
    const double decay = std::exp(-elapsed / smoothing_.time_constant_seconds);
    granted_work_ *= decay;
    backlog_seconds_ = backlog_seconds_ * decay + elapsed;
  }
  advanced_at_ = now;
}

double DrainRate::PerSecond(double capacity, absl::Time now) const {
  DrainRate advanced = *this;
  advanced.Advance(now);
  const double initial_seconds = smoothing_.initial_seconds;
  const double work = advanced.granted_work_ + capacity * initial_seconds;
  return std::max(1e-3, work / (advanced.backlog_seconds_ + initial_seconds));
}

bool DeadlineUnreachable(const AdmissionEstimate& estimate) {
  return estimate.service_seconds > estimate.deadline_seconds;
}

bool BacklogTooLong(const AdmissionEstimate& estimate) {
  const double usual = estimate.exact ? 1 : kWaitTolerance;
  const double tolerance = estimate.limited ? kLimitedTolerance : usual;
  return estimate.wait_seconds > 0 &&
         estimate.wait_seconds + estimate.service_seconds >
             estimate.deadline_seconds * tolerance;
}

double RetryAfterJitter::Uniform() {
  // 53 random bits make a double in [0, 1).
  return static_cast<double>(random_() >> 11) * 0x1.0p-53;
}

absl::Duration RetryAfterJitter::RetryAfter(double seconds) {
  const double uniform = Uniform();
  const double base = std::clamp(seconds, min_seconds_, kMaxRetryAfterSeconds);
  const double spread = base * (1 + kRetryAfterSpread * uniform);
  return absl::Milliseconds(std::llround(spread * 1000));
}

}  // namespace gentianlb::schedule
