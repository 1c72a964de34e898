#include "gateway/table_watch.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const std::vector<std::string> hosts = {"h1", "h2", "h3", "h4"};

FleetNews NewsOf(const std::string& host, bool up) {
  FleetNews news;
  news.sender.host = host;
  news.period_ms = 250;
  news.tables = {{HashName("t"), {7, 0, 7}, up}};
  return news;
}

// The hosts that watch at `now`, when each heard all of `speaking`; those in
// `turned_away` don't reach the service.
std::vector<std::string> Watchers(const std::vector<std::string>& speaking,
                                  const std::vector<std::string>& turned_away) {
  const absl::Time now = start + absl::Seconds(10);
  auto reaches = [&](const std::string& host) {
    return std::find(turned_away.begin(), turned_away.end(), host) ==
           turned_away.end();
  };
  std::vector<std::string> watchers;
  for (const std::string& host : hosts) {
    TableWatch watch(host, start);
    for (const std::string& other : speaking) {
      if (other != host) watch.Heard(NewsOf(other, reaches(other)), now);
    }
    if (watch.IsWatcher(reaches(host), now)) watchers.push_back(host);
  }
  return watchers;
}

BOOST_AUTO_TEST_CASE(OneOfAllHostsWatches) {
  BOOST_TEST(Watchers(hosts, {}).size() == 1u);
}

// The host that watches can't reach the service any more, while the others do.
// If it went on to hold the role, nobody would notice changes that their own
// swallowed calls hide.
BOOST_AUTO_TEST_CASE(AnotherTakesOverFromOneThatIsTurnedAway) {
  const std::string first = Watchers(hosts, {}).front();
  const std::vector<std::string> next = Watchers(hosts, {first});
  BOOST_REQUIRE(next.size() == 1u);
  BOOST_TEST(next.front() != first);
}

// The host that watches freezes. After a second its silence is noticed.
BOOST_AUTO_TEST_CASE(ASilentHostIsReplacedAfterASecond) {
  const std::string first = Watchers(hosts, {}).front();
  for (const std::string& host : hosts) {
    if (host == first) continue;
    TableWatch watch(host, start);
    const absl::Time heard = start + absl::Seconds(10);
    watch.Heard(NewsOf(first, true), heard);
    BOOST_TEST(!watch.IsWatcher(true, heard + absl::Milliseconds(900)));
    BOOST_TEST(watch.IsWatcher(true, heard + absl::Milliseconds(1100)));
  }
}

// All hosts are started at once and have not heard of each other. Each of
// hundreds would make calls that the service has no room for.
BOOST_AUTO_TEST_CASE(NobodyWatchesJustAfterTheStart) {
  const TableWatch watch("h1", start);
  BOOST_TEST(!watch.IsWatcher(true, start + absl::Seconds(1)));
  BOOST_TEST(watch.IsWatcher(true, start + absl::Seconds(3)));
}

}  // namespace
}  // namespace gentianlb::gateway
