#include "gateway/directory.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

ServerEntry MakeEntry(const std::string& id) {
  ServerEntry entry;
  entry.id = ServerId(id);
  entry.service = ServiceId("s");
  return entry;
}

BOOST_AUTO_TEST_CASE(UpdateReportsOnlyRealChanges) {
  Directory directory;
  BOOST_TEST(directory.Update("a", MakeEntry("a"), start));
  BOOST_TEST(!directory.Update("a", MakeEntry("a"), start));
  ServerEntry draining = MakeEntry("a");
  draining.draining = true;
  BOOST_TEST(directory.Update("a", draining, start));
  BOOST_TEST(directory.ServersOf(ServiceId("s")).size() == 1u);
  BOOST_TEST(directory.ServersOf(ServiceId("t")).empty());
}

// A foreign writer overwrites a server's registration with bytes that can't be
// parsed. That server is removed; other registrations stay.
BOOST_AUTO_TEST_CASE(AnInvalidRegistrationRemovesItsServer) {
  Directory directory;
  directory.Update("a", MakeEntry("a"), start);
  directory.Update("b", MakeEntry("b"), start);
  BOOST_TEST(directory.Update("a", std::nullopt, start));
  BOOST_TEST(directory.size() == 1u);
}

// After an outage of several seconds the table service reports the removal of
// all servers that could not renew. They are healthy and register again within
// two seconds; requests that arrive in between must still find them.
BOOST_AUTO_TEST_CASE(RemovalsAfterAnOutageAreDelayed) {
  Directory directory;
  directory.Update("a", MakeEntry("a"), start);
  directory.Update("b", MakeEntry("b"), start);
  directory.SetTableRecovered(start);
  const absl::Time soon = start + absl::Milliseconds(300);
  BOOST_TEST(!directory.Update("a", std::nullopt, soon));
  BOOST_TEST(!directory.Update("b", std::nullopt, soon));
  BOOST_TEST(directory.size() == 2u);
  // Server "b" registers again; "a" does not.
  BOOST_TEST(!directory.Update("b", MakeEntry("b"), soon));
  BOOST_TEST((directory.NextExpiry() == start + kReregistrationTime));
  BOOST_TEST(
      !directory.Expire(start + kReregistrationTime - absl::Milliseconds(1)));
  BOOST_TEST(directory.Expire(start + kReregistrationTime));
  BOOST_TEST(directory.ServersOf(ServiceId("s")).front().id.str() == "b");
  BOOST_TEST((directory.NextExpiry() == absl::InfiniteFuture()));
}

BOOST_AUTO_TEST_CASE(ReplaceRemovesUnlistedServers) {
  Directory directory;
  directory.Update("a", MakeEntry("a"), start);
  BOOST_TEST(directory.Replace({{"b", MakeEntry("b")}}, start));
  BOOST_TEST(directory.size() == 1u);
  BOOST_TEST(!directory.Replace({{"b", MakeEntry("b")}}, start));
}

// A service with the servers "a" and "b", and a drain time of two seconds.
struct LeavingSite {
  LeavingSite() {
    for (const char* id : {"a", "b"}) directory.Update(id, Make(id), start);
  }
  static ServerEntry Make(const std::string& id, std::int64_t started = 1) {
    ServerEntry entry = MakeEntry(id);
    entry.started = started;
    return entry;
  }
  bool Mark(const char* id, absl::Time now, std::int64_t started = 1) {
    return directory.MarkLeaving({ServerId(id), started, {}}, now);
  }
  bool IsDraining(const char* id) const {
    return directory.Find(ServerId(id))->draining;
  }
  Directory directory{absl::Seconds(2)};
};

// Guards against new requests to a server that is registered as usable and says
// that it leaves.
BOOST_FIXTURE_TEST_CASE(AServerThatSaysItLeavesIsDraining, LeavingSite) {
  BOOST_TEST(Mark("a", start));
  BOOST_TEST(!Mark("a", start));
  BOOST_TEST(IsDraining("a"));
  BOOST_TEST(!IsDraining("b"));
  // Its registration may be renewed, or lapse and come back.
  ServerEntry renewed = Make("a");
  renewed.streams = 7;
  directory.Update("a", renewed, start);
  BOOST_TEST(IsDraining("a"));
  directory.Update("a", std::nullopt, start + absl::Seconds(10));
  directory.Update("a", renewed, start + absl::Seconds(11));
  BOOST_TEST(IsDraining("a"));
}

// Guards against a restarted server that gets nothing for its predecessor.
BOOST_FIXTURE_TEST_CASE(ARestartedServerDoesNotLeave, LeavingSite) {
  Mark("a", start);
  BOOST_TEST(directory.Update("a", Make("a", 2), start));
  BOOST_TEST(!IsDraining("a"));
  // A response to a request from before the restart.
  BOOST_TEST(!Mark("a", start, 1));
  BOOST_TEST(!IsDraining("a"));
  BOOST_TEST(Mark("a", start, 2));
  BOOST_TEST(IsDraining("a"));
}

// Guards against callers that are refused while servers that leave could still
// serve them.
BOOST_FIXTURE_TEST_CASE(ServersThatAllLeaveAreUsedUntilTheDrainTimeEnds,
                        LeavingSite) {
  Mark("a", start);
  BOOST_TEST(Mark("b", start + absl::Seconds(1)));
  BOOST_TEST(!IsDraining("a"));
  BOOST_TEST(!IsDraining("b"));
  BOOST_TEST((directory.NextExpiry() == start + absl::Seconds(2)));
  BOOST_TEST(directory.Expire(start + absl::Seconds(2)));
  BOOST_TEST(IsDraining("a"));
  BOOST_TEST(!IsDraining("b"));
  BOOST_TEST((directory.NextExpiry() == start + absl::Seconds(3)));
  BOOST_TEST(directory.Expire(start + absl::Seconds(3)));
  BOOST_TEST(IsDraining("b"));
  BOOST_TEST((directory.NextExpiry() == absl::InfiniteFuture()));
}

// The new server makes the use of those that leave unnecessary.
BOOST_FIXTURE_TEST_CASE(ANewServerReplacesThoseThatLeave, LeavingSite) {
  Mark("a", start);
  Mark("b", start);
  BOOST_TEST(directory.Update("c", Make("c"), start));
  BOOST_TEST(IsDraining("a"));
  BOOST_TEST(IsDraining("b"));
  BOOST_TEST(!IsDraining("c"));
}

BOOST_FIXTURE_TEST_CASE(AServerRegisteredAsDrainingStaysSo, LeavingSite) {
  ServerEntry draining = Make("a");
  draining.draining = true;
  directory.Update("a", draining, start);
  Mark("a", start);
  Mark("b", start);
  BOOST_TEST(IsDraining("a"));
  BOOST_TEST(!IsDraining("b"));
}

}  // namespace
}  // namespace gentianlb::gateway
