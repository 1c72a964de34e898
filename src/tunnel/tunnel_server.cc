#include "tunnel/tunnel_server.h"

#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "loop/tcp_socket.h"

namespace gentianlb::tunnel {
namespace {

// Each takes two descriptors and up to 64 KiB. More would starve this host's
// own callers of processor time.
constexpr std::size_t kMaxTunnels = 256;

constexpr int kListenBacklog = 128;

}  // namespace

Outcome<std::unique_ptr<TunnelServer>> TunnelServer::Start(
    loop::EventLoop* loop, const settings::Endpoint& address,
    TunnelServerHooks hooks) {
  sockaddr_in socket_address;
  if (!loop::MakeAddress(address.ip, static_cast<std::uint16_t>(address.port),
                         &socket_address)) {
    return Error{Code::kOutOfRange, "not an IPv4 address: " + address.ip};
  }
  const int listener =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listener < 0) return Error{Code::kInternal, "can't open TCP socket"};
  const int reuse = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
  auto* generic = reinterpret_cast<sockaddr*>(&socket_address);
  socklen_t size = sizeof socket_address;
  if (bind(listener, generic, size) != 0 ||
      listen(listener, kListenBacklog) != 0 ||
      getsockname(listener, generic, &size) != 0) {
    close(listener);
    return Error{
        Code::kContradiction,
        absl::StrCat("can't listen for peers on ", settings::Format(address))};
  }
  return std::unique_ptr<TunnelServer>(new TunnelServer(
      loop, listener, ntohs(socket_address.sin_port), std::move(hooks)));
}

TunnelServer::TunnelServer(loop::EventLoop* loop, int listener,
                           std::uint16_t port, TunnelServerHooks hooks)
    : loop_(loop), listener_(listener), port_(port), hooks_(std::move(hooks)) {
  loop_->Watch(listener_, EPOLLIN, [this](std::uint32_t) { Accept(); });
}

TunnelServer::~TunnelServer() { StopAccepting(); }

void TunnelServer::StopAccepting() {
  if (listener_ < 0) return;
  loop_->Unwatch(listener_);
  close(std::exchange(listener_, -1));
}

void TunnelServer::Accept() {
  while (true) {
    const int peer =
        accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (peer < 0) return;
    if (tunnels_.size() < kMaxTunnels) {
      Open(peer);
      continue;
    }
    LOG_EVERY_N(WARNING, 100) << "event=tunnels-full open=" << tunnels_.size();
    const std::string_view refusal = ResponseText(ConnectAnswer::kBusy);
    send(peer, refusal.data(), refusal.size(), MSG_NOSIGNAL);
    close(peer);
  }
}

void TunnelServer::Open(int peer) {
  const std::uint64_t id = next_id_++;
  TunnelHooks hooks;
  hooks.is_allowed = hooks_.is_allowed;
  hooks.on_connect = hooks_.on_connect;
  hooks.confirm_end_of = hooks_.confirm_end_of;
  hooks.on_end = [this, id] {
    loop_->Defer([this, id, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) tunnels_.erase(id);
    });
  };
  tunnels_.emplace(id, std::make_unique<Tunnel>(loop_, peer, std::move(hooks)));
}

}  // namespace gentianlb::tunnel
