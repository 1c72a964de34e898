// The link between a host and the peer that tunnels for it is cut, while the
// peer reaches the server.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "http/loop_client.h"
#include "http/raw_server_test.h"
#include "loop/cut_link_test.h"
#include "loop/loop_runner_test.h"
#include "tunnel/tunnel_server.h"

namespace gentianlb::gateway {
namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kEvent[] = "9\r\nid: 1\nd\n\n\r\n";

struct CutTunnel : loop::LoopRunner {
  static constexpr absl::Duration kStep = absl::Milliseconds(10);
  static constexpr absl::Duration kLimit = absl::Seconds(8);

  CutTunnel() {
    tunnel::TunnelServerHooks hooks;
    hooks.is_allowed = [](const settings::Endpoint&) { return true; };
    hooks.on_connect = [](const settings::Endpoint&, bool) {};
    auto started =
        tunnel::TunnelServer::Start(&loop, {"127.0.0.1", 0}, std::move(hooks));
    BOOST_REQUIRE(started.ok());
    tunnels = std::move(started.value());
  }

  void Send() {
    http::ClientRequest request;
    request.url = server.url();
    request.tunnel = "127.0.0.1:" + std::to_string(tunnels->port());
    request.send_policy = http::SendPolicy::kNoResend;
    http::TransferSink sink;
    sink.on_head = [](const http::ReceivedHead&) {
      return http::ReadAction::kContinue;
    };
    sink.on_data = [this](std::string_view bytes) { body += bytes; };
    sink.on_end = [this](http::TransferEnd, const std::string&) {
      ended_at = loop::SteadyNow();
    };
    client.Start(std::move(request), std::move(sink));
    RunUntil([this] { return server.HasRequest(); });
  }

  void Cut() {
    const int sender = loop::FindSocket(tunnels->port());
    const int tunnel =
        loop::FindSocket(loop::LocalPort(sender), tunnels->port());
    BOOST_REQUIRE(loop::DropReceived(sender));
    BOOST_REQUIRE(loop::DropReceived(tunnel));
  }

  // Runs until the sender takes the connection for lost, and the server is
  // left. `writes`: the server writes events meanwhile.
  void RunToTheEnd(bool writes) {
    const absl::Time limit = loop::SteadyNow() + kLimit;
    while ((!ended_at || !left_at) && loop::SteadyNow() < limit) {
      RunFor(kStep);
      const bool gone = writes && !server.WriteSome(kEvent);
      if (left_at || (!gone && !server.IsClosedByCaller())) continue;
      left_at = loop::SteadyNow();
    }
    BOOST_REQUIRE(ended_at.has_value());
    BOOST_REQUIRE(left_at.has_value());
    BOOST_TEST_MESSAGE("the server is left "
                       << absl::ToInt64Milliseconds(*ended_at - *left_at)
                       << " ms before the sender knows");
  }

  http::LoopClient client{&loop, 4};
  http::RawServer server;
  std::unique_ptr<tunnel::TunnelServer> tunnels;
  std::string body;
  std::optional<absl::Time> ended_at;  // As the sender knows.
  std::optional<absl::Time> left_at;   // As the server knows.
};

// Guards against a server that works on while another one goes on with its
// stream: the sender moves a stream as soon as its connection is lost.
BOOST_FIXTURE_TEST_CASE(AServerIsLeftBeforeTheSenderMovesItsStream, CutTunnel) {
  Send();
  server.Write(kHead);
  server.Write(kEvent);
  RunUntil([this] { return !body.empty(); });
  Cut();
  RunToTheEnd(/*writes=*/true);
  BOOST_TEST((*left_at <= *ended_at));
}

// The same before its first event.
BOOST_FIXTURE_TEST_CASE(AQuietServerIsLeftBeforeTheSenderMovesItsStream,
                        CutTunnel) {
  Send();
  Cut();
  RunToTheEnd(/*writes=*/false);
  BOOST_TEST((*left_at <= *ended_at));
}

}  // namespace
}  // namespace gentianlb::gateway
