// Tests probes of servers on loopback, with answers that the test gives.

#include "gateway/server_prober.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <utility>

#include "http/raw_server_test.h"
#include "loop/loop_runner_test.h"

namespace gentianlb::gateway {
namespace {

struct Fixture : loop::LoopRunner {
  std::uint64_t Start() {
    ServerEntry entry;
    entry.address = {"127.0.0.1", server.port()};
    return prober.Probe(entry, nullptr,
                        [this](ServerProbe probe) { got = probe; });
  }
  ServerProbe Probe(ServerProbe answered) {
    got.reset();
    Start();
    answer(answered);
    RunUntil([this] { return got.has_value(); });
    return *got;
  }

  http::RawServer server;
  std::function<void(ServerProbe)> answer;
  bool cancelled = false;
  ServerProber prober{&loop,
                      {.ask =
                           [this](const ServerEntry&, const Service*,
                                  std::function<void(ServerProbe)> done) {
                             answer = std::move(done);
                             return std::uint64_t{7};
                           },
                       .cancel =
                           [this](std::uint64_t id) {
                             BOOST_TEST(id == 7U);
                             cancelled = true;
                           }}};
  std::optional<ServerProbe> got;
};

BOOST_FIXTURE_TEST_CASE(AnAnswerIsPassedOn, Fixture) {
  for (const ServerProbe probe :
       {ServerProbe::kSame, ServerProbe::kOther, ServerProbe::kUnidentified}) {
    BOOST_TEST((Probe(probe) == probe));
  }
  BOOST_TEST(!server.HasConnection());
}

BOOST_FIXTURE_TEST_CASE(APortOnWhichNobodyListensRefuses, Fixture) {
  server.StopListening();
  BOOST_TEST((Probe(ServerProbe::kUnanswered) == ServerProbe::kRefused));
}

// Guards against a connection that is taken for an answer: another process may
// have made it.
BOOST_FIXTURE_TEST_CASE(AServerThatAcceptsButDoesNotAnswerIsUnanswered,
                        Fixture) {
  BOOST_TEST((Probe(ServerProbe::kUnanswered) == ServerProbe::kUnanswered));
}

// Its queue of new connections is full, so that it drops what comes.
BOOST_FIXTURE_TEST_CASE(AServerThatDropsConnectionsIsUnanswered, Fixture) {
  const absl::Time start = loop.now();
  for (int i = 0; i < 8 && loop.now() - start < absl::Milliseconds(100); ++i) {
    BOOST_TEST((Probe(ServerProbe::kUnanswered) == ServerProbe::kUnanswered));
  }
  BOOST_TEST(loop.now() - start >= absl::Milliseconds(100));
}

BOOST_FIXTURE_TEST_CASE(ACancelledProbeReportsNothing, Fixture) {
  prober.Cancel(Start());
  BOOST_TEST(cancelled);
  const std::uint64_t connecting = Start();
  answer(ServerProbe::kUnanswered);
  prober.Cancel(connecting);
  RunFor(absl::Milliseconds(50));
  BOOST_TEST(!got.has_value());
}

}  // namespace
}  // namespace gentianlb::gateway
