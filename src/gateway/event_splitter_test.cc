#include "gateway/event_splitter.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::gateway {
namespace {

BOOST_AUTO_TEST_CASE(CompleteEventsAreReturnedInOrder) {
  EventSplitter splitter(0);
  BOOST_TEST(splitter.Feed("id: 1\ndata: a\n\nid: 2\nda") ==
             "id: 1\ndata: a\n\n");
  BOOST_TEST(splitter.Feed("ta: b\n") == "");
  BOOST_TEST(splitter.Feed("\n") == "id: 2\ndata: b\n\n");
  BOOST_TEST(splitter.last_event() == 2);
  BOOST_TEST(splitter.event_count() == 2);
  BOOST_TEST(splitter.partial().empty());
}

// A server fails in the middle of its third event and another one resumes after
// the second. The caller must receive the third event once and complete, not
// its first half followed by all of it.
BOOST_AUTO_TEST_CASE(APartialEventIsDroppedOnRestart) {
  EventSplitter splitter(0);
  splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c");
  BOOST_TEST(splitter.last_event() == 2);
  splitter.DiscardPartial();
  BOOST_TEST(splitter.Feed("id: 3\ndata: cc\n\n") == "id: 3\ndata: cc\n\n");
}

// The second server resumes one event too early, or from the start. Events that
// the caller has must not be sent twice.
BOOST_AUTO_TEST_CASE(EventsThatTheCallerHasAreDropped) {
  EventSplitter splitter(2);
  BOOST_TEST(splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n") ==
             "id: 3\n\n");
  BOOST_TEST(splitter.event_count() == 1);
  BOOST_TEST(splitter.dropped_events() == 2);
  BOOST_TEST(splitter.id_gaps() == 0);
}

BOOST_AUTO_TEST_CASE(IdsThatAreNotTheNextAreCounted) {
  EventSplitter splitter(2);
  splitter.Feed("id: 4\n\nid: 5\n\nid: 9\n\n");
  BOOST_TEST(splitter.id_gaps() == 2);
}

BOOST_AUTO_TEST_CASE(EventsWithoutAnIdAreKept) {
  EventSplitter splitter(5);
  BOOST_TEST(splitter.Feed("data: x\n\nid: six\n\n") ==
             "data: x\n\nid: six\n\n");
  BOOST_TEST(splitter.last_event() == 5);
}

// Lines may end with CRLF, and any bytes may arrive together. An event whose
// end isn't recognized would be held until the stream ends.
BOOST_AUTO_TEST_CASE(EventsMayEndWithCrLf) {
  const std::string_view stream =
      "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\r\n\r\n";
  for (std::size_t block = 1; block <= stream.size(); ++block) {
    EventSplitter splitter(0);
    std::string relayed;
    for (std::size_t at = 0; at < stream.size(); at += block) {
      relayed += splitter.Feed(stream.substr(at, block));
    }
    BOOST_TEST(relayed == stream);
    BOOST_TEST(splitter.last_event() == 3);
    BOOST_TEST(splitter.event_count() == 3);
  }
}

BOOST_AUTO_TEST_CASE(OtherFieldsMayPrecedeTheId) {
  EventSplitter splitter(0);
  splitter.Feed("weight-versions: 4\nid:7\ndata: x\n\n");
  BOOST_TEST(splitter.last_event() == 7);
}

}  // namespace
}  // namespace gentianlb::gateway
