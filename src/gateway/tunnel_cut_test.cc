// The link between a host and the peer that tunnels for it is cut, while the
// peer reaches the server.

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>

#include "gateway/tunnel_site_test.h"
#include "loop/cut_link_test.h"

namespace gentianlb::gateway {
namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kEvent[] = "9\r\nid: 1\nd\n\n\r\n";

struct CutTunnel : TunnelSite {
  static constexpr absl::Duration kStep = absl::Milliseconds(10);
  static constexpr absl::Duration kLimit = absl::Seconds(8);

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

  std::optional<absl::Time> left_at;  // As the server knows.
};

// Guards against a server that works on while another one goes on with its
// stream: the sender moves a stream as soon as its connection is lost.
BOOST_FIXTURE_TEST_CASE(AServerIsLeftBeforeTheSenderMovesItsStream, CutTunnel) {
  Send();
  Answer(kHead);
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
  RunUntil([this] { return server.HasRequest(); });
  Cut();
  RunToTheEnd(/*writes=*/false);
  BOOST_TEST((*left_at <= *ended_at));
}

}  // namespace
}  // namespace gentianlb::gateway
