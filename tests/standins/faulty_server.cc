#include "standins/faulty_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <functional>
#include <random>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "http/bad_heads_test.h"
#include "loop/cut_link_test.h"
#include "standins/answer_bytes.h"

namespace gentianlb::standins {
namespace {

using Framing = FaultyPlan::Framing;

constexpr int kBacklog = 128;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

// A reset drops what the kernel has yet to send.
constexpr absl::Duration kTimeToSend = absl::Milliseconds(30);

// Of an early answer: what comes of its body, and the pauses before the end of
// the server's side and before the reset.
constexpr std::size_t kEarlyBytes = 260;
constexpr absl::Duration kTimeToEndSide = absl::Milliseconds(50);
constexpr absl::Duration kTimeToReset = absl::Milliseconds(250);

// Bounds an answer without end, if nobody closes.
constexpr absl::Duration kMaxEndless = absl::Seconds(4);
// Many of them come with one read.
constexpr std::size_t kEndlessChunk = 120;
constexpr int kChunksPerWrite = 100;

bool Send(int connection, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count =
        send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

void Reset(int connection) {
  absl::SleepFor(kTimeToSend);
  const linger no_wait = {1, 0};
  setsockopt(connection, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
}

std::string Chunk(const std::string& bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", bytes, "\r\n");
}

std::string StatusLine(int status) {
  const char* const reason = status == 429   ? "Too Many Requests"
                             : status == 408 ? "Request Timeout"
                                             : "Service Unavailable";
  return absl::StrCat("HTTP/1.1 ", status, " ", reason, "\r\n");
}

// Returns the end of the head, and closes the list of headers.
std::string HeadEnd(Framing framing, std::size_t body_bytes) {
  switch (framing) {
    case Framing::kLength:
      return absl::StrCat("Content-Length: ", body_bytes, "\r\n\r\n");
    case Framing::kChunks:
      return "Transfer-Encoding: chunked\r\n\r\n";
    case Framing::kClose:
      break;
  }
  return "Connection: close\r\n\r\n";
}

}  // namespace

struct FaultyServer::Request {
  std::string first_line;
  std::map<std::string, std::string> headers;  // By their names in lowercase.

  std::string Header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  std::string Id() const { return Header("request-id"); }
  bool IsStream() const { return !Header("model").empty(); }
  bool AsksForReport() const {
    return first_line.starts_with("GET /v1/report ");
  }
  bool IsAboutServer() const {
    return AsksForReport() || first_line.starts_with("GET /healthz ");
  }
};

struct FaultyServer::Answer {
  std::string head;
  std::vector<std::string> pieces;  // As they are written.
  absl::Duration gap;               // After each piece.
  bool closes = false;              // Its end is that of the connection.
};

FaultyServer::FaultyServer(FaultyServerOptions options, int report)
    : options_(std::move(options)),
      report_(report),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  // Connections of a predecessor may linger at the address.
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(options_.port));
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(listener_, generic, size) != 0 || listen(listener_, kBacklog) != 0 ||
      getsockname(listener_, generic, &size) != 0) {
    throw std::runtime_error("can't listen");
  }
  Report(absl::StrCat("port=", ntohs(address.sin_port)));
}

void FaultyServer::WatchLink() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  sigaddset(&signals, SIGUSR2);
  while (true) {
    int signal = 0;
    if (sigwait(&signals, &signal) != 0) continue;
    const bool cut = signal == SIGUSR1;
    absl::MutexLock lock(&mutex_);
    // New connections have the options of the listener.
    std::set<int> sockets = connections_;
    sockets.insert(listener_);
    for (const int socket : sockets) {
      const bool done =
          cut ? loop::DropReceived(socket) : loop::ReceiveAgain(socket);
      if (!done) std::abort();  // A play would judge by what isn't so.
    }
  }
}

void FaultyServer::Run() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  sigaddset(&signals, SIGUSR2);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::thread([this] { WatchLink(); }).detach();
  while (true) {
    const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) continue;
    {
      absl::MutexLock lock(&mutex_);
      connections_.insert(connection);
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([this, connection] { Serve(connection); }).detach();
  }
}

void FaultyServer::Serve(int connection) {
  std::string received;
  std::string copy;  // Of an answer, still to be written.
  std::array<char, 16 << 10> block;
  bool open = true;
  bool carries_request = false;
  while (open) {
    const std::size_t head_end = received.find(kHeadEnd);
    std::size_t size = std::string::npos;
    Request request;
    if (head_end != std::string::npos) {
      const std::vector<std::string> lines =
          absl::StrSplit(received.substr(0, head_end), "\r\n");
      request.first_line = lines.front();
      for (const std::string& line : lines) {
        const std::vector<std::string> field =
            absl::StrSplit(line, absl::MaxSplits(':', 1));
        if (field.size() < 2) continue;
        request.headers[absl::AsciiStrToLower(field[0])] =
            std::string(absl::StripAsciiWhitespace(field[1]));
      }
      std::size_t length = 0;
      if (!absl::SimpleAtoi(request.Header("content-length"), &length)) {
        length = 0;
      }
      size = head_end + kHeadEnd.size() + length;
    }
    if (head_end != std::string::npos && size > received.size() &&
        AnswerEarly(connection, request)) {
      break;
    }
    if (size <= received.size()) {
      received.erase(0, size);
      if (!request.IsAboutServer() && !std::exchange(carries_request, true)) {
        Report(absl::StrCat("connection ", request.Id()));
      }
      open = Handle(connection, request, &copy);
      continue;
    }
    const ssize_t count = recv(connection, block.data(), block.size(), 0);
    open = count > 0;
    if (open) received.append(block.data(), static_cast<std::size_t>(count));
  }
  absl::MutexLock lock(&mutex_);
  connections_.erase(connection);
  close(connection);
}

FaultyPlan FaultyServer::MakePlan(const Request& request) {
  int arrival = 0;
  {
    absl::MutexLock lock(&mutex_);
    arrival = arrivals_[request.Id()]++;
  }
  std::mt19937_64 random(std::hash<std::string>()(absl::StrCat(
      options_.seed, " ", options_.id, " ", request.Id(), " ", arrival)));
  const auto draw = [&random] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  FaultyPlan plan;
  plan.refused = draw() < options_.refused || arrival < options_.refused_first;
  plan.named = draw() >= options_.unnamed;
  plan.doubled =
      draw() < (plan.refused ? options_.doubled_refusals : options_.doubled);
  plan.copy_before_work = draw() < 0.5;
  plan.copied_at_once = draw() < options_.copied_at_once;
  plan.cut = draw() < options_.cut;
  plan.cut_in_head = draw() < options_.cut_in_head;
  plan.reset = draw() < options_.reset;
  plan.endless = draw() < options_.endless;
  plan.cut_at = draw();
  const double framing = draw();
  if (request.IsStream()) {
    plan.framing = framing < options_.unframed_streams ? Framing::kClose
                                                       : Framing::kChunks;
  } else if (framing < options_.unframed) {
    plan.framing = Framing::kClose;
  } else if (framing < options_.unframed + options_.chunked) {
    plan.framing = Framing::kChunks;
  }
  const double status = draw();
  if (status < options_.timeouts) {
    plan.refusal_status = 408;
  } else if (status < options_.timeouts + options_.too_many) {
    plan.refusal_status = 429;
  }
  plan.bad_head = draw() < options_.bad_head;
  plan.bad_head_kind = draw();
  return plan;
}

FaultyServer::Answer FaultyServer::MakeRefusal(const Request& request,
                                               const FaultyPlan& plan) const {
  Answer answer;
  answer.head =
      absl::StrCat(StatusLine(plan.refusal_status), "Not-Executed: 1\r\n");
  if (plan.named) {
    absl::StrAppend(&answer.head, "Request-Id: ", request.Id(), "\r\n");
  }
  answer.head += HeadEnd(Framing::kLength, 0);
  return answer;
}

// Returns header lines of as many bytes as the request asks for by
// `Answer-Head: BYTES,LINES`.
std::string FaultyServer::FurtherHeaders(const Request& request) {
  const std::vector<std::string> asked =
      absl::StrSplit(request.Header("answer-head"), ',');
  std::size_t bytes = 0;
  std::size_t lines = 0;
  if (asked.size() != 2 || !absl::SimpleAtoi(asked[0], &bytes) ||
      !absl::SimpleAtoi(asked[1], &lines)) {
    return "";
  }
  std::string headers;
  for (std::size_t i = 0; i < lines; ++i) {
    std::string line = absl::StrCat("X-Further-", i, ": ");
    const std::size_t end = bytes * (i + 1) / lines;
    if (headers.size() + line.size() + 2 < end) {
      line.append(end - headers.size() - line.size() - 2, 'a');
    }
    absl::StrAppend(&headers, line, "\r\n");
  }
  return headers;
}

FaultyServer::Answer FaultyServer::MakePlain(const Request& request,
                                             const FaultyPlan& plan) const {
  const std::string body =
      AnswerBody(options_.id, request.Id(), options_.body_bytes);
  Answer answer;
  answer.head = absl::StrCat(
      "HTTP/1.1 200 OK\r\nRequest-Id: ", request.Id(),
      "\r\nServer-Stamp: ", options_.id, "\r\nServer-Load: 1,0,8\r\n",
      FurtherHeaders(request), HeadEnd(plan.framing, body.size()));
  answer.closes = plan.framing == Framing::kClose;
  answer.gap = options_.piece_gap;
  const auto count = static_cast<std::size_t>(std::max(options_.pieces, 1));
  const std::size_t step = (body.size() + count - 1) / count;
  for (std::size_t at = 0; at < body.size(); at += step) {
    const std::string piece = body.substr(at, step);
    answer.pieces.push_back(plan.framing == Framing::kChunks ? Chunk(piece)
                                                             : piece);
  }
  if (plan.framing == Framing::kChunks) answer.pieces.back() += Chunk("");
  return answer;
}

FaultyServer::Answer FaultyServer::MakeStream(const Request& request,
                                              const FaultyPlan& plan) const {
  Answer answer;
  answer.head = absl::StrCat(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: ",
      request.Id(), "\r\nServer-Stamp: ", options_.id,
      "\r\nServer-Load: 1,0,8\r\n", FurtherHeaders(request),
      HeadEnd(plan.framing, 0));
  answer.closes = plan.framing == Framing::kClose;
  answer.gap = options_.event_gap;
  int last = 0;
  if (!absl::SimpleAtoi(request.Header("last-event-id"), &last)) last = 0;
  for (int i = last + 1; i <= options_.events; ++i) {
    const std::string event = AnswerEvent(i, options_.events, options_.id,
                                          options_.version, request.Id());
    answer.pieces.push_back(answer.closes ? event : Chunk(event));
  }
  if (answer.pieces.empty()) answer.pieces.emplace_back();
  if (!answer.closes) answer.pieces.back() += Chunk("");
  return answer;
}

bool FaultyServer::AnswerAboutItself(int connection,
                                     const Request& request) const {
  if (!request.IsAboutServer()) return false;
  const std::string body =
      request.AsksForReport() && options_.started != 0
          ? absl::StrCat("{\"born\":", options_.started, "}")
          : "";
  Send(connection,
       absl::StrCat("HTTP/1.1 200 OK\r\nInstance-Id: ", options_.id, "\r\n",
                    HeadEnd(Framing::kLength, body.size()), body));
  return true;
}

bool FaultyServer::RefuseMisdirected(int connection, const Request& request,
                                     std::string* copy) {
  const std::string late = std::exchange(*copy, "");
  if (!late.empty()) Report(absl::StrCat("copy ", request.Id()));
  Report(absl::StrCat("misdirected ", request.Id()));
  const std::string answer = absl::StrCat(
      "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nRequest-Id: ",
      request.Id(), "\r\n", HeadEnd(Framing::kLength, 0));
  std::mt19937_64 random(std::hash<std::string>()(absl::StrCat(
      "misdirected ", options_.seed, " ", options_.id, " ", request.Id())));
  const double draw = std::uniform_real_distribution<double>(0, 1)(random);
  if (draw < options_.doubled_refusals) *copy = answer;
  return Send(connection, late + answer);
}

bool FaultyServer::Handle(int connection, const Request& request,
                          std::string* copy) {
  if (request.Header("expect-instance") != options_.id) {
    return RefuseMisdirected(connection, request, copy);
  }
  if (AnswerAboutItself(connection, request)) return true;
  const FaultyPlan plan = MakePlan(request);
  Report(absl::StrCat(plan.refused ? "refused " : "run ", request.Id(), " ",
                      absl::ToUnixMillis(absl::Now())));
  const std::string late = std::exchange(*copy, "");
  if (!late.empty()) Report(absl::StrCat("copy ", request.Id()));
  if (plan.copy_before_work && !Send(connection, late)) return false;
  if (!plan.refused) absl::SleepFor(options_.work);
  if (!plan.copy_before_work && !Send(connection, late)) return false;
  if (!plan.refused && plan.endless && !request.IsStream()) {
    WriteWithoutEnd(connection, request);
    return false;
  }
  const Answer answer = plan.refused         ? MakeRefusal(request, plan)
                        : request.IsStream() ? MakeStream(request, plan)
                                             : MakePlain(request, plan);
  if (plan.bad_head) {
    WriteBadHead(connection, request, plan, answer);
    return false;
  }
  if (!WriteAnswer(connection, request, plan, answer)) return false;
  std::string bytes = answer.head;
  for (const std::string& piece : answer.pieces) bytes += piece;
  if (plan.copied_at_once && !Send(connection, bytes)) return false;
  if (plan.doubled) *copy = std::move(bytes);
  return true;
}

// Returns whether the connection stays open.
bool FaultyServer::WriteAnswer(int connection, const Request& request,
                               const FaultyPlan& plan, const Answer& answer) {
  if (plan.cut_in_head) {
    const auto at = static_cast<std::size_t>(
        plan.cut_at * static_cast<double>(answer.head.size() - 1));
    Report(absl::StrCat("cut-head ", request.Id(), " ", at));
    Send(connection, answer.head.substr(0, at));
    if (plan.reset) Reset(connection);
    return false;
  }
  if (!Send(connection, answer.head)) return false;
  const std::size_t count = answer.pieces.size();
  const auto cut_piece =
      plan.cut
          ? static_cast<std::size_t>(plan.cut_at * static_cast<double>(count))
          : count;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string& piece = answer.pieces[i];
    if (i == cut_piece) {
      Report(absl::StrCat("cut ", request.Id(), " ",
                          absl::ToUnixMillis(absl::Now())));
      Send(connection, piece.substr(0, piece.size() / 2));
      // A plain answer without framing that ends in good order is whole.
      const bool orderly_end = answer.closes && !request.IsStream();
      if (plan.reset || orderly_end) Reset(connection);
      return false;
    }
    if (!Send(connection, piece)) {
      Report(absl::StrCat("left ", request.Id(), " ",
                          absl::ToUnixMillis(absl::Now())));
      return false;
    }
    if (i + 1 < count) absl::SleepFor(answer.gap);
  }
  Report(absl::StrCat("wrote ", request.Id(), " ",
                      absl::ToUnixMillis(absl::Now())));
  return !answer.closes;
}

// Writes sound lines and the whole body behind the bad lines, and leaves time
// for the caller to take them for an answer.
void FaultyServer::WriteBadHead(int connection, const Request& request,
                                const FaultyPlan& plan, const Answer& answer) {
  static const std::vector<http::BadHead> kinds = http::AllBadHeads();
  const http::BadHead& bad = kinds.at(static_cast<std::size_t>(
      plan.bad_head_kind * static_cast<double>(kinds.size())));
  Report(absl::StrCat("bad-head ", request.Id(), " ", bad.name));
  std::string bytes = absl::StrCat(
      bad.first_lines, answer.head.substr(answer.head.find('\n') + 1));
  for (const std::string& piece : answer.pieces) bytes += piece;
  Send(connection, bytes);
  absl::SleepFor(kTimeToSend);
}

bool FaultyServer::AnswerEarly(int connection, const Request& request) {
  if (!options_.answers_early || request.IsAboutServer() ||
      request.Header("expect-instance") != options_.id) {
    return false;
  }
  Report(
      absl::StrCat("run ", request.Id(), " ", absl::ToUnixMillis(absl::Now())));
  Report(absl::StrCat("early ", request.Id()));
  FaultyPlan plan;
  plan.framing = Framing::kClose;
  const Answer answer =
      request.IsStream() ? MakeStream(request, plan) : MakePlain(request, plan);
  std::string body;
  for (const std::string& piece : answer.pieces) body += piece;
  Send(connection, answer.head + body.substr(0, kEarlyBytes));
  absl::SleepFor(kTimeToEndSide);
  shutdown(connection, SHUT_WR);
  absl::SleepFor(kTimeToReset);
  Reset(connection);
  return true;
}

void FaultyServer::WriteWithoutEnd(int connection, const Request& request) {
  Report(absl::StrCat("endless ", request.Id()));
  const absl::Time end = absl::Now() + kMaxEndless;
  const std::string chunk = Chunk(std::string(kEndlessChunk, 'x'));
  std::string block;
  for (int i = 0; i < kChunksPerWrite; ++i) block += chunk;
  if (!Send(connection,
            absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", request.Id(),
                         "\r\nServer-Stamp: ", options_.id, "\r\n",
                         HeadEnd(Framing::kChunks, 0)))) {
    return;
  }
  while (absl::Now() < end && Send(connection, block)) {
  }
}

void FaultyServer::Report(const std::string& line) {
  absl::MutexLock lock(&mutex_);
  const std::string text = line + "\n";
  if (write(report_, text.data(), text.size()) !=
      static_cast<ssize_t>(text.size())) {
    throw std::runtime_error("can't report");
  }
}

}  // namespace gentianlb::standins
