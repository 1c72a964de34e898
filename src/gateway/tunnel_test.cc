// Tests requests through a tunnel: client, tunnel server and backend server on
// loopback.

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "gateway/end_confirmation.h"
#include "gateway/path_monitor.h"
#include "gateway/server_prober.h"
#include "gateway/tunnel_site_test.h"
#include "loop/tcp_socket.h"

namespace gentianlb::gateway {
namespace {

using http::TransferEnd;

constexpr char kUnframed[] = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nhalf";

BOOST_FIXTURE_TEST_CASE(ARequestIsServedThroughATunnel, TunnelSite) {
  Send("question");
  Answer("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer");
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(status == 200);
  BOOST_TEST(body == "answer");
  BOOST_TEST(*connected);
  BOOST_TEST(server.request.starts_with("POST / "));
  BOOST_TEST(server.request.find("Secret: for") != std::string::npos);
  RunUntil([this] { return tunnels->open_tunnels() == 0; });
}

// Both directions are larger than the tunnel's buffers.
BOOST_FIXTURE_TEST_CASE(LargeBodiesPassThroughATunnel, TunnelSite) {
  const std::string large(1 << 20, 'x');
  Send(large);
  RunUntil([&] {
    server.HasRequest();
    return server.request.size() > large.size();
  });
  server.Write("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
               std::string(200000, 'y'));
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(body == std::string(200000, 'y'));
}

BOOST_FIXTURE_TEST_CASE(AnUnframedBodyEndsThroughATunnelToo, TunnelSite) {
  Send();
  Answer(kUnframed);
  server.Close();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(body == "half");
}

// If the tunnel closed its connection in the ordinary way, half of a response
// would look complete.
BOOST_FIXTURE_TEST_CASE(AServersResetIsPassedOn, TunnelSite) {
  Send();
  Answer(kUnframed);
  RunUntil([this] { return body == "half"; });
  server.Reset();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kBroken));
}

// The peer is killed after the request was sent: it may have run.
BOOST_FIXTURE_TEST_CASE(ATunnelThatDiesBreaksItsRequest, TunnelSite) {
  Send();
  RunUntil([this] { return server.HasRequest(); });
  tunnels.reset();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kBroken));
}

// Guards against half of an unframed body that looks complete because the peer
// ended its tunnels.
BOOST_FIXTURE_TEST_CASE(ATunnelThatDiesBreaksAnUnframedBody, TunnelSite) {
  Send();
  Answer(kUnframed);
  RunUntil([this] { return body == "half"; });
  tunnels.reset();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kBroken));
}

// A tunnel server as a process of its own, until it is killed.
class TunnelProcess {
 public:
  TunnelProcess() {
    std::array<int, 2> pipe_ends = {};
    BOOST_REQUIRE(pipe2(pipe_ends.data(), O_CLOEXEC) == 0);
    pid_ = fork();
    BOOST_REQUIRE(pid_ >= 0);
    if (pid_ == 0) Run(pipe_ends[1]);
    BOOST_REQUIRE(read(pipe_ends[0], &port_, sizeof port_) == sizeof port_);
    for (const int pipe_end : pipe_ends) close(pipe_end);
  }
  ~TunnelProcess() { Kill(); }
  TunnelProcess(const TunnelProcess&) = delete;
  TunnelProcess& operator=(const TunnelProcess&) = delete;

  int port() const { return port_; }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, 0), nullptr, 0);
  }

 private:
  [[noreturn]] static void Run(int pipe_end) {
    const auto kept = static_cast<unsigned>(pipe_end);
    close_range(STDERR_FILENO + 1, kept - 1, 0);
    close_range(kept + 1, ~0U, 0);
    loop::EventLoop loop;
    tunnel::TunnelServerHooks hooks;
    hooks.is_allowed = [](const settings::Endpoint&) { return true; };
    hooks.on_connect = [](const settings::Endpoint&, bool) {};
    auto started =
        tunnel::TunnelServer::Start(&loop, {"127.0.0.1", 0}, std::move(hooks));
    if (!started.ok()) _exit(1);
    const int port = started.value()->port();
    if (write(pipe_end, &port, sizeof port) != sizeof port) _exit(1);
    loop.Run();
    _exit(0);
  }

  pid_t pid_ = 0;
  int port_ = 0;
};

// Guards against half of an unframed body that looks complete because the
// peer's process was killed: the kernel ends its connections.
BOOST_FIXTURE_TEST_CASE(AKilledPeerBreaksAnUnframedBody, TunnelSite) {
  TunnelProcess peer;
  tunnel_port = peer.port();
  Send();
  Answer(kUnframed);
  RunUntil([this] { return body == "half"; });
  peer.Kill();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kBroken));
}

// A peer that stops keeps what its server had ended in good order.
BOOST_FIXTURE_TEST_CASE(AWholeUnframedBodyOutlivesThePeer, TunnelSite) {
  Send();
  Answer(kUnframed);
  server.Close();
  RunUntil([this] { return tunnels->open_tunnels() == 0; });
  tunnels.reset();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(body == "half");
}

// A peer that asks whether the server lives before it ends its tunnel.
struct ConfirmingFixture : TunnelSite {
  ConfirmingFixture() {
    Listen([this](const settings::Endpoint& to) {
      BOOST_TEST(settings::Format(to) == server.address());
      BOOST_TEST(!server.HasConnection());
      return [this](std::uint64_t bytes, std::function<void(bool)> done) {
        BOOST_TEST(bytes == response_bytes);
        confirm = std::move(done);
      };
    });
  }
  // The server answers and closes its connection in good order.
  void AnswerAndClose(const std::string& response) {
    response_bytes = response.size();
    Send();
    Answer(response);
    server.Close();
    RunUntil([this] { return confirm != nullptr; });
  }

  std::uint64_t response_bytes = 0;
  std::function<void(bool)> confirm;
};

BOOST_FIXTURE_TEST_CASE(AConfirmedEndIsPassedOn, ConfirmingFixture) {
  AnswerAndClose(kUnframed);
  RunUntil([this] { return body == "half"; });
  BOOST_TEST(!end.has_value());
  confirm(true);
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kComplete));
}

// Guards against half of a body that looks complete because the server behind
// the peer was killed.
BOOST_FIXTURE_TEST_CASE(AnUnconfirmedEndBreaksTheBody, ConfirmingFixture) {
  AnswerAndClose(kUnframed);
  RunUntil([this] { return body == "half"; });
  confirm(false);
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kBroken));
}

// What states its end by itself waits for nothing, and its tunnel goes.
BOOST_FIXTURE_TEST_CASE(AFramedBodyNeedsNoConfirmation, ConfirmingFixture) {
  AnswerAndClose("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kComplete));
  RunUntil([this] { return tunnels->open_tunnels() == 0; });
  confirm(false);  // Too late: nothing is left that it could end.
}

BOOST_FIXTURE_TEST_CASE(APeerThatStopsWhileItConfirmsBreaksTheBody,
                        ConfirmingFixture) {
  AnswerAndClose(kUnframed);
  RunUntil([this] { return body == "half"; });
  tunnels.reset();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kBroken));
  confirm(true);
}

BOOST_FIXTURE_TEST_CASE(ACallerThatGoesEndsAWaitingTunnel, ConfirmingFixture) {
  response_bytes = std::string_view(kUnframed).size();
  const http::TransferId id = Send();
  Answer(kUnframed);
  server.Close();
  RunUntil([this] { return confirm != nullptr; });
  client.Cancel(id);
  RunUntil([this] { return tunnels->open_tunnels() == 0; });
}

// A peer that asks who listens at the server's address.
struct ProbingFixture : TunnelSite {
  ProbingFixture() {
    Listen([this](const settings::Endpoint& to) {
      ServerEntry entry;
      entry.address = to;
      return [this, entry](std::uint64_t bytes,
                           const std::function<void(bool)>& done) {
        confirmations.Start(
            {.request = "-",
             .server = entry,
             .bytes = bytes,
             .in_tunnel = true},
            [done](const EndReport& report) { done(report.complete); });
      };
    });
  }

  metrics::Metrics metrics;
  ServerProbe answer = ServerProbe::kSame;
  ServerProber prober{
      &loop,
      {.ask =
           [this](const ServerEntry&, const Service*,
                  std::function<void(ServerProbe)> done) {
             loop.Defer([this, done = std::move(done)] { done(answer); });
             return std::uint64_t{1};
           },
       .cancel = [](std::uint64_t) {}}};
  EndConfirmations confirmations{
      &loop.timers(),
      [this] { return loop.now(); },
      &metrics,
      {.probe =
           [this](const ServerEntry& to,
                  std::function<void(ServerProbe)> done) {
             return prober.Probe(to, nullptr, std::move(done));
           },
       .cancel_probe = [this](std::uint64_t id) { prober.Cancel(id); },
       .open_transfers = [](const ServerEntry&, absl::Time) { return 0; }}};
};

BOOST_FIXTURE_TEST_CASE(ALivingServersEndIsPassedOnByThePeer, ProbingFixture) {
  Send();
  Answer(kUnframed);
  server.Close();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kComplete));
  BOOST_TEST(body == "half");
}

// Guards against half of a body that looks complete because the server behind
// the peer was killed: the kernel ends its connections and its listening
// socket.
BOOST_FIXTURE_TEST_CASE(ADeadServersEndIsBrokenByThePeer, ProbingFixture) {
  answer = ServerProbe::kUnanswered;
  Send();
  Answer(kUnframed);
  RunUntil([this] { return body == "half"; });
  server.Close();
  server.StopListening();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kBroken));
}

// Guards against the same where another server listens at its address.
BOOST_FIXTURE_TEST_CASE(ASuccessorDoesNotSpeakForADeadServerToThePeer,
                        ProbingFixture) {
  answer = ServerProbe::kOther;
  Send();
  Answer(kUnframed);
  RunUntil([this] { return body == "half"; });
  server.Close();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kBroken));
}

// A peer's connection that reads when the test says so.
class SlowPeer {
 public:
  SlowPeer(int port, const std::string& server)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address = {};
    BOOST_REQUIRE(loop::MakeAddress(
        "127.0.0.1", static_cast<std::uint16_t>(port), &address));
    // Far less than what the server sends.
    const int buffer_bytes = 4096;
    setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
               sizeof buffer_bytes);
    BOOST_REQUIRE(connect(socket_, reinterpret_cast<sockaddr*>(&address),
                          sizeof address) == 0);
    Send("CONNECT " + server + " HTTP/1.1\r\n\r\n");
  }
  ~SlowPeer() { close(socket_); }
  SlowPeer(const SlowPeer&) = delete;
  SlowPeer& operator=(const SlowPeer&) = delete;

  void Send(const std::string& bytes) const {
    BOOST_REQUIRE(send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
  }
  // Reads what has come. Returns false once the connection was reset.
  bool Read() {
    if (was_reset_) return false;
    std::string bytes(4096, '\0');
    const ssize_t count =
        recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    BOOST_TEST(count != 0);
    if (count > 0) received.append(bytes, 0, static_cast<std::size_t>(count));
    was_reset_ = count < 0 && errno == ECONNRESET;
    return !was_reset_;
  }

  std::string received;

 private:
  const int socket_;
  bool was_reset_ = false;
};

// Guards against a framed answer that loses its end, since its server left
// right after it and can't be confirmed any more.
BOOST_FIXTURE_TEST_CASE(AnUnconfirmedEndLosesNoBytes, ConfirmingFixture) {
  SlowPeer peer(tunnel_port, server.address());
  RunUntil([&] { return peer.Read() && peer.received.ends_with("\r\n\r\n"); });
  peer.received.clear();
  peer.Send("GET / HTTP/1.1\r\n\r\n");
  const std::string response(60'000, 'x');
  response_bytes = response.size();
  Answer(response);
  server.Close();
  RunUntil([this] { return confirm != nullptr; });
  confirm(false);
  RunFor(absl::Milliseconds(50));
  RunUntil([&] { return !peer.Read(); });
  BOOST_TEST(peer.received.size() == response.size());
}

// Nothing has been sent in these cases, so that even a payment may be tried on
// another path.
BOOST_FIXTURE_TEST_CASE(ARefusedTunnelEndsAsNotSent, TunnelSite) {
  allowed = false;
  Send();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kNotSent));
  BOOST_TEST(!connected.has_value());
}

BOOST_FIXTURE_TEST_CASE(AServerThatThePeerCantReachEndsAsNotSent, TunnelSite) {
  server.StopListening();
  Send();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kNotSent));
  BOOST_TEST(!*connected);
}

BOOST_FIXTURE_TEST_CASE(APeerThatIsGoneEndsAsNotSent, TunnelSite) {
  tunnels->StopAccepting();
  Send();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kNotSent));
}

// A caller that disconnects stops the server's work over both connections.
BOOST_FIXTURE_TEST_CASE(ACancelledRequestClosesTheServersConnection,
                        TunnelSite) {
  const http::TransferId id = Send();
  RunUntil([this] { return server.HasRequest(); });
  client.Cancel(id);
  RunUntil([this] { return server.IsClosedByCaller(); });
  RunUntil([this] { return tunnels->open_tunnels() == 0; });
}

// A host that is about to stop accepts no more, and finishes what it has.
BOOST_FIXTURE_TEST_CASE(ADrainingPeerFinishesItsTunnels, TunnelSite) {
  Send();
  RunUntil([this] { return server.HasRequest(); });
  tunnels->StopAccepting();
  server.Write("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer");
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kComplete));
}

// A host's tunnels to the server of the fixture above.
struct MonitoredFixture : TunnelSite {
  MonitoredFixture() {
    entry.id = ServerId("s");
    const std::string address = server.address();
    entry.address = {"127.0.0.1",
                     std::stoi(address.substr(address.rfind(':') + 1))};
    directory.Update("s", entry, loop.now());
    auto started = PathMonitor::Start({"127.0.0.1", 0}, &loop, &directory,
                                      &cooldowns, &paths);
    BOOST_REQUIRE(started.ok());
    monitor = std::move(started.value());
    tunnel_port = monitor->tunnels().port();
  }

  ServerEntry entry;
  Directory directory;
  ServerCooldowns cooldowns;
  ServerPaths paths{EntryHostId("h"), ZoneId("z")};
  std::unique_ptr<PathMonitor> monitor;
};

// Guards against requests that reach a server through a host of which the
// server has asked a cooldown.
BOOST_FIXTURE_TEST_CASE(APeerTunnelsNothingToAServerInItsCooldown,
                        MonitoredFixture) {
  cooldowns.OnAsked(entry, absl::Seconds(3), loop.now());
  Send();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kNotSent));
}

// Guards against requests that reach a leaving server through another host.
BOOST_FIXTURE_TEST_CASE(APeerTunnelsNothingToALeavingServer, MonitoredFixture) {
  directory.MarkLeaving({entry.id, 0, absl::ZeroDuration()}, loop.now());
  Send();
  WaitForEnd();
  BOOST_TEST((*end == TransferEnd::kNotSent));
}

BOOST_FIXTURE_TEST_CASE(APeerTunnelsToAnyOtherServer, MonitoredFixture) {
  Send();
  Answer("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer");
  WaitForEnd();
  BOOST_TEST(body == "answer");
}

}  // namespace
}  // namespace gentianlb::gateway
