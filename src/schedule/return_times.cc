#include "schedule/return_times.h"

#include <algorithm>
#include <cmath>

namespace gentianlb::schedule {
namespace {

// Callers honour a retry-after up to this part of the time that they have left.
constexpr double kReachFraction = 1.0 / 3;

// A caller with a long deadline gains nothing from a forecast that far ahead.
constexpr absl::Duration kMaxReach = absl::Seconds(10);

// Bursts last 2.5 to 6 s; a second of delay leaves time to plan within one.
constexpr double kPresentSeconds = 1;
// The usual rate falls fast once a burst has ended, and hardly rises during
// one. A lasting rise is learnt within a minute.
constexpr double kUsualFallSeconds = 3;
constexpr double kUsualRiseSeconds = 60;
// At the start all arrivals are usual: there has been no burst yet.
constexpr absl::Duration kStart = absl::Seconds(3);

// Mean time until a burst of 2.5 to 6 s ends, seen from within it.
constexpr double kBurstSeconds = 4;

// A reservation may span this many slots, as the capacity that a small group
// has left in one slot is less than the work of one request.
constexpr std::size_t kMaxSpan = 10;

// Callers return some milliseconds late, or a little early by their clocks.
constexpr absl::Duration kMaxEarly = absl::Milliseconds(200);
constexpr absl::Duration kMaxLate = absl::Milliseconds(500);

// Without capacity left, retry times are spread from this part of the reach on.
constexpr double kSpreadFrom = 0.7;

// A caller that returns without a reservation is admitted to capacity that is
// forecast for this time. With the whole time to its deadline, a burst leaves a
// queue of late requests that takes the streams of lower tiers for seconds:
// a seventh of those served in time before.
constexpr absl::Duration kMaxReturnWait = absl::Milliseconds(1500);

// Some 2 MB: five seconds of the most refusals that were seen, 3,600 a second.
constexpr std::size_t kMaxRecords = 20000;

std::int64_t SlotOf(absl::Time time) {
  return absl::ToUnixMillis(time) /
         absl::ToInt64Milliseconds(ReturnTimes::kSlot);
}

absl::Time SlotStart(std::int64_t slot) {
  return absl::UnixEpoch() + slot * ReturnTimes::kSlot;
}

// Returns the longest retry-after that the caller honours.
absl::Duration ReachOf(const ReturnNeed& need, absl::Time now) {
  return std::min(kMaxReach, kReachFraction * (need.deadline - now));
}

}  // namespace

void ArrivalRate::Record(double work, absl::Time now) {
  if (started_ == absl::InfiniteFuture()) started_ = now;
  Advance(now);
  present_ += work / kPresentSeconds;
}

void ArrivalRate::Advance(absl::Time now) {
  const double elapsed =
      std::max(0.0, absl::ToDoubleSeconds(now - advanced_at_));
  present_ *= std::exp(-elapsed / kPresentSeconds);
  const double seconds =
      present_ < usual_ ? kUsualFallSeconds : kUsualRiseSeconds;
  usual_ =
      now - started_ < kStart
          ? present_
          : usual_ + (present_ - usual_) * (1 - std::exp(-elapsed / seconds));
  advanced_at_ = now;
}

double ArrivalRate::Present(absl::Time now) const {
  ArrivalRate advanced = *this;
  advanced.Advance(now);
  return advanced.present_;
}

double ArrivalRate::Usual(absl::Time now) const {
  ArrivalRate advanced = *this;
  advanced.Advance(now);
  return std::min(advanced.usual_, advanced.present_);
}

void ReturnTimes::RecordArrival(const LaneKey& lane, double work, bool timed,
                                absl::Time now) {
  arrivals_[lane].Record(work, now);
  if (timed) timed_arrivals_[lane].Record(work, now);
}

void ReturnTimes::AddRates(const LaneKey& lane, absl::Time now,
                           Reach* reach) const {
  const auto add = [&](const auto& rates, bool lower) {
    for (const auto& [key, rate] : rates) {
      if (key.pool != lane.pool || (key.tier > lane.tier) != lower) continue;
      reach->present_rate += rate.Present(now);
      reach->usual_rate += rate.Usual(now);
    }
  };
  add(arrivals_, /*lower=*/false);
  add(timed_arrivals_, /*lower=*/true);
}

double ReturnTimes::Reserved(const LaneKey& lane, SlotNumber slot) const {
  const auto found = reserved_.find({slot, lane.pool});
  if (found == reserved_.end()) return 0;
  double work = 0;
  for (const auto& [rank, reserved] : found->second) {
    if (rank <= lane.tier.rank) work += reserved;
  }
  return work;
}

ReturnTimes::Reach ReturnTimes::FindReach(const ReturnNeed& need,
                                          const LaneSupply& supply,
                                          absl::Time end,
                                          absl::Time now) const {
  Reach reach;
  AddRates(need.lane, now, &reach);
  const double slot_seconds = absl::ToDoubleSeconds(kSlot);
  const double drain = supply.drain_per_second;
  const double during = std::max(0.0, drain - reach.present_rate);
  const double after = std::max(0.0, drain - reach.usual_rate);
  // The chance that a burst lasts until the slot, and from one to the next.
  double lasting = 1;
  const double per_slot = std::exp(-slot_seconds / kBurstSeconds);
  double backlog = supply.backlog;  // Served before any reservation.
  reach.first = SlotOf(supply.not_before) + 1;
  for (SlotNumber slot = SlotOf(now) + 1; SlotStart(slot) < end; ++slot) {
    const double capacity =
        ((1 - lasting) * after + lasting * during) * slot_seconds;
    lasting *= per_slot;
    double room = std::max(0.0, capacity - Reserved(need.lane, slot));
    const double drained = std::min(room, backlog);
    backlog -= drained;
    room -= drained;
    if (slot >= reach.first) reach.room.push_back(room);
  }
  return reach;
}

bool ReturnTimes::HasRoomToReturn(const ReturnNeed& need,
                                  const LaneSupply& supply,
                                  absl::Time now) const {
  return FindReach(need, supply, now + ReachOf(need, now), now).Total() >=
         need.work;
}

bool ReturnTimes::HasRoomNow(const ReturnNeed& need, const LaneSupply& supply,
                             absl::Time now) const {
  const absl::Time end = std::min(need.deadline, now + kMaxReturnWait);
  return FindReach(need, supply, end, now).Total() >= need.work;
}

void ReturnTimes::Reserve(const ReturnNeed& need, const Reach& reach,
                          std::size_t first) {
  double left = need.work;
  for (std::size_t i = first; i < reach.room.size() && left > 0; ++i) {
    const double taken = std::min(left, reach.room[i]);
    const SlotNumber slot = reach.first + static_cast<SlotNumber>(i);
    if (taken > 0) {
      reserved_[{slot, need.lane.pool}][need.lane.tier.rank] += taken;
    }
    left -= taken;
  }
  Remember(need, {.slot = reach.first + static_cast<SlotNumber>(first),
                  .reserved = true});
}

ReturnTime ReturnTimes::Plan(const ReturnNeed& need, const LaneSupply& supply,
                             double uniform, absl::Time now) {
  const Reach reach = FindReach(need, supply, now + ReachOf(need, now), now);
  const std::size_t slots = reach.room.size();
  ReturnTime result;
  result.forecast = {.drain_rate = supply.drain_per_second,
                     .backlog = supply.backlog,
                     .present_rate = reach.present_rate,
                     .usual_rate = reach.usual_rate,
                     .room = reach.Total()};
  const bool may_record =
      need.content != kNoContent && records_.size() < kMaxRecords;
  double ahead = 0;  // Room in the kMaxSpan slots from `first` on.
  for (std::size_t i = 0; i < std::min(kMaxSpan, slots); ++i) {
    ahead += reach.room[i];
  }
  for (std::size_t first = 0; may_record && first < slots; ++first) {
    if (reach.room[first] > 0 && ahead >= need.work) {
      Reserve(need, reach, first);
      const absl::Time start =
          SlotStart(reach.first + static_cast<SlotNumber>(first));
      result.forecast.reserved = true;
      result.retry_after =
          std::min(start + uniform * kSlot - now, ReachOf(need, now));
      return result;
    }
    ahead -= reach.room[first];
    if (first + kMaxSpan < slots) ahead += reach.room[first + kMaxSpan];
  }
  const double part = kSpreadFrom + (1 - kSpreadFrom) * uniform;
  result.retry_after =
      std::max(supply.not_before - now, part * ReachOf(need, now));
  if (may_record) {
    Remember(need, {.slot = SlotOf(now + result.retry_after)});
  }
  return result;
}

void ReturnTimes::Remember(const ReturnNeed& need, const Record& record) {
  const Key key{need.lane, need.workspace, need.content};
  records_.emplace(key, record);
  by_slot_.emplace(record.slot, key);
}

ReturnKind ReturnTimes::Claim(const ReturnNeed& need, absl::Time now) {
  if (need.content == kNoContent) return ReturnKind::kNew;
  const Key key{need.lane, need.workspace, need.content};
  const auto [begin, end] = records_.equal_range(key);
  for (auto it = begin; it != end; ++it) {
    const Record record = it->second;
    if (now < SlotStart(record.slot) - kMaxEarly) continue;
    if (now > SlotStart(record.slot + 1) + kMaxLate) continue;
    records_.erase(it);
    by_slot_.erase(by_slot_.find({record.slot, key}));
    return record.reserved ? ReturnKind::kReserved : ReturnKind::kUnreserved;
  }
  return ReturnKind::kNew;
}

std::size_t ReturnTimes::DropExpired(absl::Time now) {
  std::size_t expired = 0;
  while (!by_slot_.empty() &&
         now > SlotStart(by_slot_.begin()->first + 1) + kMaxLate) {
    const SlotNumber slot = by_slot_.begin()->first;
    const auto [begin, end] = records_.equal_range(by_slot_.begin()->second);
    const auto record = std::find_if(begin, end, [slot](const auto& entry) {
      return entry.second.slot == slot;
    });
    expired += record->second.reserved ? 1 : 0;
    records_.erase(record);
    by_slot_.erase(by_slot_.begin());
  }
  while (!reserved_.empty() &&
         SlotStart(reserved_.begin()->first.first + 1) <= now) {
    reserved_.erase(reserved_.begin());
  }
  return expired;
}

}  // namespace gentianlb::schedule
