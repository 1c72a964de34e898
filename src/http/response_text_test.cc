#include "http/response_text.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::http {
namespace {

BOOST_AUTO_TEST_CASE(TheServerAloneStatesTheFraming) {
  const std::vector<Header> headers = {{"Content-Length", "9"},
                                       {"Transfer-Encoding", "chunked"},
                                       {"connection", "close"},
                                       {"X", "y"}};
  BOOST_TEST(ResponseHeadText({.status = 200, .headers = &headers, .length = 4},
                              "now") ==
             "HTTP/1.1 200 OK\r\nX: y\r\nDate: now\r\n"
             "Content-Length: 4\r\n\r\n");
  BOOST_TEST(AsksToClose(headers));
}

BOOST_AUTO_TEST_CASE(AServersDateIsKept) {
  const std::vector<Header> headers = {{"date", "then"}};
  BOOST_TEST(ResponseHeadText({.status = 204,
                               .headers = &headers,
                               .framing = BodyFraming::kNone,
                               .closes = true},
                              "now") ==
             "HTTP/1.1 204 No Content\r\ndate: then\r\n"
             "Connection: close\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(ACallerOfHttp10IsToldThatItsConnectionIsKept) {
  const std::vector<Header> none;
  BOOST_TEST(
      ResponseHeadText(
          {.status = 799, .headers = &none, .states_keep_alive = true}, "now")
          .find("Connection: Keep-Alive\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AnEmptyPieceIsNotTheLastChunk) {
  std::string text;
  AppendChunk("", &text);
  AppendChunk("0123456789abcdef", &text);
  AppendLastChunk(&text);
  BOOST_TEST(text == "10\r\n0123456789abcdef\r\n0\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(TheDateIsInItsHeadersForm) {
  BOOST_TEST(FormatDate(absl::FromUnixSeconds(784111777)) ==
             "Sun, 06 Nov 1994 08:49:37 GMT");
}

}  // namespace
}  // namespace gentianlb::http
