#include "gateway/fleet_messages.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

FleetNews Sample() {
  FleetNews news;
  news.scope = NewsScope::kAll;
  news.sender = {"edge-1", "10.0.0.1:7600", "zone", 0.25F};
  news.incarnation = 1'700'000'000'000'000;
  news.sequence = 9;
  news.period_ms = 95;
  news.age_ms = 70'000;
  news.hosts = 194;
  news.complete = false;
  news.draining = true;
  news.workspaces = {{HashName("w"), 1234.5F, 99, 7, 0.5F, 3, 40.0F}};
  news.tables = {{HashName("t"), {77, 60, 80}, true, 350}};
  news.aggregator = {"edge-2", "10.0.0.2:7600", "zone", 0.5F};
  news.settled = false;
  news.detailed = true;
  news.servers = {{HashName("s"), 14, 3, 0.5F, 2.5F}, {HashName("t"), 2}};
  news.dispatchers = {news.aggregator};
  news.neighbours = {news.sender, news.aggregator};
  return news;
}

TableChanges SampleChanges() {
  TableChanges changes;
  changes.table = HashName("t");
  changes.since = 7;
  changes.page.version = 12;
  changes.page.rows = {{"a", std::string(20'000, 'v'), false, 11},
                       {"b", "", true, 12}};
  return changes;
}

BOOST_AUTO_TEST_CASE(MessagesComeBackAsTheyWere) {
  const auto news = DecodeFleetNews(Encode(Sample()));
  BOOST_REQUIRE(news.has_value());
  BOOST_TEST((*news == Sample()));
  const auto changes = DecodeTableChanges(*Encode(SampleChanges()));
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST((*changes == SampleChanges()));
  const TableQuestion question{"edge-1", HashName("servers"), 77};
  BOOST_TEST((*DecodeTableQuestion(Encode(question)) == question));
}

// A datagram is cut on the way, or a stranger sends to the port. Nothing of it
// may be believed, and a length in it must not be taken at its word.
BOOST_AUTO_TEST_CASE(CutAndForeignMessagesAreNoNews) {
  const std::string whole = Encode(Sample());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!DecodeFleetNews(whole.substr(0, size)).has_value());
  }
  BOOST_TEST(!DecodeFleetNews("GET / HTTP/1.1\r\n\r\n").has_value());
  std::string long_list = whole;
  for (std::size_t i = 20; i < long_list.size(); ++i) long_list[i] = '\xff';
  BOOST_TEST(!DecodeFleetNews(long_list).has_value());
  std::string changes = *Encode(SampleChanges());
  for (std::size_t size = 0; size < changes.size(); size += 97) {
    BOOST_TEST(!DecodeTableChanges(changes.substr(0, size)).has_value());
  }
  const std::string question = Encode(TableQuestion{"edge-1", 5, 77});
  for (std::size_t size = 0; size < question.size(); ++size) {
    BOOST_TEST(!DecodeTableQuestion(question.substr(0, size)).has_value());
  }
  for (std::size_t i = 20; i < changes.size(); ++i) changes[i] = '\xff';
  BOOST_TEST(!DecodeTableChanges(changes).has_value());
}

// A configuration may be longer than a datagram holds.
BOOST_AUTO_TEST_CASE(WhatIsTooLongIsNotHandedOn) {
  TableChanges changes = SampleChanges();
  changes.page.rows[0].value.resize(60'000);
  BOOST_TEST(!Encode(changes).has_value());
}

}  // namespace
}  // namespace gentianlb::gateway
