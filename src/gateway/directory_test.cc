#include "gateway/directory.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);

ServerEntry Entry(const std::string& id) {
  ServerEntry entry;
  entry.id = ServerId(id);
  entry.service = ServiceId("s");
  return entry;
}

BOOST_AUTO_TEST_CASE(OnlyWhatDiffersIsAChange) {
  Directory directory;
  BOOST_TEST(directory.Update("a", Entry("a"), start));
  BOOST_TEST(!directory.Update("a", Entry("a"), start));
  ServerEntry draining = Entry("a");
  draining.draining = true;
  BOOST_TEST(directory.Update("a", draining, start));
  BOOST_TEST(directory.ServersOf(ServiceId("s")).size() == 1u);
  BOOST_TEST(directory.ServersOf(ServiceId("t")).empty());
}

// A writer that is no server puts bytes that can't be read where a server's
// registration stood. That entry names no server any more; the others hold.
BOOST_AUTO_TEST_CASE(AnUnreadableEntryNamesNoServer) {
  Directory directory;
  directory.Update("a", Entry("a"), start);
  directory.Update("b", Entry("b"), start);
  BOOST_TEST(directory.Update("a", std::nullopt, start));
  BOOST_TEST(directory.size() == 1u);
}

// The table service was away for some seconds, and with its return come the
// removals of all servers that could not renew meanwhile. They live, and are
// registered again within two seconds; a caller in between must be served.
BOOST_AUTO_TEST_CASE(RemovalsJustAfterAnOutageWait) {
  Directory directory;
  directory.Update("a", Entry("a"), start);
  directory.Update("b", Entry("b"), start);
  directory.OnTableRecovered(start);
  const absl::Time soon = start + absl::Milliseconds(300);
  BOOST_TEST(!directory.Update("a", std::nullopt, soon));
  BOOST_TEST(!directory.Update("b", std::nullopt, soon));
  BOOST_TEST(directory.size() == 2u);
  // One of them is back; the other is gone for good.
  BOOST_TEST(!directory.Update("b", Entry("b"), soon));
  BOOST_TEST((directory.NextExpiry() == start + kReregistrationTime));
  BOOST_TEST(
      !directory.Expire(start + kReregistrationTime - absl::Milliseconds(1)));
  BOOST_TEST(directory.Expire(start + kReregistrationTime));
  BOOST_TEST(directory.ServersOf(ServiceId("s")).front().id.str() == "b");
  BOOST_TEST((directory.NextExpiry() == absl::InfiniteFuture()));
}

BOOST_AUTO_TEST_CASE(AWholeListRemovesWhatItLeavesOut) {
  Directory directory;
  directory.Update("a", Entry("a"), start);
  BOOST_TEST(directory.Replace({{"b", Entry("b")}}, start));
  BOOST_TEST(directory.size() == 1u);
  BOOST_TEST(!directory.Replace({{"b", Entry("b")}}, start));
}

}  // namespace
}  // namespace gentianlb::gateway
