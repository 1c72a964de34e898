#include "http/framing.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::http {
namespace {

BOOST_AUTO_TEST_CASE(ValidHeadersPass) {
  BOOST_TEST(FramingProblem({}).empty());
  BOOST_TEST(FramingProblem({{"Host", "a"}, {"Content-Length", "12"}}).empty());
  BOOST_TEST(FramingProblem({{"Transfer-Encoding", "Chunked"}}).empty());
}

// A caller sends two lengths, or a length and chunked encoding, so that one
// reader treats the rest of the body as a second request, which would run
// unchecked.
BOOST_AUTO_TEST_CASE(ConflictingLengthsAreRefused) {
  BOOST_TEST(!FramingProblem({{"Content-Length", "4"}, {"content-length", "9"}})
                  .empty());
  BOOST_TEST(!FramingProblem(
                  {{"Content-Length", "4"}, {"Transfer-Encoding", "chunked"}})
                  .empty());
  BOOST_TEST(!FramingProblem({{"Content-Length", "+4"}}).empty());
  BOOST_TEST(!FramingProblem({{"Content-Length", "4, 4"}}).empty());
  BOOST_TEST(!FramingProblem({{"Transfer-Encoding", "xchunked"}}).empty());
}

// With a blank before the colon, one reader ignores the header and another
// obeys it, so that they disagree on the end of the message.
BOOST_AUTO_TEST_CASE(BlankInHeaderNameIsRefused) {
  BOOST_TEST(!FramingProblem({{"Content-Length ", "4"}}).empty());
  BOOST_TEST(!FramingProblem({{" Transfer-Encoding", "chunked"}}).empty());
  BOOST_TEST(!FramingProblem({{"", "x"}}).empty());
}

// A caller gets a part of a response as the whole, where its server and this
// host disagree on its end.
BOOST_AUTO_TEST_CASE(AResponseWithoutACertainEndIsRefused) {
  const auto problem = [](const std::vector<Header>& headers) {
    return !ResponseFramingProblem(headers).empty();
  };
  BOOST_TEST(problem({{"Content-Length", "4"}, {"content-length", "9"}}));
  BOOST_TEST(
      problem({{"Content-Length", "4"}, {"Transfer-Encoding", "chunked"}}));
  BOOST_TEST(problem({{"Content-Length", "4, 4"}}));
  BOOST_TEST(problem({{"Content-Length", "-4"}}));
  BOOST_TEST(problem({{"Content-Length", ""}}));
  BOOST_TEST(problem({{"Content-Length ", "4"}}));
  BOOST_TEST(problem({{"Transfer-Encoding", "gzip, chunked"}}));
  BOOST_TEST(problem(
      {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "chunked"}}));
}

BOOST_AUTO_TEST_CASE(AResponseWithACertainEndPasses) {
  BOOST_TEST(ResponseFramingProblem({}).empty());
  BOOST_TEST(
      ResponseFramingProblem({{"Content-Length", "4"}, {"Content-Length", "4"}})
          .empty());
  BOOST_TEST(
      ResponseFramingProblem({{"Transfer-Encoding", "Chunked"}}).empty());
}

BOOST_AUTO_TEST_CASE(DuplicateHostIsRefused) {
  BOOST_TEST(!FramingProblem({{"Host", "a"}, {"Host", "b"}}).empty());
}

// Guards against a body whose end nothing marks, and which passes for framed.
BOOST_AUTO_TEST_CASE(ABodyWithoutFramingEndsWithItsConnection) {
  BOOST_TEST(EndsWithConnection("GET", 200, {}));
  BOOST_TEST(EndsWithConnection("POST", 503, {{"Connection", "close"}}));
  BOOST_TEST(!EndsWithConnection("GET", 200, {{"content-length", "0"}}));
  BOOST_TEST(
      !EndsWithConnection("GET", 200, {{"Transfer-Encoding", "chunked"}}));
  BOOST_TEST(!EndsWithConnection("HEAD", 200, {}));
  BOOST_TEST(!EndsWithConnection("GET", 204, {}));
  BOOST_TEST(!EndsWithConnection("GET", 304, {}));
}

}  // namespace
}  // namespace gentianlb::http
