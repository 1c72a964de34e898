// Tests responses that come while the request is still being sent.

#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "http/loop_client.h"
#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::http {
namespace {

constexpr std::size_t kUploads[] = {1 << 20, 4 << 20};
constexpr char kUnframed[] = "HTTP/1.1 200 OK\r\n\r\nhalf";

struct Fixture : loop::LoopRunner {
  // The server reads no more of the request than its head, or a little.
  void Answer(std::size_t request_bytes, const std::string& bytes) {
    client.Start({.method = "POST",
                  .url = server.url(),
                  .body = std::string(request_bytes, 'x'),
                  .send_policy = SendPolicy::kNoResend},
                 {.on_head =
                      [this](const ReceivedHead& head) {
                        status = head.status;
                        return ReadAction::kContinue;
                      },
                  .on_data = [this](std::string_view data) { body += data; },
                  .on_end =
                      [this](TransferEnd got, const std::string& got_detail) {
                        end = got;
                        detail = got_detail;
                      }});
    RunUntil([this] { return server.HasRequest(); });
    server.Write(bytes);
  }
  void WaitForEnd() {
    RunUntil([this] { return end.has_value(); });
  }

  LoopClient client{&loop, 4};
  RawServer server;
  int status = 0;
  std::string body;
  std::optional<TransferEnd> end;
  std::string detail;
};

// The server ends its side, and resets the connection later. Guards against a
// part of a body that passes for the whole, since the end came first.
BOOST_AUTO_TEST_CASE(AnUnframedBodyThatEndsEarlyIsInvalid) {
  for (const std::size_t upload : kUploads) {
    for (const int wait_ms : {0, 50}) {
      Fixture fixture;
      fixture.Answer(upload, kUnframed);
      fixture.RunFor(absl::Milliseconds(wait_ms));
      fixture.server.EndOwnSide();
      fixture.WaitForEnd();
      BOOST_TEST((*fixture.end == TransferEnd::kInvalid));
      BOOST_TEST(fixture.detail ==
                 "unframed, and ended before the server had the request");
    }
  }
}

// Guards against the same where the reset comes first.
BOOST_AUTO_TEST_CASE(AnEarlyBodyThatIsResetIsBroken) {
  for (const std::size_t upload : kUploads) {
    for (const int wait_ms : {0, 50, 400}) {
      for (const char* head : {"\r\n", "Content-Length: 9\r\n\r\n",
                               "Transfer-Encoding: chunked\r\n\r\n4\r\n"}) {
        Fixture fixture;
        fixture.Answer(upload,
                       std::string("HTTP/1.1 201 Made\r\n") + head + "half");
        fixture.RunFor(absl::Milliseconds(wait_ms));
        fixture.server.Reset();
        fixture.WaitForEnd();
        BOOST_TEST((*fixture.end == TransferEnd::kBroken));
      }
    }
  }
}

// Guards against whole answers that are refused because they came early.
BOOST_AUTO_TEST_CASE(AFramedBodyThatComesEarlyIsComplete) {
  for (const char* head :
       {"Content-Length: 4\r\n\r\nhalf",
        "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n"}) {
    Fixture fixture;
    fixture.Answer(kUploads[0], std::string("HTTP/1.1 413 Large\r\n") + head);
    fixture.WaitForEnd();
    BOOST_TEST((*fixture.end == TransferEnd::kComplete));
    BOOST_TEST(fixture.status == 413);
    BOOST_TEST(fixture.body == "half");
  }
}

// The server begins to answer, and ends once it has read the request.
BOOST_AUTO_TEST_CASE(AnUnframedBodyThatEndsBehindTheRequestIsComplete) {
  for (const std::size_t upload : kUploads) {
    Fixture fixture;
    fixture.Answer(upload, kUnframed);
    const std::string& request = fixture.server.request;
    const std::size_t size = request.find("\r\n\r\n") + 4 + upload;
    fixture.RunUntil([&] {
      std::size_t before = 0;
      while (request.size() > std::exchange(before, request.size())) {
        fixture.server.HasRequest();
      }
      return request.size() == size;
    });
    fixture.server.EndOwnSide();
    fixture.WaitForEnd();
    BOOST_TEST((*fixture.end == TransferEnd::kComplete));
    BOOST_TEST(fixture.body == "half");
  }
}

}  // namespace
}  // namespace gentianlb::http
