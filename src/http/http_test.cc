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

BOOST_AUTO_TEST_CASE(RespondsWithHeadersQueryAndBody) {
  auto server = StartOrDie({}, [](Request request, auto response) {
    std::string text = request.method + request.path +
                       std::string(request.argument("a")) + request.body +
                       std::string(request.header("x-one"));
    response->Respond(201, {{"X-Two", "2"}}, text);
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
  std::shared_ptr<Responder> responder;
  absl::Notification arrived;
  auto server = StartOrDie({}, [&](Request, auto response) {
    responder = response;
    arrived.Notify();
  });
  Client client;
  absl::Notification done;
  Reply reply;
  client.Fetch({.url = Url(*server, "/")}, [&](Reply received) {
    reply = std::move(received);
    done.Notify();
  });
  arrived.WaitForNotification();
  responder->Begin(200, {});
  for (int i = 0; i < 100; ++i) responder->Write(std::to_string(i) + ",");
  responder->Finish();
  done.WaitForNotification();
  BOOST_TEST((reply.end == TransferEnd::kComplete));
  BOOST_TEST(reply.body.ends_with("98,99,"));
}

// A host that dies within a stream must not leave the caller with a truncated
// response that looks complete.
BOOST_AUTO_TEST_CASE(AbortedStreamEndsAsBroken) {
  auto server = StartOrDie({}, [&](Request, auto response) {
    response->Begin(200, {});
    response->Write("half");
    response->Abort();
  });
  Client client;
  Reply reply = client.FetchAndWait({.url = Url(*server, "/")});
  BOOST_TEST((reply.end == TransferEnd::kBroken));
  BOOST_TEST(std::string("half").starts_with(reply.body));
}

// A caller sends a larger body than the limit. It gets the refusal with its
// code, and the next caller is served as usual.
BOOST_AUTO_TEST_CASE(OversizedBodyIsRefusedWithItsCode) {
  ServerSettings settings;
  settings.limits.max_body_bytes = 1000;
  auto server = StartOrDie(settings, [](Request, auto response) {
    response->Respond(200, {}, "fine");
  });
  Client client;
  Reply large = client.FetchAndWait({.method = "POST",
                                     .url = Url(*server, "/"),
                                     .body = std::string(5000, 'x')});
  BOOST_TEST(large.status == 413);
  BOOST_TEST(large.body.find("1002") != std::string::npos);
  Reply next = client.FetchAndWait({.url = Url(*server, "/")});
  BOOST_TEST(next.body == "fine");
}

// The caller disconnects while its response is being produced. If the handler
// isn't notified, a backend server goes on computing for a disconnected caller.
BOOST_AUTO_TEST_CASE(CallerDisconnectIsReported) {
  absl::Notification disconnected;
  absl::Notification begun;
  std::shared_ptr<Responder> responder;
  auto server = StartOrDie({}, [&](Request, auto response) {
    responder = response;
    response->OnDisconnect([&] { disconnected.Notify(); });
    response->Begin(200, {});
    response->Write("x");
    begun.Notify();
  });
  Client client;
  TransferId id = client.Start({.url = Url(*server, "/")}, {});
  begun.WaitForNotification();
  client.Cancel(id);
  // The server detects a closed connection at the next writes.
  while (!disconnected.HasBeenNotified()) {
    responder->Write("y");
    disconnected.WaitForNotificationWithTimeout(absl::Milliseconds(5));
  }
}

// A host shuts down while a transfer is running. The objects that its callback
// refers to are destroyed next, so Stop() must end the transfer before.
BOOST_AUTO_TEST_CASE(StopEndsRunningTransfers) {
  std::shared_ptr<Responder> responder;
  absl::Notification arrived;
  auto server = StartOrDie({}, [&](Request, auto response) {
    responder = response;
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

// Nothing listens on the port, so no byte was sent. The request can be retried
// on another server without the risk of running twice.
BOOST_AUTO_TEST_CASE(RefusedConnectionEndsAsNotSent) {
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
