#include "gateway/table_availability.h"

#include <glog/logging.h>

#include <algorithm>
#include <limits>

namespace gentianlb::gateway {
namespace {

constexpr std::int64_t kMaxAge = std::numeric_limits<std::int32_t>::max();

std::int32_t ToAge(std::int64_t milliseconds) {
  return static_cast<std::int32_t>(
      std::clamp<std::int64_t>(milliseconds, 0, kMaxAge));
}

AnswerAges AgesOf(absl::Time first, absl::Time last, absl::Time now) {
  if (last < first || last == absl::InfinitePast()) return {};
  return {ToAge(absl::ToInt64Milliseconds(now - first)),
          ToAge(absl::ToInt64Milliseconds(now - last))};
}

}  // namespace

AnswerAges Aged(const AnswerAges& ages, absl::Duration elapsed) {
  if (!ages.known()) return ages;
  const std::int64_t added = absl::ToInt64Milliseconds(elapsed);
  return {ToAge(ages.first_ms + added), ToAge(ages.last_ms + added)};
}

AnswerAges Join(const AnswerAges& a, const AnswerAges& b) {
  if (!a.known()) return b;
  if (!b.known()) return a;
  const AnswerAges& later = a.last_ms <= b.last_ms ? a : b;
  const AnswerAges& earlier = a.last_ms <= b.last_ms ? b : a;
  const auto gap = absl::Milliseconds(earlier.last_ms - later.first_ms);
  if (gap >= kMinOutage) return later;
  return {std::max(a.first_ms, b.first_ms), later.last_ms};
}

void TableAvailability::OnAnswer(OwnCalls before, absl::Time now) {
  RecordReturn(before, now);
  own_last_ = now;
  Add(now, now, now, "this-host");
}

void TableAvailability::OnPeerReport(const AnswerAges& ages, OwnCalls own,
                                     absl::Time now) {
  if (!ages.known()) return;
  RecordReturn(own, now);
  Add(now - absl::Milliseconds(ages.first_ms),
      now - absl::Milliseconds(ages.last_ms), now, "peer");
}

void TableAvailability::RecordReturn(OwnCalls own, absl::Time now) {
  const bool cut_off = own == OwnCalls::kFailed && now - last_ >= kMinOutage;
  if (cut_off) returned_at_ = now;
}

void TableAvailability::Add(absl::Time first, absl::Time last, absl::Time now,
                            const char* observer) {
  if (first_ - last >= kMinOutage) return;  // It ended before the last outage.
  const absl::Duration gap = first - last_;
  if (gap >= kMinOutage) {
    if (last_ != absl::InfinitePast()) {
      LOG(INFO) << "event=table-recovered observer=" << observer
                << " gap_ms=" << absl::ToInt64Milliseconds(gap)
                << " age_ms=" << absl::ToInt64Milliseconds(now - first);
    }
    first_ = first;
    last_ = last;
    return;
  }
  if (first_ - first >= kMinOutage) {
    LOG(INFO) << "event=table-no-outage observer=" << observer
              << " answered_ms=" << absl::ToInt64Milliseconds(now - first)
              << " last_ms=" << absl::ToInt64Milliseconds(now - last);
  }
  first_ = std::min(first_, first);
  last_ = std::max(last_, last);
}

AnswerAges TableAvailability::OwnAges(absl::Time now) const {
  return AgesOf(first_, own_last_, now);
}

AnswerAges TableAvailability::KnownAges(absl::Time now) const {
  return AgesOf(first_, last_, now);
}

}  // namespace gentianlb::gateway
