#include "gateway/rollout_plan.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

constexpr absl::Duration kDuration = absl::Seconds(10);

RolloutInputs InputsAt(RolloutStage stage, absl::Duration since,
                       absl::Duration elapsed) {
  RolloutInputs inputs;
  inputs.order = {ServiceId("s"), "v2", kDuration, 7};
  inputs.status = RolloutStatus{RolloutState::kRunning, "v2", 7, stage, since};
  inputs.elapsed = elapsed;
  inputs.hosts = {.all_reachable = true,
                  .hosts = 4,
                  .following = 4,
                  .lowest = stage,
                  .open_old = 3};
  inputs.new_servers = 5;
  return inputs;
}

BOOST_AUTO_TEST_CASE(AnOrderBeginsWithTheCanary) {
  RolloutInputs inputs =
      InputsAt(RolloutStage::kNone, {}, absl::Milliseconds(10));
  inputs.status.reset();
  const auto decision = NextStatus(inputs);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->status.stage == RolloutStage::kCanary));
  BOOST_TEST((decision->status.state == RolloutState::kRunning));
  BOOST_TEST(decision->status.order == 7u);
}

// Guards against an order that replaces another and inherits its progress.
BOOST_AUTO_TEST_CASE(AnotherOrderBeginsAnew) {
  RolloutInputs inputs =
      InputsAt(RolloutStage::kAll, absl::Seconds(4), absl::Seconds(5));
  inputs.order.revision = 8;
  inputs.order.target = "v3";
  const auto decision = NextStatus(inputs);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->status.stage == RolloutStage::kCanary));
  BOOST_TEST(decision->status.target == "v3");
}

BOOST_AUTO_TEST_CASE(ACompletedOrderThatComesAgainStaysCompleted) {
  RolloutInputs inputs =
      InputsAt(RolloutStage::kAll, absl::Seconds(4), absl::Seconds(5));
  inputs.status->state = RolloutState::kCompleted;
  BOOST_TEST(!NextStatus(inputs).has_value());
  inputs.order.revision = 8;
  const auto decision = NextStatus(inputs);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->status.state == RolloutState::kCompleted));
}

BOOST_AUTO_TEST_CASE(AVersionThatWasRolledBackMayBeOrderedAgain) {
  RolloutInputs inputs =
      InputsAt(RolloutStage::kNone, absl::Seconds(4), absl::Seconds(5));
  inputs.status->state = RolloutState::kRolledBack;
  BOOST_TEST(!NextStatus(inputs).has_value());
  inputs.order.revision = 8;
  const auto decision = NextStatus(inputs);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->status.state == RolloutState::kRunning));
}

BOOST_AUTO_TEST_CASE(StagesFollowOneAnotherInTime) {
  const auto early = InputsAt(RolloutStage::kCanary, {}, absl::Seconds(1));
  BOOST_TEST(!NextStatus(early).has_value());
  const auto ramp =
      NextStatus(InputsAt(RolloutStage::kCanary, {}, absl::Seconds(2)));
  BOOST_REQUIRE(ramp.has_value());
  BOOST_TEST((ramp->status.stage == RolloutStage::kRamp));
  const auto all = NextStatus(
      InputsAt(RolloutStage::kRamp, absl::Seconds(2), absl::Seconds(3)));
  BOOST_REQUIRE(all.has_value());
  BOOST_TEST((all->status.stage == RolloutStage::kAll));
  BOOST_TEST((all->status.state == RolloutState::kRunning));
}

// Guards against a stage that is skipped since the aggregators were away.
BOOST_AUTO_TEST_CASE(EachStageLastsThoughItBeginsLate) {
  const auto inputs =
      InputsAt(RolloutStage::kRamp, absl::Seconds(8), absl::Seconds(8.5));
  BOOST_TEST(!NextStatus(inputs).has_value());
}

BOOST_AUTO_TEST_CASE(ASuspectVersionWaitsAndABadOneIsRolledBack) {
  RolloutInputs inputs = InputsAt(RolloutStage::kCanary, {}, absl::Seconds(3));
  inputs.verdict = VersionVerdict::kSuspect;
  BOOST_TEST(!NextStatus(inputs).has_value());
  inputs.verdict = VersionVerdict::kBad;
  const auto decision = NextStatus(inputs);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->status.state == RolloutState::kRolledBack));
}

// Guards against old servers that are stopped while they work on requests, or
// while a host still sends them some.
BOOST_AUTO_TEST_CASE(CompletedOnlyOnceNoHostUsesTheOldServers) {
  RolloutInputs inputs =
      InputsAt(RolloutStage::kAll, absl::Seconds(3), absl::Seconds(9));
  BOOST_TEST(!NextStatus(inputs).has_value());
  inputs.hosts.open_old = 0;
  const auto decision = NextStatus(inputs);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->status.state == RolloutState::kCompleted));
  RolloutInputs behind = inputs;
  behind.hosts.lowest = RolloutStage::kRamp;
  BOOST_TEST(!NextStatus(behind).has_value());
  RolloutInputs uninformed = inputs;
  uninformed.hosts.following = 3;
  BOOST_TEST(!NextStatus(uninformed).has_value());
  RolloutInputs cut_off = inputs;
  cut_off.hosts.all_reachable = false;
  BOOST_TEST(!NextStatus(cut_off).has_value());
}

BOOST_AUTO_TEST_CASE(AVersionWithoutServersIsRolledBackAtItsDeadline) {
  RolloutInputs inputs = InputsAt(RolloutStage::kCanary, {}, absl::Seconds(9));
  inputs.new_servers = 0;
  BOOST_TEST(!NextStatus(inputs).has_value());
  inputs.elapsed = absl::Seconds(10);
  const auto decision = NextStatus(inputs);
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->status.state == RolloutState::kRolledBack));
}

}  // namespace
}  // namespace gentianlb::gateway
