// Decides when a refused caller should retry, and reserves capacity for it.
//
// Load pattern: bursts of 2.5 to 6 s at 1.5 to 3 times the capacity, between
// which capacity is left over. Callers retry once, after at most a third of the
// time that they have left. If the retry-after follows from the backlog alone,
// which is below a second, they return within the same burst and are refused
// for good.
//
// Time is divided into slots. The capacity forecast of a slot is the part of a
// pool's drain rate that the expected arrivals of higher tiers and of the same
// tier leave to a lane. As bursts end at an unknown time, it is the mean of two
// cases: the present arrival rates go on, or they have returned to the usual
// ones. The chance of the second grows with the slot's distance.
//
// A reservation takes the earliest capacity left within the caller's reach. If
// none is left, the retry times are spread over the later part of the reach,
// and nothing is reserved. A retry is recognised by its lane, workspace and
// content. One without a reservation is late all the same: its objective has
// passed. It is only admitted if the forecast has room for it when it arrives;
// otherwise the retries of one burst would be the next one. The records are
// bounded and short-lived, and the loss of one only means that a retry is
// decided like a new request.

#ifndef GENTIANLB_SCHEDULE_RETURN_TIMES_H_
#define GENTIANLB_SCHEDULE_RETURN_TIMES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/time/time.h"
#include "schedule/index.h"
#include "schedule/messages.h"
#include "schedule/order.h"

namespace gentianlb::schedule {

// Estimates the work that arrives per second in one lane: now, and usually.
class ArrivalRate {
 public:
  void Record(double work, absl::Time now);
  // The present rate follows a burst within about a second.
  double Present(absl::Time now) const;
  // The usual rate is that between bursts. It never exceeds the present one.
  double Usual(absl::Time now) const;

 private:
  void Advance(absl::Time now);

  double present_ = 0;
  double usual_ = 0;
  absl::Time started_ = absl::InfiniteFuture();
  absl::Time advanced_at_;
};

// What a refused request needs.
struct ReturnNeed {
  LaneKey lane;
  WorkspaceIndex workspace = 0;
  ContentHash content = kNoContent;
  double work = 0;
  absl::Time deadline;
  bool operator==(const ReturnNeed&) const = default;
};

// What the dispatcher knows of the lane's pool.
struct LaneSupply {
  double drain_per_second = 0;  // Of the pool, in work.
  double backlog = 0;           // Work of the lane and of higher tiers.
  absl::Time not_before;        // Earliest time of a retry.
  bool operator==(const LaneSupply&) const = default;
};

struct ReturnTime {
  absl::Duration retry_after;
  ReturnForecast forecast;
  bool operator==(const ReturnTime&) const = default;
};

// What is known of an arriving request.
enum class ReturnKind {
  kNew,         // Not known to return.
  kReserved,    // Returns, and has a reservation.
  kUnreserved,  // Returns without one.
};

class ReturnTimes {
 public:
  static constexpr absl::Duration kSlot = absl::Milliseconds(100);

  // Records a request that arrives without a reservation. `timed`: it has a
  // first token deadline.
  void RecordArrival(const LaneKey& lane, double work, bool timed,
                     absl::Time now);

  // Returns whether the forecast has room for a retry within the caller's
  // reach.
  bool HasRoomToReturn(const ReturnNeed& need, const LaneSupply& supply,
                       absl::Time now) const;

  // Returns whether the forecast has room for the request before its deadline.
  bool HasRoomNow(const ReturnNeed& need, const LaneSupply& supply,
                  absl::Time now) const;

  // Chooses the retry time of a refused request and reserves capacity for it if
  // some is left. `uniform`, in [0, 1), spreads the times.
  ReturnTime Plan(const ReturnNeed& need, const LaneSupply& supply,
                  double uniform, absl::Time now);

  // Returns whether the arriving request is one that was told to return at this
  // time, and removes its record.
  ReturnKind Claim(const ReturnNeed& need, absl::Time now);

  // Drops the records of callers that have not returned in time, and returns
  // how many had a reservation.
  std::size_t DropExpired(absl::Time now);

  std::size_t size() const { return records_.size(); }

 private:
  using SlotNumber = std::int64_t;

  struct Key {
    LaneKey lane;
    WorkspaceIndex workspace = 0;
    ContentHash content = kNoContent;
    auto operator<=>(const Key&) const = default;
  };

  // Slots from the first that the caller can use to the last one, each with
  // the capacity that is not yet reserved.
  struct Reach {
    SlotNumber first = 0;
    std::vector<double> room;
    double present_rate = 0;
    double usual_rate = 0;
    double Total() const {
      return std::accumulate(room.begin(), room.end(), 0.0);
    }
  };

  // The slot at which a caller was told to return.
  struct Record {
    SlotNumber slot = 0;
    bool reserved = false;
  };

  Reach FindReach(const ReturnNeed& need, const LaneSupply& supply,
                  absl::Time end, absl::Time now) const;
  void Remember(const ReturnNeed& need, const Record& record);
  // Adds up the rates of the arrivals that are served before the lane's
  // returning requests.
  void AddRates(const LaneKey& lane, absl::Time now, Reach* reach) const;
  double Reserved(const LaneKey& lane, SlotNumber slot) const;
  void Reserve(const ReturnNeed& need, const Reach& reach, std::size_t first);

  std::map<LaneKey, ArrivalRate> arrivals_;        // All.
  std::map<LaneKey, ArrivalRate> timed_arrivals_;  // With such a deadline.
  // Reserved work by slot, pool and tier rank.
  std::map<std::pair<SlotNumber, PoolIndex>, std::map<int, double>> reserved_;
  absl::btree_multimap<Key, Record> records_;
  absl::btree_multiset<std::pair<SlotNumber, Key>> by_slot_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_RETURN_TIMES_H_
