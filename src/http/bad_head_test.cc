// Tests both clients against a server that writes bad heads, and sound ones
// that are unusual.

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "http/bad_heads_test.h"
#include "http/client.h"
#include "http/raw_exchange_test.h"

namespace gentianlb::http {
namespace {

constexpr char kRest[] = "Content-Length: 14\r\n\r\nHello, caller!";
constexpr char kBody[] = "Hello, caller!";

struct Fixture : RawExchange {
  void Exchange(const std::string& response) {
    Answer(/*request_bytes=*/1, response);
    WaitForEnd();
  }
  void CheckRefused(const BadHead& bad) {
    BOOST_TEST_CONTEXT(bad.name << ": " << bad.first_lines) {
      BOOST_TEST((*end == TransferEnd::kInvalid), detail);
      BOOST_TEST(!head.has_value());
      BOOST_TEST(body.empty());
      BOOST_TEST(!detail.empty());
      RunFor(absl::Milliseconds(10));
      BOOST_TEST(server.IsClosedByCaller());
    }
  }
  void CheckRead(const std::string& response) {
    Exchange(response);
    BOOST_TEST((*end == TransferEnd::kComplete), response);
    BOOST_TEST(body == kBody, response);
  }
};

void CheckAllRefused(const std::vector<BadHead>& heads) {
  for (const BadHead& bad : heads) {
    Fixture fixture;
    fixture.Exchange(bad.first_lines + kRest);
    fixture.CheckRefused(bad);
  }
}

// Guards against a line that readers take for another one, and a body that is
// cut by it.
BOOST_AUTO_TEST_CASE(AHeadWithABadNameIsNoAnswer) {
  CheckAllRefused(HeadsWithBadNames());
}

// Guards against the other lines on which readers disagree.
BOOST_AUTO_TEST_CASE(AHeadOutsideTheGrammarIsNoAnswer) {
  CheckAllRefused(OtherBadHeads());
}

// Guards against a status that no response has.
BOOST_AUTO_TEST_CASE(AHeadWithABadStatusIsNoAnswer) {
  CheckAllRefused(HeadsWithBadStatuses());
}

// Guards against a trailer that a reader takes for more of the head.
BOOST_AUTO_TEST_CASE(ABadTrailerEndsNoAnswer) {
  for (const std::string line : {"X Y: v", "Content-Length : 5", " folded",
                                 "X\x01: v", "X: v\x7f", "no colon", ": v"}) {
    Fixture fixture;
    fixture.Exchange(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\nX-Sum: 1\r\n" +
        line + "\r\n\r\n");
    BOOST_TEST((*fixture.end == TransferEnd::kInvalid),
               line << ": " << fixture.detail);
    fixture.RunUntil([&] { return fixture.server.IsClosedByCaller(); });
  }
}

// Guards against sound heads that are refused because they are unusual.
BOOST_AUTO_TEST_CASE(UnusualHeadsAreAnswers) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  for (const std::string& first_lines :
       {ok + "!#$%&'*+-.^_`|~09azAZ: v\r\n", ok + "X:\r\nY: \t \r\nZ:v\r\n",
        ok + "X: a\tb  c\r\n", ok + "X: \x80\xa0\xc3\xa4\xff\r\n",
        ok + "X: (\"/\\,;<=>?@[]{}:)\r\n", std::string("HTTP/1.1 200 \r\n"),
        std::string("HTTP/1.1 200\r\n"),
        std::string("HTTP/1.1 299 \xe9t\xe9\tx\r\n"),
        std::string("HTTP/1.1 404 :\r\n"), std::string("HTTP/1.1 599 Late\r\n"),
        std::string("HTTP/1.0 200 OK\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n" + ok,
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok}) {
    Fixture fixture;
    fixture.CheckRead(first_lines + kRest);
  }
  Fixture fixture;
  fixture.CheckRead(
      std::string("HTTP/1.1 200 OK\nX: v\nContent-Length: 14\n\n") + kBody);
}

// Guards against a byte that one of the two readers, libcurl and ours, takes
// differently, so that the caller gets another body.
BOOST_AUTO_TEST_CASE(AByteMoreLeavesTheBodyOrNone) {
  constexpr int kTries = 300;
  const std::string sound =
      std::string("HTTP/1.1 200 OK\r\nRequest-Id: r\r\n") + kRest;
  const std::size_t head_bytes = sound.size() - sizeof kBody + 1;
  std::mt19937 random(1);  // NOLINT: the same bytes in each run
  for (int i = 0; i < kTries; ++i) {
    const std::size_t at = random() % head_bytes;
    const auto byte = static_cast<char>(i % 256);
    Fixture fixture;
    // Its end ends all that has no other.
    fixture.client.Start(
        {.url = fixture.server.url(), .send_policy = SendPolicy::kNoResend},
        {.on_data = [&](std::string_view data) { fixture.body += data; },
         .on_end = [&](TransferEnd got,
                       const std::string&) { fixture.end = got; }});
    fixture.RunUntil([&] { return fixture.server.HasRequest(); });
    fixture.server.Write(std::string(sound).insert(at, 1, byte));
    fixture.server.Close();
    fixture.RunUntil([&] { return fixture.end.has_value(); });
    if (*fixture.end != TransferEnd::kComplete) continue;
    // A digit more in the length, or a letter in its name, is the server's
    // word.
    const bool is_own_word = absl::ascii_isgraph(byte);
    BOOST_TEST((is_own_word || fixture.body == kBody),
               "byte " << i % 256 << " at " << at);
  }
}

// Guards against a bad head that the client with a thread of its own takes.
BOOST_AUTO_TEST_CASE(TheClientWithAThreadRefusesBadHeads) {
  for (const BadHead& bad : HeadsWithBadNames()) {
    Client client;
    RawServer server;
    Reply reply;
    absl::Notification ended;
    client.Fetch({.url = server.url(), .send_policy = SendPolicy::kNoResend},
                 [&](Reply got) {
                   reply = std::move(got);
                   ended.Notify();
                 });
    for (int i = 0; i < 5000 && !server.HasRequest(); ++i) {
      absl::SleepFor(absl::Milliseconds(1));
    }
    server.Write(bad.first_lines + kRest);
    BOOST_REQUIRE(ended.WaitForNotificationWithTimeout(absl::Seconds(5)));
    BOOST_TEST((reply.end == TransferEnd::kInvalid), bad.first_lines);
    BOOST_TEST(reply.status == 0);
    BOOST_TEST(reply.body.empty());
  }
}

}  // namespace
}  // namespace gentianlb::http
