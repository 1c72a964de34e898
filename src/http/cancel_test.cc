// Tests that a transfer that was cancelled from its own sink delivers nothing
// more, against a server that writes raw bytes.

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "http/client.h"
#include "http/loop_client.h"
#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::http {
namespace {

// Many chunks, which come with one read.
std::string ManyChunks() {
  std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 200; ++i) bytes += "4\r\nbyte\r\n";
  return bytes;
}

enum class Callback { kFirstByte, kHead, kData };

// Cancels at `at` and counts the callbacks.
struct Fixture : loop::LoopRunner {
  void Send(Callback at) {
    cancel_at = at;
    id = client.Start(
        {.url = server.url()},
        {.on_head =
             [this](const ReceivedHead&) {
               OnCallback(Callback::kHead);
               return ReadAction::kContinue;
             },
         .on_data = [this](std::string_view) { OnCallback(Callback::kData); },
         .on_end = [this](TransferEnd, const std::string&) { ended = true; },
         .on_first_byte = [this] { OnCallback(Callback::kFirstByte); }});
    RunUntil([this] { return server.HasRequest(); });
  }
  void OnCallback(Callback callback) {
    calls_after += static_cast<int>(cancelled);
    if (callback != cancel_at) return;
    cancelled = true;
    client.Cancel(id);
  }
  // The server writes, and the caller closes the connection.
  void Answer(const std::string& bytes) {
    server.Write(bytes);
    RunUntil([this] { return server.IsClosedByCaller(); });
    BOOST_TEST(cancelled);
    BOOST_TEST(calls_after == 0);
    BOOST_TEST(!ended);
    BOOST_TEST(client.running() == 0u);
  }

  LoopClient client{&loop, 4};
  RawServer server;
  TransferId id = 0;
  Callback cancel_at = Callback::kData;
  bool cancelled = false;
  int calls_after = 0;
  bool ended = false;
};

// Guards against bytes of an answer that was broken off in the answer of the
// server that is asked next.
BOOST_FIXTURE_TEST_CASE(NoDataComesAfterACancellation, Fixture) {
  Send(Callback::kData);
  Answer(ManyChunks());
}

BOOST_FIXTURE_TEST_CASE(NoDataComesAfterACancellationAtTheHead, Fixture) {
  Send(Callback::kHead);
  Answer(ManyChunks());
}

BOOST_FIXTURE_TEST_CASE(NoHeadComesAfterACancellationAtTheFirstByte, Fixture) {
  Send(Callback::kFirstByte);
  Answer(ManyChunks());
}

// Guards against a connection that is kept for the next request, though its
// transfer was cancelled, as its response had come whole.
BOOST_FIXTURE_TEST_CASE(ACancelledTransferClosesItsConnection, Fixture) {
  Send(Callback::kHead);
  Answer("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
}

// Guards against the same in the client with a thread of its own, which tells
// how a cancelled transfer ends.
BOOST_AUTO_TEST_CASE(TheClientDeliversNoDataAfterACancellation) {
  Client client;
  RawServer server;
  std::atomic<TransferId> id = 0;
  std::atomic<int> data_calls = 0;
  absl::Notification ended;
  TransferEnd end = TransferEnd::kComplete;
  id = client.Start({.url = server.url()},
                    {.on_data =
                         [&](std::string_view) {
                           ++data_calls;
                           client.Cancel(id);
                         },
                     .on_end =
                         [&](TransferEnd got, const std::string&) {
                           end = got;
                           ended.Notify();
                         }});
  while (!server.HasRequest()) absl::SleepFor(absl::Milliseconds(1));
  server.Write(ManyChunks());
  BOOST_REQUIRE(ended.WaitForNotificationWithTimeout(absl::Seconds(5)));
  BOOST_TEST((end == TransferEnd::kCancelled));
  BOOST_TEST(data_calls == 1);
}

}  // namespace
}  // namespace gentianlb::http
