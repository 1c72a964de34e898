// Real connections on loopback, to servers at other addresses with one port.

#include "http/connection_sockets.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace gentianlb::http {
namespace {

sockaddr_in Loopback(std::uint32_t host, int port) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK + host);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Returns a socket that may share its port with others.
int MakeSocket(const sockaddr_in& own) {
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  BOOST_REQUIRE(
      bind(made, reinterpret_cast<const sockaddr*>(&own), sizeof own) == 0);
  return made;
}

int PortOf(int socket) {
  sockaddr_in address = {};
  socklen_t size = sizeof address;
  BOOST_REQUIRE(
      getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  return ntohs(address.sin_port);
}

// A connection to each of two servers, with the same port at this host.
struct EqualPorts {
  EqualPorts() {
    int server_port = 0;
    int own_port = 0;
    for (std::uint32_t i = 0; i < listeners.size(); ++i) {
      listeners[i] = MakeSocket(Loopback(1 + i, server_port));
      BOOST_REQUIRE(listen(listeners[i], 1) == 0);
      server_port = PortOf(listeners[i]);
      connections[i] = MakeSocket(Loopback(0, own_port));
      const sockaddr_in server = Loopback(1 + i, server_port);
      BOOST_REQUIRE(connect(connections[i],
                            reinterpret_cast<const sockaddr*>(&server),
                            sizeof server) == 0);
      own_port = PortOf(connections[i]);
      ends[i] = {own_port, server_port, "127.0.0.1",
                 "127.0.0." + std::to_string(2 + i)};
      sockets.OnMade(connections[i], ends[i]);
    }
  }
  ~EqualPorts() {
    for (const int listener : listeners) close(listener);
    for (const int connection : connections) {
      if (connection >= 0) close(connection);
    }
  }
  EqualPorts(const EqualPorts&) = delete;
  EqualPorts& operator=(const EqualPorts&) = delete;

  void Close(std::size_t i) { close(std::exchange(connections[i], -1)); }

  ConnectionSockets sockets;
  std::array<ConnectionEnds, 2> ends;
  std::array<int, 2> listeners = {-1, -1};
  std::array<int, 2> connections = {-1, -1};
};

BOOST_AUTO_TEST_CASE(AConnectionThatIsClosedOrUnknownCarriesNothing) {
  EqualPorts host;
  ConnectionEnds unknown = host.ends[0];
  unknown.remote_port = 1;
  BOOST_TEST(!host.sockets.Carry(unknown, "r1"));
  BOOST_TEST(host.sockets.Carry(host.ends[0], "r1"));
  BOOST_TEST(!host.sockets.Carry(host.ends[0], "r1"));
  host.Close(0);
  host.Close(1);
  BOOST_TEST(!host.sockets.Carry(host.ends[0], "r2"));
}

// Guards against the id of a request that is recorded at another connection.
BOOST_AUTO_TEST_CASE(AConnectionCarriesAnIdOnceBesideOneOfTheSamePorts) {
  for (const std::size_t carrier : {0u, 1u}) {
    EqualPorts host;
    BOOST_TEST(host.sockets.Carry(host.ends[carrier], "r1"));
    BOOST_TEST(host.sockets.Carry(host.ends[1 - carrier], "r1"));
    host.Close(1 - carrier);
    BOOST_TEST(!host.sockets.Carry(host.ends[carrier], "r1"),
               "carrier " << carrier);
  }
}

}  // namespace
}  // namespace gentianlb::http
