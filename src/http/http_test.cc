#include <boost/test/unit_test.hpp>

#include "absl/synchronization/notification.h"
#include "http/client.h"
#include "http/server.h"

namespace gentianlb::http {
namespace {

std::string Url(const Server& server, std::string_view path) {
  return "http://127.0.0.1:" + std::to_string(server.port()) +
         std::string(path);
}

std::unique_ptr<Server> StartOrDie(ServerSettings settings,
                                   Server::Handler handler) {
  auto server = Server::Start(settings, std::move(handler));
  BOOST_REQUIRE(server.ok());
  return std::move(server.value());
}

BOOST_AUTO_TEST_CASE(AnswersWholeWithHeadersQueryAndBody) {
  auto server = StartOrDie({}, [](Request request, auto answer) {
    std::string text = request.method + request.path +
                       std::string(request.argument("a")) + request.body +
                       std::string(request.header("x-one"));
    answer->Respond(201, {{"X-Two", "2"}}, text);
  });
  Client client;
  Reply reply = client.FetchAndWait({.method = "POST",
                                     .url = Url(*server, "/p?b=0&a=1"),
                                     .headers = {{"X-One", "one"}},
                                     .body = "body"});
  BOOST_TEST((reply.end == TransferEnd::kComplete));
  BOOST_TEST(reply.status == 201);
  BOOST_TEST(reply.body == "POST/p1bodyone");
  BOOST_TEST(FindHeader(reply.headers, "x-two") == "2");
}

BOOST_AUTO_TEST_CASE(StreamsFromAnotherThread) {
  std::shared_ptr<Responder> kept;
  absl::Notification arrived;
  auto server = StartOrDie({}, [&](Request, auto answer) {
    kept = answer;
    arrived.Notify();
  });
  Client client;
  absl::Notification done;
  Reply reply;
  client.Fetch({.url = Url(*server, "/")}, [&](Reply got) {
    reply = std::move(got);
    done.Notify();
  });
  arrived.WaitForNotification();
  kept->Begin(200, {});
  for (int i = 0; i < 100; ++i) kept->Write(std::to_string(i) + ",");
  kept->Finish();
  done.WaitForNotification();
  BOOST_TEST((reply.end == TransferEnd::kComplete));
  BOOST_TEST(reply.body.ends_with("98,99,"));
}

// A host that dies in the middle of a stream must not leave the caller with
// something that looks like a whole answer: the transfer has to end as broken.
BOOST_AUTO_TEST_CASE(AnAbortedStreamIsSeenAsBroken) {
  auto server = StartOrDie({}, [&](Request, auto answer) {
    answer->Begin(200, {});
    answer->Write("half");
    answer->Abort();
  });
  Client client;
  Reply reply = client.FetchAndWait({.url = Url(*server, "/")});
  BOOST_TEST((reply.end == TransferEnd::kBroken));
  BOOST_TEST(std::string("half").starts_with(reply.body));
}

// A caller sends more than the operator allows. It gets the numbered refusal,
// and the next caller is served as usual.
BOOST_AUTO_TEST_CASE(AnOversizedBodyGetsItsNumber) {
  ServerSettings settings;
  settings.limits.max_body_bytes = 1000;
  auto server = StartOrDie(
      settings, [](Request, auto answer) { answer->Respond(200, {}, "fine"); });
  Client client;
  Reply large = client.FetchAndWait({.method = "POST",
                                     .url = Url(*server, "/"),
                                     .body = std::string(5000, 'x')});
  BOOST_TEST(large.status == 413);
  BOOST_TEST(large.body.find("1002") != std::string::npos);
  Reply next = client.FetchAndWait({.url = Url(*server, "/")});
  BOOST_TEST(next.body == "fine");
}

// The caller hangs up while its answer is still being made. Whoever makes it
// has to learn that, else a server goes on computing for nobody.
BOOST_AUTO_TEST_CASE(ACallerThatHangsUpIsNoticed) {
  absl::Notification gone;
  absl::Notification begun;
  std::shared_ptr<Responder> kept;
  auto server = StartOrDie({}, [&](Request, auto answer) {
    kept = answer;
    answer->OnDisconnect([&] { gone.Notify(); });
    answer->Begin(200, {});
    answer->Write("x");
    begun.Notify();
  });
  Client client;
  TransferId id = client.Start({.url = Url(*server, "/")}, {});
  begun.WaitForNotification();
  client.Cancel(id);
  // A closed connection shows itself at the next writes.
  while (!gone.HasBeenNotified()) {
    kept->Write("y");
    gone.WaitForNotificationWithTimeout(absl::Milliseconds(5));
  }
}

// A host shuts down while a peer has not yet answered it. What the end of the
// transfer refers to is destroyed next, so the end has to come before that.
BOOST_AUTO_TEST_CASE(StopEndsWhatIsUnderWay) {
  std::shared_ptr<Responder> kept;
  absl::Notification arrived;
  auto server = StartOrDie({}, [&](Request, auto answer) {
    kept = answer;
    arrived.Notify();
  });
  Client client;
  TransferEnd end = TransferEnd::kComplete;
  client.Fetch({.url = Url(*server, "/")},
               [&](const Reply& reply) { end = reply.end; });
  arrived.WaitForNotification();
  client.Stop();
  BOOST_TEST((end == TransferEnd::kCancelled));
}

// Nothing listens: it is certain that no byte left, so another server may be
// tried without a risk of running the request twice.
BOOST_AUTO_TEST_CASE(ARefusedConnectionIsCertainlyNotSent) {
  std::uint16_t port = 0;
  {
    auto server = StartOrDie({}, [](Request, auto) {});
    port = server->port();
  }
  Client client;
  Reply reply = client.FetchAndWait(
      {.url = "http://127.0.0.1:" + std::to_string(port) + "/"});
  BOOST_TEST((reply.end == TransferEnd::kNotSent));
}

}  // namespace
}  // namespace gentianlb::http
