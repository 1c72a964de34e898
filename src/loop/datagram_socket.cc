#include "loop/datagram_socket.h"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "loop/tcp_socket.h"

namespace gentianlb::loop {
DatagramSocket::DatagramSocket(EventLoop* loop, int descriptor,
                               std::uint16_t port, OnMessage on_message)
    : loop_(loop),
      descriptor_(descriptor),
      port_(port),
      on_message_(std::move(on_message)),
      buffer_(kMaxMessageBytes) {
  loop_->Watch(descriptor_, EPOLLIN, [this](std::uint32_t) { Receive(); });
}

DatagramSocket::~DatagramSocket() {
  loop_->Unwatch(descriptor_);
  close(descriptor_);
}

Outcome<std::unique_ptr<DatagramSocket>> DatagramSocket::Bind(
    EventLoop* loop, const std::string& ip, std::uint16_t port,
    OnMessage on_message) {
  sockaddr_in address;
  if (!MakeAddress(ip, port, &address)) {
    return Error{Code::kOutOfRange, "not an IPv4 address: " + ip};
  }
  const int descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return Error{Code::kInternal, "can't open UDP socket"};
  const auto* socket_address = reinterpret_cast<const sockaddr*>(&address);
  if (bind(descriptor, socket_address, sizeof address) != 0) {
    close(descriptor);
    return Error{Code::kContradiction,
                 "can't bind UDP socket to " + ip + ":" + std::to_string(port)};
  }
  sockaddr_in bound = {};
  socklen_t size = sizeof bound;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
  return std::unique_ptr<DatagramSocket>(new DatagramSocket(
      loop, descriptor, ntohs(bound.sin_port), std::move(on_message)));
}

bool DatagramSocket::Send(const std::string& ip, std::uint16_t port,
                          std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) return false;
  sockaddr_in address;
  if (!MakeAddress(ip, port, &address)) return false;
  const ssize_t sent =
      sendto(descriptor_, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&address), sizeof address);
  return sent == static_cast<ssize_t>(bytes.size());
}

void DatagramSocket::Receive() {
  // epoll reports messages beyond the limit again in the next round.
  constexpr int kMaxMessagesPerRound = 32;
  for (int i = 0; i < kMaxMessagesPerRound; ++i) {
    const ssize_t count = recv(descriptor_, buffer_.data(), buffer_.size(), 0);
    if (count < 0) return;
    on_message_({buffer_.data(), static_cast<std::size_t>(count)});
  }
}

}  // namespace gentianlb::loop
