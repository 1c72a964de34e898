#include "gateway/fleet_messages.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

FleetUpdate Sample() {
  FleetUpdate update;
  update.scope = UpdateScope::kAll;
  update.sender = {"edge-1", "10.0.0.1:7600", "zone", 0.25F};
  update.incarnation = 1'700'000'000'000'000;
  update.sequence = 9;
  update.period_ms = 95;
  update.age_ms = 70'000;
  update.hosts = 194;
  update.known_hosts = 195;
  update.complete = false;
  update.draining = true;
  update.workspaces = {
      {HashName("w"), 1234.5F, 99, 7, 0.5F, 3, 2, 40.0F, -7.5F, 5}};
  update.tables = {{HashName("t"), {77, 60, 80}, true, true, {350, 20}}};
  update.rollouts = {
      {HashName("s"),
       155,
       12,
       RolloutStage::kRamp,
       340,
       {{HashName("r"), true, 20, 3, 1, {19, -40.5, 90.25}, {7, -20, 60.5}}}}};
  update.aggregator = {"edge-2", "10.0.0.2:7600", "zone", 0.5F};
  update.settled = false;
  update.detailed = true;
  update.servers = {{HashName("s"), 14, 3, 0.5F, 2.5F}, {HashName("t"), 2}};
  update.dispatchers = {update.aggregator};
  update.neighbours = {update.sender, update.aggregator};
  return update;
}

TableChanges SampleChanges() {
  TableChanges changes;
  changes.table = HashName("t");
  changes.since = 7;
  changes.answers = {350, 20};
  changes.page.version = 12;
  changes.page.rows = {{"a", std::string(20'000, 'v'), false, 11},
                       {"b", "", true, 12}};
  return changes;
}

BOOST_AUTO_TEST_CASE(DecodingRestoresEncodedMessages) {
  const auto update = DecodeFleetUpdate(Encode(Sample()));
  BOOST_REQUIRE(update.has_value());
  BOOST_TEST((*update == Sample()));
  const auto changes = DecodeTableChanges(*Encode(SampleChanges()));
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST((*changes == SampleChanges()));
  const TableQuery query{"edge-1", HashName("servers"), 77};
  BOOST_TEST((*DecodeTableQuery(Encode(query)) == query));
}

// Guards against accepting truncated datagrams or data of another program, and
// against allocating memory for a length field that was not checked.
BOOST_AUTO_TEST_CASE(TruncatedAndForeignMessagesAreRejected) {
  const std::string whole = Encode(Sample());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!DecodeFleetUpdate(whole.substr(0, size)).has_value());
  }
  BOOST_TEST(!DecodeFleetUpdate("GET / HTTP/1.1\r\n\r\n").has_value());
  std::string long_list = whole;
  for (std::size_t i = 20; i < long_list.size(); ++i) long_list[i] = '\xff';
  BOOST_TEST(!DecodeFleetUpdate(long_list).has_value());
  std::string changes = *Encode(SampleChanges());
  for (std::size_t size = 0; size < changes.size(); size += 97) {
    BOOST_TEST(!DecodeTableChanges(changes.substr(0, size)).has_value());
  }
  const std::string query = Encode(TableQuery{"edge-1", 5, 77});
  for (std::size_t size = 0; size < query.size(); ++size) {
    BOOST_TEST(!DecodeTableQuery(query.substr(0, size)).has_value());
  }
  for (std::size_t i = 20; i < changes.size(); ++i) changes[i] = '\xff';
  BOOST_TEST(!DecodeTableChanges(changes).has_value());
}

// A configuration may be longer than a datagram can hold.
BOOST_AUTO_TEST_CASE(TooLongChangesAreNotEncoded) {
  TableChanges changes = SampleChanges();
  changes.page.rows[0].value.resize(60'000);
  BOOST_TEST(!Encode(changes).has_value());
}

}  // namespace
}  // namespace gentianlb::gateway
