// A UDP socket on an event loop, for small messages whose loss is acceptable.

#ifndef GENTIANLB_LOOP_DATAGRAM_SOCKET_H_
#define GENTIANLB_LOOP_DATAGRAM_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "loop/event_loop.h"

namespace gentianlb::loop {

// Maximum size of a message. An IPv4 datagram can't hold 64 KiB.
inline constexpr std::size_t kMaxMessageBytes = 60 << 10;

class DatagramSocket {
 public:
  using OnMessage = std::function<void(std::string_view bytes)>;

  // Binds to `ip` and `port`; with port 0, the kernel chooses one. `loop` must
  // outlive the socket.
  static Outcome<std::unique_ptr<DatagramSocket>> Bind(EventLoop* loop,
                                                       const std::string& ip,
                                                       std::uint16_t port,
                                                       OnMessage on_message);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  // Sends a message. Returns false if it was certainly not sent, for example
  // because it is too long. Losses on the network are not detected.
  bool Send(const std::string& ip, std::uint16_t port, std::string_view bytes);

  std::uint16_t port() const { return port_; }

 private:
  DatagramSocket(EventLoop* loop, int descriptor, std::uint16_t port,
                 OnMessage on_message);
  void Receive();

  EventLoop* const loop_;
  const int descriptor_;
  const std::uint16_t port_;
  const OnMessage on_message_;
  std::vector<char> buffer_;
};

}  // namespace gentianlb::loop

#endif  // GENTIANLB_LOOP_DATAGRAM_SOCKET_H_
