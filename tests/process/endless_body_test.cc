// A backend server that writes bodies without end, before real gateways.

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <list>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/blocking_counter.h"
#include "http/client.h"
#include "process/gateway_site_test.h"

namespace gentianlb::process {
namespace {

// Is sound at first. Then it answers each call with chunks until its caller
// closes.
class EndlessServer {
 public:
  EndlessServer() : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(bind(listener_, generic, size) == 0);
    BOOST_REQUIRE(listen(listener_, SOMAXCONN) == 0);
    BOOST_REQUIRE(getsockname(listener_, generic, &size) == 0);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Accept(); });
  }
  ~EndlessServer() {
    stopping_ = true;
    thread_.join();
    for (std::thread& connection : connections_) connection.join();
    close(listener_);
  }
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string Registration() const {
    return absl::StrCat(
        R"({"service":"plain","address":"127.0.0.1:)", port_,
        R"(","zone":"z","slots":8,"state":"ready","seq":1,"born":1})");
  }

  void WriteWithoutEnd() { endless_ = true; }

  int sound_answers() const { return sound_answers_; }
  int endless_answers() const { return endless_answers_; }

 private:
  bool IsReadable(int descriptor) const {
    constexpr int kPollMilliseconds = 20;
    pollfd waiting = {descriptor, POLLIN, 0};
    while (!stopping_) {
      if (poll(&waiting, 1, kPollMilliseconds) > 0) return true;
    }
    return false;
  }

  void Accept() {
    while (IsReadable(listener_)) {
      const int connection = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (connection < 0) continue;
      connections_.emplace_back([this, connection] {
        Serve(connection);
        close(connection);
      });
    }
  }

  void Serve(int connection) {
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      if (!IsReadable(connection)) return;
      char bytes[4096];
      const ssize_t count = recv(connection, bytes, sizeof bytes, 0);
      if (count <= 0) return;
      request.append(bytes, static_cast<std::size_t>(count));
    }
    constexpr std::string_view kId = "\r\nRequest-Id: ";
    const std::size_t begin = request.find(kId);
    if (begin == std::string::npos) return;
    const std::size_t end = request.find("\r\n", begin + kId.size());
    const std::string id =
        request.substr(begin + kId.size(), end - begin - kId.size());
    const std::string head =
        absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", id,
                     "\r\nServer-Stamp: endless\r\nConnection: close\r\n");
    if (!endless_) {
      const std::string answer = head + "Content-Length: 5\r\n\r\nsound";
      send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
      ++sound_answers_;
      return;
    }
    ++endless_answers_;
    std::string block = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (int i = 0; i < 500; ++i) block += "8\r\nforeign \r\n";
    while (!stopping_ &&
           send(connection, block.data(), block.size(), MSG_NOSIGNAL) > 0) {
      block.erase(0, block.find("8\r\nforeign"));
    }
  }

  int listener_;
  int port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> endless_ = false;
  std::atomic<int> sound_answers_ = 0;
  std::atomic<int> endless_answers_ = 0;
  std::thread thread_;
  std::list<std::thread> connections_;
};

// Sends calls at once, over all hosts, and returns what came back.
std::vector<http::Reply> SendAtOnce(GatewaySite& site, int calls) {
  std::vector<http::Reply> replies(static_cast<std::size_t>(calls));
  absl::BlockingCounter open(calls);
  for (int i = 0; i < calls; ++i) {
    site.client_.Fetch(site.MakeRequest(i, "/read/1", "body", "2000"),
                       [&open, &reply = replies[static_cast<std::size_t>(i)]](
                           http::Reply got) {
                         reply = std::move(got);
                         open.DecrementCount();
                       });
  }
  open.Wait();
  return replies;
}

// Guards against bytes of an answer that was broken off in the answer of the
// server that is asked next.
BOOST_AUTO_TEST_CASE(ACallerGetsOneServersBodyAlone) {
  constexpr int kCallsAtOnce = 24;
  constexpr int kRounds = 3;
  EndlessServer server;
  GatewaySite site(kCallConfiguration, {"plain"}, /*servers=*/1);
  site.table_.Put("servers", "endless", server.Registration());
  WaitUntil("the server is known", [&] {
    SendAtOnce(site, kCallsAtOnce);
    return server.sound_answers() >= kCallsAtOnce;
  });
  server.WriteWithoutEnd();
  int sent = 0;
  int served = 0;
  for (int i = 0; i < kRounds; ++i) {
    for (const http::Reply& reply : SendAtOnce(site, kCallsAtOnce)) {
      ++sent;
      if (reply.status != 200) continue;
      ++served;
      BOOST_TEST((reply.end == http::TransferEnd::kComplete));
      BOOST_TEST(reply.body == "done by plain-0: body",
                 reply.body.size() << " bytes: " << reply.body.substr(0, 40));
    }
  }
  BOOST_TEST_MESSAGE("sent=" << sent << " served=" << served
                             << " endless=" << server.endless_answers());
  BOOST_TEST(server.endless_answers() > 0);
  BOOST_TEST(served > sent / 2);
}

}  // namespace
}  // namespace gentianlb::process
