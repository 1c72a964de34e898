// A backend server as a process of its own that a test can kill: its answers
// have neither a length nor chunks and end with their connections.

#ifndef GENTIANLB_PROCESS_UNFRAMED_SERVER_TEST_H_
#define GENTIANLB_PROCESS_UNFRAMED_SERVER_TEST_H_

#include <arpa/inet.h>
#include <signal.h>
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

  explicit UnframedServer(std::string id) : id_(std::move(id)) {
    const int listener = Listen();
    pid_ = fork();
    if (pid_ < 0) throw std::runtime_error("can't fork");
    if (pid_ == 0) Serve(listener);
    close(listener);
  }
  ~UnframedServer() { Kill(); }
  UnframedServer(const UnframedServer&) = delete;
  UnframedServer& operator=(const UnframedServer&) = delete;

  const std::string& id() const { return id_; }
  // Its row in the table of servers.
  std::string Registration(const std::string& service) const {
    return absl::StrCat(
        R"({"service":")", service, R"(","address":"127.0.0.1:)", port_,
        R"(","zone":"z","slots":8,"state":"ready","seq":1,)", R"("born":1})");
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
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
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
    Write(connection, absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ",
                                   Header(request, "Request-Id: "),
                                   "\r\nServer-Stamp: ", id_,
                                   "\r\nConnection: close\r\n\r\n"));
    const std::string after = Header(request, "Last-Event-Id: ");
    for (int i = after.empty() ? 1 : std::stoi(after) + 1; i <= kEvents; ++i) {
      absl::SleepFor(kEventGap);
      Write(connection, Event(i));
    }
    close(connection);
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
  int port_ = 0;
  pid_t pid_ = 0;
};

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_UNFRAMED_SERVER_TEST_H_
