#include "entry/answer_log.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::entry {
namespace {

// Keeps what a caller would see on its connection.
class FakeResponder : public http::Responder {
 public:
  void Respond(int code, std::vector<http::Header> /*headers*/,
               std::string text) override {
    status = code;
    body = std::move(text);
    finished = true;
  }
  void Begin(int code, std::vector<http::Header> /*headers*/) override {
    status = code;
  }
  void Write(std::string_view bytes) override { body += bytes; }
  void Finish() override { finished = true; }
  void Abort() override { aborted = true; }
  void OnDisconnect(std::function<void()> /*callback*/) override {}
  std::size_t Backlog() const override { return 0; }
  absl::Duration UnacknowledgedFor() const override {
    return absl::ZeroDuration();
  }

  int status = 0;
  std::string body;
  bool finished = false;
  bool aborted = false;
};

StreamChunk Chunk(const std::string& text) {
  return {"{" + text + "}", text, 0, 1, false};
}

std::shared_ptr<AnswerOrigin> Origin() {
  return std::make_shared<AnswerOrigin>(
      AnswerOrigin{RequestId("r"), ServerId("s"), ModelId("m")});
}

// A caller loses its connection in the middle of a draft and sends the key
// again. It attaches to the answer that is under way and gets all of it.
BOOST_AUTO_TEST_CASE(ALateReaderGetsTheAnswerFromItsStart) {
  AnswerLog log(/*keep=*/true);
  auto first = std::make_shared<FakeResponder>();
  auto late = std::make_shared<FakeResponder>();
  log.Attach(MakeStreamReader(first, Origin()));
  log.Publish(Chunk("a"));
  log.Attach(MakeStreamReader(late, Origin()));
  log.Publish(Chunk("b"));
  log.Finish({"stop", {}});
  auto last = std::make_shared<FakeResponder>();
  log.Attach(MakeStreamReader(last, Origin()));
  BOOST_TEST(first->body == "data: {a}\n\ndata: {b}\n\n");
  BOOST_TEST(late->body == first->body);
  BOOST_TEST(last->body == first->body);
  BOOST_TEST(last->finished);
}

// A server dies in the middle of an answer. The caller sees the number of the
// error and a broken connection, not an answer that merely ends early.
BOOST_AUTO_TEST_CASE(ACutAnswerNeverLooksWhole) {
  AnswerLog log(/*keep=*/false);
  auto stream = std::make_shared<FakeResponder>();
  auto whole = std::make_shared<FakeResponder>();
  log.Attach(MakeStreamReader(stream, Origin()));
  log.Attach(MakeWholeReader(whole, Origin()));
  log.Publish(Chunk("a"));
  log.GiveUp({{Code::kServerBroke, "cut"}, absl::ZeroDuration()});
  BOOST_TEST(stream->aborted);
  BOOST_TEST(!stream->finished);
  BOOST_TEST(stream->body.find("3003") != std::string::npos);
  BOOST_TEST(whole->status == 502);
  BOOST_TEST(whole->body.find("\"run\":\"unknown\"") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(WhatComesAfterTheEndIsIgnored) {
  AnswerLog log(/*keep=*/true);
  auto caller = std::make_shared<FakeResponder>();
  log.Attach(MakeWholeReader(caller, Origin()));
  log.Publish(Chunk("a"));
  log.Finish({"stop", {1, 1, 0}});
  log.Publish(Chunk("b"));
  log.GiveUp({{Code::kServerBroke, ""}, absl::ZeroDuration()});
  BOOST_TEST(caller->status == 200);
  BOOST_TEST(caller->body.find("\"content\":\"a\"") != std::string::npos);
}

}  // namespace
}  // namespace gentianlb::entry
