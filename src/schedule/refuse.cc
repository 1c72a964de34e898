#include "schedule/refuse.h"

#include <algorithm>
#include <cmath>

namespace gentianlb::schedule {
namespace {

// Estimates of the backlog err both ways. Up to this much over, the request is
// let wait: it is refused later if need be, while a refused one is lost.
constexpr double kBenefitOfDoubt = 1.25;

// Later than ten minutes the estimate says nothing.
constexpr double kMaxComeBack = 600;

// Callers return over half as long again as the backlog needs.
constexpr double kSpread = 0.5;

}  // namespace

void DrainRate::SetBacklog(bool backlog, absl::Time now) {
  Advance(now);
  if (backlog && !backlog_) backlog_since_ = now;
  backlog_ = backlog;
}

void DrainRate::Granted(double work, absl::Time now) {
  if (!backlog_ || backlog_since_ == now) return;
  Advance(now);
  work_ += work;
}

void DrainRate::Advance(absl::Time now) {
  const double passed = absl::ToDoubleSeconds(now - last_);
  if (backlog_ && passed > 0) {
    const double kept = std::exp(-passed / memory_.seconds);
    work_ *= kept;
    busy_ = busy_ * kept + passed;
  }
  last_ = now;
}

double DrainRate::PerSecond(double capacity, absl::Time now) const {
  DrainRate until_now = *this;
  until_now.Advance(now);
  const double guessed = memory_.guess_seconds;
  const double work = until_now.work_ + capacity * guessed;
  return std::max(1e-3, work / (until_now.busy_ + guessed));
}

bool Unreachable(const Outlook& outlook) {
  return outlook.service > outlook.deadline;
}

bool Overloaded(const Outlook& outlook) {
  return outlook.wait > 0 &&
         outlook.wait + outlook.service > outlook.deadline * kBenefitOfDoubt;
}

absl::Duration ComeBack::After(double seconds) {
  // 53 random bits make a number in [0, 1).
  const double uniform = static_cast<double>(random_() >> 11) * 0x1.0p-53;
  const double base = std::clamp(seconds, shortest_, kMaxComeBack);
  const double spread = base * (1 + kSpread * uniform);
  return absl::Milliseconds(std::llround(spread * 1000));
}

}  // namespace gentianlb::schedule
