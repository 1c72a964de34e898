#include "process/relay.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace gentianlb::process {
namespace {

constexpr std::size_t kBlockBytes = 16 << 10;

// A reader that takes nothing holds its sender back beyond this.
constexpr std::size_t kMaxBlocks = 16;

// Ready sockets wake the thread at once; new states and delayed bytes wait at
// most that long.
constexpr int kPollMilliseconds = 2;

sockaddr_in Parse(const std::string& text) {
  std::size_t colon = text.find(':');
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  return address;
}

int ConnectTo(const std::string& target) {
  sockaddr_in address = Parse(target);
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, O_NONBLOCK);
  return fd;
}

bool WouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

Relay::Relay(std::string target) : target_(std::move(target)) {
  sockaddr_in address = Parse("127.0.0.1:0");
  socklen_t size = sizeof(address);
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  bool listening =
      bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      listen(listener_, SOMAXCONN) == 0 &&
      getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!listening) throw std::runtime_error("a relay can't listen");
  address_ = absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
  thread_ = std::thread([this] { Run(); });
}

Relay::~Relay() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  thread_.join();
  for (Connection& connection : connections_) Close(connection);
  close(listener_);
}

void Relay::Set(LinkState state) {
  absl::MutexLock lock(&mutex_);
  state_ = state;
}

void Relay::SetDelay(absl::Duration delay) {
  absl::MutexLock lock(&mutex_);
  delay_ = delay;
}

void Relay::Run() {
  while (true) {
    std::vector<pollfd> sockets = {{listener_, POLLIN, 0}};
    {
      absl::MutexLock lock(&mutex_);
      if (stopping_) return;
      Accept();
      for (Connection& connection : connections_) Move(connection);
      connections_.remove_if([](Connection& connection) {
        if (!connection.broken) return false;
        Close(connection);
        return true;
      });
      for (const Connection& connection : connections_) {
        for (const Pipe* pipe : {&connection.up, &connection.down}) {
          bool reads = state_ == LinkState::kOpen && !pipe->ended &&
                       pipe->blocks.size() < kMaxBlocks;
          if (reads) sockets.push_back({pipe->from, POLLIN, 0});
        }
      }
    }
    poll(sockets.data(), sockets.size(), kPollMilliseconds);
  }
}

void Relay::Accept() {
  while (true) {
    int caller =
        accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (caller < 0) return;
    int target = state_ == LinkState::kCut ? -1 : ConnectTo(target_);
    if (target < 0) {
      close(caller);
      continue;
    }
    connections_.push_back({.up = {.from = caller, .to = target},
                            .down = {.from = target, .to = caller}});
  }
}

void Relay::Move(Connection& connection) {
  if (state_ == LinkState::kStalled) return;
  bool alive = state_ == LinkState::kOpen;
  for (Pipe* pipe : {&connection.up, &connection.down}) {
    alive = alive && Receive(*pipe) && Send(*pipe);
  }
  bool over = connection.up.closed && connection.down.closed;
  connection.broken = !alive || over;
}

bool Relay::Receive(Pipe& pipe) {
  std::string block(kBlockBytes, '\0');
  while (!pipe.ended && pipe.blocks.size() < kMaxBlocks) {
    ssize_t count = recv(pipe.from, block.data(), block.size(), 0);
    if (count < 0) return WouldBlock();
    pipe.ended = count == 0;
    if (count > 0) {
      pipe.blocks.push_back({absl::Now() + delay_,
                             block.substr(0, static_cast<std::size_t>(count))});
    }
  }
  return true;
}

bool Relay::Send(Pipe& pipe) {
  while (!pipe.blocks.empty() && pipe.blocks.front().due <= absl::Now()) {
    std::string& bytes = pipe.blocks.front().bytes;
    ssize_t count = send(pipe.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0) return WouldBlock();
    bytes.erase(0, static_cast<std::size_t>(count));
    if (bytes.empty()) pipe.blocks.pop_front();
  }
  if (pipe.ended && pipe.blocks.empty() && !pipe.closed) {
    shutdown(pipe.to, SHUT_WR);
    pipe.closed = true;
  }
  return true;
}

void Relay::Close(Connection& connection) {
  close(connection.up.from);
  close(connection.up.to);
}

}  // namespace gentianlb::process
