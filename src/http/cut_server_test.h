// A server on loopback for tests that ends its first connection after a given
// number of bytes of its response, and answers later ones as a test says.

#ifndef GENTIANLB_HTTP_CUT_SERVER_TEST_H_
#define GENTIANLB_HTTP_CUT_SERVER_TEST_H_

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "loop/event_loop.h"

namespace gentianlb::http {

struct CutServerPlan {
  std::string part;              // Of the response to the first request.
  bool resets = false;           // Ends it with a reset, else in good order.
  bool stops_listening = false;  // In the moment of that end.
  // Returns the whole response to a request that comes after that end.
  std::function<std::string(const std::string& request)> answer_later;
};

class CutServer {
 public:
  // `loop` must outlive this object.
  CutServer(loop::EventLoop* loop, CutServerPlan plan)
      : loop_(loop),
        plan_(std::move(plan)),
        listener_(
            socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(listener_, generic, size) == 0);
    BOOST_REQUIRE(listen(listener_, kBacklog) == 0);
    BOOST_REQUIRE(getsockname(listener_, generic, &size) == 0);
    port_ = ntohs(address.sin_port);
    loop_->Watch(listener_, EPOLLIN, [this](std::uint32_t) { Accept(); });
  }
  ~CutServer() {
    if (listener_ >= 0) StopListening();
    while (!requests_.empty()) Close(requests_.begin()->first);
  }
  CutServer(const CutServer&) = delete;
  CutServer& operator=(const CutServer&) = delete;

  std::uint16_t port() const { return port_; }
  // Returns whether it has ended its first connection as planned.
  bool has_answered() const { return has_answered_; }

 private:
  static constexpr int kBacklog = 4;

  void Accept() {
    const int connection =
        accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (connection < 0) return;
    requests_[connection] = "";
    loop_->Watch(connection, EPOLLIN,
                 [this, connection](std::uint32_t) { Read(connection); });
  }

  void Read(int connection) {
    std::array<char, 4096> bytes;
    const ssize_t count = recv(connection, bytes.data(), bytes.size(), 0);
    if (count <= 0) return Close(connection);
    std::string& request = requests_.at(connection);
    request.append(bytes.data(), static_cast<std::size_t>(count));
    if (request.find("\r\n\r\n") == std::string::npos) return;
    if (std::exchange(has_answered_, true)) {
      Write(connection, plan_.answer_later(request));
      return Close(connection);
    }
    Write(connection, plan_.part);
    const linger option = {plan_.resets ? 1 : 0, 0};
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    Close(connection);
    if (plan_.stops_listening) StopListening();
  }

  static void Write(int connection, const std::string& bytes) {
    if (bytes.empty()) return;
    BOOST_REQUIRE(send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
  }

  void Close(int connection) {
    loop_->Unwatch(connection);
    close(connection);
    requests_.erase(connection);
  }

  void StopListening() {
    loop_->Unwatch(listener_);
    close(std::exchange(listener_, -1));
  }

  loop::EventLoop* const loop_;
  const CutServerPlan plan_;
  int listener_;
  std::uint16_t port_ = 0;
  bool has_answered_ = false;
  std::map<int, std::string> requests_;  // By connection.
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_CUT_SERVER_TEST_H_
