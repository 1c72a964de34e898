// Tests the server on an event loop with raw sockets from the same thread.

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "http/loop_server_site_test.h"

namespace gentianlb::http {
namespace {

BOOST_FIXTURE_TEST_CASE(RespondsOnKeptConnections, Fixture) {
  const Caller caller(server->port());
  for (int i = 0; i < 3; ++i) {
    caller.Send(kGet);
    BOOST_TEST(ReadResponse(caller).ends_with("fine"));
  }
  BOOST_TEST(server->open_connections() == 1u);
}

// A caller sends two requests at once. The second is already read
// when the first is answered, and no socket event reports it. It stayed unread
// until the next event, up to a second on an idle host.
BOOST_FIXTURE_TEST_CASE(PipelinedRequestIsServedWithoutAnEvent, Fixture) {
  const Caller caller(server->port());
  caller.Send(std::string(kGet) + kGet);
  std::string received = ReadResponse(caller);
  auto count_responses = [&] {
    std::size_t count = 0;
    for (auto at = received.find("fine"); at != std::string::npos;
         at = received.find("fine", at + 1)) {
      ++count;
    }
    return count;
  };
  for (int i = 0; i < 20 && count_responses() < 2; ++i) {
    RunOneRound();
    received += caller.Read();
  }
  BOOST_TEST(count_responses() == 2u);
}

// A host that shuts down keeps serving its open connections. New connections
// must be refused at once: if the kernel accepted them, their callers would
// wait until the process ends.
BOOST_FIXTURE_TEST_CASE(AfterStopAcceptingOnlyOpenConnectionsAreServed,
                        Fixture) {
  const Caller kept(server->port());
  kept.Send(kGet);
  BOOST_TEST(ReadResponse(kept).ends_with("fine"));
  server->StopAccepting();
  RunLoop();
  const Caller late(server->port());
  BOOST_TEST(!late.connected());
  kept.Send(kGet);
  BOOST_TEST(ReadResponse(kept).ends_with("fine"));
}

// The caller disconnects while its response is pending, so no failing write
// reveals it.
BOOST_FIXTURE_TEST_CASE(CallerDisconnectIsReportedWhileResponseIsPending,
                        Fixture) {
  hold_responses = true;
  bool disconnected = false;
  {
    const Caller caller(server->port());
    caller.Send(kGet);
    for (int i = 0; i < 100 && held.empty(); ++i) RunLoop();
    BOOST_REQUIRE(held.size() == 1u);
    held[0]->OnDisconnect([&] { disconnected = true; });
  }
  for (int i = 0; i < 100 && !disconnected; ++i) RunLoop();
  BOOST_TEST(disconnected);
}

// A caller without chunked bodies, or whose connection is closed after the
// response, takes a closed connection for the end of the response.
BOOST_FIXTURE_TEST_CASE(AnAbortedStreamNeverLooksComplete, Fixture) {
  hold_responses = true;
  for (const std::string request :
       {"GET /a HTTP/1.0\r\nHost: h\r\n\r\n",
        "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"}) {
    held.clear();
    const Caller caller(server->port());
    caller.Send(request);
    for (int i = 0; i < 100 && held.empty(); ++i) RunLoop();
    BOOST_REQUIRE(held.size() == 1u);
    held[0]->Begin(200, {});
    held[0]->Write("half");
    const std::string received = ReadResponse(caller);
    held[0]->Abort();
    for (int i = 0; i < 5; ++i) RunLoop();
    const bool chunked = received.find("chunked") != std::string::npos;
    if (chunked) {
      BOOST_TEST(caller.Read().find("0\r\n\r\n") == std::string::npos);
    } else {
      BOOST_TEST(caller.IsReset());
    }
  }
}

// A stream to a caller of HTTP/1.0, in its middle.
struct OpenStream : Fixture {
  OpenStream() {
    hold_responses = true;
    caller.Send("GET /a HTTP/1.0\r\nHost: h\r\n\r\n");
    for (int i = 0; i < 100 && held.empty(); ++i) RunLoop();
    BOOST_REQUIRE(held.size() == 1u);
    held[0]->Begin(200, {});
  }
  // Writes more than the connection holds.
  void FillConnection() {
    held[0]->Write(std::string(32 << 20, 'x'));
    RunLoop();
  }
  // Reads to the end of the connection. Returns whether it was reset.
  bool EndsWithReset() {
    Caller::End end = Caller::End::kOpen;
    for (int i = 0; i < 200 && end == Caller::End::kOpen; ++i) {
      end = caller.ReadAll();
      RunFor(absl::Milliseconds(5));
    }
    BOOST_TEST((end != Caller::End::kOpen));
    return end == Caller::End::kReset;
  }

  const Caller caller{server->port()};
};

// Guards against a part of a stream that looks complete since its caller has
// read nothing for the idle timeout.
BOOST_FIXTURE_TEST_CASE(AStreamThatTimesOutNeverLooksComplete, OpenStream) {
  FillConnection();
  server->SetIdleTimeout(absl::Seconds(1));
  RunFor(absl::Seconds(3));
  BOOST_TEST(EndsWithReset());
}

// Guards against the same since this process stood still for that long.
BOOST_FIXTURE_TEST_CASE(AStreamOfAStalledServerNeverLooksComplete, OpenStream) {
  FillConnection();
  server->SetIdleTimeout(absl::Seconds(1));
  RunLoop();
  absl::SleepFor(absl::Seconds(3));
  RunFor(absl::Seconds(2));
  held[0]->Abort();
  BOOST_TEST(EndsWithReset());
}

// Guards against the same since the server is stopped.
BOOST_FIXTURE_TEST_CASE(AStreamOfAStoppedServerNeverLooksComplete, OpenStream) {
  FillConnection();
  server.reset();
  BOOST_TEST(EndsWithReset());
}

// The same after the caller has read all that has come.
BOOST_FIXTURE_TEST_CASE(AReadStreamOfAStoppedServerNeverLooksComplete,
                        OpenStream) {
  held[0]->Write("half");
  BOOST_TEST(ReadResponse(caller).ends_with("half"));
  server.reset();
  BOOST_TEST(EndsWithReset());
}

// Guards against a stream that looks complete since this process stood still
// before its events went out.
BOOST_FIXTURE_TEST_CASE(AReadStreamOfAStalledServerNeverLooksComplete,
                        OpenStream) {
  server->SetIdleTimeout(absl::Seconds(1));
  held[0]->Write("half");
  BOOST_TEST(ReadResponse(caller).ends_with("half"));
  held[0]->Write("more");
  absl::SleepFor(absl::Seconds(3));
  RunLoop();
  held[0]->Abort();
  BOOST_TEST(EndsWithReset());
}

// A server as a process of its own that begins a stream for each request, and
// finishes it if the target is /whole.
class ServerProcess {
 public:
  ServerProcess() {
    std::array<int, 2> pipe_ends = {};
    BOOST_REQUIRE(pipe2(pipe_ends.data(), O_CLOEXEC) == 0);
    pid_ = fork();
    BOOST_REQUIRE(pid_ >= 0);
    if (pid_ == 0) Run(pipe_ends[1]);
    BOOST_REQUIRE(read(pipe_ends[0], &port_, sizeof port_) == sizeof port_);
    for (const int pipe_end : pipe_ends) close(pipe_end);
  }
  ~ServerProcess() { Kill(); }
  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;

  std::uint16_t port() const { return port_; }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(std::exchange(pid_, 0), nullptr, 0);
  }

 private:
  [[noreturn]] static void Run(int pipe_end) {
    loop::EventLoop loop;
    std::vector<std::shared_ptr<Responder>> held;
    auto started = LoopServer::Start(
        &loop, {}, [&](const Request& request, auto response) {
          response->Begin(200, {});
          response->Write("half");
          if (request.path == "/whole") response->Finish();
          held.push_back(std::move(response));
        });
    if (!started.ok()) _exit(1);
    const std::uint16_t port = started.value()->port();
    if (write(pipe_end, &port, sizeof port) != sizeof port) _exit(1);
    loop.Run();
    _exit(0);
  }

  pid_t pid_ = 0;
  std::uint16_t port_ = 0;
};

// Returns what has come until the connection ends or `enough` has come.
std::string ReadUntil(const Caller& caller, const std::string& enough) {
  std::string received;
  for (int i = 0; i < 500 && received.find(enough) == std::string::npos; ++i) {
    received += caller.Read();
    absl::SleepFor(absl::Milliseconds(10));
  }
  return received;
}

// Guards against half of a stream that looks complete to a caller without
// chunked bodies because this process was killed.
BOOST_AUTO_TEST_CASE(AKilledServersStreamNeverLooksComplete) {
  ServerProcess server;
  const Caller caller(server.port());
  caller.Send("GET /half HTTP/1.0\r\nHost: h\r\n\r\n");
  BOOST_TEST(ReadUntil(caller, "half").ends_with("half"));
  server.Kill();
  BOOST_TEST(caller.IsReset());
}

BOOST_AUTO_TEST_CASE(AFinishedStreamOutlivesItsServer) {
  ServerProcess server;
  const Caller caller(server.port());
  caller.Send("GET /whole HTTP/1.0\r\nHost: h\r\n\r\n");
  BOOST_TEST(ReadUntil(caller, "half").ends_with("half"));
  absl::SleepFor(absl::Milliseconds(50));
  server.Kill();
  BOOST_TEST(!caller.IsReset());
}

constexpr unsigned kFewConnections = 8;

struct FewConnections : Fixture {
  FewConnections() : Fixture({.max_connections = kFewConnections}) {
    for (unsigned i = 0; i < kFewConnections; ++i) {
      callers.push_back(std::make_unique<Caller>(server->port()));
    }
  }
  void SendAll(const std::string& text) {
    for (const auto& caller : callers) caller->Send(text);
    RunLoop();
  }

  std::vector<std::unique_ptr<Caller>> callers;
};

// Guards against callers that never end their messages and shut out all others.
BOOST_FIXTURE_TEST_CASE(AnUnfinishedMessageMakesRoomForOthers, FewConnections) {
  SendAll("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf");
  const Caller other(server->port());
  other.Send(kGet);
  BOOST_TEST(ReadResponse(other).ends_with("fine"));
  const auto refused =
      std::count_if(callers.begin(), callers.end(), [](const auto& caller) {
        return caller->Read().starts_with("HTTP/1.1 408 ");
      });
  BOOST_TEST(refused > 0);
  BOOST_TEST(server->evicted_connections() ==
             static_cast<std::uint64_t>(refused));
}

// The same by callers that send nothing, or a part of a head.
BOOST_FIXTURE_TEST_CASE(AConnectionWithoutAMessageMakesRoomForOthers,
                        FewConnections) {
  for (unsigned i = 0; i < kFewConnections / 2; ++i) {
    callers[i]->Send("GET /a HTTP/1.1\r\nHos");
  }
  const Caller other(server->port());
  other.Send(kGet);
  BOOST_TEST(ReadResponse(other).ends_with("fine"));
}

// Guards against a request that a server works on and that makes room for
// others.
BOOST_FIXTURE_TEST_CASE(APendingResponseMakesNoRoom, FewConnections) {
  hold_responses = true;
  SendAll(kGet);
  const Caller other(server->port());
  other.Send(kGet);
  RunFor(LoopServer::kMinWait + absl::Seconds(2));
  BOOST_TEST(server->evicted_connections() == 0u);
  BOOST_TEST(held.size() == kFewConnections);
  for (const auto& response : held) response->Respond(200, {}, "fine");
  RunLoop();
  for (const auto& caller : callers) {
    BOOST_TEST(caller->Read().ends_with("fine"));
  }
}

constexpr int kReceiveBufferBytes = 16 << 10;

struct SmallReceiveBuffers : Fixture {
  SmallReceiveBuffers()
      : Fixture({.receive_buffer_bytes = kReceiveBufferBytes}) {}
};

// Guards against a kernel that fills a host's memory with bytes that callers
// send while the server doesn't read them.
BOOST_FIXTURE_TEST_CASE(TheKernelTakesLittleOfWhatIsNotRead,
                        SmallReceiveBuffers) {
  hold_responses = true;
  const Caller caller(server->port());
  caller.Send(kGet);
  RunLoop();
  BOOST_REQUIRE(held.size() == 1u);
  const std::size_t sent = caller.SendWhatFits();
  RunLoop();
  BOOST_TEST(sent - caller.Unacknowledged() <= 2 * kReceiveBufferBytes);
}

}  // namespace
}  // namespace gentianlb::http
