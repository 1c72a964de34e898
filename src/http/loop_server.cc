#include "http/loop_server.h"

#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>
#include <vector>

#include "loop/tcp_socket.h"

namespace gentianlb::http {
namespace {

constexpr absl::Duration kSweepInterval = absl::Seconds(1);

// Connections that may wait to be accepted while the loop is busy. With a full
// queue, a caller waits a second until it retransmits its SYN packet.
constexpr int kListenBacklog = 512;

// Others have their turn in between.
constexpr int kMaxAcceptedPerTurn = 64;

constexpr std::size_t kBlockBytes = 32 << 10;

}  // namespace

LoopServer::LoopServer(loop::EventLoop* loop,
                       const LoopServerSettings& settings,
                       RequestHandler handler)
    : max_connections_(settings.limits.max_connections),
      evicts_above_(max_connections_ -
                    std::max<std::size_t>(1, max_connections_ / kSparePart)),
      keep_alive_timeout_(settings.limits.idle_timeout),
      stall_timeout_(settings.limits.idle_timeout) {
  state_.loop = loop;
  state_.limits = settings.limits;
  state_.budget = settings.budget;
  state_.handler = std::move(handler);
  state_.on_closed = [this](LoopConnection* connection) {
    OnClosed(connection);
  };
  state_.block.resize(kBlockBytes);
}

LoopServer::~LoopServer() {
  StopAccepting();
  state_.loop->timers().Cancel(sweep_timer_);
  std::vector<std::shared_ptr<LoopConnection>> open;
  for (const auto& [key, connection] : connections_) open.push_back(connection);
  for (const auto& connection : open) connection->Close();
}

Outcome<std::unique_ptr<LoopServer>> LoopServer::Start(
    loop::EventLoop* loop, const LoopServerSettings& settings,
    RequestHandler handler) {
  std::unique_ptr<LoopServer> server(
      new LoopServer(loop, settings, std::move(handler)));
  if (!server->Listen(settings)) {
    return Error{Code::kContradiction, "can't listen on " + settings.address +
                                           ":" + std::to_string(settings.port)};
  }
  server->WatchListener();
  server->sweep_timer_ = loop->timers().Every(
      loop->now() + kSweepInterval, kSweepInterval,
      [self = server.get()](absl::Time) { self->Sweep(); });
  return server;
}

bool LoopServer::Listen(const LoopServerSettings& settings) {
  sockaddr_in address = {};
  if (!loop::MakeAddress(settings.address, settings.port, &address)) {
    return false;
  }
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (listener_ < 0) return false;
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // Accepted connections have the listener's option.
  const int bytes = settings.limits.receive_buffer_bytes;
  if (bytes != 0 &&
      setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes) != 0) {
    PLOG(WARNING) << "event=socket-option-refused option=SO_RCVBUF";
  }
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof address;
  if (bind(listener_, generic, size) != 0 ||
      listen(listener_, kListenBacklog) != 0 ||
      getsockname(listener_, generic, &size) != 0) {
    return false;
  }
  port_ = ntohs(address.sin_port);
  return true;
}

void LoopServer::WatchListener() {
  if (listener_watched_ || listener_ < 0) return;
  listener_watched_ = true;
  state_.loop->Watch(listener_, EPOLLIN, [this](std::uint32_t) { Accept(); });
}

void LoopServer::UnwatchListener() {
  if (!listener_watched_) return;
  listener_watched_ = false;
  state_.loop->Unwatch(listener_);
}

void LoopServer::StopAccepting() {
  UnwatchListener();
  if (listener_ >= 0) close(std::exchange(listener_, -1));
}

void LoopServer::Accept() {
  for (int i = 0; i < kMaxAcceptedPerTurn; ++i) {
    Relieve();
    if (places_taken() >= max_connections_) return UnwatchListener();
    const int socket =
        accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (socket < 0) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      // Tried again at the next sweep.
      PLOG(WARNING) << "event=accept-failed connections="
                    << connections_.size();
      return UnwatchListener();
    }
    auto connection = std::make_shared<LoopConnection>(&state_, socket);
    connections_.emplace(connection.get(), connection);
    connection->Start();
  }
}

void LoopServer::OnClosed(LoopConnection* connection) {
  connections_.erase(connection);
  if (places_taken() < max_connections_) WatchListener();
}

void LoopServer::Sweep() {
  Relieve();
  std::vector<std::shared_ptr<LoopConnection>> open;
  open.reserve(connections_.size());
  for (const auto& [key, connection] : connections_) open.push_back(connection);
  for (const auto& connection : open) {
    connection->CheckTimeouts(keep_alive_timeout_, stall_timeout_);
  }
  if (places_taken() < max_connections_) WatchListener();
}

void LoopServer::Relieve() {
  while (places_taken() > evicts_above_) {
    const auto longest = FindLongestWaiting();
    if (longest == nullptr) return;
    LOG(WARNING) << "event=connection-evicted waited_ms="
                 << absl::ToInt64Milliseconds(state_.loop->now() -
                                              longest->waits_since())
                 << " connections=" << connections_.size()
                 << " lingering=" << state_.lingering
                 << " above=" << evicts_above_;
    ++evicted_;
    longest->Evict();
  }
}

std::shared_ptr<LoopConnection> LoopServer::FindLongestWaiting() const {
  std::shared_ptr<LoopConnection> longest;
  for (const auto& [key, connection] : connections_) {
    if (!connection->waits()) continue;
    if (longest == nullptr ||
        connection->waits_since() < longest->waits_since()) {
      longest = connection;
    }
  }
  const bool may_be_evicted =
      longest != nullptr &&
      state_.loop->now() - longest->waits_since() >= kMinWait;
  return may_be_evicted ? longest : nullptr;
}

void LoopServer::SetIdleTimeout(absl::Duration timeout) {
  keep_alive_timeout_ = timeout;
  stall_timeout_ = timeout;
}

void LoopServer::SetKeepAliveTimeout(absl::Duration timeout) {
  keep_alive_timeout_ = timeout;
}

void LoopServer::SetMaxHeaderBytes(std::size_t bytes) {
  state_.limits.max_header_bytes = bytes;
}

}  // namespace gentianlb::http
