// A backend server as a process of its own that a test can kill: its answers
// have neither a length nor chunks and end with their connections.

#ifndef GENTIANLB_PROCESS_UNFRAMED_SERVER_TEST_H_
#define GENTIANLB_PROCESS_UNFRAMED_SERVER_TEST_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "absl/time/time.h"

namespace gentianlb::process {

class UnframedServer {
 public:
  static constexpr int kEvents = 20;  // Of each answer.
  static constexpr absl::Duration kEventGap = absl::Milliseconds(50);

  // `started`: as its row and its report state it.
  explicit UnframedServer(std::string id, int started = 1)
      : id_(std::move(id)), started_(started) {
    const int listener = Listen();
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("can't fork");
    if (pid_ == 0) Serve(listener);
    close(listener);
  }
  // A process that listens at the address of `predecessor` once Start() is
  // called.
  UnframedServer(std::string id, int started, const UnframedServer& predecessor)
      : id_(std::move(id)), started_(started), port_(predecessor.port_) {
    int to_child[2];
    int from_child[2];
    if (pipe2(to_child, O_CLOEXEC) != 0 || pipe2(from_child, O_CLOEXEC) != 0) {
      throw std::runtime_error("can't make a pipe");
    }
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("can't fork");
    if (pid_ == 0) ServeLater(to_child[0], from_child[1]);
    close(to_child[0]);
    close(from_child[1]);
    start_ = to_child[1];
    started_now_ = from_child[0];
  }
  ~UnframedServer() {
    Kill();
    if (start_ >= 0) close(start_);
    if (started_now_ >= 0) close(started_now_);
  }
  UnframedServer(const UnframedServer&) = delete;
  UnframedServer& operator=(const UnframedServer&) = delete;

  const std::string& id() const { return id_; }
  // Its row in the table of servers.
  std::string Registration(const std::string& service) const {
    return absl::StrCat(
        R"({"service":")", service, R"(","address":"127.0.0.1:)", port_,
        R"(","zone":"z","slots":8,"state":"ready","seq":1,"born":)", started_,
        "}");
  }

  // Its address must be free. Returns once it listens.
  void Start() const {
    char byte = 0;
    if (write(start_, &byte, 1) != 1 || read(started_now_, &byte, 1) != 1) {
      throw std::runtime_error("the server doesn't start");
    }
  }

  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, 0), nullptr, 0);
  }

  static std::string Event(int number) {
    return absl::StrCat("id: ", number, "\ndata: word", number, "\n\n");
  }
  static std::string WholeBody() {
    std::string body;
    for (int i = 1; i <= kEvents; ++i) body += Event(i);
    return body;
  }

 private:
  int Listen() {
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Connections of a predecessor may linger at the address.
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port_));
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    constexpr int kBacklog = 64;
    if (listener < 0 || bind(listener, generic, size) != 0 ||
        listen(listener, kBacklog) != 0 ||
        getsockname(listener, generic, &size) != 0) {
      throw std::runtime_error("can't listen");
    }
    port_ = ntohs(address.sin_port);
    return listener;
  }

  [[noreturn]] void ServeLater(int start, int started) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    char byte = 0;
    if (read(start, &byte, 1) != 1) _exit(0);
    const int listener = Listen();
    if (write(started, &byte, 1) != 1) _exit(1);
    Serve(listener);
  }

  [[noreturn]] void Serve(int listener) const {
    const auto kept = static_cast<unsigned>(listener);
    close_range(STDERR_FILENO + 1, kept - 1, 0);
    close_range(kept + 1, ~0U, 0);
    while (true) {
      const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) continue;
      std::thread([this, connection] { Answer(connection); }).detach();
    }
  }

  void Answer(int connection) const {
    std::string request;
    std::string bytes(4096, '\0');
    while (request.find("\r\n\r\n") == std::string::npos) {
      const ssize_t count = recv(connection, bytes.data(), bytes.size(), 0);
      if (count <= 0) return static_cast<void>(close(connection));
      request.append(bytes, 0, static_cast<std::size_t>(count));
    }
    if (!AnswerAboutItself(connection, request)) Stream(connection, request);
    close(connection);
  }

  // Returns false if the request is one that the server runs.
  bool AnswerAboutItself(int connection, const std::string& request) const {
    const std::string expected = Header(request, "Expect-Instance: ");
    const bool report = request.starts_with("GET /v1/report ");
    if (!expected.empty() && expected != id_) {
      Write(connection,
            "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n");
      return true;
    }
    if (!report && !request.starts_with("GET /healthz ")) return false;
    const std::string body =
        report ? absl::StrCat("{\"born\":", started_, "}") : "";
    Write(connection,
          absl::StrCat("HTTP/1.1 200 OK\r\nInstance-Id: ", id_,
                       "\r\nContent-Length: ", body.size(), "\r\n\r\n", body));
    return true;
  }

  void Stream(int connection, const std::string& request) const {
    Write(connection, absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ",
                                   Header(request, "Request-Id: "),
                                   "\r\nServer-Stamp: ", id_,
                                   "\r\nConnection: close\r\n\r\n"));
    const std::string after = Header(request, "Last-Event-Id: ");
    for (int i = after.empty() ? 1 : std::stoi(after) + 1; i <= kEvents; ++i) {
      absl::SleepFor(kEventGap);
      Write(connection, Event(i));
    }
  }

  static std::string Header(const std::string& request,
                            const std::string& name) {
    const std::size_t at = request.find("\r\n" + name);
    if (at == std::string::npos) return "";
    const std::size_t begin = at + 2 + name.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
  }

  static void Write(int connection, const std::string& text) {
    send(connection, text.data(), text.size(), MSG_NOSIGNAL);
  }

  const std::string id_;
  const int started_;
  int port_ = 0;
  pid_t pid_ = 0;
  int start_ = -1;        // Written to by Start().
  int started_now_ = -1;  // Read by it.
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_UNFRAMED_SERVER_TEST_H_
