// Whole runners at two hosts against a fake table and fake engines that keep
// the rules of docs/PROTOCOLS.md, under a clock that the test moves.

#include "orders/order_runner.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <set>

namespace gentianlb::orders {
namespace {

using config::Fencing;
using config::OrderKind;

constexpr absl::Duration kOrderTime = absl::Seconds(3);

struct FakeEngine {
  EngineState state;
  Fencing fencing = Fencing::kChecks;
  Fence highest = 0;
  std::map<std::string, absl::Time> orders;  // When each is done.
  std::map<std::string, Order> running;
  std::map<ModelId, int> loads;
  int without_effect = 0;  // So many orders end as done, and change nothing.
};

// One site; `events` counts writes and orders, so that a test can stop a host
// at each of them in turn.
struct World {
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::map<std::string, store::Row> table;
  std::map<ServerId, FakeEngine> engines;
  std::deque<std::function<void()>> answers;
  std::function<bool()> loses = [] { return false; };  // The next answer.
  absl::Time leased = absl::InfinitePast();  // The lease was last written.
  int fewest = 99;  // Servers that a model was ever left with.

  void Settle() {
    for (auto& [id, engine] : engines) {
      std::erase_if(engine.running, [&, e = &engine](const auto& entry) {
        if (e->orders[entry.first] > now) return false;
        CarryOut(e, entry.second);
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
      fewest = std::min(fewest, count);
    }
  }

  static void CarryOut(FakeEngine* engine, const Order& order) {
    if (engine->without_effect-- > 0) return;
    if (order.kind == OrderKind::kRole) engine->state.role = order.role;
    if (order.kind == OrderKind::kLoad) {
      engine->state.models.push_back(order.model);
      ++engine->loads[order.model];
    }
    if (order.kind != OrderKind::kUnload) return;
    std::erase(engine->state.models, order.model);
  }

  OrderReply Receive(const ServerId& server, const Order& order) {
    FakeEngine& engine = engines[server];
    bool checks = engine.fencing == Fencing::kChecks;
    if (checks && order.fence < engine.highest) return OrderReply::kStaleFence;
    engine.highest = std::max(engine.highest, order.fence);
    if (engine.orders.contains(order.id)) return OrderReply::kAccepted;
    engine.orders[order.id] = now + kOrderTime;
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
    if (key == kLeaseKey) leased = now;
    result.state = store::CommitState::kCommitted;
    result.versions = {{key, "", row.version}};
    return result;
  }
};

// What one host sees of the world; a dead host gets no answers, a frozen one
// gets them when it wakes, and its last order is still on its way until then.
struct Port {
  World* world;
  int events = 0;
  int stop_at = -1;
  bool freezes = false;  // Instead of dying.
  bool stopped = false;
  std::function<void()> late;  // The order that left a frozen host last.

  std::vector<std::function<void()>> asleep;  // Answers for when it wakes.

  void Wake() {
    stopped = false;
    if (late) late();
    for (const auto& answer : asleep) answer();
  }

  // False: the host stops right here.
  bool Step() {
    if (stopped || events++ != stop_at) return !stopped;
    stopped = true;
    return false;
  }
  template <typename F, typename T>
  void Answer(F done, T result, T lost) {
    if (world->loses()) result = lost;
    world->answers.push_back([this, done, result] {
      if (!stopped) return done(result);
      asleep.push_back([done, result] { done(result); });
    });
  }
  void Commit(store::Transaction transaction,
              std::function<void(store::CommitResult)> done) {
    store::CommitResult lost;
    if (stopped) return Answer(done, lost, lost);
    auto result = world->Commit(transaction);
    Step();
    Answer(done, result, lost);
  }
  void Read(std::vector<std::string> keys,
            std::function<void(store::ReadResult)> done) {
    std::vector<store::Row> rows;
    auto row = world->table.find(keys[0]);
    if (row != world->table.end()) rows.push_back(row->second);
    Answer(done, store::ReadResult(rows), Gone<std::vector<store::Row>>());
  }
  void Scan(std::string prefix, std::function<void(store::ReadResult)> done) {
    std::vector<store::Row> rows;
    for (const auto& [key, row] : world->table) {
      if (key.starts_with(prefix)) rows.push_back(row);
    }
    Answer(done, store::ReadResult(rows), Gone<std::vector<store::Row>>());
  }
  void ReadState(ServerId server,
                 std::function<void(Outcome<EngineState>)> done) {
    Answer(done, Outcome<EngineState>(world->engines[server].state),
           Gone<EngineState>());
  }
  void SendOrder(ServerId server, Order order,
                 std::function<void(OrderReply)> done) {
    const auto lost = OrderReply::kUnknown;
    if (!stopped) BOOST_TEST(world->now < world->leased + absl::Seconds(15));
    if (stopped) return Answer(done, lost, lost);
    if (!Step()) {
      late = [this, server, order] { world->Receive(server, order); };
      if (!freezes) late();  // Died after the sending.
      return Answer(done, lost, lost);
    }
    Answer(done, world->Receive(server, order), lost);
  }
  void ReadProgress(ServerId server, std::string id,
                    std::function<void(Outcome<OrderProgress>)> done) {
    const FakeEngine& engine = world->engines[server];
    auto order = engine.orders.find(id);
    auto progress = OrderProgress::kUnknownOrder;
    if (order != engine.orders.end()) {
      progress = order->second > world->now ? OrderProgress::kRunning
                                            : OrderProgress::kDone;
    }
    Answer(done, Outcome<OrderProgress>(progress), Gone<OrderProgress>());
  }
  template <typename T>
  static Outcome<T> Gone() {
    return Error{Code::kServerTimeout, ""};
  }
};

using Clock = std::function<absl::Time()>;
using Runner = OrderRunner<Port, Port, Clock>;

// m1 and m2 change places, so each must be loaded before it is unloaded.
std::shared_ptr<const config::Configuration> Swap(Fencing fencing) {
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
      FakeEngine& engine = world.engines[ServerId(name)];
      engine.fencing = fencing;
      engine.state.models = {ModelId(name == std::string("s1") ? "m1" : "m2")};
    }
    RunnerOptions options;
    options.longest_order = absl::Seconds(20);
    for (const std::string& name : names) {
      Port& port = ports.emplace_back(Port{&world});
      runners.push_back(std::make_unique<Runner>(
          options, EntryHostId(name), 1, &port, &port, [this] {
            if (jump_at-- == 0) world.now += absl::Minutes(1);
            return world.now;
          }));
      runners.back()->SetConfig(Swap(fencing));
    }
  }

  void Run(absl::Duration time) {
    for (absl::Time end = world.now + time; world.now < end;) {
      for (std::size_t i = 0; i < runners.size(); ++i) {
        if (!ports[i].stopped) runners[i]->Tick();
      }
      while (!world.answers.empty()) {
        world.answers.front()();
        world.answers.pop_front();
      }
      world.now += absl::Milliseconds(500);
      world.Settle();
    }
  }

  void CheckSwapped() {
    FakeEngine& first = world.engines[ServerId("s1")];
    FakeEngine& second = world.engines[ServerId("s2")];
    BOOST_TEST((first.state.models == std::vector{ModelId("m2")}));
    BOOST_TEST((second.state.models == std::vector{ModelId("m1")}));
    BOOST_TEST(first.loads[ModelId("m2")] == 1);
    BOOST_TEST(second.loads[ModelId("m1")] == 1);
    BOOST_TEST(world.fewest >= 1);
  }

  int jump_at = -1;  // Reading of the clock before which the host is frozen.
  World world;
  std::deque<Port> ports;
  std::vector<std::unique_ptr<Runner>> runners;
};

constexpr absl::Duration kLong = absl::Minutes(10);

int EventsOf(Fencing fencing) {
  Site site(fencing, {"a"});
  site.Run(kLong);
  site.CheckSwapped();
  BOOST_TEST(site.runners[0]->counters().sent == 4);
  return std::min(site.ports[0].events, 40);
}

// The holder dies after any of its writes or sendings. The next one goes on; if
// it began anew, a model would be loaded twice or unloaded too soon.
BOOST_AUTO_TEST_CASE(HolderKilledAtEveryStep) {
  for (Fencing fencing : {Fencing::kChecks, Fencing::kIgnores}) {
    int events = EventsOf(fencing);
    BOOST_TEST(events > 12);
    for (int stop = 0; stop < events; ++stop) {
      BOOST_TEST_CONTEXT("stop " << stop << " ignores " << int(fencing)) {
        Site site(fencing);
        site.ports[0].stop_at = stop;
        site.Run(kLong);
        BOOST_TEST(site.ports[0].stopped);
        site.CheckSwapped();
      }
    }
  }
}

// The holder is frozen with an order on its way, over its lease, and wakes when
// another has taken over; the order arrives then. Were it obeyed, operators
// would see a model loaded twice, callers a model without a server.
BOOST_AUTO_TEST_CASE(HolderFrozenBetweenOrders) {
  for (Fencing fencing : {Fencing::kChecks, Fencing::kIgnores}) {
    int events = EventsOf(fencing);
    for (int stop = 0; stop < events; ++stop) {
      for (int asleep : {10, 19, 25, 40, 120}) {
        BOOST_TEST_CONTEXT("stop " << stop << " asleep " << asleep) {
          Site site(fencing);
          Port& port = site.ports[0];
          port.freezes = true;
          port.stop_at = stop;
          while (!port.stopped) site.Run(absl::Seconds(1));
          site.Run(absl::Seconds(asleep));
          std::int64_t sent = site.runners[0]->counters().sent;
          port.Wake();
          site.runners[0]->Tick();
          bool out = !site.runners[0]->counters().holder;
          BOOST_TEST((out || asleep < 13));
          if (out) BOOST_TEST(site.runners[0]->counters().sent == sent);
          site.Run(kLong);
          site.CheckSwapped();
        }
      }
    }
  }
}

// The host is frozen within one pass over its servers, at any reading of the
// clock. A lease that was checked only as the pass began would have it send
// orders when another host may be in charge.
BOOST_AUTO_TEST_CASE(FrozenWithinOnePass) {
  for (int jump = 0; jump < 400; ++jump) {
    BOOST_TEST_CONTEXT("jump " << jump) {
      Site site(Fencing::kChecks, {"a"});
      site.jump_at = jump;
      site.Run(absl::Minutes(4));
      site.CheckSwapped();
    }
  }
}

// An engine restarted with the model of an open step and has forgotten the
// order. Sent again, the model would be loaded twice.
BOOST_AUTO_TEST_CASE(LoadedAlreadyIsNotSent) {
  Site site(Fencing::kChecks, {"a"});
  StepRow open{"x", OrderKind::kLoad, ModelId("m1")};
  std::string key = StepKey(ServerId("s1"));
  site.world.table[key] = {key, Encode(open), 1};
  site.Run(kLong);
  BOOST_TEST(!site.world.engines[ServerId("s1")].orders.contains("x"));
  site.CheckSwapped();
}

// A new holder takes over while an engine that ignores fencing may still get an
// order of the old one. Whatever it orders or sees before that is over may be
// undone by it, and a model that was just confirmed goes missing.
BOOST_AUTO_TEST_CASE(IgnoringEnginesAreWaitedFor) {
  Site ignoring(Fencing::kIgnores, {"a"});
  Site checking(Fencing::kChecks, {"a"});
  ignoring.Run(absl::Seconds(34));
  checking.Run(absl::Seconds(34));
  BOOST_TEST(ignoring.runners[0]->counters().holder);
  BOOST_TEST(ignoring.runners[0]->counters().sent == 0);
  BOOST_TEST(checking.runners[0]->counters().sent > 0);
}

// An engine has seen a later holder than this one. Going on would set two hosts
// to work on one engine; the host must give its lease up at once.
BOOST_AUTO_TEST_CASE(StaleFenceEndsTheHolding) {
  Site site(Fencing::kChecks, {"a"});
  site.world.engines[ServerId("s1")].highest = 2;
  site.Run(kLong);
  BOOST_TEST(site.runners[0]->counters().stale == 1);
  BOOST_TEST(site.runners[0]->counters().acquired == 2);
  site.CheckSwapped();
}

// The row of a step is damaged. What is under way at its server can't be known,
// so nothing begins there, and its models aren't counted on.
BOOST_AUTO_TEST_CASE(DamagedRowHoldsItsServer) {
  Site site(Fencing::kChecks, {"a"});
  std::string key = StepKey(ServerId("s1"));
  site.world.table[key] = {key, "{", 1};
  site.Run(kLong);
  BOOST_TEST(site.runners[0]->counters().corrupt == 1);
  BOOST_TEST(site.runners[0]->counters().sent == 1);  // The load at s2.
  BOOST_TEST(site.world.table[key].version == 1);
}

// Any third answer is lost, of the table and of the engines, from a shifting
// start. A host that guessed would send twice or wait for ever.
BOOST_AUTO_TEST_CASE(LostAnswers) {
  for (Fencing fencing : {Fencing::kChecks, Fencing::kIgnores}) {
    for (int shift = 0; shift < 60; ++shift) {
      Site site(fencing);
      int count = shift;
      int lost = 0;
      site.world.loses = [&] { return ++count % 3 == 0 && ++lost < 60; };
      site.Run(kLong);
      site.CheckSwapped();
      BOOST_TEST(lost >= 60);
    }
  }
}

// The other server that has the model stops answering, or was seen too long
// ago. An unload now would leave callers of the zone without the model.
BOOST_AUTO_TEST_CASE(LastServerStays) {
  auto configuration = Swap(Fencing::kChecks);
  absl::Time now = absl::UnixEpoch();
  Step unload{ServerId("s1"), {"x", OrderKind::kUnload, ModelId("m1")}};
  EngineState both{{ModelId("m1"), ModelId("m2")}};
  Views views;
  views[ServerId("s1")] = {both, now};
  views[ServerId("s2")] = {both, now};
  BOOST_TEST(Safe(unload, *configuration, views, {}, now));
  BOOST_TEST(!Safe(unload, *configuration, views, {}, now + absl::Minutes(1)));
  views[ServerId("s2")].step = StepRow{"y", OrderKind::kUnload, ModelId("m1")};
  BOOST_TEST(!Safe(unload, *configuration, views, {}, now));
  views[ServerId("s2")] = {std::nullopt, now};
  BOOST_TEST(!Safe(unload, *configuration, views, {}, now));
}

// An engine says that an order is done, and its state shows that it isn't.
// Taken at its word, the next unload would count on it; sent again under the
// same id, the order would be taken for the old one and the model never come.
BOOST_AUTO_TEST_CASE(DoneWithoutEffectIsTriedAnew) {
  Site site(Fencing::kChecks, {"a"});
  site.world.engines[ServerId("s1")].without_effect = 2;
  site.Run(kLong);
  BOOST_TEST(site.runners[0]->counters().failed == 2);
  BOOST_TEST(site.runners[0]->counters().done == 4);
  site.CheckSwapped();
}

// A server dies for good with its step open. Were the step to keep its place,
// no other server of the site would ever be loaded again.
BOOST_AUTO_TEST_CASE(DeadServerHoldsUpNoOther) {
  auto configuration = Swap(Fencing::kChecks);
  SequenceOptions one_load{.max_loads = 1};
  absl::Time now = absl::UnixEpoch();
  Views views;
  views[ServerId("s1")].step = StepRow{"x", OrderKind::kLoad, ModelId("m2")};
  views[ServerId("s2")] = {EngineState{{ModelId("m2")}}, now};
  BOOST_TEST(NextSteps(*configuration, views, one_load, now).steps.empty());
  views[ServerId("s1")].failures = 3;
  BOOST_TEST(NextSteps(*configuration, views, one_load, now).steps.size() == 1);
}

// A holder that hasn't yet heard of the newest configuration takes over. Going
// by its old one, it would undo what was confirmed.
BOOST_AUTO_TEST_CASE(OlderConfigurationWaits) {
  Site site(Fencing::kChecks, {"a"});
  StepRow newer{"x", OrderKind::kLoad, ModelId("m1")};
  newer.version = 8;
  newer.state = StepState::kDone;
  std::string key = StepKey(ServerId("s1"));
  site.world.table[key] = {key, Encode(newer), 1};
  site.Run(kLong);
  BOOST_TEST(site.runners[0]->counters().holder);
  BOOST_TEST(site.runners[0]->counters().sent == 0);
}

}  // namespace
}  // namespace gentianlb::orders
