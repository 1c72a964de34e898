#include "gateway/aggregate.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

const absl::Time now = absl::UnixEpoch() + absl::Hours(1);

FleetUpdate UpdateOf(const std::string& host) {
  FleetUpdate update;
  update.sender = {host, "", "z", 0.5F};
  update.incarnation = 1;
  update.sequence = 9;
  update.period_ms = 100;
  update.servers = {{HashName("s"), 14, 3, 0.5F, 2.5F}, {HashName("t"), 2}};
  update.detailed = true;
  return update;
}

ServerUse UseOf(const Aggregate& aggregate, const std::string& server) {
  for (const ServerUse& use : aggregate.ZoneUpdate().servers) {
    if (use.server == HashName(server)) return use;
  }
  return {};
}

// Guards against an update that arrives after a newer one and replaces it.
BOOST_AUTO_TEST_CASE(AnOvertakenMessageIsIgnored) {
  Aggregate aggregate("z");
  FleetUpdate newer = UpdateOf("h");
  newer.sequence = 10;
  newer.servers = {{HashName("s"), 3}};
  aggregate.RecordUpdate(newer, now);
  aggregate.RecordUpdate(UpdateOf("h"), now);
  aggregate.Merge(now);
  BOOST_TEST(UseOf(aggregate, "s").running == 3);
  // A restarted host starts its sequence anew.
  FleetUpdate restarted = UpdateOf("h");
  restarted.incarnation = 2;
  restarted.sequence = 1;
  restarted.servers.clear();
  aggregate.RecordUpdate(restarted, now);
  aggregate.Merge(now);
  BOOST_TEST(aggregate.ZoneUpdate().servers.empty());
}

// With many hosts, each sees few answers of a server. Only their merged
// measurements show which servers are slow.
BOOST_AUTO_TEST_CASE(ServerMeasurementsOfHostsAreMerged) {
  Aggregate aggregate("z");
  aggregate.RecordUpdate(UpdateOf("h1"), now);
  FleetUpdate other = UpdateOf("h2");
  other.servers = {{HashName("s"), 1, 0, 1.5F, 3.5F}};
  aggregate.RecordUpdate(other, now);
  aggregate.Merge(now);
  BOOST_TEST(UseOf(aggregate, "s").running == 15);
  BOOST_TEST(UseOf(aggregate, "s").prefill_slowdown == 1.0F);
  BOOST_TEST(UseOf(aggregate, "s").decode_slowdown == 3.0F);
  BOOST_TEST(UseOf(aggregate, "t").decode_slowdown == 0.0F);
  // A host receives its peers' use without its own.
  const FleetUpdate peers = aggregate.UpdateForHost("h2");
  BOOST_TEST(peers.hosts == 1);
  BOOST_TEST(peers.servers.front().running + peers.servers.back().running ==
             16);
}

// Guards against counting the last reported load of a frozen host, whose
// requests end meanwhile.
BOOST_AUTO_TEST_CASE(LoadOfAnUnresponsiveHostIsDropped) {
  Aggregate aggregate("z");
  aggregate.RecordUpdate(UpdateOf("h"), now);
  aggregate.Merge(now + absl::Milliseconds(390));
  BOOST_TEST(aggregate.ZoneUpdate().servers.size() == 2u);
  aggregate.Merge(now + absl::Milliseconds(410));
  BOOST_TEST(aggregate.ZoneUpdate().servers.empty());
}

// Guards against charging tokens twice: a host reports to another aggregator
// for a while, which publishes what the host admitted, and then to this one.
BOOST_AUTO_TEST_CASE(UseReportedToAnotherAggregatorIsNotCountedAgain) {
  Aggregate aggregate("z");
  FleetUpdate update = UpdateOf("h");
  const auto record = [&](std::uint64_t admitted, absl::Time at) {
    ++update.sequence;
    update.workspaces = {{HashName("w"), 1, admitted}};
    aggregate.RecordUpdate(update, at);
    aggregate.Merge(at);
    return aggregate.ZoneUpdate().workspaces.front().admitted;
  };
  BOOST_TEST(record(1000, now) == 0u);  // Counting starts here.
  BOOST_TEST(record(1500, now + absl::Milliseconds(100)) == 500u);
  BOOST_TEST(record(9000, now + absl::Seconds(2)) == 500u);
  BOOST_TEST(record(9100, now + absl::Milliseconds(2100)) == 600u);
}

// Guards against a dispatcher that is about to stop, which would leave requests
// without a decision, and a small one, for which every caller would wait.
BOOST_AUTO_TEST_CASE(DrainingAndSmallHostsDoNotDispatch) {
  Aggregate aggregate("z");
  aggregate.RecordUpdate(UpdateOf("h1"), now);
  FleetUpdate draining = UpdateOf("h2");
  draining.draining = true;
  aggregate.RecordUpdate(draining, now);
  FleetUpdate small = UpdateOf("h3");
  small.sender.processor = 0.12F;
  aggregate.RecordUpdate(small, now);
  aggregate.Merge(now);
  const std::vector<HostEntry> dispatchers = aggregate.ZoneUpdate().dispatchers;
  BOOST_REQUIRE(dispatchers.size() == 1u);
  BOOST_TEST(dispatchers.front().host == "h1");
}

TableHistory JoinedHistory(const TableHistory& a, const TableHistory& b) {
  Aggregate aggregate("z");
  FleetUpdate first = UpdateOf("h1");
  first.tables = {{HashName("t"), a}};
  aggregate.RecordUpdate(first, now);
  FleetUpdate other = UpdateOf("h2");
  other.tables = {{HashName("t"), b}};
  aggregate.RecordUpdate(other, now);
  aggregate.Merge(now);
  return aggregate.ZoneUpdate().tables.at(0).history;
}

// Guards against removals that a host misses because two histories are joined
// across a gap that neither host has read.
BOOST_AUTO_TEST_CASE(TableHistoriesAreJoinedOnlyWithoutGaps) {
  const TableHistory long_known{40, 10, 50};
  const TableHistory read_later{30, 45, 60};
  const TableHistory read_last{30, 55, 60};
  const TableHistory joined{40, 10, 60};
  const TableHistory only_last{40, 55, 60};
  BOOST_TEST((JoinedHistory(long_known, read_later) == joined));
  BOOST_TEST((JoinedHistory(read_later, long_known) == joined));
  BOOST_TEST((JoinedHistory(long_known, read_last) == only_last));
  BOOST_TEST((JoinedHistory(read_last, long_known) == only_last));
}

}  // namespace
}  // namespace gentianlb::gateway
