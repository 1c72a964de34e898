#include "loop/datagram_socket.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace gentianlb::loop {
namespace {

// Guards against large messages that arrive cut, and are useless then.
BOOST_AUTO_TEST_CASE(TheLargestMessageArrivesWhole) {
  EventLoop loop;
  std::string got;
  auto to =
      DatagramSocket::Bind(&loop, "127.0.0.1", 0, [&](std::string_view bytes) {
        got = bytes;
        loop.Stop();
      });
  BOOST_REQUIRE(to.ok());
  auto from =
      DatagramSocket::Bind(&loop, "127.0.0.1", 0, [](std::string_view) {});
  BOOST_REQUIRE(from.ok());
  std::string sent(kMaxMessageBytes, 'x');
  sent.back() = 'y';
  BOOST_REQUIRE(from.value()->Send("127.0.0.1", to.value()->port(), sent));
  loop.Run();
  BOOST_TEST((got == sent));
}

// What can't arrive whole is not sent, and the sender hears so.
BOOST_AUTO_TEST_CASE(ALargerMessageIsNotSent) {
  EventLoop loop;
  auto socket =
      DatagramSocket::Bind(&loop, "127.0.0.1", 0, [](std::string_view) {});
  BOOST_REQUIRE(socket.ok());
  const std::string large(kMaxMessageBytes + 1, 'x');
  BOOST_TEST(!socket.value()->Send("127.0.0.1", socket.value()->port(), large));
}

}  // namespace
}  // namespace gentianlb::loop
