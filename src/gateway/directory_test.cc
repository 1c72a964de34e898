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

}  // namespace
}  // namespace gentianlb::gateway
