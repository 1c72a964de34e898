#include "config/plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>

#include "config/codec.h"
#include "config/intent.h"
#include "config/stored_plan.h"

namespace gentianlb::config {
namespace {

Configuration Almaty() {
  std::ifstream file(GENTIANLB_SOURCE_DIR "/etc/almaty/intent.ini");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  auto read = ParseIntent("intent.ini", text);
  BOOST_REQUIRE(read.ok());
  return read.value();
}

PlanState StateOf(const Configuration& in_force) {
  PlanState state;
  state.in_force = in_force;
  state.in_force.version = 7;
  state.weights.bytes[ModelId("clerk-2.0")] = 40'000'000'000;
  state.weights.bytes[ModelId("sorter-1.0")] = 10'000'000'000;
  state.weights.bytes_per_second = 1e9;
  state.now = absl::FromUnixSeconds(1000000);
  return state;
}

// A model that no server holds yet, wanted on one server of each hall.
Configuration WithSorter(Configuration intent) {
  ModelConfig sorter;
  sorter.id = ModelId("sorter-1.0");
  sorter.service = ServiceId("sock-llm");
  intent.models.push_back(sorter);
  for (ServerConfig& server : intent.servers) server.spec.models.clear();
  return intent;
}

BOOST_AUTO_TEST_CASE(ModelsArePlacedWithoutNeedlessLoads) {
  Configuration base = Almaty();
  Plan plan = MakePlan(StateOf(base), WithSorter(base));
  std::vector<std::string> loads;
  for (const PlannedOrder& order : plan.orders) {
    BOOST_TEST((order.kind == OrderKind::kLoad));
    loads.push_back(order.server.str() + " " + order.model.str());
  }
  std::vector<std::string> expected = {"sock-hall-a-1 sorter-1.0",
                                       "sock-hall-b-1 sorter-1.0",
                                       "sock-hall-c-1 sorter-1.0"};
  BOOST_TEST(loads == expected, boost::test_tools::per_element());
  BOOST_TEST((plan.cost.weight_store == absl::Seconds(30)));
  BOOST_TEST(plan.obstacles.empty());
}

// An operator asks twice, at two hosts and under other load, and compares. Two
// ids for one change would make him doubt both.
BOOST_AUTO_TEST_CASE(TheSameStateAndIntentGiveTheSamePlan) {
  Configuration base = Almaty();
  PlanState state = StateOf(base);
  Plan plan = MakePlan(state, WithSorter(base));
  BOOST_TEST((MakePlan(state, WithSorter(base)) == plan));
  state.load.push_back({"chat", ServiceId("sock-llm"), 500});
  BOOST_TEST(MakePlan(state, WithSorter(base)).id == plan.id);
  state.in_force.version = 8;
  BOOST_TEST(MakePlan(state, WithSorter(base)).id != plan.id);
}

// An unload before the load that replaces it would leave a tier without any
// server of its model; its callers would be refused until the load is done.
BOOST_AUTO_TEST_CASE(LoadsComeBeforeRolesAndTheseBeforeUnloads) {
  Configuration base = Almaty();
  Configuration intent = base;
  intent.models[0].id = ModelId("sorter-1.0");
  for (ServerConfig& server : intent.servers) {
    if (server.spec.models.empty()) continue;
    server.spec.models = {ModelId("sorter-1.0")};
  }
  intent.servers[4].spec.role = schedule::ServerRole::kPrefill;
  Plan plan = MakePlan(StateOf(base), intent);
  std::vector<int> kinds;
  for (const PlannedOrder& order : plan.orders) {
    kinds.push_back(order.kind == OrderKind::kLoad   ? 0
                    : order.kind == OrderKind::kRole ? 1
                                                     : 2);
  }
  BOOST_TEST(kinds.size() == 19u);
  BOOST_TEST(std::is_sorted(kinds.begin(), kinds.end()));
}

// The weight store lacks a model, or a list of an operator's own leaves a hall
// without it. Confirmed all the same, callers of the model would be refused.
BOOST_AUTO_TEST_CASE(WhatCannotBeDoneIsSaidWithItsReason) {
  Configuration base = Almaty();
  PlanState state = StateOf(base);
  state.weights.bytes.erase(ModelId("sorter-1.0"));
  Plan plan = MakePlan(state, WithSorter(base));
  BOOST_REQUIRE(plan.obstacles.size() == 1u);
  BOOST_TEST(plan.obstacles[0].subject == "model sorter-1.0");
  BOOST_TEST(!ToStored(plan, "lina").feasible);
  Configuration pinned = WithSorter(base);
  for (ServerConfig& server : pinned.servers) {
    bool plain = server.service.str() != "sock-llm";
    if (!plain) server.spec.models = {ModelId("clerk-2.0")};
  }
  BOOST_TEST(MakePlan(StateOf(base), pinned).obstacles.size() == 3u);
}

// The cap is lowered by a third. The plan must say which tiers lose by it
// before anybody confirms, and the upper one last.
BOOST_AUTO_TEST_CASE(ALowerCapShowsWhichTiersLoseGoodput) {
  Configuration base = Almaty();
  PlanState state = StateOf(base);
  double capacity = CapacityOf(base, ServiceId("sock-llm"));
  state.load.push_back({"chat", ServiceId("sock-llm"), capacity * 0.2});
  state.load.push_back({"overnight", ServiceId("sock-llm"), capacity * 0.6});
  Configuration intent = base;
  intent.power_cap_watts = 2600;
  Plan plan = MakePlan(state, intent);
  BOOST_REQUIRE(plan.cost.rooms.size() == 3u);
  BOOST_TEST(!plan.cost.rooms[0].loses_goodput());
  BOOST_TEST(plan.cost.rooms[2].loses_goodput());
  BOOST_TEST(ToText(plan).find("tier overnight") != std::string::npos);
  BOOST_TEST(ToText(plan).find("LOSES GOODPUT") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(NoFormOfAPlanShowsAToken) {
  Configuration base = Almaty();
  Configuration intent = base;
  intent.workspaces[0].token = "a-new-token-nobody-may-see";
  Plan plan = MakePlan(StateOf(base), intent);
  BOOST_TEST(plan.changes.size() == 1u);
  BOOST_TEST(ToText(plan).find("nobody") == std::string::npos);
  BOOST_TEST(WriteJson(ToJson(plan)).find("nobody") == std::string::npos);
  BOOST_TEST(ToText(plan).find("complaint-sorting: token") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ChangesAppliedToTheirBaseGiveTheIntent) {
  Configuration base = Almaty();
  Configuration intent = base;
  intent.tiers[1].tier.rank = 5;
  intent.servers.erase(intent.servers.begin());
  intent.power_cap_watts = 9123.456789012345;
  Changes changes = Diff(base, intent);
  BOOST_TEST(changes.size() == 3u);
  auto next = Apply(base, changes);
  BOOST_REQUIRE(next.ok());
  std::swap(intent.tiers[1], intent.tiers[2]);
  BOOST_TEST((next.value() == intent));
  BOOST_TEST(!Apply(intent, changes).ok());
}

}  // namespace
}  // namespace gentianlb::config
