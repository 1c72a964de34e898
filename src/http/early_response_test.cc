// Tests responses that come while the request is still being sent.

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

#include "http/raw_exchange_test.h"

namespace gentianlb::http {
namespace {

constexpr std::size_t kUploads[] = {1 << 20, 4 << 20};
constexpr char kUnframed[] = "HTTP/1.1 200 OK\r\n\r\nhalf";

// The server ends its side, and resets the connection later. Guards against a
// part of a body that passes for the whole, since the end came first.
BOOST_AUTO_TEST_CASE(AnUnframedBodyThatEndsEarlyIsInvalid) {
  for (const std::size_t upload : kUploads) {
    for (const int wait_ms : {0, 50}) {
      RawExchange fixture;
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
        RawExchange fixture;
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
    RawExchange fixture;
    fixture.Answer(kUploads[0], std::string("HTTP/1.1 413 Large\r\n") + head);
    fixture.WaitForEnd();
    BOOST_TEST((*fixture.end == TransferEnd::kComplete));
    BOOST_TEST(fixture.head->status == 413);
    BOOST_TEST(fixture.body == "half");
  }
}

// The server begins to answer, and ends once it has read the request.
BOOST_AUTO_TEST_CASE(AnUnframedBodyThatEndsBehindTheRequestIsComplete) {
  for (const std::size_t upload : kUploads) {
    RawExchange fixture;
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
