#include "process/slow_reader.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <stdexcept>
#include <string_view>

#include "absl/strings/numbers.h"
#include "absl/time/time.h"
#include "loop/tcp_socket.h"
#include "process/process.h"

namespace gentianlb::process {
namespace {

// Bytes that the kernel keeps for the reader.
constexpr int kReceiveBuffer = 4096;
constexpr std::size_t kReadBytes = 64 << 10;

int Connect(const std::string& address) {
  const std::size_t colon = address.find(':');
  int port = 0;
  sockaddr_in target = {};
  if (!absl::SimpleAtoi(address.substr(colon + 1), &port) ||
      !loop::MakeAddress(address.substr(0, colon),
                         static_cast<std::uint16_t>(port), &target)) {
    throw std::runtime_error("not an address: " + address);
  }
  const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(connected, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
             sizeof kReceiveBuffer);
  if (connect(connected, reinterpret_cast<const sockaddr*>(&target),
              sizeof target) != 0) {
    close(connected);
    throw std::runtime_error("can't connect to " + address);
  }
  return connected;
}

// Returns nullopt if the last chunk is missing.
std::optional<std::string> JoinChunks(std::string_view rest) {
  constexpr std::string_view kLineEnd = "\r\n";
  std::string body;
  while (true) {
    const std::size_t line_end = rest.find(kLineEnd);
    if (line_end == std::string_view::npos) return std::nullopt;
    std::size_t size = 0;
    std::from_chars(rest.data(), rest.data() + line_end, size, 16);
    rest.remove_prefix(line_end + kLineEnd.size());
    if (rest.size() < size + kLineEnd.size()) return std::nullopt;
    if (size == 0) return body;
    body.append(rest.substr(0, size));
    rest.remove_prefix(size + kLineEnd.size());
  }
}

}  // namespace

SlowReader::SlowReader(const std::string& address, const std::string& request)
    : socket_(Connect(address)) {
  if (send(socket_, request.data(), request.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(request.size())) {
    throw std::runtime_error("can't send to " + address);
  }
}

SlowReader::~SlowReader() {
  if (socket_ >= 0) close(socket_);
}

bool SlowReader::ReadSome() {
  pollfd waiting = {.fd = socket_, .events = POLLIN, .revents = 0};
  if (poll(&waiting, 1, static_cast<int>(absl::ToInt64Milliseconds(kBound))) <=
      0) {
    throw std::runtime_error("an answer stopped");
  }
  std::array<char, kReadBytes> bytes;
  const ssize_t count = recv(socket_, bytes.data(), bytes.size(), 0);
  if (count <= 0) return false;
  received_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

void SlowReader::WaitForStart() { ReadSome(); }

void SlowReader::ReadToEnd() {
  while (ReadSome()) {
  }
  close(socket_);
  socket_ = -1;
}

std::optional<std::string> SlowReader::Body() const {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  const std::string_view received = received_;
  const std::size_t head_end = received.find(kHeadEnd);
  if (head_end == std::string_view::npos) return std::nullopt;
  const std::string_view head = received.substr(0, head_end);
  const std::string_view rest = received.substr(head_end + kHeadEnd.size());
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t length_at = head.find(kLength);
  if (length_at == std::string_view::npos) return JoinChunks(rest);
  std::size_t length = 0;
  std::from_chars(head.data() + length_at + kLength.size(),
                  head.data() + head.size(), length);
  if (rest.size() != length) return std::nullopt;
  return std::string(rest);
}

}  // namespace gentianlb::process
