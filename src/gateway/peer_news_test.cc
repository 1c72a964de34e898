#include "gateway/peer_news.h"

#include <boost/test/unit_test.hpp>

#include "gateway/peer_loads.h"

namespace gentianlb::gateway {
namespace {

PeerNews Sample() {
  PeerNews news;
  news.host = "edge-1";
  news.address = "10.0.0.1:7600";
  news.incarnation = 1'700'000'000'000'000;
  news.sequence = 9;
  news.servers = {{HashName("s"), 14, 3, 0.5F, 2.5F}, {HashName("t"), 2}};
  news.workspaces = {{HashName("w"), 1234.5F, 99, 7, 0.5F}};
  news.tables = {{HashName("t"), 77, true}};
  return news;
}

BOOST_AUTO_TEST_CASE(NewsComeBackAsTheyWere) {
  const auto back = DecodePeerNews(Encode(Sample()));
  BOOST_REQUIRE(back.has_value());
  BOOST_TEST((*back == Sample()));
}

// A datagram is cut on the way, or a stranger sends to the port. Nothing of it
// may be believed, and a length in it must not be taken at its word.
BOOST_AUTO_TEST_CASE(CutAndForeignMessagesAreNoNews) {
  const std::string whole = Encode(Sample());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!DecodePeerNews(whole.substr(0, size)).has_value());
  }
  BOOST_TEST(!DecodePeerNews("GET / HTTP/1.1\r\n\r\n").has_value());
  std::string long_list = whole;
  for (std::size_t i = 20; i < long_list.size(); ++i) long_list[i] = '\xff';
  BOOST_TEST(!DecodePeerNews(long_list).has_value());
}

// Two messages change places on the way. The older one must not undo the newer.
BOOST_AUTO_TEST_CASE(AnOvertakenMessageIsIgnored) {
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  PeerLoads loads;
  PeerNews newer = Sample();
  newer.sequence = 10;
  newer.servers = {{HashName("s"), 3}};
  loads.Heard(newer, now);
  loads.Heard(Sample(), now);
  BOOST_TEST(loads.Sum(now)[HashName("s")].running == 3);
  // A restarted host counts from the start again.
  PeerNews restarted = Sample();
  restarted.incarnation += 1;
  restarted.sequence = 1;
  restarted.servers.clear();
  loads.Heard(restarted, now);
  BOOST_TEST(loads.Sum(now).empty());
}

// Each of many hosts sees few answers of each server. Together they know which
// ones are slow.
BOOST_AUTO_TEST_CASE(WhatHostsHaveLearntOfServersIsPutTogether) {
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  PeerLoads loads;
  loads.Heard(Sample(), now);
  PeerNews other = Sample();
  other.host = "edge-2";
  other.servers = {{HashName("s"), 1, 0, 1.5F, 3.5F}};
  loads.Heard(other, now);
  const auto loads_now = loads.Sum(now);
  const ServerUse& seen = loads_now.at(HashName("s"));
  BOOST_TEST(seen.running == 15);
  BOOST_TEST(seen.prefill == 1.0F);
  BOOST_TEST(seen.decode == 3.0F);
  BOOST_TEST(loads_now.at(HashName("t")).decode == 0.0F);
}

// A frozen host can't take back what it said last; its requests end meanwhile.
BOOST_AUTO_TEST_CASE(ASilentHostsLoadIsForgotten) {
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  PeerLoads loads;
  loads.Heard(Sample(), now);
  BOOST_TEST(loads.Sum(now + absl::Milliseconds(900)).size() == 2u);
  BOOST_TEST(loads.Sum(now + absl::Milliseconds(1100)).empty());
}

}  // namespace
}  // namespace gentianlb::gateway
