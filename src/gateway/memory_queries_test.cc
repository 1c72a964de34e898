#include "gateway/memory_queries.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

std::vector<HostEntry> Hosts(int count) {
  std::vector<HostEntry> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) hosts.push_back({"h" + std::to_string(i)});
  return hosts;
}

// Guards against a host that starts and asks no peer, or itself, or all peers.
BOOST_AUTO_TEST_CASE(AHostThatStartsAsksTwoPeers) {
  MemoryQueries queries(EntryHostId("h0"));
  BOOST_TEST(queries.OnHosts(Hosts(1)).empty());
  const auto asked = queries.OnHosts(Hosts(300));
  BOOST_REQUIRE(asked.size() == MemoryQueries::kPeersAtOnce);
  BOOST_TEST(asked[0] != asked[1]);
  BOOST_TEST(asked[0].str() != "h0");
  BOOST_TEST(asked[1].str() != "h0");
}

// Guards against an answer that is lost, and against queries for ever.
BOOST_AUTO_TEST_CASE(OthersAreAskedUntilOneAnswers) {
  MemoryQueries queries(EntryHostId("h0"));
  const auto first = queries.OnHosts(Hosts(9));
  BOOST_TEST((queries.OnHosts(Hosts(9)) != first));
  queries.OnAnswer();
  BOOST_TEST(queries.OnHosts(Hosts(9)).empty());
  MemoryQueries unanswered(EntryHostId("h0"));
  for (int i = 0; i < MemoryQueries::kMaxRounds; ++i) {
    BOOST_TEST(!unanswered.OnHosts(Hosts(9)).empty());
  }
  BOOST_TEST(unanswered.OnHosts(Hosts(9)).empty());
}

// Guards against a host that was cut off and never learns what the other side
// has seen.
BOOST_AUTO_TEST_CASE(HostsOfTheOtherSideAreAskedAfterAPartition) {
  MemoryQueries queries(EntryHostId("h0"));
  queries.OnHosts(Hosts(4));
  queries.OnAnswer();
  BOOST_TEST(queries.OnHosts(Hosts(2)).empty());
  for (const EntryHostId& host : queries.OnHosts(Hosts(4))) {
    BOOST_TEST((host.str() == "h2" || host.str() == "h3"));
  }
}

}  // namespace
}  // namespace gentianlb::gateway
