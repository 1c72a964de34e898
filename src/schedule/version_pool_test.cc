// Requests that only servers of one software version may run.

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "schedule/fake_site_test.h"

namespace gentianlb::schedule {
namespace {

using Kind = CallerOutcome::Kind;

// A site with servers of two versions in turn.
struct Fixture {
  explicit Fixture(int servers = 4) {
    for (int i = 0; i < servers; ++i) {
      site.specs.push_back(FakeSite::MakeServer(i));
      site.specs.back().version = i % 2 == 0 ? "v1" : "v2";
    }
    site.Deliver(ServersConfigured{site.specs});
  }

  RequestId Send(const std::string& version, absl::Duration deadline) {
    Request request = site.MakeRequest("w", 0, deadline, 200, 100);
    request.version = version;
    site.Deliver(RequestArrived{request});
    return request.id;
  }

  std::string VersionOf(const ServerId& server) const {
    for (const ServerSpec& spec : site.specs) {
      if (spec.id == server) return spec.version;
    }
    return "";
  }

  FakeSite site;
};

BOOST_AUTO_TEST_CASE(ABoundRequestReachesItsVersionOnly) {
  Fixture fixture;
  std::set<RequestId> bound;
  for (int i = 0; i < 60; ++i) {
    bound.insert(fixture.Send("v1", absl::Seconds(30)));
    fixture.Send("", absl::Seconds(30));
    fixture.site.Run(absl::Milliseconds(100));
  }
  fixture.site.Run(absl::Minutes(1));
  int free_at_v2 = 0;
  for (const auto& [id, server] : fixture.site.grants) {
    const std::string version = fixture.VersionOf(server);
    if (bound.contains(id)) BOOST_TEST(version == "v1");
    if (!bound.contains(id) && version == "v2") ++free_at_v2;
  }
  BOOST_TEST(free_at_v2 > 0);
  BOOST_TEST(fixture.site.Count(Kind::kComplete, 0) == 120);
}

BOOST_AUTO_TEST_CASE(ABoundRequestIsRefusedWithoutAServerOfItsVersion) {
  Fixture fixture;
  const RequestId id = fixture.Send("v3", absl::Seconds(30));
  BOOST_REQUIRE(fixture.site.outcomes.contains(id));
  BOOST_TEST((fixture.site.outcomes.at(id).code == Code::kNoServer));
}

// Guards against a request that waits for a version whose last server leaves,
// and then goes to another one or waits in vain.
BOOST_AUTO_TEST_CASE(AWaitingBoundRequestIsRefusedWhenItsVersionLeaves) {
  Fixture fixture(2);
  for (int i = 0; i < 12; ++i) fixture.Send("v1", absl::Seconds(30));
  const std::size_t before = fixture.site.grants.size();
  fixture.site.specs.erase(fixture.site.specs.begin());
  fixture.site.Deliver(ServersConfigured{fixture.site.specs});
  fixture.site.Run(absl::Seconds(1));
  BOOST_TEST(fixture.site.grants.size() == before);
  BOOST_TEST(fixture.site.Count(Kind::kRefused, 0) ==
             12 - static_cast<int>(before));
}

// Guards against streams that are taken up and refused far more often than new
// ones begin, since they have a part of the servers only.
BOOST_AUTO_TEST_CASE(BoundRequestsAreServedAsOftenAsOthersUnderOverload) {
  Fixture fixture(8);
  std::set<RequestId> bound;
  std::set<RequestId> others;
  for (int i = 0; i < 1200; ++i) {
    const absl::Duration deadline = absl::Seconds(10);
    if (i % 20 == 0) {
      bound.insert(fixture.Send(i % 40 == 0 ? "v1" : "v2", deadline));
    } else {
      others.insert(fixture.Send("", deadline));
    }
    fixture.site.Run(FakeSite::kStep);
  }
  fixture.site.Run(absl::Minutes(1));
  const auto share = [&](const std::set<RequestId>& ids) {
    int complete = 0;
    for (const RequestId& id : ids) {
      complete += fixture.site.outcomes.at(id).kind == Kind::kComplete ? 1 : 0;
    }
    return complete / static_cast<double>(ids.size());
  };
  BOOST_TEST(share(others) < 0.8);  // It is an overload.
  BOOST_TEST(share(bound) >= 0.9 * share(others));
}

}  // namespace
}  // namespace gentianlb::schedule
