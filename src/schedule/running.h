// The requests that were granted and are not known to have finished. Ordered
// indexes find the next request to cancel, the next deadline and the next
// overdue first token without a scan.

#ifndef GENTIANLB_SCHEDULE_RUNNING_H_
#define GENTIANLB_SCHEDULE_RUNNING_H_

#include <optional>
#include <tuple>

#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "schedule/counters.h"
#include "schedule/index.h"
#include "schedule/messages.h"
#include "schedule/order.h"
#include "schedule/server.h"
#include "schedule/speed_estimator.h"

namespace gentianlb::schedule {

// A request that was granted and is not known to have finished.
struct RunningRequest {
  WaitingRequest origin;  // The queue entry; a retry queues it again.
  ServerIndex server = kNoIndex;
  Demand demand;
  double cached_tokens = 0;  // As predicted.
  FirstTokenTime expected_first_token;
  FirstTokenTime expected_first_token_uncached;  // If nothing is cached.
  // Predicted seconds to the first token if nothing is cached; of the whole
  // call for a plain service.
  double predicted_first_token_seconds = 0;
  absl::Time granted_at;
  bool first_token = false;
  int output_tokens = 0;
  absl::Time last_report_at;  // When output_tokens was last updated.
  absl::Time overdue_at;      // When a missing first token becomes overdue.
  // When it was sent is unknown: another dispatcher granted it, or its host
  // tried several paths. Its times are no samples.
  bool times_unknown = false;
  std::optional<WasteCause> cancel_cause;  // Set while being cancelled.
};

// Finds running requests by id, deadline, cancellation order and overdue time.
class RunningTable {
 public:
  RunIndex Add(RunningRequest running);
  RunningRequest Remove(RunIndex index);

  // Returns kNoIndex if unknown.
  RunIndex Find(const RequestId& id) const;
  // Returns the number of requests with this content that were granted at
  // `since` or later. Scans all.
  std::size_t CountContent(ContentHash content, absl::Time since) const;
  const RunningRequest& Get(RunIndex index) const { return running_[index]; }
  std::size_t size() const { return running_.size(); }

  void SetFirstToken(RunIndex index);
  void SetOutputTokens(RunIndex index, int tokens, absl::Time now);
  void SetDemand(RunIndex index, const Demand& demand);
  void SetOverdueTime(RunIndex index, absl::Time overdue_at);
  // Takes no more samples from a request's times; it never becomes overdue.
  void IgnoreTimes(RunIndex index);
  // Removes a request from the deadline order: it is late but keeps running.
  void IgnoreDeadline(RunIndex index);
  // Marks a request as being cancelled. It leaves all orders but still counts
  // as running until Remove().
  void SetCancelCause(RunIndex index, WasteCause cause);

  // Returns the request whose first token is overdue longest; kNoIndex if none
  // is overdue at `now`.
  RunIndex FirstOverdue(absl::Time now) const;
  absl::Time NextOverdueTime() const;

  // Returns the request to cancel first: lowest tier, then least prompt work
  // done. Considers at most `limit` requests with a rank greater than `above`
  // and returns the first that `accept` takes, or kNoIndex.
  template <typename Accept>
  RunIndex FirstVictim(int above, int limit, Accept accept) const {
    for (const auto& [negated_rank, wasted, index] : victims_) {
      if (-negated_rank <= above || limit-- == 0) break;
      if (accept(running_[index])) return index;
    }
    return kNoIndex;
  }

  // Returns the request with the earliest deadline, or kNoIndex if there is
  // none.
  RunIndex EarliestDeadline() const;

 private:
  // Negated tier rank, prompt tokens that a cancellation would waste, request.
  using VictimKey = std::tuple<int, int, RunIndex>;

  static VictimKey KeyOf(const RunningRequest& running, RunIndex index);

  Slab<RunningRequest> running_;
  absl::flat_hash_map<RequestId, RunIndex> by_id_;
  // Requests that may be cancelled, in the order of cancellation. Calls of
  // plain services and requests being cancelled are left out, here and in
  // `deadlines_`.
  absl::btree_set<VictimKey> victims_;
  absl::btree_set<std::pair<absl::Time, RunIndex>> deadlines_;
  absl::btree_set<std::pair<absl::Time, RunIndex>> overdue_;
};

// Returns the prompt tokens that cancelling `running` now would waste.
double ComputedPrefill(const RunningRequest& running, absl::Time now);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_RUNNING_H_
