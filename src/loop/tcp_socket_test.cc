#include "loop/tcp_socket.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "absl/time/clock.h"
#include "loop/cut_link_test.h"

namespace gentianlb::loop {
namespace {

// Two ends of a connection on loopback.
struct Connection {
  Connection() {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address;
    BOOST_REQUIRE(MakeAddress("127.0.0.1", 0, &address));
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(listener, generic, size) == 0);
    BOOST_REQUIRE(listen(listener, 1) == 0);
    BOOST_REQUIRE(getsockname(listener, generic, &size) == 0);
    caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE(connect(caller, generic, size) == 0);
    host = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    BOOST_REQUIRE(host >= 0);
    close(listener);
    SetKeepalive(host);
  }
  ~Connection() {
    close(caller);
    close(host);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Write(std::size_t bytes) const {
    const std::string text(bytes, 'x');
    BOOST_TEST(
        send(host, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) > 0);
  }

  int caller = -1;
  int host = -1;
};

constexpr absl::Duration kWait = absl::Milliseconds(2600);
constexpr absl::Duration kSilence = absl::Seconds(2);

BOOST_AUTO_TEST_CASE(AnIdleCallerIsNotSilent) {
  const Connection connection;
  BOOST_TEST((UnacknowledgedFor(connection.host) == absl::ZeroDuration()));
  absl::SleepFor(kWait);
  BOOST_TEST((UnacknowledgedFor(connection.host) < kSilence));
}

// Guards against a host that ends the stream of a caller whose receive window
// is full.
BOOST_AUTO_TEST_CASE(ACallerThatDoesNotReadIsNotSilent) {
  const Connection connection;
  connection.Write(64 << 20);
  absl::SleepFor(kWait);
  BOOST_TEST((UnacknowledgedFor(connection.host) < kSilence));
}

BOOST_AUTO_TEST_CASE(ACallerWhoseLinkIsCutIsSilent) {
  for (const bool writes : {true, false}) {
    const Connection connection;
    BOOST_REQUIRE(DropReceived(connection.caller));
    if (writes) connection.Write(100);
    absl::SleepFor(kWait);
    BOOST_TEST((UnacknowledgedFor(connection.host) >= kSilence), writes);
  }
}

}  // namespace
}  // namespace gentianlb::loop
