// Requests during a roll-out of the service that they need.

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "gateway/fake_site_test.h"

namespace gentianlb::gateway {
namespace {

// A site on which the service "plain" has two servers of v1 and two of v2.
struct RolloutFixture {
  RolloutFixture() {
    site.forwarder->SetRollouts(&rollouts);
    site.Configure();
    AddNewServer("new-a");
    AddNewServer("new-b");
    site.forwarder->OnServersChanged();
  }

  void AddNewServer(const std::string& id) {
    ServerEntry entry;
    entry.id = ServerId(id);
    entry.service = service;
    entry.address = {"10.0.0.2", 80};
    entry.streams = 2;
    entry.version = "v2";
    site.directory.Update(id, entry, site.now);
  }

  void Order() {
    rollouts.SetOrder(
        service, RolloutOrder{service, "v2", absl::Seconds(10), 5}, site.now);
    rollouts.Tick({.status_is_current = true}, site.now);
  }

  void SetStatus(RolloutState state, RolloutStage stage) {
    rollouts.SetStatus(service, RolloutStatus{state, "v2", 5, stage, {}},
                       ++version, site.now);
    site.forwarder->OnServersChanged();
  }

  // Sends requests and returns how many reached the new servers.
  int CountNew(int requests) {
    int count = 0;
    for (int i = 0; i < requests; ++i) {
      site.SendRequest("/read/1");
      count += site.last().server().starts_with("new") ? 1 : 0;
      site.last().SendResponse(200, "found");
    }
    return count;
  }

  const ServiceId service{"plain"};
  std::uint64_t version = 6;
  FakeSite site;
  Rollouts rollouts{0.1,
                    {.write = [](const auto&...) {},
                     .on_pools = [this] { site.forwarder->OnServersChanged(); },
                     .open_requests =
                         [this](const ServiceId& pool) {
                           return site.forwarder->OpenRequestsOf(pool);
                         }}};
};

// Guards against requests to a version that no order allows, or whose status is
// not known here.
BOOST_AUTO_TEST_CASE(WithoutAStatusNothingReachesTheNewVersion) {
  RolloutFixture fixture;
  BOOST_TEST(fixture.CountNew(100) == 0);
  fixture.Order();
  BOOST_TEST(fixture.CountNew(100) == 0);
}

BOOST_AUTO_TEST_CASE(EachStageSendsItsShare) {
  RolloutFixture fixture;
  fixture.Order();
  fixture.SetStatus(RolloutState::kRunning, RolloutStage::kCanary);
  const int canary = fixture.CountNew(400);
  BOOST_TEST(canary >= 5);
  BOOST_TEST(canary <= 40);
  fixture.SetStatus(RolloutState::kRunning, RolloutStage::kAll);
  BOOST_TEST(fixture.CountNew(50) == 50);
  fixture.SetStatus(RolloutState::kRolledBack, RolloutStage::kNone);
  BOOST_TEST(fixture.CountNew(50) == 0);
}

// Guards against a status that a host keeps to while it can't read the newest.
BOOST_AUTO_TEST_CASE(AStatusThatMayBeOldIsNotFollowed) {
  RolloutFixture fixture;
  fixture.Order();
  fixture.SetStatus(RolloutState::kRunning, RolloutStage::kAll);
  fixture.site.AdvanceTime(absl::Seconds(2));
  fixture.rollouts.Tick({.status_is_current = false}, fixture.site.now);
  BOOST_TEST(fixture.CountNew(20) == 0);
  fixture.rollouts.Tick({.status_is_current = true}, fixture.site.now);
  BOOST_TEST(fixture.CountNew(20) == 20);
}

// Guards against requests that wait for a bad version's servers and are sent to
// them, or refused, after the roll-back.
BOOST_AUTO_TEST_CASE(AWaitingRequestLeavesAVersionThatIsRolledBack) {
  RolloutFixture fixture;
  fixture.Order();
  fixture.SetStatus(RolloutState::kRunning, RolloutStage::kAll);
  for (int i = 0; i < 4; ++i) fixture.site.SendRequest("/read/1");
  const auto waiting = fixture.site.SendRequest("/read/1");
  BOOST_REQUIRE(fixture.site.calls.size() == 4u);
  fixture.SetStatus(RolloutState::kRolledBack, RolloutStage::kNone);
  BOOST_REQUIRE(fixture.site.calls.size() == 5u);
  BOOST_TEST(fixture.site.last().server().starts_with("plain"));
  fixture.site.last().SendResponse(200, "found");
  BOOST_TEST(waiting->status == 200);
  // Those that run on the new servers finish there.
  BOOST_TEST(!fixture.site.calls[0]->cancelled);
}

// Guards against callers who get the errors of a bad version while sound
// servers are there.
BOOST_AUTO_TEST_CASE(AFailedRequestIsRetriedOnTheOldVersion) {
  RolloutFixture fixture;
  fixture.Order();
  fixture.SetStatus(RolloutState::kRunning, RolloutStage::kRamp);
  std::shared_ptr<FakeCaller> caller;
  for (int i = 0; i < 200; ++i) {
    caller = fixture.site.SendRequest("/read/1");
    if (fixture.site.last().server().starts_with("new")) break;
    fixture.site.last().SendResponse(200, "found");
  }
  fixture.site.last().SendResponse(500, "broken");
  BOOST_TEST(fixture.site.last().server().starts_with("plain"));
  fixture.site.last().SendResponse(200, "found");
  BOOST_TEST(caller->status == 200);
}

BOOST_AUTO_TEST_CASE(UnfinishedRequestsOfTheOldVersionAreReported) {
  RolloutFixture fixture;
  fixture.site.SendRequest("/read/1");
  fixture.Order();
  fixture.SetStatus(RolloutState::kRunning, RolloutStage::kAll);
  BOOST_REQUIRE(fixture.rollouts.Reports().size() == 1u);
  BOOST_TEST(fixture.rollouts.Reports()[0].open_old == 1u);
  fixture.site.calls[0]->SendResponse(200, "found");
  BOOST_TEST(fixture.rollouts.Reports()[0].open_old == 0u);
}

BOOST_AUTO_TEST_CASE(AnswersAreCountedByVersionAndRoute) {
  RolloutFixture fixture;
  fixture.Order();
  fixture.SetStatus(RolloutState::kRunning, RolloutStage::kAll);
  fixture.site.SendRequest("/pay/1");
  fixture.site.AdvanceTime(absl::Milliseconds(30));
  fixture.site.last().SendResponse(200, "paid");
  fixture.site.SendRequest("/pay/1");
  fixture.site.last().SendResponse(500, "broken");
  const auto evidence = fixture.rollouts.Reports()[0].evidence;
  BOOST_REQUIRE(evidence.size() == 1u);
  BOOST_TEST(evidence[0].is_new);
  BOOST_TEST(evidence[0].route == HashName("/pay/"));
  BOOST_TEST(evidence[0].answered == 1u);
  BOOST_TEST(evidence[0].failed == 1u);
  BOOST_TEST(evidence[0].first.count == 1u);
}

}  // namespace
}  // namespace gentianlb::gateway
