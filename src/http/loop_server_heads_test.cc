// Tests what a server on an event loop does with large heads, pipelined
// requests and callers beyond its memory.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http/loop_server_site_test.h"

namespace gentianlb::http {
namespace {

std::string Lines(std::size_t lines, std::size_t bytes_each) {
  std::string text;
  for (std::size_t i = 0; i < lines; ++i) {
    std::string line = absl::StrCat("x", i, ": ");
    line.append(bytes_each - line.size() - 2, 'v');
    absl::StrAppend(&text, line, "\r\n");
  }
  return text;
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

struct HeadsFixture : Fixture {
  HeadsFixture() : Fixture({.max_header_bytes = 16'384}, budget_of_test()) {}

  static std::shared_ptr<ByteBudget> budget_of_test() {
    return std::make_shared<ByteBudget>(kBudgetBytes);
  }
  // Runs the loop until `caller` has got `enough`, or for a second.
  std::string ReadUntil(const Caller& caller, const std::string& enough) {
    std::string received;
    for (int i = 0; i < 100 && received.find(enough) == std::string::npos;
         ++i) {
      RunFor(absl::Milliseconds(10));
      for (std::string more = caller.Read(); !more.empty();
           more = caller.Read()) {
        received += more;
      }
    }
    return received;
  }

  static constexpr std::size_t kBudgetBytes = 1 << 20;
};

// Guards against a response whose head finds no room behind the request's.
BOOST_FIXTURE_TEST_CASE(AnyHeadOfAResponseFollowsAnyOfARequest, HeadsFixture) {
  hold_responses = true;
  const Caller caller(server->port());
  for (const std::size_t lines : {1UL, 16UL, 128UL, 512UL}) {
    for (const std::size_t answer_lines : {1UL, 100UL, 500UL}) {
      held.clear();
      caller.Send(absl::StrCat("GET /a HTTP/1.1\r\n",
                               Lines(lines, 16'384 / lines), "\r\n"));
      RunUntil([this] { return held.size() == 1; });
      BOOST_TEST(last_request.headers.size() == lines);
      std::vector<Header> headers;
      for (std::size_t i = 0; i < answer_lines; ++i) {
        headers.push_back(
            {"X-Further", std::string(60'000 / answer_lines, 'a')});
      }
      held[0]->Respond(200, headers, "whole body");
      const std::string received = ReadUntil(caller, "whole body");
      BOOST_TEST(received.ends_with("\r\n\r\nwhole body"));
      BOOST_TEST(Count(received, "X-Further") == answer_lines);
    }
  }
}

// Guards against one client that pipelines requests and keeps the loop from all
// else.
BOOST_FIXTURE_TEST_CASE(APipeliningCallerLeavesOthersTheirTurn, HeadsFixture) {
  constexpr int kRequests = 200;
  const Caller pipelining(server->port());
  const Caller other(server->port());
  RunLoop();
  std::string requests;
  for (int i = 0; i < kRequests; ++i) requests += kGet;
  pipelining.Send(requests);
  other.Send(kGet);
  std::string received;
  std::string of_other;
  for (int i = 0; i < 10 && of_other.empty(); ++i) {
    RunOneRound();
    received += pipelining.Read();
    of_other = other.Read();
  }
  BOOST_TEST(of_other.ends_with("fine"));
  BOOST_TEST(Count(received, "fine") < 10);
  for (int i = 0; i < 100 && Count(received, "fine") < kRequests; ++i) {
    RunLoop();
    received += pipelining.Read();
  }
  BOOST_TEST(Count(received, "fine") == kRequests);
}

// Guards against a refusal that a reset destroys, as its caller still sends.
BOOST_FIXTURE_TEST_CASE(ACallerThatStillSendsGetsItsRefusal, HeadsFixture) {
  const Caller caller(server->port());
  caller.Send(absl::StrCat("POST /a HTTP/1.1\r\nContent-Length: 500000\r\n",
                           Lines(600, 16), "\r\n"));
  caller.SendWhatFits();
  const std::string received = ReadUntil(caller, "\"run\":\"no\"");
  BOOST_TEST(received.starts_with("HTTP/1.1 431 "));
  BOOST_TEST(received.find("\r\nConnection: close\r\n") != std::string::npos);
  BOOST_TEST(received.find("\"run\":\"no\"") != std::string::npos);
  RunUntil([&] {
    caller.ReadAll();
    return server->open_connections() == 0;
  });
}

BOOST_FIXTURE_TEST_CASE(ACallerThatWaitsIsToldToSendItsBody, HeadsFixture) {
  const Caller caller(server->port());
  caller.Send(
      absl::StrCat("POST /a HTTP/1.1\r\nContent-Length: 4\r\n"
                   "Expect: 100-continue\r\n",
                   Lines(100, 150), "\r\n"));
  BOOST_TEST(ReadResponse(caller) == "HTTP/1.1 100 Continue\r\n\r\n");
  caller.Send("body");
  BOOST_TEST(ReadUntil(caller, "fine").starts_with("HTTP/1.1 200 "));
  BOOST_TEST(last_request.body == "body");
}

BOOST_FIXTURE_TEST_CASE(AResponseToHeadHasNoBody, HeadsFixture) {
  const Caller caller(server->port());
  caller.Send("HEAD /a HTTP/1.1\r\n\r\n");
  const std::string received = ReadResponse(caller);
  BOOST_TEST(received.ends_with("\r\n\r\n"));
  caller.Send(kGet);
  BOOST_TEST(ReadResponse(caller).ends_with("fine"));
}

// A request in a crowd that takes the budget together.
struct Crowd : HeadsFixture {
  // Sends `text` from many callers.
  void Meet(const std::string& text) {
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<Caller>(server->port()));
      RunOneRound();
      callers.back()->Send(text);
      RunOneRound();
      most_held = std::max(most_held, budget()->held());
    }
    RunLoop();
    most_held = std::max(most_held, budget()->held());
  }
  ByteBudget* budget() { return crowd_budget.get(); }
  int Refused() {
    int refused = 0;
    for (const auto& caller : callers) {
      const std::string answer = caller->Read();
      refused += answer.starts_with("HTTP/1.1 503 ") &&
                         answer.find("\r\nRetry-After: ") != std::string::npos
                     ? 1
                     : 0;
    }
    return refused;
  }

  Crowd() : Crowd(std::make_shared<ByteBudget>(kBudgetBytes)) {}
  explicit Crowd(const std::shared_ptr<ByteBudget>& shared)
      : crowd_budget(shared) {
    server.reset();
    auto started = LoopServer::Start(
        &loop, {.limits = {.max_header_bytes = 16'384}, .budget = shared},
        [this](Request request, auto response) {
          requests.push_back(std::move(request));
          held.push_back(std::move(response));
        });
    BOOST_REQUIRE(started.ok());
    server = std::move(started.value());
  }

  static constexpr int kCallers = 100;
  const std::shared_ptr<ByteBudget> crowd_budget;
  std::vector<Request> requests;
  std::vector<std::unique_ptr<Caller>> callers;
  std::size_t most_held = 0;
};

// Guards against heads that fill the memory while their bodies stall.
BOOST_FIXTURE_TEST_CASE(HeadsOfStalledBodiesGiveWay, Crowd) {
  Meet(absl::StrCat("POST /a HTTP/1.1\r\nContent-Length: 9\r\n", Lines(500, 32),
                    "\r\nhalf"));
  BOOST_TEST(most_held <= kBudgetBytes);
  BOOST_TEST(budget()->gave_way(HeldKind::kRequest) > 0);
  for (const auto& caller : callers) caller->Send(" body");
  RunLoop();
  const int refused = Refused();
  BOOST_TEST(refused > 0);
  BOOST_TEST(refused + static_cast<int>(held.size()) == kCallers);
}

// The same by heads of which a part has come.
BOOST_FIXTURE_TEST_CASE(PartsOfHeadsGiveWay, Crowd) {
  Meet(absl::StrCat("POST /a HTTP/1.1\r\n", Lines(500, 32)));
  BOOST_TEST(most_held <= kBudgetBytes);
  BOOST_TEST(Refused() > 0);
}

// The same by requests that wait for their answers.
BOOST_FIXTURE_TEST_CASE(WholeRequestsWithLargeHeadsKeepHalfTheRoom, Crowd) {
  Meet(absl::StrCat("GET /a HTTP/1.1\r\n", Lines(500, 32), "\r\n"));
  BOOST_TEST(most_held <= kBudgetBytes);
  const int refused = Refused();
  BOOST_TEST(refused > 0);
  BOOST_TEST(refused + static_cast<int>(held.size()) == kCallers);
  // Ordinary requests go on beside them.
  const Caller ordinary(server->port());
  ordinary.Send(kGet);
  const std::size_t before = held.size();
  RunUntil([&] { return held.size() > before; });
}

// Guards against pipelined requests that fill the memory behind slow ones. They
// are dropped unread, and their connections close behind the pending answers.
BOOST_FIXTURE_TEST_CASE(PipelinedRequestsGiveWay, Crowd) {
  Meet(absl::StrCat(kGet, "POST /b HTTP/1.1\r\nContent-Length: 16000\r\n\r\n",
                    std::string(16'000, 'b')));
  BOOST_TEST(most_held <= kBudgetBytes);
  BOOST_TEST(held.size() == kCallers);
  for (const auto& response : std::exchange(held, {})) {
    response->Respond(200, {}, "fine");
  }
  RunLoop();
  int gave_way = 0;
  for (const auto& caller : callers) {
    const std::string answer = caller->Read();
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "));
    const bool closed = caller->ReadAll() == Caller::End::kClosed;
    gave_way += closed || Count(answer, "HTTP/1.1 503 ") > 0 ? 1 : 0;
  }
  BOOST_TEST(gave_way > 0);
  BOOST_TEST(gave_way + static_cast<int>(held.size()) == kCallers);
}

// Guards against an answer that is cut though its caller reads, as others hold
// all that the host may hold.
BOOST_FIXTURE_TEST_CASE(AnAnswerWhoseCallerReadsIsNotCut, Crowd) {
  const Caller caller(server->port());
  caller.Send(kGet);
  RunUntil([this] { return held.size() == 1; });
  HeldBytes others(crowd_budget, HeldKind::kAnswer, nullptr);
  others.Set(kBudgetBytes);
  // Before the answer goes out with the others of this round.
  loop.Defer([this] { budget()->Relieve(); });
  held[0]->Respond(200, {{"X", std::string(20'000, 'x')}}, "whole body");
  BOOST_TEST(ReadUntil(caller, "whole body").ends_with("whole body"));
}

// Guards against a refusal of the next request that takes the form of the
// answer to the one before it, here one without a body.
BOOST_FIXTURE_TEST_CASE(ARefusedNextRequestIsNotTakenForTheOneBefore, Crowd) {
  const Caller caller(server->port());
  caller.Send(absl::StrCat("HEAD /a HTTP/1.1\r\n\r\n",
                           "POST /b HTTP/1.1\r\nContent-Length: 16000\r\n\r\n",
                           std::string(16'000, 'b')));
  RunUntil([this] { return held.size() == 1; });
  HeldBytes others(crowd_budget, HeldKind::kAnswer, nullptr);
  held[0]->Respond(200, {}, "");
  // Behind the answer, and before the next request is parsed.
  loop.Defer([&] {
    others.Set(kBudgetBytes);
    budget()->Relieve();
    others.Set(0);
  });
  const std::string received = ReadUntil(caller, "\"run\":\"no\"");
  BOOST_TEST(received.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(Count(received, "HTTP/1.1 503 ") == 1u);
  BOOST_TEST(Count(received, "\"run\":\"no\"") == 1u);
}

// Guards against connections that keep the memory of what they have carried.
BOOST_FIXTURE_TEST_CASE(AnIdleConnectionHoldsNothing, Crowd) {
  Meet(kGet);
  for (const auto& response : std::exchange(held, {})) {
    response->Respond(200, {{"X", std::string(5'000, 'x')}}, "fine");
  }
  requests.clear();
  RunLoop();
  BOOST_TEST(budget()->held() == 0u);
  BOOST_TEST(server->open_connections() == kCallers);
}

// Guards against an answer that counts as taken, as its handler isn't told
// that the connection ended before.
BOOST_FIXTURE_TEST_CASE(AHandlerLearnsThatItsAnswerWasNotTaken, HeadsFixture) {
  hold_responses = true;
  bool undelivered = false;
  {
    const Caller caller(server->port());
    caller.Send(kGet);
    RunUntil([this] { return held.size() == 1; });
    held[0]->OnDisconnect([&] { undelivered = true; });
    held[0]->Respond(200, {}, std::string(32 << 20, 'x'));
    RunLoop();
    BOOST_TEST(!undelivered);
  }
  RunUntil([&] { return undelivered; });
}

}  // namespace
}  // namespace gentianlb::http
