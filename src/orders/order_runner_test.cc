// Runs the runners of two hosts against a fake table and fake engines that
// follow docs/PROTOCOLS.md, with a clock that the test advances.

#include "orders/order_runner.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <set>

namespace gentianlb::orders {
namespace {

using config::Fencing;
using config::OrderKind;

constexpr absl::Duration kOrderDuration = absl::Seconds(3);

struct FakeEngine {
  EngineState state;
  Fencing fencing = Fencing::kChecks;
  Fence highest = 0;
  std::map<std::string, absl::Time> orders;  // Completion times.
  std::map<std::string, Order> running;
  std::map<ModelId, int> loads;
  int without_effect = 0;  // Orders reported as done that change nothing.
};

// The table, the engines and the clock that all hosts share.
struct Environment {
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::map<std::string, store::Row> table;
  std::map<ServerId, FakeEngine> engines;
  std::deque<std::function<void()>> pending_answers;
  std::function<bool()> loses_next_answer = [] { return false; };
  absl::Time lease_written = absl::InfinitePast();  // Last write of the lease.
  int min_model_servers = 99;  // Fewest servers that a model ever had.

  void AdvanceEngines() {
    for (auto& [id, engine] : engines) {
      std::erase_if(engine.running, [&, e = &engine](const auto& entry) {
        if (e->orders[entry.first] > now) return false;
        Execute(e, entry.second);
        return true;
      });
    }
    for (const char* model : {"m1", "m2"}) {
      int count = 0;
      for (const auto& [id, engine] : engines) {
        const auto& models = engine.state.models;
        count += std::count(models.begin(), models.end(), ModelId(model)) > 0
                     ? 1
                     : 0;
      }
      min_model_servers = std::min(min_model_servers, count);
    }
  }

  static void Execute(FakeEngine* engine, const Order& order) {
    if (engine->without_effect-- > 0) return;
    if (order.kind == OrderKind::kRole) engine->state.role = order.role;
    if (order.kind == OrderKind::kLoad) {
      engine->state.models.push_back(order.model);
      ++engine->loads[order.model];
    }
    if (order.kind != OrderKind::kUnload) return;
    std::erase(engine->state.models, order.model);
  }

  OrderReply HandleOrder(const ServerId& server, const Order& order) {
    FakeEngine& engine = engines[server];
    bool checks = engine.fencing == Fencing::kChecks;
    if (checks && order.fence < engine.highest) return OrderReply::kStaleFence;
    engine.highest = std::max(engine.highest, order.fence);
    if (engine.orders.contains(order.id)) return OrderReply::kAccepted;
    engine.orders[order.id] = now + kOrderDuration;
    engine.running[order.id] = order;
    return OrderReply::kAccepted;
  }

  store::CommitResult Commit(const store::Transaction& transaction) {
    const std::string& key = transaction.conditions[0].key;
    store::Row& row = table[key];
    store::CommitResult result;
    result.state = store::CommitState::kConflict;
    if (row.version != transaction.conditions[0].version) return result;
    row = {key, *transaction.writes[0].value, row.version + 1};
    if (key == kLeaseKey) lease_written = now;
    result.state = store::CommitState::kCommitted;
    result.versions = {{key, "", row.version}};
    return result;
  }
};

// The table and engine services of one host. `events` counts writes and orders,
// so that a test can stop the host at each of them. A dead host gets no
// answers. A frozen host gets them when it wakes, and its last order arrives
// only then.
struct HostPort {
  Environment* env;
  int events = 0;
  int stop_at = -1;
  bool freezes = false;  // The host freezes instead of dying.
  bool stopped = false;
  std::function<void()> late_order;  // The last order of a frozen host.

  // Delivered when the host wakes.
  std::vector<std::function<void()>> deferred_answers;

  void Wake() {
    stopped = false;
    if (late_order) late_order();
    for (const auto& answer : deferred_answers) answer();
  }

  // Returns false if the host is stopped or stops at this event.
  bool CountEvent() {
    if (stopped || events++ != stop_at) return !stopped;
    stopped = true;
    return false;
  }
  template <typename F, typename T>
  void Answer(F done, T result, T lost) {
    if (env->loses_next_answer()) result = lost;
    env->pending_answers.push_back([this, done, result] {
      if (!stopped) return done(result);
      deferred_answers.push_back([done, result] { done(result); });
    });
  }
  void Commit(store::Transaction transaction,
              std::function<void(store::CommitResult)> done) {
    store::CommitResult lost;
    if (stopped) return Answer(done, lost, lost);
    auto result = env->Commit(transaction);
    CountEvent();
    Answer(done, result, lost);
  }
  void Read(std::vector<std::string> keys,
            std::function<void(store::ReadResult)> done) {
    std::vector<store::Row> rows;
    auto row = env->table.find(keys[0]);
    if (row != env->table.end()) rows.push_back(row->second);
    Answer(done, store::ReadResult(rows),
           TimeoutError<std::vector<store::Row>>());
  }
  void Scan(std::string prefix, std::function<void(store::ReadResult)> done) {
    std::vector<store::Row> rows;
    for (const auto& [key, row] : env->table) {
      if (key.starts_with(prefix)) rows.push_back(row);
    }
    Answer(done, store::ReadResult(rows),
           TimeoutError<std::vector<store::Row>>());
  }
  void ReadState(ServerId server,
                 std::function<void(Outcome<EngineState>)> done) {
    Answer(done, Outcome<EngineState>(env->engines[server].state),
           TimeoutError<EngineState>());
  }
  void SendOrder(ServerId server, Order order,
                 std::function<void(OrderReply)> done) {
    const auto lost = OrderReply::kUnknown;
    if (!stopped) BOOST_TEST(env->now < env->lease_written + absl::Seconds(15));
    if (stopped) return Answer(done, lost, lost);
    if (!CountEvent()) {
      late_order = [this, server, order] { env->HandleOrder(server, order); };
      if (!freezes) late_order();  // Died after sending the order.
      return Answer(done, lost, lost);
    }
    Answer(done, env->HandleOrder(server, order), lost);
  }
  void ReadProgress(ServerId server, std::string id,
                    std::function<void(Outcome<OrderProgress>)> done) {
    const FakeEngine& engine = env->engines[server];
    auto order = engine.orders.find(id);
    auto progress = OrderProgress::kUnknownOrder;
    if (order != engine.orders.end()) {
      progress = order->second > env->now ? OrderProgress::kRunning
                                          : OrderProgress::kDone;
    }
    Answer(done, Outcome<OrderProgress>(progress),
           TimeoutError<OrderProgress>());
  }
  template <typename T>
  static Outcome<T> TimeoutError() {
    return Error{Code::kServerTimeout, ""};
  }
};

using Clock = std::function<absl::Time()>;
using Runner = OrderRunner<HostPort, HostPort, Clock>;

// Returns a configuration in which m1 and m2 swap servers, so each must be
// loaded on its new server before the old one unloads it.
std::shared_ptr<const config::Configuration> SwapConfiguration(
    Fencing fencing) {
  auto configuration = std::make_shared<config::Configuration>();
  configuration->version = 7;
  ServiceId service("llm");
  configuration->services = {{service, config::ServiceKind::kModel}};
  configuration->models = {{ModelId("m1"), service}, {ModelId("m2"), service}};
  for (const char* name : {"s1", "s2"}) {
    config::ServerConfig server;
    server.service = service;
    server.zone = ZoneId("z");
    server.fencing = fencing;
    server.spec.id = ServerId(name);
    server.spec.models = {ModelId(name == std::string("s1") ? "m2" : "m1")};
    configuration->servers.push_back(server);
  }
  return configuration;
}

struct Site {
  explicit Site(Fencing fencing, std::vector<std::string> names = {"a", "b"}) {
    for (const char* name : {"s1", "s2"}) {
      FakeEngine& engine = env.engines[ServerId(name)];
      engine.fencing = fencing;
      engine.state.models = {ModelId(name == std::string("s1") ? "m1" : "m2")};
    }
    RunnerOptions options;
    options.max_order_duration = absl::Seconds(20);
    for (const std::string& name : names) {
      HostPort& port = ports.emplace_back(HostPort{&env});
      runners.push_back(std::make_unique<Runner>(
          options, EntryHostId(name), 1, &port, &port, [this] {
            if (frozen_reading-- == 0) env.now += absl::Minutes(1);
            return env.now;
          }));
      runners.back()->SetConfig(SwapConfiguration(fencing));
    }
  }

  void Run(absl::Duration time) {
    for (absl::Time end = env.now + time; env.now < end;) {
      for (std::size_t i = 0; i < runners.size(); ++i) {
        if (!ports[i].stopped) runners[i]->Tick();
      }
      while (!env.pending_answers.empty()) {
        env.pending_answers.front()();
        env.pending_answers.pop_front();
      }
      env.now += absl::Milliseconds(500);
      env.AdvanceEngines();
    }
  }

  void CheckSwapped() {
    FakeEngine& first = env.engines[ServerId("s1")];
    FakeEngine& second = env.engines[ServerId("s2")];
    BOOST_TEST((first.state.models == std::vector{ModelId("m2")}));
    BOOST_TEST((second.state.models == std::vector{ModelId("m1")}));
    BOOST_TEST(first.loads[ModelId("m2")] == 1);
    BOOST_TEST(second.loads[ModelId("m1")] == 1);
    BOOST_TEST(env.min_model_servers >= 1);
  }

  // The clock jumps forward by a minute before this reading, as for a frozen
  // host.
  int frozen_reading = -1;
  Environment env;
  std::deque<HostPort> ports;
  std::vector<std::unique_ptr<Runner>> runners;
};

constexpr absl::Duration kSettleTime = absl::Minutes(10);

int CountEvents(Fencing fencing) {
  Site site(fencing, {"a"});
  site.Run(kSettleTime);
  site.CheckSwapped();
  BOOST_TEST(site.runners[0]->counters().sent == 4);
  return std::min(site.ports[0].events, 40);
}

// The holder dies after any of its writes or orders. If the next holder
// restarted the steps instead of continuing them, a model would be loaded twice
// or unloaded too early.
BOOST_AUTO_TEST_CASE(HolderKilledAtEveryStep) {
  for (Fencing fencing : {Fencing::kChecks, Fencing::kIgnores}) {
    int events = CountEvents(fencing);
    BOOST_TEST(events > 12);
    for (int stop = 0; stop < events; ++stop) {
      BOOST_TEST_CONTEXT("stop " << stop << " ignores " << int(fencing)) {
        Site site(fencing);
        site.ports[0].stop_at = stop;
        site.Run(kSettleTime);
        BOOST_TEST(site.ports[0].stopped);
        site.CheckSwapped();
      }
    }
  }
}

// The holder freezes while an order is in transit, longer than its lease, and
// wakes after another host has taken over; the order arrives then. If the
// engine executed it, a model could be loaded twice or be left without a
// server.
BOOST_AUTO_TEST_CASE(HolderFrozenBetweenOrders) {
  for (Fencing fencing : {Fencing::kChecks, Fencing::kIgnores}) {
    int events = CountEvents(fencing);
    for (int stop = 0; stop < events; ++stop) {
      for (int sleep_seconds : {10, 19, 25, 40, 120}) {
        BOOST_TEST_CONTEXT("stop " << stop << " asleep " << sleep_seconds) {
          Site site(fencing);
          HostPort& port = site.ports[0];
          port.freezes = true;
          port.stop_at = stop;
          while (!port.stopped) site.Run(absl::Seconds(1));
          site.Run(absl::Seconds(sleep_seconds));
          std::int64_t sent = site.runners[0]->counters().sent;
          port.Wake();
          site.runners[0]->Tick();
          bool lost_lease = !site.runners[0]->counters().holder;
          BOOST_TEST((lost_lease || sleep_seconds < 13));
          if (lost_lease) BOOST_TEST(site.runners[0]->counters().sent == sent);
          site.Run(kSettleTime);
          site.CheckSwapped();
        }
      }
    }
  }
}

// The host freezes within one Tick(), at any reading of the clock. If the lease
// were checked only at the start of Tick(), the host would send orders while
// another host may hold the lease.
BOOST_AUTO_TEST_CASE(FrozenWithinOnePass) {
  for (int reading = 0; reading < 400; ++reading) {
    BOOST_TEST_CONTEXT("jump " << reading) {
      Site site(Fencing::kChecks, {"a"});
      site.frozen_reading = reading;
      site.Run(absl::Minutes(4));
      site.CheckSwapped();
    }
  }
}

// An engine restarts with the model of an open step loaded and has lost the
// order. Sending the order again would load the model twice.
BOOST_AUTO_TEST_CASE(LoadedModelIsNotLoadedAgain) {
  Site site(Fencing::kChecks, {"a"});
  StepRow open{"x", OrderKind::kLoad, ModelId("m1")};
  std::string key = StepKey(ServerId("s1"));
  site.env.table[key] = {key, Encode(open), 1};
  site.Run(kSettleTime);
  BOOST_TEST(!site.env.engines[ServerId("s1")].orders.contains("x"));
  site.CheckSwapped();
}

// A new holder takes over while an engine that ignores fencing may still
// receive an order of the old holder. That order could undo what the new holder
// has ordered or read, and a model that was just confirmed would be missing.
BOOST_AUTO_TEST_CASE(NewHolderWaitsForOldOrdersWithoutFencing) {
  Site without_fencing(Fencing::kIgnores, {"a"});
  Site with_fencing(Fencing::kChecks, {"a"});
  without_fencing.Run(absl::Seconds(34));
  with_fencing.Run(absl::Seconds(34));
  BOOST_TEST(without_fencing.runners[0]->counters().holder);
  BOOST_TEST(without_fencing.runners[0]->counters().sent == 0);
  BOOST_TEST(with_fencing.runners[0]->counters().sent > 0);
}

// An engine has seen a higher fencing number. If the host continued, two hosts
// would send orders to one engine, so it must give up its lease at once.
BOOST_AUTO_TEST_CASE(StaleFenceDropsTheLease) {
  Site site(Fencing::kChecks, {"a"});
  site.env.engines[ServerId("s1")].highest = 2;
  site.Run(kSettleTime);
  BOOST_TEST(site.runners[0]->counters().stale == 1);
  BOOST_TEST(site.runners[0]->counters().acquired == 2);
  site.CheckSwapped();
}

// The row of a step is corrupt, so any order may be running at its server. No
// step may start there, and its models must not be relied on.
BOOST_AUTO_TEST_CASE(CorruptRowBlocksItsServer) {
  Site site(Fencing::kChecks, {"a"});
  std::string key = StepKey(ServerId("s1"));
  site.env.table[key] = {key, "{", 1};
  site.Run(kSettleTime);
  BOOST_TEST(site.runners[0]->counters().corrupt == 1);
  BOOST_TEST(site.runners[0]->counters().sent == 1);  // The load at s2.
  BOOST_TEST(site.env.table[key].version == 1);
}

// Every third answer of the table and the engines is lost, with a varying
// start. A host that guessed the lost results would send orders twice or wait
// forever.
BOOST_AUTO_TEST_CASE(LostAnswersCauseNoDuplicateOrders) {
  for (Fencing fencing : {Fencing::kChecks, Fencing::kIgnores}) {
    for (int shift = 0; shift < 60; ++shift) {
      Site site(fencing);
      int count = shift;
      int lost = 0;
      site.env.loses_next_answer = [&] {
        return ++count % 3 == 0 && ++lost < 60;
      };
      site.Run(kSettleTime);
      site.CheckSwapped();
      BOOST_TEST(lost >= 60);
    }
  }
}

// The only other server with the model stops answering, or its state is too
// old. An unload would leave the callers of the zone without the model.
BOOST_AUTO_TEST_CASE(LastServersKeepTheirModel) {
  auto configuration = SwapConfiguration(Fencing::kChecks);
  absl::Time now = absl::UnixEpoch();
  Step unload{ServerId("s1"), {"x", OrderKind::kUnload, ModelId("m1")}};
  EngineState both{{ModelId("m1"), ModelId("m2")}};
  Views views;
  views[ServerId("s1")] = {both, now};
  views[ServerId("s2")] = {both, now};
  BOOST_TEST(IsSafe(unload, *configuration, views, {}, now));
  BOOST_TEST(
      !IsSafe(unload, *configuration, views, {}, now + absl::Minutes(1)));
  views[ServerId("s2")].step = StepRow{"y", OrderKind::kUnload, ModelId("m1")};
  BOOST_TEST(!IsSafe(unload, *configuration, views, {}, now));
  views[ServerId("s2")] = {std::nullopt, now};
  BOOST_TEST(!IsSafe(unload, *configuration, views, {}, now));
}

// An engine reports an order as done, but its state shows no effect. If the
// host believed the report, the next unload would rely on a missing model. If
// it sent the order again with the same id, the engine would ignore it as a
// repeat.
BOOST_AUTO_TEST_CASE(DoneWithoutEffectIsRetried) {
  Site site(Fencing::kChecks, {"a"});
  site.env.engines[ServerId("s1")].without_effect = 2;
  site.Run(kSettleTime);
  BOOST_TEST(site.runners[0]->counters().failed == 2);
  BOOST_TEST(site.runners[0]->counters().done == 4);
  site.CheckSwapped();
}

// A server dies permanently with its step open. If the step still counted
// against the limits, no other server of the site could load a model again.
BOOST_AUTO_TEST_CASE(DeadServerDoesNotBlockOthers) {
  auto configuration = SwapConfiguration(Fencing::kChecks);
  SequenceOptions one_load{.max_loads = 1};
  absl::Time now = absl::UnixEpoch();
  Views views;
  views[ServerId("s1")].step = StepRow{"x", OrderKind::kLoad, ModelId("m2")};
  views[ServerId("s2")] = {EngineState{{ModelId("m2")}}, now};
  BOOST_TEST(NextSteps(*configuration, views, one_load, now).steps.empty());
  views[ServerId("s1")].consecutive_failures = 3;
  BOOST_TEST(NextSteps(*configuration, views, one_load, now).steps.size() == 1);
}

// The new holder has not yet received the newest configuration. If it followed
// its older one, it would undo confirmed steps.
BOOST_AUTO_TEST_CASE(HolderWithOlderConfigurationSendsNothing) {
  Site site(Fencing::kChecks, {"a"});
  StepRow newer{"x", OrderKind::kLoad, ModelId("m1")};
  newer.version = 8;
  newer.state = StepState::kDone;
  std::string key = StepKey(ServerId("s1"));
  site.env.table[key] = {key, Encode(newer), 1};
  site.Run(kSettleTime);
  BOOST_TEST(site.runners[0]->counters().holder);
  BOOST_TEST(site.runners[0]->counters().sent == 0);
}

}  // namespace
}  // namespace gentianlb::orders
