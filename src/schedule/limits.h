// What a workspace may ask for, and how often a failed connection may be tried
// again.
//
// Load pattern: one workspace, or one key of it, sends without end; a rack goes
// and thousands of connections fail at once. Without limits the loud workspace
// fills the queue for all; without a budget the retries of a failure are a
// burst of their own that keeps the rest of the servers down.

#ifndef GENTIANLB_SCHEDULE_LIMITS_H_
#define GENTIANLB_SCHEDULE_LIMITS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "schedule/index.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

// Fills steadily; may go into debt, so that one request larger than the bucket
// is not refused for ever.
class TokenBucket {
 public:
  void SetRate(double per_second, double capacity, absl::Time now);
  // The same, but what it holds changes in the same proportion: a rate that is
  // changed often must not fill the bucket each time. A debt stays.
  void Rescale(double per_second, double capacity, absl::Time now);
  bool Empty(absl::Time now);
  void Take(double tokens) { level_ -= tokens; }
  // How long until it holds more than `level`.
  absl::Duration UntilFilled(double level = 0) const;
  double level() const { return level_; }

 private:
  double rate_ = 0;
  double capacity_ = 0;
  double level_ = 0;
  absl::Time filled_;
};

struct LimitBreach {
  Code code = Code::kRateLimited;
  absl::Duration retry_after;  // Zero: when its own backlog has drained.
  bool operator==(const LimitBreach&) const = default;
};

class WorkspaceLimits {
 public:
  WorkspaceIndex Number(const WorkspaceId& id);
  void Configure(const std::vector<WorkspaceSpec>& specs, absl::Time now);

  double weight(WorkspaceIndex workspace) const;

  // Whether one more request may come in; nothing is counted yet.
  std::optional<LimitBreach> Check(WorkspaceIndex workspace,
                                   const Request& request, absl::Time now);

  void Waits(WorkspaceIndex workspace, const Request& request);
  void WaitsNoMore(WorkspaceIndex workspace, const Request& request);
  void Runs(WorkspaceIndex workspace) { ++states_[workspace].running; }
  void RunsNoMore(WorkspaceIndex workspace) { --states_[workspace].running; }
  void Charge(WorkspaceIndex workspace, double tokens);

 private:
  struct State {
    WorkspaceSpec spec;
    TokenBucket tokens;
    int waiting = 0;
    std::int64_t waiting_bytes = 0;
    int running = 0;
  };

  Numbering<WorkspaceId> numbers_;
  std::vector<State> states_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_LIMITS_H_
