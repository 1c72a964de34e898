#include "schedule/request_limit.h"

#include <algorithm>

namespace gentianlb::schedule {
namespace {

// A whole dispatcher saves up this many grants, so that a busy host which wakes
// up late still uses the limit.
constexpr double kBurst = 2;

// A share saves up no more than it earns in this time. One that earns less than
// a grant never grants.
constexpr double kShareBurstSeconds = 4;

// Without a request nothing would show that the limit has ended.
constexpr double kMinPerSecond = 0.5;

// Reports of peers are up to a few seconds old.
constexpr absl::Duration kOwnEvidenceCounts = absl::Seconds(5);

// Time for which a response that named the limit is published, at least; with
// low limits, the time of a few responses.
constexpr absl::Duration kPublished = absl::Seconds(2);
constexpr double kPublishedResponses = 3;

}  // namespace

double RequestLimit::rate() const { return per_second_ * share_; }

double RequestLimit::Burst() const {
  return share_ < 1 ? std::min(kBurst, rate() * kShareBurstSeconds) : kBurst;
}

double RequestLimit::Available(absl::Time now) const {
  if (!limited()) return kNoRequestLimit;
  const double earned = absl::ToDoubleSeconds(now - updated_) * rate();
  return std::min(Burst(), tokens_ + std::max(0.0, earned));
}

void RequestLimit::Take(absl::Time now) {
  if (!limited()) return;
  tokens_ = Available(now) - 1;
  updated_ = now;
}

void RequestLimit::Refund() {
  if (limited()) tokens_ = std::min(Burst(), tokens_ + 1);
}

absl::Time RequestLimit::NextGrant(absl::Time now) const {
  const double available = Available(now);
  if (available >= 1) return now;
  if (Burst() < 1) return absl::InfiniteFuture();
  // Rounded up, or the grant would be due a moment too early.
  return now + absl::Seconds((1 - available) / rate()) + absl::Microseconds(1);
}

void RequestLimit::Set(double per_second, absl::Time now) {
  const double clamped = std::max(kMinPerSecond, per_second);
  if (clamped == per_second_) return;
  // What was granted before counts at the server, too: nothing is saved up.
  tokens_ = limited() ? std::min(Available(now), 1.0) : 0;
  updated_ = now;
  per_second_ = clamped;
}

void RequestLimit::OnResponse(double per_second, absl::Time granted_at,
                              absl::Time now) {
  const bool names_limit = per_second != kNoRequestLimit;
  if (!names_limit && granted_at <= named_) return;
  last_response_ = now;
  if (names_limit) named_ = now;
  Set(per_second, now);
}

void RequestLimit::OnPeerReport(double per_second, absl::Time now) {
  if (now - last_response_ < kOwnEvidenceCounts) return;
  Set(per_second, now);
}

std::optional<double> RequestLimit::Observed(absl::Time now) const {
  if (!limited()) return std::nullopt;
  const absl::Duration published =
      std::max(kPublished, absl::Seconds(kPublishedResponses / per_second_));
  if (now - named_ > published) return std::nullopt;
  return per_second_;
}

}  // namespace gentianlb::schedule
