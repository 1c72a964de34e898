// Tests the client on an event loop against a server that writes raw bytes.

#include "http/loop_client.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::http {
namespace {

struct Fixture : loop::LoopRunner {
  void RunLoop() { RunFor(absl::Milliseconds(20)); }
  void Send(std::function<bool()> may_send = nullptr) {
    client.Start(
        {.url = server.url(), .may_send = std::move(may_send)},
        {.on_head = [this](const ReceivedHead&) { return action; },
         .on_data = [this](std::string_view data) { body += data; },
         .on_end = [this](TransferEnd got, const std::string&) { end = got; },
         .on_first_byte = [this] { ++begun; }});
    RunLoop();
  }
  void Answer(const std::string& bytes) {
    RunUntil([this] { return server.HasRequest(); });
    server.Write(bytes);
  }

  LoopClient client{&loop, 4};
  RawServer server;
  ReadAction action = ReadAction::kContinue;
  std::string body;
  int begun = 0;
  std::optional<TransferEnd> end;
};

constexpr char kUnframed[] = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nhalf";

BOOST_FIXTURE_TEST_CASE(ABodyWithoutALengthEndsWithItsConnection, Fixture) {
  Send();
  Answer(kUnframed);
  server.Close();
  RunUntil([this] { return end.has_value(); });
  BOOST_TEST(body == "half");
  BOOST_TEST((*end == TransferEnd::kComplete));
}

// A reset is all that tells such a body from a complete one.
BOOST_FIXTURE_TEST_CASE(AResetBodyWithoutALengthIsBroken, Fixture) {
  Send();
  Answer(kUnframed);
  RunUntil([this] { return body == "half"; });
  server.Reset();
  RunUntil([this] { return end.has_value(); });
  BOOST_TEST((*end == TransferEnd::kBroken));
}

// A server closes its connection before the last chunk, or before the length.
BOOST_FIXTURE_TEST_CASE(AFramedBodyThatEndsEarlyIsBroken, Fixture) {
  Send();
  Answer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nhalf\r\n");
  server.Close();
  RunUntil([this] { return end.has_value(); });
  BOOST_TEST((*end == TransferEnd::kBroken));
}

// Guards against a server that ends as it begins to write and that is taken for
// one that had not begun.
BOOST_FIXTURE_TEST_CASE(AHeadWithoutABodyIsABegunAnswer, Fixture) {
  Send();
  Answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  server.Close();
  RunUntil([this] { return end.has_value(); });
  BOOST_TEST((*end == TransferEnd::kBroken));
  BOOST_TEST(begun == 1);
}

// Guards against a server that ends before it writes and that is taken for one
// that had begun.
BOOST_FIXTURE_TEST_CASE(AConnectionWithoutAByteIsNoBegunAnswer, Fixture) {
  Send();
  RunUntil([this] { return server.HasRequest(); });
  server.Close();
  RunUntil([this] { return end.has_value(); });
  BOOST_TEST((*end == TransferEnd::kBroken));
  BOOST_TEST(begun == 0);
}

// Guards against a request that is sent though, while its connection was made,
// its server has asked for none.
BOOST_FIXTURE_TEST_CASE(AWithdrawnRequestSendsNothing, Fixture) {
  bool connected = false;
  Send([&] {
    connected = server.HasConnection();
    return false;
  });
  RunUntil([this] { return end.has_value(); });
  BOOST_TEST((*end == TransferEnd::kWithdrawn));
  BOOST_TEST(connected);
  BOOST_TEST(!server.HasRequest());
  BOOST_TEST(server.request.empty());
}

BOOST_FIXTURE_TEST_CASE(ARequestThatMayBeSentIsSent, Fixture) {
  Send([] { return true; });
  Answer(kUnframed);
  server.Close();
  RunUntil([this] { return end.has_value(); });
  BOOST_TEST((*end == TransferEnd::kComplete));
}

constexpr std::string_view kChunkedAnswer =
    "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nfull\r\n0\r\n\r\n";
constexpr std::string_view kFramedAnswers[] = {
    "HTTP/1.1 503 Full\r\nContent-Length: 4\r\n\r\nfull",
    "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 None\r\n\r\n", kChunkedAnswer,
    "HTTP/1.1 503 Full\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"};

// Damage to the heap shows after some of them.
constexpr int kManyResponses = 20;

// Returns whether the connection is closed after an answer.
bool ClosesAfter(std::string_view answer, ReadAction action) {
  Fixture fixture;
  fixture.action = action;
  fixture.Send();
  fixture.Answer(std::string(answer));
  fixture.RunUntil([&] { return fixture.end.has_value(); });
  fixture.RunLoop();
  const bool stopped = action == ReadAction::kStop;
  BOOST_TEST((*fixture.end == TransferEnd::kBroken) == stopped);
  if (stopped) BOOST_TEST(fixture.body.empty());
  return fixture.server.IsClosedByCaller();
}

BOOST_AUTO_TEST_CASE(AConnectionIsKeptAfterAFramedAnswer) {
  for (const std::string_view answer : kFramedAnswers) {
    BOOST_TEST(!ClosesAfter(answer, ReadAction::kContinue), answer);
  }
}

// Guards against a second answer on a connection that must carry no other.
BOOST_AUTO_TEST_CASE(AConnectionIsClosedAfterAnAnswerIfTheReceiverSaysSo) {
  for (const std::string_view answer : kFramedAnswers) {
    BOOST_TEST(ClosesAfter(answer, ReadAction::kContinueThenClose), answer);
  }
}

// Guards against a connection that is kept after another request's answer.
BOOST_AUTO_TEST_CASE(AConnectionIsClosedIfTheReceiverStops) {
  for (const std::string_view answer : kFramedAnswers) {
    BOOST_TEST(ClosesAfter(answer, ReadAction::kStop), answer);
  }
}

// Guards against a transfer whose closing passes to the next one on its handle.
BOOST_FIXTURE_TEST_CASE(AReusedHandleKeepsItsConnection, Fixture) {
  action = ReadAction::kContinueThenClose;
  Send();
  Answer(std::string(kFramedAnswers[0]));
  RunUntil([this] { return server.IsClosedByCaller(); });
  server.Close();
  server.request.clear();
  action = ReadAction::kContinue;
  for (int i = 0; i < 2; ++i) {
    end.reset();
    Send();
    Answer(std::string(kFramedAnswers[0]));
    RunUntil([this] { return end.has_value(); });
    server.request.clear();
  }
  BOOST_TEST(client.connections_made() == 2u);
}

// Guards against a line that begins with a blank and is folded onto a header of
// an earlier response, which was freed: that ends the process.
BOOST_FIXTURE_TEST_CASE(AFoldedLineTouchesNoEarlierResponse, Fixture) {
  for (int i = 0; i < kManyResponses; ++i) {
    for (const std::string_view answer :
         {kFramedAnswers[0],
          std::string_view("HTTP/1.1 200 OK\r\n X-A: v\r\nRequest-Id: r\r\n"
                           "Content-Length: 4\r\n\r\nfold")}) {
      end.reset();
      Send();
      Answer(std::string(answer));
      RunUntil([this] { return end.has_value(); });
      server.request.clear();
    }
    server.Close();
  }
}

}  // namespace
}  // namespace gentianlb::http
