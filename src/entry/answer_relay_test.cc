// Tests what a caller gets of a plain service's answer against a server that
// writes raw bytes: an answer is whole only where its server has marked its
// end.

#include "entry/answer_relay.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http/loop_client.h"
#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::entry {
namespace {

struct SeenAnswer {
  std::optional<WholeAnswer> whole;
  std::optional<GivenUp> given_up;
};

class FakeReader : public AnswerReader {
 public:
  explicit FakeReader(SeenAnswer* seen) : seen_(seen) {}

  void OnChunk(const StreamChunk& /*chunk*/) override {}
  void OnWhole(const WholeAnswer& answer) override { seen_->whole = answer; }
  void OnEnd(const AnswerEnd& /*end*/) override {}
  void OnGivenUp(const GivenUp& why) override { seen_->given_up = why; }

 private:
  SeenAnswer* const seen_;
};

struct Fixture : loop::LoopRunner {
  Fixture() { log->Attach(std::make_shared<FakeReader>(&seen)); }

  void Send(const std::string& method = "GET") {
    relay = std::make_shared<AnswerRelay>(
        /*engine_request=*/"", log,
        RelayEvents{[](const std::string& /*stream*/) {}, [](int /*tokens*/) {},
                    [this](RelayEnd got) { end = std::move(got); }});
    client.Start({.method = method,
                  .url = server.url(),
                  .send_policy = http::SendPolicy::kFreshConnection},
                 relay->MakeSink(method));
    RunUntil([this] { return server.HasRequest(); });
  }
  void Answer(const std::string& bytes) {
    server.Write(bytes);
    RunUntil([this] { return end.has_value(); });
  }
  void AnswerAndClose(const std::string& bytes) {
    server.Write(bytes);
    server.Close();
    RunUntil([this] { return end.has_value(); });
  }

  // The call may have run, and nothing of its answer reaches the caller.
  void CheckBroken() const {
    BOOST_TEST(!end->complete);
    BOOST_TEST(!end->not_sent);
    BOOST_TEST((end->error.code == Code::kServerBroke));
    BOOST_TEST(!seen.whole.has_value());
  }
  void CheckWhole(int status, const std::string& body) const {
    BOOST_TEST(end->complete);
    BOOST_REQUIRE(seen.whole.has_value());
    BOOST_TEST(seen.whole->status == status);
    BOOST_TEST(seen.whole->body == body);
  }

  SeenAnswer seen;
  std::shared_ptr<AnswerLog> log = std::make_shared<AnswerLog>(/*keep=*/true);
  http::LoopClient client{&loop, 4};
  http::RawServer server;
  std::shared_ptr<AnswerRelay> relay;
  std::optional<RelayEnd> end;
};

// A process that has the open connections of this one, and waits to be killed.
pid_t ForkHolder() {
  const pid_t holder = fork();
  BOOST_REQUIRE(holder >= 0);
  if (holder > 0) return holder;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  while (true) pause();
}

// Guards against half an answer that is passed on as whole, since the kernel
// closes the connections of a killed server in good order.
BOOST_FIXTURE_TEST_CASE(AnUnframedAnswerOfAKilledServerIsBroken, Fixture) {
  Send();
  server.Write("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf");
  const pid_t holder = ForkHolder();
  server.Close();
  kill(holder, SIGKILL);
  waitpid(holder, nullptr, 0);
  RunUntil([this] { return end.has_value(); });
  CheckBroken();
}

// Guards against the same where a living server closes the connection.
BOOST_FIXTURE_TEST_CASE(AnUnframedAnswerIsBroken, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
  CheckBroken();
}

// Guards against the same where no byte of the body has come.
BOOST_FIXTURE_TEST_CASE(AnUnframedAnswerWithoutAByteIsBroken, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 200 OK\r\n\r\n");
  CheckBroken();
}

// Guards against half a refusal of a service that is passed on as its answer.
BOOST_FIXTURE_TEST_CASE(AnUnframedErrorIsBroken, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 404 Not Found\r\n\r\nno such mem");
  CheckBroken();
}

// Guards against a caller who waits for the end of an answer that can't count.
BOOST_FIXTURE_TEST_CASE(AnUnframedAnswerEndsAtItsHead, Fixture) {
  Send();
  Answer("HTTP/1.1 200 OK\r\n\r\n");
  CheckBroken();
}

// Guards against a cut body whose length is known.
BOOST_FIXTURE_TEST_CASE(AnAnswerShorterThanItsLengthIsBroken, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
  CheckBroken();
}

// Guards against a cut body in chunks.
BOOST_FIXTURE_TEST_CASE(AnAnswerWithoutItsLastChunkIsBroken, Fixture) {
  Send();
  AnswerAndClose(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
  CheckBroken();
}

// Guards against whole answers that are refused.
BOOST_FIXTURE_TEST_CASE(AnAnswerWithALengthIsWhole, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
  CheckWhole(200, "whole");
}

// Guards against the same for chunks.
BOOST_FIXTURE_TEST_CASE(AnAnswerInChunksIsWhole, Fixture) {
  Send();
  Answer(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nwhole\r\n0\r\n\r\n");
  CheckWhole(200, "whole");
}

// Guards against an answer that may have no body and is refused without one.
BOOST_FIXTURE_TEST_CASE(AnAnswerWithoutABodyIsWhole, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 204 No Content\r\n\r\n");
  CheckWhole(204, "");
}

// Guards against the same for a cached copy that is still valid.
BOOST_FIXTURE_TEST_CASE(ANotModifiedAnswerIsWhole, Fixture) {
  Send();
  AnswerAndClose("HTTP/1.1 304 Not Modified\r\n\r\n");
  CheckWhole(304, "");
}

// Guards against the same for a HEAD request.
BOOST_FIXTURE_TEST_CASE(AnAnswerToAHeadRequestIsWhole, Fixture) {
  Send("HEAD");
  AnswerAndClose("HTTP/1.1 200 OK\r\n\r\n");
  CheckWhole(200, "");
}

}  // namespace
}  // namespace gentianlb::entry
