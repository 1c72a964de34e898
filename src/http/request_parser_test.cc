#include "http/request_parser.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "absl/strings/str_cat.h"

namespace gentianlb::http {
namespace {

// What came of a request.
struct Parsed {
  explicit Parsed(ServerLimits limits = {})
      : parser(limits, [this](std::string_view bytes) { body += bytes; }) {}

  // Passes on `bytes` in pieces of a size of at most `most`. Returns what was
  // left of them.
  std::string Feed(const std::string& bytes, std::size_t most,
                   std::uint64_t seed = 1) {
    std::mt19937_64 random(seed);
    std::string unread;
    std::size_t at = 0;
    while (at < bytes.size() && !parser.complete() && !parser.problem()) {
      const std::size_t count =
          std::uniform_int_distribution<std::size_t>(1, most)(random);
      unread += bytes.substr(at, count);
      at = std::min(bytes.size(), at + count);
      unread.erase(0, parser.Read(unread));
    }
    return unread + bytes.substr(at);
  }
  bool IsRefusedWith(Code code) const {
    return parser.problem() && parser.problem()->code == code;
  }

  std::string body;
  RequestParser parser;
};

std::string Lines(std::size_t lines, std::size_t bytes_each) {
  std::string text;
  for (std::size_t i = 0; i < lines; ++i) {
    std::string line = absl::StrCat("x", i, ": ");
    line.append(std::max(bytes_each, line.size() + 2) - line.size() - 2, 'v');
    absl::StrAppend(&text, line, "\r\n");
  }
  return text;
}

constexpr char kPost[] = "POST /a%20b?c=d HTTP/1.1\r\nHost: h\r\n";

BOOST_AUTO_TEST_CASE(ARequestIsTheSameInWhateverPiecesItComes) {
  const std::string next = "GET /next HTTP/1.1\r\n";
  const std::string text = absl::StrCat(
      kPost,
      "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n"
      "0\r\nTrailer: t\r\n\r\n",
      next);
  for (const std::size_t most : {1UL, 3UL, 20UL, text.size()}) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      Parsed parsed;
      BOOST_TEST(parsed.Feed(text, most, seed) == next);
      BOOST_TEST(parsed.parser.complete());
      BOOST_TEST(parsed.body == "abcde");
      const Request& request = parsed.parser.request();
      BOOST_TEST(request.method == "POST");
      BOOST_TEST(request.target == "/a%20b?c=d");
      BOOST_TEST(request.path == "/a b");
      BOOST_TEST(request.query == "c=d");
      const std::vector<Header> headers = {{"Host", "h"},
                                           {"Transfer-Encoding", "chunked"}};
      BOOST_TEST((request.headers == headers));
    }
  }
}

// Guards against 431 for a request inside the limits.
BOOST_AUTO_TEST_CASE(AHeadAtTheLimitsIsTaken) {
  const ServerLimits limits = {.max_header_bytes = 16'384};
  for (const std::size_t lines : {1UL, 32UL, 128UL, 512UL}) {
    const std::string target(16'384, 't');
    Parsed parsed(limits);
    parsed.Feed(absl::StrCat("GET /", target.substr(20), " HTTP/1.1\r\n",
                             Lines(lines, 16'384 / lines), "\r\n"),
                1'000);
    BOOST_TEST(parsed.parser.complete(), lines);
    BOOST_TEST(parsed.parser.request().headers.size() == lines);
  }
}

BOOST_AUTO_TEST_CASE(AHeadBeyondALimitIsRefused) {
  const ServerLimits limits = {.max_header_bytes = 16'384};
  const std::string long_target(17'000, 't');
  for (const std::string& text :
       {absl::StrCat(kPost, Lines(2, 8'200), "\r\n"),
        absl::StrCat(kPost, Lines(513, 8), "\r\n"),
        absl::StrCat(kPost, "x: ", std::string(100'000, 'v')),
        absl::StrCat("GET /", long_target, " HTTP/1.1\r\nHost: h\r\n\r\n"),
        absl::StrCat("GET /", long_target, long_target)}) {
    Parsed parsed(limits);
    parsed.Feed(text, 5'000);
    BOOST_TEST(parsed.IsRefusedWith(Code::kHeaderTooLarge), text.substr(0, 40));
  }
}

// Guards against bytes between chunks, or behind them, that fill the memory.
BOOST_AUTO_TEST_CASE(LinesAmongChunksHaveABound) {
  const std::string head =
      absl::StrCat(kPost, "Transfer-Encoding: chunked\r\n\r\n");
  for (const std::string& start :
       {std::string("3;"), std::string("3\r\nabc\r\n"),
        std::string("0\r\nTrailer: ")}) {
    Parsed parsed;
    parsed.Feed(absl::StrCat(head, start, std::string(200'000, '1')), 5'000);
    BOOST_TEST(parsed.IsRefusedWith(Code::kMalformedRequest), start);
  }
}

// Guards against a second request that hides in the body of the first, as two
// readers disagree on its end.
BOOST_AUTO_TEST_CASE(AnUncertainRequestIsRefused) {
  for (const char* lines :
       {"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n", "Content-Length: -4\r\n",
        "Content-Length : 4\r\n", "Content-Length: 4x\r\n", "No-Colon\r\n",
        ": v\r\n", "X\x01: v\r\n", "X: v\nY: w\r\n"}) {
    Parsed parsed;
    parsed.Feed(absl::StrCat(kPost, lines, "\r\nabcd"), 1'000);
    BOOST_TEST(parsed.IsRefusedWith(Code::kMalformedRequest), lines);
  }
}

BOOST_AUTO_TEST_CASE(TheCallersVersionDecidesWhetherTheConnectionIsKept) {
  const auto keeps = [](const std::string& text) {
    Parsed parsed;
    parsed.Feed(text, text.size());
    BOOST_REQUIRE(parsed.parser.complete());
    return parsed.parser.keeps_connection();
  };
  BOOST_TEST(keeps("GET / HTTP/1.1\r\n\r\n"));
  BOOST_TEST(!keeps("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"));
  BOOST_TEST(!keeps("GET / HTTP/1.0\r\n\r\n"));
  BOOST_TEST(keeps("GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n"));
}

}  // namespace
}  // namespace gentianlb::http
