// Limits per workspace: token rate, concurrent requests and queue space.
//
// Load pattern: one workspace, or one of its API keys, sends requests without
// end. Without limits it would fill the queue for all workspaces.

#ifndef GENTIANLB_SCHEDULE_LIMITS_H_
#define GENTIANLB_SCHEDULE_LIMITS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "schedule/index.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

// A token bucket whose level may become negative, so that a request larger than
// the capacity is not refused forever.
class TokenBucket {
 public:
  // Sets rate and capacity. A changed rate or capacity fills the bucket.
  void SetRate(double per_second, double capacity, absl::Time now);
  // Sets rate and capacity and scales a positive level in proportion, so that
  // frequent rate changes do not refill the bucket. Keeps a negative level.
  void Rescale(double per_second, double capacity, absl::Time now);
  // Adds the tokens earned until `now`. Returns whether the level is 0 or less.
  bool IsEmpty(absl::Time now);
  // Removes `tokens`; the level may become negative.
  void Take(double tokens) { level_ -= tokens; }
  // Returns the time until the bucket holds `level` tokens; zero if it holds
  // more or the rate is 0.
  absl::Duration TimeUntilLevel(double level = 0) const;
  double level() const { return level_; }

 private:
  double rate_ = 0;  // Tokens per second.
  double capacity_ = 0;
  double level_ = 0;
  absl::Time refilled_at_;
};

// Describes which limit a request exceeds.
struct LimitBreach {
  Code code = Code::kRateLimited;
  // Until the token bucket has tokens again; zero for the other limits.
  absl::Duration retry_after;
  bool operator==(const LimitBreach&) const = default;
};

// Counts the waiting and running requests of each workspace and checks them
// against its limits.
class WorkspaceLimits {
 public:
  // Returns the index of a workspace; adds it with default limits if it is new.
  WorkspaceIndex IndexOf(const WorkspaceId& id);
  void Configure(const std::vector<WorkspaceSpec>& specs, absl::Time now);

  // Returns the fair-queueing weight, which is always positive.
  double weight(WorkspaceIndex workspace) const;

  // Returns the limit that one more request would exceed, if any. Does not
  // count the request.
  std::optional<LimitBreach> Check(WorkspaceIndex workspace,
                                   const Request& request, absl::Time now);

  void AddWaiting(WorkspaceIndex workspace, const Request& request);
  void RemoveWaiting(WorkspaceIndex workspace, const Request& request);
  void AddRunning(WorkspaceIndex workspace) { ++states_[workspace].running; }
  void RemoveRunning(WorkspaceIndex workspace) { --states_[workspace].running; }
  // Takes `tokens` from the workspace's token bucket.
  void Charge(WorkspaceIndex workspace, double tokens);

 private:
  struct State {
    WorkspaceSpec spec;
    TokenBucket tokens;
    int waiting = 0;
    std::int64_t waiting_bytes = 0;
    int running = 0;
  };

  Interner<WorkspaceId> ids_;
  std::vector<State> states_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_LIMITS_H_
