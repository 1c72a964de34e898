// The server on an event loop, driven by raw sockets from the same thread.

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "http/server.h"
#include "loop/event_loop.h"

namespace gentianlb::http {
namespace {

// A caller's connection.
class Caller {
 public:
  explicit Caller(std::uint16_t port)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = connect(socket_, reinterpret_cast<sockaddr*>(&address),
                         sizeof address) == 0;
  }
  ~Caller() { close(socket_); }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  bool connected() const { return connected_; }

  void Send(const std::string& text) const {
    BOOST_REQUIRE(send(socket_, text.data(), text.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(text.size()));
  }

  // What has arrived.
  std::string Read() const {
    std::string text(4096, '\0');
    const ssize_t count = recv(socket_, text.data(), text.size(), MSG_DONTWAIT);
    text.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    return text;
  }

 private:
  int socket_;
  bool connected_ = false;
};

constexpr char kGet[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

struct Fixture {
  Fixture() {
    ServerSettings settings;
    settings.loop = &loop;
    auto started = Server::Start(settings, [this](Request, auto answer) {
      if (holds) return held.push_back(std::move(answer));
      answer->Respond(200, {}, "fine");
    });
    BOOST_REQUIRE(started.ok());
    server = std::move(started.value());
  }

  // Lets the loop run for a moment; longer where the machine is slow does no
  // harm, as nothing that is awaited here depends on time.
  void Turn() {
    loop.timers().At(loop::SteadyNow() + absl::Milliseconds(50),
                     [this](absl::Time) { loop.Stop(); });
    loop.Run();
  }
  // One round of events, without waiting for any.
  void Round() {
    loop.timers().At(loop::SteadyNow(), [this](absl::Time) { loop.Stop(); });
    loop.Run();
  }
  // Until something arrives.
  std::string Await(const Caller& caller) {
    std::string got;
    for (int i = 0; i < 100 && got.empty(); ++i) {
      Turn();
      got = caller.Read();
    }
    return got;
  }

  loop::EventLoop loop;
  bool holds = false;
  std::vector<std::shared_ptr<Responder>> held;
  std::unique_ptr<Server> server;
};

BOOST_FIXTURE_TEST_CASE(AnswersOnKeptConnections, Fixture) {
  const Caller caller(server->port());
  for (int i = 0; i < 3; ++i) {
    caller.Send(kGet);
    BOOST_TEST(Await(caller).ends_with("fine"));
  }
  BOOST_TEST(server->open_connections() == 1u);
}

// A caller sends two requests at once. The second is in the library's buffer
// when the first is answered, and no event tells of it; it lay there until
// something else happened, on a quiet host for up to a second.
BOOST_FIXTURE_TEST_CASE(WhatIsReadAlreadyIsServedWithoutAnEvent, Fixture) {
  const Caller caller(server->port());
  caller.Send(std::string(kGet) + kGet);
  std::string got = Await(caller);
  auto answers = [&] {
    std::size_t count = 0;
    for (auto at = got.find("fine"); at != std::string::npos;
         at = got.find("fine", at + 1)) {
      ++count;
    }
    return count;
  };
  for (int i = 0; i < 20 && answers() < 2; ++i) {
    Round();
    got += caller.Read();
  }
  BOOST_TEST(answers() == 2u);
}

// A host that stops keeps serving the connections that it has. Whoever comes
// anew has to be refused at once: accepted by the kernel and read by nobody, it
// would wait until the process ends.
BOOST_FIXTURE_TEST_CASE(AfterItStopsAcceptingOnlyKeptConnectionsAreServed,
                        Fixture) {
  const Caller kept(server->port());
  kept.Send(kGet);
  BOOST_TEST(Await(kept).ends_with("fine"));
  server->StopAccepting();
  Turn();
  const Caller late(server->port());
  BOOST_TEST(!late.connected());
  kept.Send(kGet);
  BOOST_TEST(Await(kept).ends_with("fine"));
}

// The caller hangs up while its answer is awaited, and nothing is sent that
// would show it.
BOOST_FIXTURE_TEST_CASE(ACallerThatLeavesWhileItWaitsIsNoticed, Fixture) {
  holds = true;
  bool gone = false;
  {
    const Caller caller(server->port());
    caller.Send(kGet);
    for (int i = 0; i < 100 && held.empty(); ++i) Turn();
    BOOST_REQUIRE(held.size() == 1u);
    held[0]->OnDisconnect([&] { gone = true; });
  }
  for (int i = 0; i < 100 && !gone; ++i) Turn();
  BOOST_TEST(gone);
}

}  // namespace
}  // namespace gentianlb::http
