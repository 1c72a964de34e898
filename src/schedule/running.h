// What was granted and has not ended: the in-doubt part of the dispatcher's
// picture. Ordered so that whoever is to be cancelled, or is late, is found
// without a search.

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
#include "schedule/pace.h"
#include "schedule/server.h"

namespace gentianlb::schedule {

struct Running {
  WaitingRequest origin;  // As it waited; its marks serve a second try.
  ServerIndex server = kNoIndex;
  Demand demand;
  double cached_tokens = 0;  // As predicted.
  FirstTokenTime expected_first;
  FirstTokenTime expected_uncached;  // The same if nothing is cached.
  double predicted_first = 0;        // Seconds, as learnt, nothing cached.
  absl::Time granted;
  bool first_token = false;
  int output_tokens = 0;
  absl::Time reported;      // When output_tokens was.
  absl::Time overdue;       // Silent beyond this: slow.
  bool taken_over = false;  // Granted by another dispatcher.
  std::optional<WasteCause> cancelled;
};

class RunningTable {
 public:
  RunIndex Add(Running running);
  Running Remove(RunIndex index);

  // kNoIndex when unknown.
  RunIndex Find(const RequestId& id) const;
  const Running& Get(RunIndex index) const { return running_[index]; }
  std::size_t size() const { return running_.size(); }

  void SetFirstToken(RunIndex index);
  void SetStreamed(RunIndex index, int tokens, absl::Time now);
  void SetDemand(RunIndex index, const Demand& demand);
  void SetOverdue(RunIndex index, absl::Time overdue);
  // Its deadline no longer matters: it is late and runs on.
  void LetRun(RunIndex index);
  // It no longer is a candidate for anything, but still counts as running.
  void SetCancelled(RunIndex index, WasteCause cause);

  // The first overdue for its first token; kNoIndex when none is by `now`.
  RunIndex Overdue(absl::Time now) const;
  absl::Time NextOverdue() const;

  // Who is cancelled first: of the lowest tier, the one with the least prompt
  // work done. Ranks above `above` only, and only what `accept` takes, looking
  // at no more than `limit`.
  template <typename Accept>
  RunIndex FirstVictim(int above, int limit, Accept accept) const {
    for (const auto& [rank, thrown, index] : victims_) {
      if (-rank <= above || limit-- == 0) break;
      if (accept(running_[index])) return index;
    }
    return kNoIndex;
  }

  // The one with the earliest deadline; kNoIndex when there is none.
  RunIndex EarliestDeadline() const;

 private:
  // The deadline orders are small: cancelled and plain calls are left out.
  using VictimKey = std::tuple<int, int, RunIndex>;

  static VictimKey KeyOf(const Running& running, RunIndex index);

  Slab<Running> running_;
  absl::flat_hash_map<RequestId, RunIndex> by_id_;
  absl::btree_set<VictimKey> victims_;  // Minus rank, prompt work done.
  absl::btree_set<std::pair<absl::Time, RunIndex>> deadlines_;
  absl::btree_set<std::pair<absl::Time, RunIndex>> overdue_;
};

// Prompt tokens that cancelling `running` now would throw away.
double ComputedPrefill(const Running& running, absl::Time now);

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_RUNNING_H_
