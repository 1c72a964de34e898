// Brings the backend servers to what the configuration in force says: the lease
// and the sequence, wired to a table service and to the engines. Every entry
// host has one; the lease's holder acts, the others only watch the lease.
//
// To wire it: construct it with the table, an EngineService and a monotonic
// clock; SetConfig() with each version that comes into force; call Tick() when
// NextDue() has come, and again after each answer of a service (NextDue() is
// then in the past). Owned by the control thread; nothing here blocks. The
// services answer no more once this object is gone.
//
// The way of a step, the same for who began it and for who takes it over:
//   row written as open -> what does the engine say of the order? (kAsk)
//     never heard of it -> state before (kBefore) -> order sent (kSend) -> kAsk
//     done              -> state after (kVerify) -> row closed (kClose)
// An answer that is lost at any point leads back to kAsk, not to a guess.

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
  absl::Duration look_every = absl::Seconds(4);  // Below SequenceOptions.fresh.
  absl::Duration poll_every = absl::Seconds(2);
  // After a step that failed: the weight store may be over its rate.
  absl::Duration retry_after = absl::Seconds(30);
  // Of any holder's lease, for engines that ignore fencing; at least as long as
  // any host's setting.
  absl::Duration longest_lease = absl::Seconds(15);
  // Longest that an order takes from its sending to its effect. An engine that
  // ignores fencing gets none from a new holder before the old one's are over.
  absl::Duration longest_order = absl::Minutes(10);
  bool operator==(const RunnerOptions&) const = default;
};

struct RunnerCounters {
  std::int64_t acquired = 0;  // Leases taken.
  std::int64_t sent = 0;
  std::int64_t stale = 0;  // Refused by an engine: another host is in charge.
  std::int64_t done = 0;
  std::int64_t failed = 0;
  std::int64_t corrupt = 0;  // Rows that can't be read; their servers wait.
  int held_back = 0;         // Steps that wait for now.
  int open = 0;
  bool holder = false;
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

  void SetConfig(std::shared_ptr<const config::Configuration> configuration) {
    configuration_ = std::move(configuration);
    answered_ = true;
  }

  void Tick() {
    answered_ = false;
    TickLease();
    counters_.holder = lease_.Held(now_());
    if (!counters_.holder || configuration_ == nullptr) return;
    if (holding_ != lease_.fence()) BeginHolding();
    if (!scanned_) return Scan();
    for (const config::ServerConfig& server : configuration_->servers) {
      if (TakesOrders(*configuration_, server)) Advance(server);
    }
    StartSteps();
  }

  absl::Time NextDue() const {
    if (answered_) return absl::InfinitePast();
    absl::Time now = now_();
    // Nothing under way needs a finer step than the polls.
    absl::Time due =
        counters_.holder ? now + options_.poll_every : absl::InfiniteFuture();
    return std::min(due, lease_.NextDue(now));
  }

  const RunnerCounters& counters() const { return counters_; }

 private:
  enum class Phase { kAsk, kBefore, kSend, kVerify, kClose };

  struct Work {
    Phase phase = Phase::kAsk;
    bool busy = false;
    absl::Time due = absl::InfinitePast();
    store::RowVersion version = 0;  // Of the step's row.
    StepState closing = StepState::kDone;
    bool checks = true;  // The engine checks fencing numbers.
  };

  void TickLease() {
    std::optional<LeaseCall> call = lease_.Next(now_());
    if (!call) return;
    if (std::holds_alternative<ReadLease>(*call)) {
      table_->Read({kLeaseKey}, [this](store::ReadResult result) {
        lease_.OnRead(result, now_());
        answered_ = true;
      });
      return;
    }
    table_->Commit(std::get<store::Transaction>(*call),
                   [this](store::CommitResult result) {
                     lease_.OnCommitted(result, now_());
                     answered_ = true;
                   });
  }

  // Forgets all that an earlier holding believed: others may have acted since.
  void BeginHolding() {
    holding_ = lease_.fence();
    ++counters_.acquired;
    scanned_ = false;
    scanning_ = false;
    ++round_;
    views_.clear();
    works_.clear();
  }

  void Scan() {
    if (scanning_ || now_() < scan_due_) return;
    scanning_ = true;
    table_->Scan(kStepPrefix, Guard([this](store::ReadResult result) {
                   scanning_ = false;
                   scan_due_ = now_() + options_.lease.retry_after;
                   if (result.ok()) OnScan(result.value());
                 }));
  }

  void OnScan(const std::vector<store::Row>& rows) {
    scanned_ = true;
    ++round_;  // Answers to what was asked before don't count any more.
    works_.clear();
    for (const store::Row& row : rows) {
      ServerId server(row.key.substr(std::string_view(kStepPrefix).size()));
      works_[server].version = row.version;
      ServerView& view = views_[server];
      view.step = DecodeStep(row.value);
      if (view.step) newest_ = std::max(newest_, view.step->version);
      if (view.step) continue;
      // What is under way there can't be known, so nothing is begun.
      view.not_before = absl::InfiniteFuture();
      ++counters_.corrupt;
    }
  }

  // An answer that outlives the holding or a rescan is dropped.
  template <typename F>
  auto Guard(F body) {
    return [this, round = round_, body = std::move(body)](auto result) {
      if (round != round_) return;
      answered_ = true;
      body(std::move(result));
    };
  }

  bool IsOpen(const ServerId& server) {
    const std::optional<StepRow>& step = views_[server].step;
    return step && step->state == StepState::kOpen;
  }

  void Advance(const config::ServerConfig& server) {
    const ServerId& id = server.spec.id;
    Work& work = works_[id];
    work.checks = server.fencing == config::Fencing::kChecks;
    if (work.busy || now_() < work.due) return;
    if (!IsOpen(id)) return Look(id, Phase::kAsk);
    // An engine that ignores fencing may still be carrying out, or receiving,
    // orders of the old holder; what it says before they are over is no proof.
    if (now_() < QuietUntil(work)) return;
    switch (work.phase) {
      case Phase::kAsk:
        return Ask(id);
      case Phase::kBefore:
      case Phase::kVerify:
        return Look(id, work.phase);
      case Phase::kSend:
        return Send(id);
      case Phase::kClose:
        return Close(id);
    }
  }

  absl::Time QuietUntil(const Work& work) const {
    if (work.checks) return absl::InfinitePast();
    return lease_.acquired_at() + options_.longest_lease +
           options_.longest_order;
  }

  // Sees what the engine has loaded; in a step, judges it.
  void Look(const ServerId& id, Phase phase) {
    works_[id].busy = true;
    absl::Time asked = now_();
    engine_->ReadState(
        id, Guard([this, id, phase, asked](Outcome<EngineState> result) {
          OnLooked(id, phase, asked, result);
        }));
  }

  void OnLooked(const ServerId& id, Phase phase, absl::Time asked,
                const Outcome<EngineState>& result) {
    Work& work = works_[id];
    ServerView& view = views_[id];
    work.busy = false;
    view.state.reset();
    CountFailure(&view, result.ok());
    if (result.ok()) view.state = result.value();
    view.seen = asked;
    bool idle = !IsOpen(id);
    if (idle) work.due = now_() + options_.look_every;
    if (idle) return;
    if (!view.state) return AskLater(&work);
    if (TookEffect(*view.step, *view.state)) {
      return CloseAs(&work, StepState::kDone);
    }
    if (phase == Phase::kVerify) return CloseAs(&work, StepState::kFailed);
    work.phase = Phase::kSend;
  }

  static void CountFailure(ServerView* view, bool answered) {
    view->failures = answered ? 0 : view->failures + 1;
  }

  void AskLater(Work* work) {
    work->phase = Phase::kAsk;
    work->due = now_() + options_.poll_every;
  }

  void CloseAs(Work* work, StepState state) {
    work->phase = Phase::kClose;
    work->closing = state;
    work->due = absl::InfinitePast();
  }

  void Ask(const ServerId& id) {
    works_[id].busy = true;
    engine_->ReadProgress(id, views_[id].step->order,
                          Guard([this, id](Outcome<OrderProgress> result) {
                            CountFailure(&views_[id], result.ok());
                            OnProgress(&works_[id], result);
                          }));
  }

  void OnProgress(Work* work, const Outcome<OrderProgress>& result) {
    work->busy = false;
    if (!result.ok()) return AskLater(work);
    switch (result.value()) {
      case OrderProgress::kRunning:
        return AskLater(work);
      case OrderProgress::kDone:
        work->phase = Phase::kVerify;
        return;
      case OrderProgress::kFailed:
        return CloseAs(work, StepState::kFailed);
      case OrderProgress::kUnknownOrder:
        work->phase = Phase::kBefore;
        return;
    }
  }

  void Send(const ServerId& id) {
    Work& work = works_[id];
    const StepRow& row = *views_[id].step;
    // Other servers may have gone since the row was written.
    if (!configuration_ ||
        !Safe({id, row}, *configuration_, views_, options_.sequence, now_())) {
      return AskLater(&work);
    }
    // Last of all: the host may have been frozen at any point above.
    if (!lease_.Held(now_())) return;
    work.busy = true;
    ++counters_.sent;
    engine_->SendOrder(
        id, {row.order, lease_.fence(), row.kind, row.model, row.role},
        Guard([this, id](OrderReply reply) { OnReply(&works_[id], reply); }));
  }

  void OnReply(Work* work, OrderReply reply) {
    work->busy = false;
    if (reply == OrderReply::kRefused) return CloseAs(work, StepState::kFailed);
    AskLater(work);
    if (reply != OrderReply::kStaleFence) return;
    ++counters_.stale;
    lease_.Drop();
  }

  void Close(const ServerId& id) {
    StepRow row = *views_[id].step;
    row.state = works_[id].closing;
    Write(id, std::move(row));
  }

  void StartSteps() {
    // A row that is being written counts as no step yet; another beside it
    // could overrun the bounds.
    if (!scanned_ || writing_ > 0) return;
    // An earlier holder knew a later configuration; going by an older one would
    // undo its steps. The news is on its way.
    if (configuration_->version < newest_) return;
    for (const config::ServerConfig& server : configuration_->servers) {
      ServerView& view = views_[server.spec.id];
      view.not_before =
          std::max(view.not_before, QuietUntil(works_[server.spec.id]));
    }
    Startable startable =
        NextSteps(*configuration_, views_, options_.sequence, now_());
    counters_.held_back = startable.held_back;
    counters_.open = CountOpen();
    for (Step& step : startable.steps) {
      if (works_[step.server].busy) continue;
      Write(step.server, std::move(step.row));
    }
  }

  int CountOpen() {
    int open = 0;
    for (const auto& [server, view] : views_) {
      if (view.step && view.step->state == StepState::kOpen) ++open;
    }
    return open;
  }

  void Write(const ServerId& id, StepRow row) {
    Work& work = works_[id];
    if (!lease_.Held(now_())) return;
    work.busy = true;
    ++writing_;
    row.fence = lease_.fence();
    store::Transaction transaction{
        absl::StrCat("orders/", self_.str(), "/", incarnation_, "/", ++token_),
        {{StepKey(id), work.version}},
        {{StepKey(id), Encode(row)}}};
    auto answered = Guard([this, id, row](store::CommitResult result) {
      OnWritten(id, row, result);
    });
    table_->Commit(transaction, [this, answered](store::CommitResult result) {
      --writing_;
      answered(std::move(result));
    });
  }

  void OnWritten(const ServerId& id, const StepRow& row,
                 const store::CommitResult& result) {
    Work& work = works_[id];
    work.busy = false;
    if (result.state == store::CommitState::kNotApplied) {
      work.due = now_() + options_.lease.retry_after;
      return;
    }
    if (result.state != store::CommitState::kCommitted ||
        result.versions.empty()) {
      // Lost, or another holder's row: only the table knows what stands there.
      scanned_ = false;
      return;
    }
    work.version = result.versions.front().version;
    work.phase = Phase::kAsk;
    work.due = absl::InfinitePast();
    views_[id].step = row;
    OnState(id, row.state);
  }

  void OnState(const ServerId& id, StepState state) {
    if (state == StepState::kDone) ++counters_.done;
    if (state != StepState::kFailed) return;
    ++counters_.failed;
    views_[id].not_before = now_() + options_.retry_after;
  }

  const RunnerOptions options_;
  const EntryHostId self_;
  const Incarnation incarnation_;
  Table* table_;
  Engine* engine_;
  Now now_;
  Lease lease_;
  std::shared_ptr<const config::Configuration> configuration_;

  Fence holding_ = 0;  // The fencing number under which the rest was learnt.
  std::int64_t round_ = 0;
  bool scanned_ = false;
  bool scanning_ = false;
  config::Version newest_ = 0;  // That any holder has acted on.
  absl::Time scan_due_ = absl::InfinitePast();
  Views views_;
  std::map<ServerId, Work> works_;
  int writing_ = 0;
  std::int64_t token_ = 0;
  bool answered_ = false;
  RunnerCounters counters_;
};

}  // namespace gentianlb::orders

#endif  // GENTIANLB_ORDERS_ORDER_RUNNER_H_
