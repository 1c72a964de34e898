#include "tunnel/tunnel.h"

#include <glog/logging.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "loop/tcp_socket.h"

namespace gentianlb::tunnel {
namespace {

constexpr absl::Duration kRequestTimeout = absl::Seconds(1);
constexpr std::size_t kMaxRequestBytes = 1024;

// Shorter than the time that the peer waits for the answer.
constexpr absl::Duration kConnectTimeout = absl::Milliseconds(150);

// Bytes held for a side that is slow to read; then the other side waits too.
constexpr std::size_t kMaxOutgoingBytes = 32 << 10;
constexpr std::size_t kBlockBytes = 8 << 10;

// Other sockets must not wait for a fast sender.
constexpr int kMaxBlocksPerEvent = 8;

// Reported also for sockets that are watched for neither input nor output.
constexpr std::uint32_t kBrokenEvents = EPOLLERR | EPOLLHUP;

// A reset discards what the peer has not received, which may be the end of a
// response that states its length. After this time the peer is taken for lost.
constexpr absl::Duration kMaxReceiveTime = absl::Milliseconds(2500);
constexpr absl::Duration kReceiveCheckInterval = absl::Milliseconds(5);

// A peer that takes the connection for lost (loop::kMaxUnacknowledged) moves
// its stream to another server. This side must have left the server before,
// although keepalive probes are a second apart.
constexpr absl::Duration kMaxPeerSilence = absl::Milliseconds(1500);

constexpr std::string_view kMethod = "CONNECT ";
constexpr std::string_view kRequestEnd = "\r\n\r\n";

// Decides what the end of a connection looks like to the other side, also if
// this process is killed: a reset, or an orderly end.
void SetAbortive(int socket, bool abortive) {
  const linger option = {abortive ? 1 : 0, 0};
  if (setsockopt(socket, SOL_SOCKET, SO_LINGER, &option, sizeof option) == 0) {
    return;
  }
  PLOG(WARNING) << "event=socket-option-refused option=SO_LINGER";
}

// Returns whether bytes have arrived and were not read.
bool HasUnread(int socket) {
  int unread = 0;
  return ioctl(socket, FIONREAD, &unread) == 0 && unread > 0;
}

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

std::string_view ResponseText(ConnectAnswer answer) {
  switch (answer) {
    case ConnectAnswer::kEstablished:
      return "HTTP/1.1 200 Connection established\r\n\r\n";
    case ConnectAnswer::kMalformed:
      return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
    case ConnectAnswer::kUnreachable:
      return "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
    case ConnectAnswer::kBusy:
      return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  }
  return "";
}

Tunnel::Tunnel(loop::EventLoop* loop, int peer, TunnelHooks hooks)
    : loop_(loop), hooks_(std::move(hooks)) {
  peer_.socket = peer;
  loop::SetLivenessOptions(peer, kMaxPeerSilence);
  SetAbortive(peer, true);
  Watch(&peer_, EPOLLIN, [this](std::uint32_t) { ReadRequest(); });
  request_timer_ = loop_->timers().At(loop::SteadyNow() + kRequestTimeout,
                                      [this](absl::Time) {
                                        request_timer_ = 0;
                                        Refuse(ConnectAnswer::kMalformed);
                                      });
}

Tunnel::~Tunnel() {
  loop_->timers().Cancel(request_timer_);
  loop_->timers().Cancel(reset_timer_);
  CloseServer();
  loop_->Unwatch(peer_.socket);
  close(peer_.socket);
}

void Tunnel::Watch(Side* side, std::uint32_t events,
                   loop::EventLoop::SocketCallback callback) {
  if (side->watched == events) return;
  side->watched = events;
  loop_->Watch(side->socket, events, std::move(callback));
}

void Tunnel::ReadRequest() {
  std::array<char, kMaxRequestBytes> block;
  const ssize_t count = recv(peer_.socket, block.data(), block.size(), 0);
  if (count < 0 && WouldBlock()) return;
  if (count <= 0) return End();
  request_.append(block.data(), static_cast<std::size_t>(count));
  const std::size_t end = request_.find(kRequestEnd);
  if (end != std::string::npos) return Connect(request_);
  if (request_.size() >= kMaxRequestBytes) Refuse(ConnectAnswer::kMalformed);
}

void Tunnel::Connect(std::string_view request) {
  loop_->timers().Cancel(std::exchange(request_timer_, 0));
  if (!request.starts_with(kMethod)) return Refuse(ConnectAnswer::kMalformed);
  request.remove_prefix(kMethod.size());
  const auto server =
      settings::ParseEndpoint(request.substr(0, request.find(' ')));
  // Bytes behind the request would be sent before the peer has the answer.
  const bool is_whole = request.ends_with(kRequestEnd);
  if (!server.ok() || !is_whole) return Refuse(ConnectAnswer::kMalformed);
  if (!hooks_.is_allowed(server.value())) {
    return Refuse(ConnectAnswer::kUnreachable);
  }
  // The peer sends nothing before the answer; it may only go away.
  Watch(&peer_, EPOLLRDHUP, [this](std::uint32_t) { End(); });
  if (hooks_.confirm_end_of) {
    confirm_end_ = hooks_.confirm_end_of(server.value());
  }
  connector_ = std::make_unique<Connector>(
      loop_, server.value(), kConnectTimeout,
      [this, to = server.value()](int socket, ConnectResult) {
        OnConnected(to, socket);
      });
}

void Tunnel::OnConnected(const settings::Endpoint& server, int socket) {
  server_.socket = socket;
  hooks_.on_connect(server, socket >= 0);
  if (ended_) return;
  if (socket < 0) return Refuse(ConnectAnswer::kUnreachable);
  relaying_ = true;
  peer_.outgoing = ResponseText(ConnectAnswer::kEstablished);
  if (!Flush(&peer_)) return End();
  UpdateWatches();
}

void Tunnel::Refuse(ConnectAnswer answer) {
  peer_.outgoing = ResponseText(answer);
  Flush(&peer_);
  SetAbortive(peer_.socket, false);
  End();
}

bool Tunnel::Flush(Side* side) {
  while (!side->outgoing.empty()) {
    const ssize_t count = send(side->socket, side->outgoing.data(),
                               side->outgoing.size(), MSG_NOSIGNAL);
    if (count < 0) return WouldBlock();
    side->outgoing.erase(0, static_cast<std::size_t>(count));
  }
  return true;
}

Tunnel::ReadEnd Tunnel::Relay(Side* from, Side* to) {
  std::array<char, kBlockBytes> block;
  for (int i = 0; i < kMaxBlocksPerEvent; ++i) {
    if (to->outgoing.size() >= kMaxOutgoingBytes) return ReadEnd::kOpen;
    const ssize_t count = recv(from->socket, block.data(), block.size(), 0);
    if (count < 0 && WouldBlock()) return ReadEnd::kOpen;
    if (count < 0) return ReadEnd::kBroken;
    if (count == 0) return ReadEnd::kClosed;
    to->outgoing.append(block.data(), static_cast<std::size_t>(count));
    if (to == &peer_) bytes_to_peer_ += static_cast<std::uint64_t>(count);
    if (!Flush(to)) return ReadEnd::kBroken;
    // A short block is most likely the last one for now.
    if (count < static_cast<ssize_t>(block.size())) return ReadEnd::kOpen;
  }
  return ReadEnd::kOpen;
}

// Also sends what the server had no room for. The peer closes its connection to
// stop the server's work, so the server's connection ends at once.
void Tunnel::RelayToServer(std::uint32_t events) {
  if ((events & kBrokenEvents) != 0 || !Flush(&peer_)) return End();
  if (server_ended_) {
    if ((events & EPOLLRDHUP) != 0) return End();
    return EndWhenFlushed();
  }
  if (Relay(&peer_, &server_) != ReadEnd::kOpen) return End();
  UpdateWatches();
}

void Tunnel::RelayToPeer(std::uint32_t events) {
  // While the peer is slow, nothing is read that would show the break.
  const bool unread = peer_.outgoing.size() >= kMaxOutgoingBytes;
  const bool broken = unread && (events & kBrokenEvents) != 0;
  const bool sent = !broken && Flush(&server_);
  const ReadEnd end = sent ? Relay(&server_, &peer_) : ReadEnd::kBroken;
  if (end == ReadEnd::kOpen) return UpdateWatches();
  const bool orderly = end == ReadEnd::kClosed && HasServerAll();
  server_ended_ = true;
  CloseServer();
  if (orderly) OnServerClosed();
  EndWhenFlushed();
}

bool Tunnel::HasServerAll() const {
  return server_.outgoing.empty() && loop::IsAllAcknowledged(server_.socket) &&
         !HasUnread(peer_.socket);
}

void Tunnel::OnServerClosed() {
  if (!confirm_end_) {
    orderly_end_ = true;
    return;
  }
  confirming_ = true;
  confirm_end_(bytes_to_peer_,
               [this, alive = std::weak_ptr<int>(alive_)](bool lives) {
                 if (alive.expired() || ended_) return;
                 confirming_ = false;
                 orderly_end_ = lives;
                 EndWhenFlushed();
               });
}

void Tunnel::CloseServer() {
  connector_.reset();
  if (server_.socket < 0) return;
  loop_->Unwatch(server_.socket);
  close(std::exchange(server_.socket, -1));
}

void Tunnel::EndWhenFlushed() {
  if (confirming_ || !peer_.outgoing.empty()) return UpdateWatches();
  if (!orderly_end_ || HasUnread(peer_.socket)) return ResetWhenReceived();
  SetAbortive(peer_.socket, false);
  End();
}

void Tunnel::ResetWhenReceived() {
  if (reset_timer_ != 0) return UpdateWatches();
  const absl::Time now = loop_->now();
  if (reset_by_ == absl::InfiniteFuture()) reset_by_ = now + kMaxReceiveTime;
  if (loop::IsAllAcknowledged(peer_.socket) || now >= reset_by_) return End();
  UpdateWatches();
  reset_timer_ =
      loop_->timers().At(now + kReceiveCheckInterval, [this](absl::Time) {
        reset_timer_ = 0;
        ResetWhenReceived();
      });
}

void Tunnel::End() {
  if (std::exchange(ended_, true)) return;
  loop_->timers().Cancel(std::exchange(request_timer_, 0));
  loop_->timers().Cancel(std::exchange(reset_timer_, 0));
  loop_->Unwatch(peer_.socket);
  if (server_.socket >= 0) loop_->Unwatch(server_.socket);
  hooks_.on_end();
}

void Tunnel::UpdateWatches() {
  const auto events = [](const Side& side, const Side& other) {
    std::uint32_t wanted = 0;
    if (other.outgoing.size() < kMaxOutgoingBytes) wanted |= EPOLLIN;
    if (!side.outgoing.empty()) wanted |= EPOLLOUT;
    return wanted;
  };
  if (server_ended_) {
    // A peer that has what it wants closes its side.
    std::uint32_t wanted = EPOLLRDHUP;
    if (!peer_.outgoing.empty()) wanted |= EPOLLOUT;
    return Watch(&peer_, wanted,
                 [this](std::uint32_t got) { RelayToServer(got); });
  }
  Watch(&peer_, events(peer_, server_),
        [this](std::uint32_t got) { RelayToServer(got); });
  Watch(&server_, events(server_, peer_),
        [this](std::uint32_t got) { RelayToPeer(got); });
}

}  // namespace gentianlb::tunnel
