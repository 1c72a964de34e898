// A client, a peer's tunnels and a backend server on loopback.

#ifndef GENTIANLB_GATEWAY_TUNNEL_SITE_TEST_H_
#define GENTIANLB_GATEWAY_TUNNEL_SITE_TEST_H_

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "absl/time/time.h"
#include "http/loop_client.h"
#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"
#include "tunnel/tunnel_server.h"

namespace gentianlb::gateway {

struct TunnelSite : loop::LoopRunner {
  TunnelSite() { Listen(nullptr); }

  // Starts the peer's tunnels anew. `confirm_end_of`: as in TunnelServerHooks.
  void Listen(tunnel::ConfirmEndOf confirm_end_of) {
    tunnel::TunnelServerHooks hooks;
    hooks.is_allowed = [this](const settings::Endpoint&) { return allowed; };
    hooks.on_connect = [this](const settings::Endpoint&, bool made) {
      connected = made;
    };
    hooks.confirm_end_of = std::move(confirm_end_of);
    auto started =
        tunnel::TunnelServer::Start(&loop, {"127.0.0.1", 0}, std::move(hooks));
    BOOST_REQUIRE(started.ok());
    tunnels = std::move(started.value());
    tunnel_port = tunnels->port();
  }

  http::TransferId Send(const std::string& request_body = "") {
    http::ClientRequest request;
    request.url = server.url();
    request.tunnel = "127.0.0.1:" + std::to_string(tunnel_port);
    request.method = "POST";
    request.headers = {{"Secret", "for the server alone"}};
    request.body = request_body;
    request.send_policy = http::SendPolicy::kNoResend;
    http::TransferSink sink;
    sink.on_head = [this](const http::ReceivedHead& head) {
      status = head.status;
      return http::ReadAction::kContinue;
    };
    sink.on_data = [this](std::string_view data) { body += data; };
    sink.on_end = [this](http::TransferEnd got, const std::string&) {
      end = got;
      ended_at = loop::SteadyNow();
    };
    return client.Start(std::move(request), std::move(sink));
  }
  void Answer(const std::string& bytes) {
    RunUntil([this] { return server.HasRequest(); });
    server.Write(bytes);
  }
  void WaitForEnd() {
    RunUntil([this] { return end.has_value(); });
  }

  http::LoopClient client{&loop, 4};
  http::RawServer server;
  std::unique_ptr<tunnel::TunnelServer> tunnels;
  int tunnel_port = 0;
  bool allowed = true;
  std::optional<bool> connected;
  int status = 0;
  std::string body;
  std::optional<http::TransferEnd> end;
  std::optional<absl::Time> ended_at;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TUNNEL_SITE_TEST_H_
