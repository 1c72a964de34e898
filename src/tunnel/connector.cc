#include "tunnel/connector.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "loop/tcp_socket.h"

namespace gentianlb::tunnel {
namespace {

ConnectResult ResultOf(int error) {
  if (error == 0) return ConnectResult::kConnected;
  const bool refused = error == ECONNREFUSED || error == ECONNRESET;
  return refused ? ConnectResult::kRefused : ConnectResult::kUnanswered;
}

// Returns whether a connection goes to itself: the kernel may pick the port of
// a server on the same machine that doesn't listen any more.
bool IsConnectedToItself(int socket) {
  sockaddr_in own = {};
  sockaddr_in other = {};
  socklen_t own_size = sizeof own;
  socklen_t other_size = sizeof other;
  const bool known =
      getsockname(socket, reinterpret_cast<sockaddr*>(&own), &own_size) == 0 &&
      getpeername(socket, reinterpret_cast<sockaddr*>(&other), &other_size) ==
          0;
  return known && own.sin_port == other.sin_port &&
         own.sin_addr.s_addr == other.sin_addr.s_addr;
}

}  // namespace

Connector::Connector(loop::EventLoop* loop, const settings::Endpoint& to,
                     absl::Duration timeout, Done done)
    : loop_(loop), done_(std::move(done)) {
  sockaddr_in address;
  const bool valid =
      loop::MakeAddress(to.ip, static_cast<std::uint16_t>(to.port), &address);
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  bool started = valid && socket_ >= 0;
  ConnectResult failure = ConnectResult::kUnanswered;
  if (started) {
    loop::SetLivenessOptions(socket_);
    const int result = connect(
        socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    started = result == 0 || errno == EINPROGRESS;
    if (!started) failure = ResultOf(errno);
  }
  if (started) {
    loop_->Watch(socket_, EPOLLOUT, [this](std::uint32_t) { OnWritable(); });
  }
  // The timer also reports an immediate failure, outside the constructor.
  timer_ = loop_->timers().At(
      loop::SteadyNow() + (started ? timeout : absl::ZeroDuration()),
      [this, failure](absl::Time) {
        timer_ = 0;
        Finish(failure);
      });
}

Connector::~Connector() {
  loop_->timers().Cancel(timer_);
  if (socket_ < 0) return;
  loop_->Unwatch(socket_);
  close(socket_);
}

void Connector::OnWritable() {
  int error = 0;
  socklen_t size = sizeof error;
  const int result = getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &size);
  if (result != 0) return Finish(ConnectResult::kUnanswered);
  const bool to_itself = error == 0 && IsConnectedToItself(socket_);
  Finish(to_itself ? ConnectResult::kRefused : ResultOf(error));
}

void Connector::Finish(ConnectResult result) {
  const bool connected = result == ConnectResult::kConnected;
  loop_->timers().Cancel(std::exchange(timer_, 0));
  const int socket = std::exchange(socket_, -1);
  if (socket >= 0) loop_->Unwatch(socket);
  if (socket >= 0 && !connected) close(socket);
  // The callee may destroy this object.
  const Done done = std::move(done_);
  done(connected ? socket : -1, result);
}

}  // namespace gentianlb::tunnel
