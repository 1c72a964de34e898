#include "loop/datagram_socket.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace gentianlb::loop {
namespace {

// A large message that arrives truncated is useless.
BOOST_AUTO_TEST_CASE(LargestMessageArrivesWhole) {
  EventLoop loop;
  std::string received;
  auto receiver =
      DatagramSocket::Bind(&loop, "127.0.0.1", 0, [&](std::string_view bytes) {
        received = bytes;
        loop.Stop();
      });
  BOOST_REQUIRE(receiver.ok());
  auto sender =
      DatagramSocket::Bind(&loop, "127.0.0.1", 0, [](std::string_view) {});
  BOOST_REQUIRE(sender.ok());
  std::string sent(kMaxMessageBytes, 'x');
  sent.back() = 'y';
  BOOST_REQUIRE(
      sender.value()->Send("127.0.0.1", receiver.value()->port(), sent));
  loop.Run();
  BOOST_TEST((received == sent));
}

// A message that a datagram can't hold is not sent, and Send() returns false.
BOOST_AUTO_TEST_CASE(OversizedMessageIsNotSent) {
  EventLoop loop;
  auto socket =
      DatagramSocket::Bind(&loop, "127.0.0.1", 0, [](std::string_view) {});
  BOOST_REQUIRE(socket.ok());
  const std::string large(kMaxMessageBytes + 1, 'x');
  BOOST_TEST(!socket.value()->Send("127.0.0.1", socket.value()->port(), large));
}

}  // namespace
}  // namespace gentianlb::loop
