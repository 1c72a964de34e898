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

// Guards against a length that a reader can't hold and therefore ignores, so
// that any end of the connection ends the body.
BOOST_AUTO_TEST_CASE(AResponsesLengthFits64Bits) {
  const auto problem = [](const char* length) {
    return ResponseFramingProblem({{"Content-Length", length}});
  };
  BOOST_TEST(problem("9223372036854775807").empty());
  BOOST_TEST(problem("00000000000000000000000004").empty());
  BOOST_TEST(problem("9223372036854775808") == "the length is too large");
  BOOST_TEST(problem("99999999999999999999") == "the length is too large");
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

// Guards against a part of a response that a reader cuts at an interim head's
// length.
BOOST_AUTO_TEST_CASE(AnInterimHeadStatesNoFraming) {
  BOOST_TEST(InterimFramingProblem({}).empty());
  BOOST_TEST(InterimFramingProblem({{"Link", "4"}}).empty());
  BOOST_TEST(!InterimFramingProblem({{"content-length", "0"}}).empty());
  BOOST_TEST(!InterimFramingProblem({{"Transfer-Encoding ", "x"}}).empty());
}

// Guards against a coding that one reader knows and another one doesn't.
BOOST_AUTO_TEST_CASE(OnlyBlanksAreNoPartOfAValue) {
  BOOST_TEST(HeaderValue(" \t chunked\t \r\n") == "chunked");
  BOOST_TEST(HeaderValue("4 5\n") == "4 5");
  BOOST_TEST(HeaderValue(" \r\n").empty());
  BOOST_TEST(HeaderValue("").empty());
  BOOST_TEST(HeaderValue(" \vchunked\r\n") == "\vchunked");
  BOOST_TEST(HeaderValue(" \rchunked\f\r\n") == "\rchunked\f");
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
