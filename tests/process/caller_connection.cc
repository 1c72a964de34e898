#include "process/caller_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <stdexcept>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "loop/cut_link_test.h"
#include "loop/tcp_socket.h"

namespace gentianlb::process {
namespace {

constexpr std::size_t kReadBytes = 16 << 10;
constexpr std::size_t kSlowReadBytes = 512;
constexpr absl::Duration kSlowReadPause = absl::Milliseconds(25);
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

void ParseHead(const std::string& head, RawAnswer* answer) {
  const std::vector<std::string> lines = absl::StrSplit(head, "\r\n");
  const std::vector<std::string> first = absl::StrSplit(lines[0], ' ');
  if (first.size() < 2 || !absl::SimpleAtoi(first[1], &answer->status)) {
    answer->status = 0;
  }
  for (std::size_t i = 1; i < lines.size(); ++i) {
    const std::vector<std::string> field =
        absl::StrSplit(lines[i], absl::MaxSplits(':', 1));
    if (field.size() < 2) continue;
    answer->headers.push_back(
        {field[0], std::string(absl::StripAsciiWhitespace(field[1]))});
  }
}

}  // namespace

std::string RawAnswer::Header(const std::string& name) const {
  return std::string(http::FindHeader(headers, name));
}

CallerConnection::CallerConnection(const std::string& address)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const std::size_t colon = address.find(':');
  int port = 0;
  sockaddr_in target = {};
  const bool connected =
      absl::SimpleAtoi(address.substr(colon + 1), &port) &&
      loop::MakeAddress(address.substr(0, colon),
                        static_cast<std::uint16_t>(port), &target) &&
      connect(socket_, reinterpret_cast<const sockaddr*>(&target),
              sizeof target) == 0;
  const int on = 1;
  setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (!connected) Close();
}

CallerConnection::~CallerConnection() {
  Close();
  if (cut_socket_ >= 0) close(cut_socket_);
}

void CallerConnection::Close() {
  absl::MutexLock lock(&close_mutex_);
  if (socket_ < 0) return;
  if (cut_) {
    cut_socket_ = std::exchange(socket_, -1);
  } else {
    close(std::exchange(socket_, -1));
  }
}

void CallerConnection::CutLink() {
  absl::MutexLock lock(&close_mutex_);
  if (socket_ < 0) return;
  if (!loop::DropReceived(socket_)) {
    throw std::runtime_error("can't cut the link of a socket");
  }
  cut_ = true;
}

void CallerConnection::ReadSlowly() {
  slow_ = true;
  const int smallest = 1;  // The kernel takes its own minimum.
  setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof smallest);
}

bool CallerConnection::IsOpen() {
  if (socket_ < 0) return false;
  const Read waiting = ReadMore(absl::InfinitePast());
  if (waiting == Read::kEnd || waiting == Read::kReset) Close();
  return socket_ >= 0 || !received_.empty();
}

CallerConnection::Read CallerConnection::ReadMore(absl::Time end) {
  pollfd waiting = {.fd = socket_, .events = POLLIN, .revents = 0};
  const std::int64_t left =
      std::max<std::int64_t>(0, absl::ToInt64Milliseconds(end - absl::Now()));
  if (poll(&waiting, 1, static_cast<int>(left)) <= 0) return Read::kTimeout;
  std::array<char, kReadBytes> bytes;
  if (slow_) absl::SleepFor(kSlowReadPause);
  const ssize_t count =
      recv(socket_, bytes.data(), slow_ ? kSlowReadBytes : bytes.size(), 0);
  if (count < 0) return Read::kReset;
  if (count == 0) return Read::kEnd;
  received_.append(bytes.data(), static_cast<std::size_t>(count));
  return Read::kBytes;
}

RawAnswer CallerConnection::Ask(const std::string& request,
                                absl::Duration timeout) {
  RawAnswer answer;
  const absl::Time end = absl::Now() + timeout;
  const bool open = IsOpen();
  answer.unasked_bytes = !received_.empty();
  if (!open || answer.unasked_bytes) {
    Close();
    return answer;
  }
  if (send(socket_, request.data(), request.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(request.size())) {
    Close();
    return answer;
  }
  std::size_t head_end = std::string::npos;
  Read read = Read::kBytes;
  while (read == Read::kBytes && head_end == std::string::npos) {
    read = ReadMore(end);
    head_end = received_.find(kHeadEnd);
  }
  answer.timed_out = read == Read::kTimeout;
  if (head_end == std::string::npos) {
    Close();
    return answer;
  }
  ParseHead(received_.substr(0, head_end), &answer);
  received_.erase(0, head_end + kHeadEnd.size());
  answer.end = AnswerEnd::kFramed;
  ReadBody(answer, end);
  const bool closes =
      absl::AsciiStrToLower(answer.Header("Connection")) == "close";
  if (answer.end != AnswerEnd::kFramed || closes) Close();
  return answer;
}

// Returns false, and how the answer ended, if they don't come.
bool CallerConnection::NeedBytes(std::size_t count, RawAnswer& answer,
                                 absl::Time end) {
  while (received_.size() < count) {
    const Read read = ReadMore(end);
    if (read == Read::kBytes) continue;
    answer.timed_out = read == Read::kTimeout;
    answer.end = AnswerEnd::kBroken;
    return false;
  }
  return true;
}

void CallerConnection::ReadBody(RawAnswer& answer, absl::Time end) {
  const std::string length_text = answer.Header("Content-Length");
  if (!answer.Header("Transfer-Encoding").empty()) {
    return ReadChunks(answer, end);
  }
  std::size_t length = 0;
  if (absl::SimpleAtoi(length_text, &length)) {
    NeedBytes(length, answer, end);
    length = std::min(length, received_.size());
    answer.body = received_.substr(0, length);
    received_.erase(0, length);
    return;
  }
  if (answer.status == 204 || answer.status == 304) return;
  Read read = Read::kBytes;
  while (read == Read::kBytes) read = ReadMore(end);
  answer.body = std::exchange(received_, "");
  answer.timed_out = read == Read::kTimeout;
  answer.end = read == Read::kEnd ? AnswerEnd::kClosed : AnswerEnd::kBroken;
}

void CallerConnection::ReadChunks(RawAnswer& answer, absl::Time end) {
  while (true) {
    std::size_t line_end = received_.find(kLineEnd);
    while (line_end == std::string::npos) {
      if (!NeedBytes(received_.size() + 1, answer, end)) return;
      line_end = received_.find(kLineEnd);
    }
    std::size_t size = 0;
    std::from_chars(received_.data(), received_.data() + line_end, size, 16);
    const std::size_t start = line_end + kLineEnd.size();
    const std::size_t stop = start + size + kLineEnd.size();
    if (!NeedBytes(stop, answer, end)) {
      if (received_.size() > start) {
        answer.body += received_.substr(start, size);
      }
      return;
    }
    answer.body += received_.substr(start, size);
    received_.erase(0, stop);
    if (size == 0) return;
  }
}

}  // namespace gentianlb::process
