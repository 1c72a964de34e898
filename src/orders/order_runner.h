// Sends orders to the backend servers until they match the configuration in
// force. Connects the lease and the sequence of steps to a table service and to
// the engines. Every entry host has one; only the holder of the lease sends
// orders, the other hosts monitor the lease.
//
// Usage: construct it with the table, an EngineService and a monotonic clock.
// Call SetConfig() with each version that comes into force. Call Tick() when
// NextDue() has passed, and after each answer of a service (NextDue() is then
// in the past). The control thread owns it and no call blocks. The services
// must run no callback after its destruction.
//
// A step takes this path, also when a new holder of the lease continues it:
//   row written as open -> kReadProgress: the engine reports on the order
//     unknown -> kReadState -> kSendOrder -> kReadProgress
//     done    -> kVerify: state read again -> kClose: row closed
// A lost answer at any point leads back to kReadProgress, not to a guess.

#ifndef GENTIANLB_ORDERS_ORDER_RUNNER_H_
#define GENTIANLB_ORDERS_ORDER_RUNNER_H_

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "orders/lease.h"
#include "orders/sequence.h"

namespace gentianlb::orders {

struct RunnerOptions {
  LeaseOptions lease;
  SequenceOptions sequence;
  // Shorter than SequenceOptions::max_age.
  absl::Duration state_interval = absl::Seconds(4);
  absl::Duration poll_interval = absl::Seconds(2);
  // The wait after a failed step: the weight store may be over its rate.
  absl::Duration retry_delay = absl::Seconds(30);
  // An upper bound of the lease duration on all hosts, for engines that ignore
  // fencing.
  absl::Duration max_lease_duration = absl::Seconds(15);
  // The maximum time from the sending of an order to its effect. A new holder
  // sends no order to an engine that ignores fencing until the orders of the
  // old holder are finished.
  absl::Duration max_order_duration = absl::Minutes(10);
  bool operator==(const RunnerOptions&) const = default;
};

struct RunnerCounters {
  std::int64_t acquired = 0;  // Leases acquired.
  std::int64_t sent = 0;      // Orders sent.
  std::int64_t stale = 0;    // Orders that an engine refused for a stale fence.
  std::int64_t done = 0;     // Steps closed as done.
  std::int64_t failed = 0;   // Steps closed as failed.
  std::int64_t corrupt = 0;  // Unreadable rows; their servers get no orders.
  int held_back = 0;         // Steps that are required but not yet allowed.
  int open = 0;              // Open steps.
  bool holder = false;       // This host holds the lease.
  bool operator==(const RunnerCounters&) const = default;
};

template <typename C>
concept MonotonicClock = requires(C clock) {
  { clock() } -> std::convertible_to<absl::Time>;
};

template <store::TableService Table, EngineService Engine, MonotonicClock Now>
class OrderRunner {
 public:
  // `table` and `engine` outlive this object.
  OrderRunner(RunnerOptions options, EntryHostId self, Incarnation incarnation,
              Table* table, Engine* engine, Now now)
      : options_(options),
        self_(std::move(self)),
        incarnation_(incarnation),
        table_(table),
        engine_(engine),
        now_(std::move(now)),
        lease_(options.lease, self_, incarnation) {}

  OrderRunner(const OrderRunner&) = delete;
  OrderRunner& operator=(const OrderRunner&) = delete;

  // Sets the configuration in force; Tick() is due afterwards.
  void SetConfig(std::shared_ptr<const config::Configuration> configuration) {
    configuration_ = std::move(configuration);
    tick_due_ = true;
  }

  // Makes the calls to the table and the engines that are due.
  void Tick() {
    tick_due_ = false;
    TickLease();
    counters_.holder = lease_.IsHeld(now_());
    if (!counters_.holder || configuration_ == nullptr) return;
    if (lease_fence_ != lease_.fence()) OnLeaseAcquired();
    if (!scanned_) return Scan();
    for (const config::ServerConfig& server : configuration_->servers) {
      if (AcceptsOrders(*configuration_, server)) Advance(server);
    }
    StartSteps();
  }

  // Returns when Tick() is due.
  absl::Time NextDue() const {
    if (tick_due_) return absl::InfinitePast();
    absl::Time now = now_();
    // No open step needs a shorter interval than the polls.
    absl::Time due = counters_.holder ? now + options_.poll_interval
                                      : absl::InfiniteFuture();
    return std::min(due, lease_.NextDue(now));
  }

  const RunnerCounters& counters() const { return counters_; }

 private:
  enum class Phase { kReadProgress, kReadState, kSendOrder, kVerify, kClose };

  // The next action at one server.
  struct ServerTask {
    Phase phase = Phase::kReadProgress;
    bool busy = false;
    absl::Time due = absl::InfinitePast();
    store::RowVersion version = 0;  // The version of the step's row.
    StepState final_state = StepState::kDone;
    bool checks_fence = true;  // The engine checks fencing numbers.
  };

  void TickLease() {
    std::optional<LeaseCall> call = lease_.NextCall(now_());
    if (!call) return;
    if (std::holds_alternative<ReadLease>(*call)) {
      table_->Read({kLeaseKey}, [this](store::ReadResult result) {
        lease_.OnRead(result, now_());
        tick_due_ = true;
      });
      return;
    }
    table_->Commit(std::get<store::Transaction>(*call),
                   [this](store::CommitResult result) {
                     lease_.OnCommitted(result, now_());
                     tick_due_ = true;
                   });
  }

  // Discards the state of an earlier lease: other hosts may have sent orders
  // since.
  void OnLeaseAcquired() {
    lease_fence_ = lease_.fence();
    ++counters_.acquired;
    scanned_ = false;
    scanning_ = false;
    ++generation_;
    views_.clear();
    tasks_.clear();
  }

  void Scan() {
    if (scanning_ || now_() < scan_due_) return;
    scanning_ = true;
    table_->Scan(kStepPrefix, Guard([this](store::ReadResult result) {
                   scanning_ = false;
                   scan_due_ = now_() + options_.lease.retry_delay;
                   if (result.ok()) OnScan(result.value());
                 }));
  }

  void OnScan(const std::vector<store::Row>& rows) {
    scanned_ = true;
    ++generation_;  // Drops the answers to earlier calls.
    tasks_.clear();
    for (const store::Row& row : rows) {
      ServerId server(row.key.substr(std::string_view(kStepPrefix).size()));
      tasks_[server].version = row.version;
      ServerView& view = views_[server];
      view.step = DecodeStep(row.value);
      if (view.step) newest_ = std::max(newest_, view.step->version);
      if (view.step) continue;
      // Orders may be running at this server, so no step starts there.
      view.not_before = absl::InfiniteFuture();
      ++counters_.corrupt;
    }
  }

  // Wraps a callback so that answers from before a new lease or scan are
  // dropped.
  template <typename F>
  auto Guard(F body) {
    return
        [this, generation = generation_, body = std::move(body)](auto result) {
          if (generation != generation_) return;
          tick_due_ = true;
          body(std::move(result));
        };
  }

  bool IsOpen(const ServerId& server) {
    const std::optional<StepRow>& step = views_[server].step;
    return step && step->state == StepState::kOpen;
  }

  void Advance(const config::ServerConfig& server) {
    const ServerId& id = server.spec.id;
    ServerTask& task = tasks_[id];
    task.checks_fence = server.fencing == config::Fencing::kChecks;
    if (task.busy || now_() < task.due) return;
    if (!IsOpen(id)) return ReadState(id, Phase::kReadProgress);
    // An engine that ignores fencing may still receive or execute orders of the
    // old holder. What it reports before they are finished is not reliable.
    if (now_() < OldOrdersEnd(task)) return;
    switch (task.phase) {
      case Phase::kReadProgress:
        return ReadProgress(id);
      case Phase::kReadState:
      case Phase::kVerify:
        return ReadState(id, task.phase);
      case Phase::kSendOrder:
        return SendOrder(id);
      case Phase::kClose:
        return CloseStep(id);
    }
  }

  // Returns when the orders of an earlier holder are surely finished.
  absl::Time OldOrdersEnd(const ServerTask& task) const {
    if (task.checks_fence) return absl::InfinitePast();
    return lease_.acquired_at() + options_.max_lease_duration +
           options_.max_order_duration;
  }

  // Reads what the engine has loaded. For an open step, OnReadState() also
  // checks whether the step took effect.
  void ReadState(const ServerId& id, Phase phase) {
    tasks_[id].busy = true;
    absl::Time requested_at = now_();
    engine_->ReadState(
        id, Guard([this, id, phase, requested_at](Outcome<EngineState> result) {
          OnReadState(id, phase, requested_at, result);
        }));
  }

  void OnReadState(const ServerId& id, Phase phase, absl::Time requested_at,
                   const Outcome<EngineState>& result) {
    ServerTask& task = tasks_[id];
    ServerView& view = views_[id];
    task.busy = false;
    view.state.reset();
    CountFailure(&view, result.ok());
    if (result.ok()) view.state = result.value();
    view.read_at = requested_at;
    bool idle = !IsOpen(id);
    if (idle) task.due = now_() + options_.state_interval;
    if (idle) return;
    if (!view.state) return PollLater(&task);
    if (TookEffect(*view.step, *view.state)) {
      return CloseAs(&task, StepState::kDone);
    }
    if (phase == Phase::kVerify) return CloseAs(&task, StepState::kFailed);
    task.phase = Phase::kSendOrder;
  }

  static void CountFailure(ServerView* view, bool responded) {
    view->consecutive_failures = responded ? 0 : view->consecutive_failures + 1;
  }

  void PollLater(ServerTask* task) {
    task->phase = Phase::kReadProgress;
    task->due = now_() + options_.poll_interval;
  }

  void CloseAs(ServerTask* task, StepState state) {
    task->phase = Phase::kClose;
    task->final_state = state;
    task->due = absl::InfinitePast();
  }

  void ReadProgress(const ServerId& id) {
    tasks_[id].busy = true;
    engine_->ReadProgress(id, views_[id].step->order,
                          Guard([this, id](Outcome<OrderProgress> result) {
                            CountFailure(&views_[id], result.ok());
                            OnProgress(&tasks_[id], result);
                          }));
  }

  void OnProgress(ServerTask* task, const Outcome<OrderProgress>& result) {
    task->busy = false;
    if (!result.ok()) return PollLater(task);
    switch (result.value()) {
      case OrderProgress::kRunning:
        return PollLater(task);
      case OrderProgress::kDone:
        task->phase = Phase::kVerify;
        return;
      case OrderProgress::kFailed:
        return CloseAs(task, StepState::kFailed);
      case OrderProgress::kUnknownOrder:
        task->phase = Phase::kReadState;
        return;
    }
  }

  void SendOrder(const ServerId& id) {
    ServerTask& task = tasks_[id];
    const StepRow& row = *views_[id].step;
    // Other servers may have become unavailable since the row was written.
    if (!configuration_ || !IsSafe({id, row}, *configuration_, views_,
                                   options_.sequence, now_())) {
      return PollLater(&task);
    }
    // This check comes last, because the host may have been paused above.
    if (!lease_.IsHeld(now_())) return;
    task.busy = true;
    ++counters_.sent;
    engine_->SendOrder(
        id, {row.order, lease_.fence(), row.kind, row.model, row.role},
        Guard([this, id](OrderReply reply) { OnReply(&tasks_[id], reply); }));
  }

  void OnReply(ServerTask* task, OrderReply reply) {
    task->busy = false;
    if (reply == OrderReply::kRefused) return CloseAs(task, StepState::kFailed);
    PollLater(task);
    if (reply != OrderReply::kStaleFence) return;
    ++counters_.stale;
    lease_.Drop();
  }

  void CloseStep(const ServerId& id) {
    StepRow row = *views_[id].step;
    row.state = tasks_[id].final_state;
    WriteRow(id, std::move(row));
  }

  void StartSteps() {
    // A step whose row is being written isn't counted yet, so starting another
    // could exceed the limits.
    if (!scanned_ || pending_writes_ > 0) return;
    // An earlier holder acted on a newer configuration. Steps for an older one
    // would undo it, so this host waits until it receives the newer one.
    if (configuration_->version < newest_) return;
    for (const config::ServerConfig& server : configuration_->servers) {
      ServerView& view = views_[server.spec.id];
      view.not_before =
          std::max(view.not_before, OldOrdersEnd(tasks_[server.spec.id]));
    }
    StartableSteps startable =
        NextSteps(*configuration_, views_, options_.sequence, now_());
    counters_.held_back = startable.held_back;
    counters_.open = CountOpenSteps();
    for (Step& step : startable.steps) {
      if (tasks_[step.server].busy) continue;
      WriteRow(step.server, std::move(step.row));
    }
  }

  int CountOpenSteps() {
    int open = 0;
    for (const auto& [server, view] : views_) {
      if (view.step && view.step->state == StepState::kOpen) ++open;
    }
    return open;
  }

  void WriteRow(const ServerId& id, StepRow row) {
    ServerTask& task = tasks_[id];
    if (!lease_.IsHeld(now_())) return;
    task.busy = true;
    ++pending_writes_;
    row.fence = lease_.fence();
    store::Transaction transaction{
        absl::StrCat("orders/", self_.str(), "/", incarnation_, "/",
                     ++last_write_number_),
        {{StepKey(id), task.version}},
        {{StepKey(id), Encode(row)}}};
    auto on_written = Guard([this, id, row](store::CommitResult result) {
      OnWritten(id, row, result);
    });
    table_->Commit(transaction, [this, on_written](store::CommitResult result) {
      --pending_writes_;
      on_written(std::move(result));
    });
  }

  void OnWritten(const ServerId& id, const StepRow& row,
                 const store::CommitResult& result) {
    ServerTask& task = tasks_[id];
    task.busy = false;
    if (result.state == store::CommitState::kNotApplied) {
      task.due = now_() + options_.lease.retry_delay;
      return;
    }
    if (result.state != store::CommitState::kCommitted ||
        result.versions.empty()) {
      // The answer was lost or another holder wrote the row: scan again.
      scanned_ = false;
      return;
    }
    task.version = result.versions.front().version;
    task.phase = Phase::kReadProgress;
    task.due = absl::InfinitePast();
    views_[id].step = row;
    RecordStepResult(id, row.state);
  }

  void RecordStepResult(const ServerId& id, StepState state) {
    if (state == StepState::kDone) ++counters_.done;
    if (state != StepState::kFailed) return;
    ++counters_.failed;
    views_[id].not_before = now_() + options_.retry_delay;
  }

  const RunnerOptions options_;
  const EntryHostId self_;
  const Incarnation incarnation_;
  Table* table_;
  Engine* engine_;
  Now now_;
  Lease lease_;
  std::shared_ptr<const config::Configuration> configuration_;

  Fence lease_fence_ = 0;  // The lease under which the state below was read.
  std::int64_t generation_ = 0;
  bool scanned_ = false;
  bool scanning_ = false;
  config::Version newest_ = 0;  // The newest that any holder acted on.
  absl::Time scan_due_ = absl::InfinitePast();
  Views views_;
  std::map<ServerId, ServerTask> tasks_;
  int pending_writes_ = 0;
  std::int64_t last_write_number_ = 0;
  bool tick_due_ = false;
  RunnerCounters counters_;
};

}  // namespace gentianlb::orders

#endif  // GENTIANLB_ORDERS_ORDER_RUNNER_H_
