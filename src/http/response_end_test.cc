// Tests what ends a response against a server that writes raw bytes: a response
// is complete only where its server has marked its end.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "http/client.h"
#include "http/loop_client.h"
#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::http {
namespace {

struct Fixture : loop::LoopRunner {
  void Send(const std::string& method = "GET") {
    client.Start({.method = method,
                  .url = server.url(),
                  .send_policy = SendPolicy::kNoResend},
                 {.on_head =
                      [this](const ReceivedHead& head) {
                        statuses.push_back(head.status);
                        headers = head.headers;
                        return at_head;
                      },
                  .on_data = [this](std::string_view data) { body += data; },
                  .on_end =
                      [this](TransferEnd got, const std::string& got_detail) {
                        end = got;
                        detail = got_detail;
                      }});
    RunUntil([this] { return server.HasRequest(); });
  }
  // The server writes `bytes` and closes its connection in good order.
  void AnswerAndClose(const std::string& bytes) {
    server.Write(bytes);
    server.Close();
    RunUntil([this] { return end.has_value(); });
  }
  void Answer(const std::string& bytes) {
    server.Write(bytes);
    RunUntil([this] { return end.has_value(); });
  }

  LoopClient client{&loop, 4};
  RawServer server;
  ReadAction at_head = ReadAction::kContinue;
  std::vector<int> statuses;
  std::vector<Header> headers;
  std::string body;
  std::optional<TransferEnd> end;
  std::string detail;
};

// A server ends within its head, and its system closes the connection in good
// order. Guards against a head that is taken for a response without a body.
BOOST_FIXTURE_TEST_CASE(AHeadThatIsCutIsBroken, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nServer-Stamp: x\r\n");
  BOOST_TEST((*end == TransferEnd::kBroken));
  BOOST_TEST(statuses.empty());
}

// Guards against the same where the cut is within a line.
BOOST_FIXTURE_TEST_CASE(ALineOfTheHeadThatIsCutIsBroken, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Le");
  BOOST_TEST((*end == TransferEnd::kBroken));
  BOOST_TEST(statuses.empty());
}

// Guards against the status of a head that was cut with the headers of the
// response behind it.
BOOST_AUTO_TEST_CASE(AHeadInsideAHeadIsInvalid) {
  const std::string first = "HTTP/1.1 200 OK\r\nServer-Stamp: x\r\n";
  const std::string second =
      "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& cut : {first, first + "Content-Le"}) {
    Fixture fixture;
    fixture.Send();
    fixture.Answer(cut + second);
    BOOST_TEST((*fixture.end == TransferEnd::kInvalid));
    BOOST_TEST(fixture.statuses.empty());
  }
}

// Guards against a server that dies within a line of its head and is taken for
// one that lives, so that the request that ends it goes to the next one.
BOOST_AUTO_TEST_CASE(ACutLineShowsThatTheServerMayHaveEnded) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX: v\r\nContent-Length: 4\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    Fixture fixture;
    fixture.Send();
    if (size > 0) fixture.server.Write(head.substr(0, size));
    fixture.server.Close();
    fixture.RunUntil([&] { return fixture.end.has_value(); });
    BOOST_TEST((*fixture.end == TransferEnd::kBroken), size);
  }
}

// Guards against an interim head that is taken for the response.
BOOST_FIXTURE_TEST_CASE(AnInterimHeadAloneIsBroken, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
  BOOST_TEST((*end == TransferEnd::kBroken));
  BOOST_TEST(statuses.empty());
}

// Guards against headers of an interim head in the response's.
BOOST_FIXTURE_TEST_CASE(AnInterimHeadIsNoPartOfTheResponse, Fixture) {
  Send();
  Answer(
      "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(statuses == std::vector<int>{200},
             boost::test_tools::per_element());
  BOOST_TEST(headers.size() == 1u);
  BOOST_TEST(body == "body");
}

BOOST_FIXTURE_TEST_CASE(AResponseWithoutABodyIsComplete, Fixture) {
  Send();
  Answer("HTTP/1.1 204 No Content\r\nRequest-Id: a\r\n\r\n");
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(statuses == std::vector<int>{204},
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(AnEmptyBodyThatEndsWithItsConnectionIsComplete,
                        Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n");
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(statuses == std::vector<int>{200},
             boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(AResponseToHeadIsComplete, Fixture) {
  Send("HEAD");
  Answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(statuses == std::vector<int>{200},
             boost::test_tools::per_element());
}

// Guards against a refused head whose connection is used again, though its body
// is still to come.
BOOST_FIXTURE_TEST_CASE(ARefusedHeadClosesItsConnection, Fixture) {
  at_head = ReadAction::kStop;
  Send();
  Answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
  BOOST_TEST((*end == TransferEnd::kBroken));
  RunUntil([this] { return server.IsClosedByCaller(); });
}

// A server states two ends of its response. Guards against a part of a body
// that is taken for the whole.
BOOST_FIXTURE_TEST_CASE(TwoLengthsAreInvalid, Fixture) {
  Send();
  Answer(
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 8\r\n\r\n"
      "abcdefgh");
  BOOST_TEST((*end == TransferEnd::kInvalid));
  BOOST_TEST(detail == "there are two lengths");
  BOOST_TEST(statuses.empty());
  RunUntil([this] { return server.IsClosedByCaller(); });
}

BOOST_FIXTURE_TEST_CASE(ALengthAndChunksAreInvalid, Fixture) {
  Send();
  Answer(
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  BOOST_TEST((*end == TransferEnd::kInvalid));
  BOOST_TEST(statuses.empty());
}

BOOST_FIXTURE_TEST_CASE(BlanksAroundALengthAreNoPartOfIt, Fixture) {
  Send();
  Answer("HTTP/1.1 200 OK\r\nContent-Length: \t4 \r\n\r\nbody");
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(FindHeader(headers, "Content-Length") == "4");
}

// The server writes lines until its caller closes.
struct EndlessLines : Fixture {
  void WriteWithoutEnd(const std::string& begin) {
    constexpr std::size_t kEnough = 32 << 20;
    Send();
    server.Write(begin);
    std::string lines;
    for (int i = 0; i < 1000; ++i) lines += "x: y\r\n";
    while (!end && written < kEnough && server.WriteSome(lines)) {
      written += lines.size();
      RunFor(absl::Milliseconds(1));
    }
    RunFor(absl::Milliseconds(20));
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == TransferEnd::kInvalid));
    BOOST_TEST(written < kEnough);
  }

  std::size_t written = 0;
};

// Guards against a trailer without end that fills the host's memory.
BOOST_FIXTURE_TEST_CASE(ATrailerWithoutEndIsBrokenOff, EndlessLines) {
  WriteWithoutEnd(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\n");
  BOOST_TEST(detail == "the trailer is too long");
  BOOST_TEST(body == "body");
}

// Guards against the same in the head.
BOOST_FIXTURE_TEST_CASE(AHeadWithoutEndIsBrokenOff, EndlessLines) {
  WriteWithoutEnd("HTTP/1.1 200 OK\r\n");
  BOOST_TEST(detail == "the head is too long");
  BOOST_TEST(statuses.empty());
}

// Returns the head of a response with so many further lines of that length.
std::string HeadOf(int lines, std::size_t length) {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n";
  for (int i = 0; i < lines; ++i) {
    head += "x: " + std::string(length, 'y') + "\r\n";
  }
  return head + "\r\n";
}

// Guards against short lines, which take some times their length in memory.
BOOST_FIXTURE_TEST_CASE(AHeadOfTooManyLinesIsInvalid, Fixture) {
  Send();
  Answer(HeadOf(/*lines=*/600, /*length=*/1) + "body");
  BOOST_TEST((*end == TransferEnd::kInvalid));
  BOOST_TEST(detail == "the head is too long");
}

BOOST_FIXTURE_TEST_CASE(AHeadOfTooManyBytesIsInvalid, Fixture) {
  Send();
  Answer(HeadOf(/*lines=*/20, /*length=*/4000) + "body");
  BOOST_TEST((*end == TransferEnd::kInvalid));
  BOOST_TEST(detail == "the head is too long");
}

// Guards against a bound that ordinary heads exceed.
BOOST_FIXTURE_TEST_CASE(AHeadOfHundredsOfLinesIsRead, Fixture) {
  Send();
  Answer(HeadOf(/*lines=*/400, /*length=*/100) + "body");
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(headers.size() == 401u);
}

BOOST_FIXTURE_TEST_CASE(AShortTrailerIsNoPartOfTheResponse, Fixture) {
  Send();
  Answer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\nContent-Length: 9\r\nHTTP: 500\r\n\r\n");
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(headers.size() == 1u);
  BOOST_TEST(body == "body");
}

// Guards against a trailer's line that a reader takes for another response.
BOOST_FIXTURE_TEST_CASE(ATrailerHoldsNoStatusLine, Fixture) {
  Send();
  Answer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\nContent-Length: 9\r\nHTTP/1.1 500: x\r\n\r\n");
  BOOST_TEST((*end == TransferEnd::kInvalid));
  BOOST_TEST(statuses == std::vector<int>{200},
             boost::test_tools::per_element());
}

constexpr char kChunks[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nfirst\r\n0\r\n\r\n";
constexpr char kSecond[] = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond";

std::string Foreign(std::size_t length) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) +
         "\r\n\r\n" + std::string(length, 'f');
}

struct KeptConnection : Fixture {
  // The server writes more than the response, and the next request is sent once
  // that waits at the connection.
  void AnswerWithMore(const std::string& response, const std::string& more) {
    Send();
    Answer(response);
    BOOST_TEST((*end == TransferEnd::kComplete));
    server.Write(more);
    SendNext();
  }
  void SendNext() {
    end.reset();
    body.clear();
    server.request.clear();
    RunFor(absl::Milliseconds(20));
    client.Start(
        {.url = server.url(), .send_policy = SendPolicy::kNoResend},
        {.on_data = [this](std::string_view data) { body += data; },
         .on_end = [this](TransferEnd got, const std::string&) { end = got; }});
  }
  // The request came on a new connection and gets its own response.
  void CheckNewConnection() {
    RunUntil([this] { return end.has_value() || server.IsClosedByCaller(); });
    BOOST_REQUIRE(!end.has_value());
    server.Close();
    RunUntil([this] { return server.HasRequest(); });
    Answer(kSecond);
    BOOST_TEST((*end == TransferEnd::kComplete));
    BOOST_TEST(body == "second");
  }
};

// A server writes a second response to one request. Guards against one that
// waits at a kept connection and is taken for the next request's.
BOOST_FIXTURE_TEST_CASE(AWaitingResponseIsNotTheNextOne, KeptConnection) {
  AnswerWithMore(kChunks, Foreign(20));
  CheckNewConnection();
}

// A part of the bytes came with the response and was dropped. Guards against a
// next response that begins with the rest of them.
BOOST_FIXTURE_TEST_CASE(TheRestOfMoreBytesIsNotTheNextResponse,
                        KeptConnection) {
  AnswerWithMore(kChunks + Foreign(6000), "");
  CheckNewConnection();
}

// The same behind a response without a body.
BOOST_FIXTURE_TEST_CASE(TheRestBehindAnEmptyBodyIsNotTheNextResponse,
                        KeptConnection) {
  AnswerWithMore(Foreign(0) + Foreign(6000), "");
  CheckNewConnection();
}

BOOST_FIXTURE_TEST_CASE(ACalmConnectionIsUsedAgain, KeptConnection) {
  AnswerWithMore(kChunks, "");
  RunUntil([this] { return server.HasRequest(); });
  Answer(kSecond);
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(body == "second");
  BOOST_TEST(client.connections_made() == 1u);
}

// Guards against a waiting response in the client with a thread of its own.
BOOST_AUTO_TEST_CASE(TheClientTakesNoWaitingResponseForTheNextOne) {
  Client client;
  RawServer server;
  Reply reply;
  const auto send = [&](absl::Notification* ended) {
    client.Fetch({.url = server.url(), .send_policy = SendPolicy::kNoResend},
                 [&reply, ended](Reply got) {
                   reply = std::move(got);
                   ended->Notify();
                 });
  };
  const auto wait_for = [](const std::function<bool()>& done) {
    for (int i = 0; i < 5000 && !done(); ++i) {
      absl::SleepFor(absl::Milliseconds(1));
    }
    BOOST_REQUIRE(done());
  };
  absl::Notification first;
  send(&first);
  wait_for([&] { return server.HasRequest(); });
  server.Write(kChunks);
  BOOST_REQUIRE(first.WaitForNotificationWithTimeout(absl::Seconds(5)));
  server.Write(Foreign(20));
  absl::Notification second;
  send(&second);
  wait_for(
      [&] { return second.HasBeenNotified() || server.IsClosedByCaller(); });
  BOOST_REQUIRE(!second.HasBeenNotified());
  server.Close();
  server.request.clear();
  wait_for([&] { return server.HasRequest(); });
  server.Write(kSecond);
  BOOST_REQUIRE(second.WaitForNotificationWithTimeout(absl::Seconds(5)));
  BOOST_TEST((reply.end == TransferEnd::kComplete));
  BOOST_TEST(reply.body == "second");
}

}  // namespace
}  // namespace gentianlb::http
