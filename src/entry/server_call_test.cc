// Tests the side calls about streams against an engine that writes raw bytes.

#include "entry/server_call.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "http/loop_client.h"
#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::entry {
namespace {

struct Fixture : loop::LoopRunner {
  void Search(const std::string& engine_request) {
    reply.reset();
    server.request.clear();
    client.Start(MakeStreamSearch("http://" + server.address(), engine_request),
                 http::CollectReply(
                     [this](http::Reply got) { reply = std::move(got); }));
    RunUntil([this] { return server.HasRequest(); });
  }
  void Answer(const std::string& stream) {
    const std::string body = absl::StrCat(R"({"streams":[{"id":")", stream,
                                          R"(","tokens":1,"done":false}]})");
    server.Write(absl::StrCat(
        "HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
    RunUntil([this] { return reply.has_value(); });
    RunFor(absl::Milliseconds(10));
  }

  http::LoopClient client{&loop, 4};
  http::RawServer server;
  std::optional<http::Reply> reply;
};

BOOST_FIXTURE_TEST_CASE(ASearchFindsItsStream, Fixture) {
  Search("a");
  Answer("stream-of-a");
  const auto found = ReadStreamSearch(*reply);
  BOOST_REQUIRE(found.ok());
  BOOST_REQUIRE(found.value().has_value());
  BOOST_TEST(found.value()->id == "stream-of-a");
}

// Guards against a late copy of an answer that has another caller's stream
// resumed, or cancelled.
BOOST_FIXTURE_TEST_CASE(ASearchFindsNoStreamOfTheSearchBefore, Fixture) {
  Search("a");
  Answer("stream-of-a");
  const bool writes_copy = !server.IsClosedByCaller();
  if (!writes_copy) server.Close();
  Search("b");
  Answer(writes_copy ? "stream-of-a" : "stream-of-b");
  const auto found = ReadStreamSearch(*reply);
  BOOST_TEST((!found.ok() || !found.value().has_value() ||
              found.value()->id == "stream-of-b"));
}

}  // namespace
}  // namespace gentianlb::entry
