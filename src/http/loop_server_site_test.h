// A server on an event loop, and callers with raw sockets on the same thread.

#ifndef GENTIANLB_HTTP_LOOP_SERVER_SITE_TEST_H_
#define GENTIANLB_HTTP_LOOP_SERVER_SITE_TEST_H_

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/loop_server.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::http {

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

  // Sends until the kernel takes no more. Returns the number of bytes.
  std::size_t SendWhatFits() const {
    const std::string block(64 << 10, 'x');
    std::size_t sent = 0;
    ssize_t count = 0;
    do {
      sent += static_cast<std::size_t>(count);
      count = send(socket_, block.data(), block.size(),
                   MSG_NOSIGNAL | MSG_DONTWAIT);
    } while (count > 0);
    return sent;
  }

  // Returns the bytes that the server's kernel has not acknowledged.
  std::size_t Unacknowledged() const {
    int bytes = 0;
    BOOST_REQUIRE(ioctl(socket_, SIOCOUTQ, &bytes) == 0);
    return static_cast<std::size_t>(bytes);
  }

  // Returns the bytes that have arrived, without blocking.
  std::string Read() const {
    std::string text(4096, '\0');
    const ssize_t count = recv(socket_, text.data(), text.size(), MSG_DONTWAIT);
    text.resize(count < 0 ? 0 : static_cast<std::size_t>(count));
    return text;
  }

  // Returns whether the connection was reset rather than closed.
  bool IsReset() const {
    char byte = 0;
    return recv(socket_, &byte, 1, MSG_DONTWAIT) < 0 && errno == ECONNRESET;
  }

  enum class End { kOpen, kClosed, kReset };

  // Drops the bytes that have arrived. Returns whether the connection ends
  // behind them.
  End ReadAll() const {
    std::string bytes(64 << 10, '\0');
    ssize_t count = 0;
    do {
      count = recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    } while (count > 0);
    if (count == 0) return End::kClosed;
    return errno == ECONNRESET ? End::kReset : End::kOpen;
  }

 private:
  int socket_;
  bool connected_ = false;
};

inline constexpr char kGet[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

struct Fixture : loop::LoopRunner {
  explicit Fixture(ServerLimits limits = {},
                   std::shared_ptr<ByteBudget> budget = nullptr) {
    auto started = LoopServer::Start(
        &loop, {.limits = limits, .budget = std::move(budget)},
        [this](Request request, auto response) {
          last_request = std::move(request);
          if (hold_responses) return held.push_back(std::move(response));
          response->Respond(200, {}, "fine");
        });
    BOOST_REQUIRE(started.ok());
    server = std::move(started.value());
  }

  // Runs the loop for 50 ms. The tests don't depend on the exact time.
  void RunLoop() { RunFor(absl::Milliseconds(50)); }
  // Runs one round of events without waiting.
  void RunOneRound() { RunFor(absl::ZeroDuration()); }
  // Runs the loop until bytes arrive at `caller`, and returns them.
  std::string ReadResponse(const Caller& caller) {
    std::string received;
    for (int i = 0; i < 100 && received.empty(); ++i) {
      RunLoop();
      received = caller.Read();
    }
    return received;
  }

  Request last_request;
  bool hold_responses = false;
  std::vector<std::shared_ptr<Responder>> held;
  std::unique_ptr<LoopServer> server;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_LOOP_SERVER_SITE_TEST_H_
