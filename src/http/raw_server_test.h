// A server on loopback for tests that writes raw bytes.

#ifndef GENTIANLB_HTTP_RAW_SERVER_TEST_H_
#define GENTIANLB_HTTP_RAW_SERVER_TEST_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <cstdint>
#include <string>
#include <utility>

namespace gentianlb::http {

// Accepts one connection.
class RawServer {
 public:
  RawServer() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(listener_, generic, size) == 0);
    BOOST_REQUIRE(listen(listener_, 1) == 0);
    BOOST_REQUIRE(getsockname(listener_, generic, &size) == 0);
    port_ = ntohs(address.sin_port);
  }
  ~RawServer() {
    if (listener_ >= 0) close(listener_);
    if (connection_ >= 0) close(connection_);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(port_) + "/";
  }

  std::uint16_t port() const { return port_; }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Returns whether a connection waits or was accepted.
  bool HasConnection() {
    if (connection_ >= 0) return true;
    pollfd waiting = {listener_, POLLIN, 0};
    if (poll(&waiting, 1, 0) <= 0) return false;
    connection_ = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    return connection_ >= 0;
  }

  // Appends the bytes that have arrived to `request`, without blocking.
  // Returns whether the head of a request is complete.
  bool HasRequest() {
    if (!HasConnection()) return false;
    std::string bytes(4096, '\0');
    const ssize_t count =
        recv(connection_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count > 0) request.append(bytes, 0, static_cast<std::size_t>(count));
    return request.find("\r\n\r\n") != std::string::npos;
  }

  // Returns whether the caller has closed the connection.
  bool IsClosedByCaller() const {
    char byte = 0;
    const ssize_t count = recv(connection_, &byte, 1, MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno == ECONNRESET);
  }

  void Write(const std::string& bytes) const {
    BOOST_REQUIRE(send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
  }

  // Writes what the connection takes at once. Returns false if it is closed.
  bool WriteSome(const std::string& bytes) const {
    const ssize_t count = send(connection_, bytes.data(), bytes.size(),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
    return count >= 0 || errno == EAGAIN;
  }

  void StopListening() { close(std::exchange(listener_, -1)); }

  // Ends its side of the connection, and goes on to read.
  void EndOwnSide() const {
    BOOST_REQUIRE(shutdown(connection_, SHUT_WR) == 0);
  }

  void Close() { close(std::exchange(connection_, -1)); }

  // Closes the connection with a reset.
  void Reset() {
    const linger no_wait = {1, 0};
    setsockopt(connection_, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
    Close();
  }

  std::string request;

 private:
  int listener_;
  int connection_ = -1;
  std::uint16_t port_ = 0;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_RAW_SERVER_TEST_H_
