#include "gateway/aggregate.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time now = absl::UnixEpoch() + absl::Hours(1);

FleetNews NewsOf(const std::string& host) {
  FleetNews news;
  news.sender = {host, "", "z", 0.5F};
  news.incarnation = 1;
  news.sequence = 9;
  news.period_ms = 100;
  news.servers = {{HashName("s"), 14, 3, 0.5F, 2.5F}, {HashName("t"), 2}};
  news.detailed = true;
  return news;
}

ServerUse UseOf(const Aggregate& aggregate, const std::string& server) {
  for (const ServerUse& use : aggregate.OfZone().servers) {
    if (use.server == HashName(server)) return use;
  }
  return {};
}

// Two messages change places on the way. The older one must not undo the newer.
BOOST_AUTO_TEST_CASE(AnOvertakenMessageIsIgnored) {
  Aggregate aggregate("z");
  FleetNews newer = NewsOf("h");
  newer.sequence = 10;
  newer.servers = {{HashName("s"), 3}};
  aggregate.Heard(newer, now);
  aggregate.Heard(NewsOf("h"), now);
  aggregate.Merge(now);
  BOOST_TEST(UseOf(aggregate, "s").running == 3);
  // A restarted host counts from the start again.
  FleetNews restarted = NewsOf("h");
  restarted.incarnation = 2;
  restarted.sequence = 1;
  restarted.servers.clear();
  aggregate.Heard(restarted, now);
  aggregate.Merge(now);
  BOOST_TEST(aggregate.OfZone().servers.empty());
}

// Each of many hosts sees few answers of each server. Together they know which
// ones are slow.
BOOST_AUTO_TEST_CASE(WhatHostsHaveLearntOfServersIsPutTogether) {
  Aggregate aggregate("z");
  aggregate.Heard(NewsOf("h1"), now);
  FleetNews other = NewsOf("h2");
  other.servers = {{HashName("s"), 1, 0, 1.5F, 3.5F}};
  aggregate.Heard(other, now);
  aggregate.Merge(now);
  BOOST_TEST(UseOf(aggregate, "s").running == 15);
  BOOST_TEST(UseOf(aggregate, "s").prefill == 1.0F);
  BOOST_TEST(UseOf(aggregate, "s").decode == 3.0F);
  BOOST_TEST(UseOf(aggregate, "t").decode == 0.0F);
  // A host is told what the others have, without its own.
  const FleetNews told = aggregate.ForHost("h2");
  BOOST_TEST(told.hosts == 1);
  BOOST_TEST(told.servers.front().running + told.servers.back().running == 16);
}

// A frozen host can't take back what it said last; its requests end meanwhile.
BOOST_AUTO_TEST_CASE(ASilentHostsLoadIsForgotten) {
  Aggregate aggregate("z");
  aggregate.Heard(NewsOf("h"), now);
  aggregate.Merge(now + absl::Milliseconds(390));
  BOOST_TEST(aggregate.OfZone().servers.size() == 2u);
  aggregate.Merge(now + absl::Milliseconds(410));
  BOOST_TEST(aggregate.OfZone().servers.empty());
}

// A host was heard by another aggregator for a while, which told what it let
// through. Counted here again, it would be spent twice.
BOOST_AUTO_TEST_CASE(WhatAHostToldAnotherAggregatorIsNotCountedAgain) {
  Aggregate aggregate("z");
  FleetNews news = NewsOf("h");
  const auto told = [&](std::uint64_t let_through, absl::Time at) {
    ++news.sequence;
    news.workspaces = {{HashName("w"), 1, let_through}};
    aggregate.Heard(news, at);
    aggregate.Merge(at);
    return aggregate.OfZone().workspaces.front().let_through;
  };
  BOOST_TEST(told(1000, now) == 0u);  // From here on it is counted.
  BOOST_TEST(told(1500, now + absl::Milliseconds(100)) == 500u);
  BOOST_TEST(told(9000, now + absl::Seconds(2)) == 500u);
  BOOST_TEST(told(9100, now + absl::Milliseconds(2100)) == 600u);
}

// A host that is about to stop would leave requests without a decision, and a
// small one would keep every caller waiting.
BOOST_AUTO_TEST_CASE(HostsThatShouldNotDispatchAreLeftOut) {
  Aggregate aggregate("z");
  aggregate.Heard(NewsOf("h1"), now);
  FleetNews draining = NewsOf("h2");
  draining.draining = true;
  aggregate.Heard(draining, now);
  FleetNews small = NewsOf("h3");
  small.sender.processor = 0.12F;
  aggregate.Heard(small, now);
  aggregate.Merge(now);
  const std::vector<HostEntry> dispatchers = aggregate.OfZone().dispatchers;
  BOOST_REQUIRE(dispatchers.size() == 1u);
  BOOST_TEST(dispatchers.front().host == "h1");
}

TableKnowledge KnownTogether(const TableKnowledge& a, const TableKnowledge& b) {
  Aggregate aggregate("z");
  FleetNews one = NewsOf("h1");
  one.tables = {{HashName("t"), a}};
  aggregate.Heard(one, now);
  FleetNews other = NewsOf("h2");
  other.tables = {{HashName("t"), b}};
  aggregate.Heard(other, now);
  aggregate.Merge(now);
  return aggregate.OfZone().tables.at(0).known;
}

// Guards against removals that a host misses: nobody knows what happened
// between what two hosts know.
BOOST_AUTO_TEST_CASE(WhatHostsKnowOfATableIsJoinedWithoutGaps) {
  const TableKnowledge long_known{40, 10, 50};
  const TableKnowledge read_later{30, 45, 60};
  const TableKnowledge read_last{30, 55, 60};
  const TableKnowledge joined{40, 10, 60};
  const TableKnowledge only_last{40, 55, 60};
  BOOST_TEST((KnownTogether(long_known, read_later) == joined));
  BOOST_TEST((KnownTogether(read_later, long_known) == joined));
  BOOST_TEST((KnownTogether(long_known, read_last) == only_last));
  BOOST_TEST((KnownTogether(read_last, long_known) == only_last));
}

}  // namespace
}  // namespace gentianlb::gateway
