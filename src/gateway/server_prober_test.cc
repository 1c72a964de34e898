// Tests probes of servers' addresses on loopback.

#include "gateway/server_prober.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::gateway {
namespace {

struct Fixture : loop::LoopRunner {
  std::uint64_t Start() {
    const std::string address = server.address();
    return prober.Probe(
        {"127.0.0.1", std::stoi(address.substr(address.rfind(':') + 1))},
        [this](ServerProbe probe) { got = probe; });
  }
  ServerProbe Probe() {
    got.reset();
    Start();
    RunUntil([this] { return got.has_value(); });
    return *got;
  }

  http::RawServer server;
  ServerProber prober{&loop};
  std::optional<ServerProbe> got;
};

BOOST_FIXTURE_TEST_CASE(ALivingServerIsConnectedAndGetsNoRequest, Fixture) {
  BOOST_TEST((Probe() == ServerProbe::kConnected));
  RunUntil([this] { return server.HasConnection(); });
  BOOST_TEST(server.IsClosedByCaller());
  BOOST_TEST(server.request.empty());
}

BOOST_FIXTURE_TEST_CASE(APortOnWhichNobodyListensRefuses, Fixture) {
  server.StopListening();
  BOOST_TEST((Probe() == ServerProbe::kRefused));
}

// Its queue of new connections is full, so that it drops what comes.
BOOST_FIXTURE_TEST_CASE(AServerThatDropsConnectionsIsUnanswered, Fixture) {
  for (int i = 0; i < 8 && got != ServerProbe::kUnanswered; ++i) Probe();
  BOOST_TEST((got == ServerProbe::kUnanswered));
}

BOOST_FIXTURE_TEST_CASE(ACancelledProbeReportsNothing, Fixture) {
  prober.Cancel(Start());
  RunFor(absl::Milliseconds(50));
  BOOST_TEST(!got.has_value());
}

}  // namespace
}  // namespace gentianlb::gateway
