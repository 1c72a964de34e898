#include "http/framing.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::http {
namespace {

BOOST_AUTO_TEST_CASE(OrdinaryMessagesPass) {
  BOOST_TEST(FramingProblem({}).empty());
  BOOST_TEST(FramingProblem({{"Host", "a"}, {"Content-Length", "12"}}).empty());
  BOOST_TEST(FramingProblem({{"Transfer-Encoding", "Chunked"}}).empty());
}

// A caller gives two lengths, or a length and chunks, so that one reader takes
// the rest of the body for a second request. That request would run although
// nobody checked it; here the message is refused.
BOOST_AUTO_TEST_CASE(AMessageWithTwoEndsIsRefused) {
  BOOST_TEST(!FramingProblem({{"Content-Length", "4"}, {"content-length", "9"}})
                  .empty());
  BOOST_TEST(!FramingProblem(
                  {{"Content-Length", "4"}, {"Transfer-Encoding", "chunked"}})
                  .empty());
  BOOST_TEST(!FramingProblem({{"Content-Length", "+4"}}).empty());
  BOOST_TEST(!FramingProblem({{"Content-Length", "4, 4"}}).empty());
  BOOST_TEST(!FramingProblem({{"Transfer-Encoding", "xchunked"}}).empty());
}

// A blank before the colon makes one reader ignore the header and another obey
// it, which has the same effect.
BOOST_AUTO_TEST_CASE(ABlankInAHeaderNameIsRefused) {
  BOOST_TEST(!FramingProblem({{"Content-Length ", "4"}}).empty());
  BOOST_TEST(!FramingProblem({{" Transfer-Encoding", "chunked"}}).empty());
  BOOST_TEST(!FramingProblem({{"", "x"}}).empty());
}

BOOST_AUTO_TEST_CASE(TwoHostsAreRefused) {
  BOOST_TEST(!FramingProblem({{"Host", "a"}, {"Host", "b"}}).empty());
}

}  // namespace
}  // namespace gentianlb::http
