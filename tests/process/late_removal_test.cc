// Backend servers that leave, or whose registrations lapse, while gateways
// can't reach the table service.

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "http/client.h"
#include "process/gateway_process_test.h"
#include "process/gateway_site_test.h"
#include "process/relay.h"
#include "standins/feed_table.h"
#include "standins/platform_server.h"

namespace gentianlb::process {
namespace {

// A server that left gets no request later than this.
constexpr absl::Duration kDrainTime = absl::Seconds(2);

// Between two requests of a caller.
constexpr absl::Duration kPause = absl::Milliseconds(10);

http::ClientRequest MakeRequest(const std::string& host, int number) {
  http::ClientRequest request;
  request.method = "POST";
  request.url = GatewayProcess::Url(host, "/");
  request.target = "/read/1";
  request.headers = {{"Host", "one.example"},
                     {"Request-Id", absl::StrCat("r", number)},
                     {"Deadline-Ms", "300"}};
  return request;
}

// One gateway with a link to the table service that can be cut, and one server.
class LinkSite {
 public:
  LinkSite() {
    table_.Put("servers", server_.id(), server_.Registration("plain"));
    table_.Put("op", "config", kCallConfiguration);
    gateway_.WaitUntilReady(client_);
  }

  // Sends requests, one after the other.
  void Send(absl::Duration span) {
    for (const absl::Time end = absl::Now() + span; absl::Now() < end;) {
      client_.FetchAndWait(MakeRequest(gateway_.callers(), ++requests_));
      absl::SleepFor(kPause);
    }
  }

  standins::FeedTable table_;
  standins::PlatformServer server_{"a"};
  Relay link_{absl::StrCat("127.0.0.1:", table_.port())};

 private:
  static int PortOf(const std::string& address) {
    return std::stoi(address.substr(address.rfind(':') + 1));
  }

  TempFolder folder_;
  http::Client client_;
  GatewayProcess gateway_{folder_, "h", PortOf(link_.address())};
  int requests_ = 0;
};

// Guards against a host that takes its own lost connection for an outage of the
// table service, and keeps a server that leaves meanwhile for too long.
BOOST_AUTO_TEST_CASE(AServerThatLeftWhileAConnectionWasLostGetsNoLateRequest) {
  for (int play = 0; play < 3; ++play) {
    LinkSite site;
    site.Send(absl::Seconds(4));
    site.link_.Set(LinkState::kCut);
    site.Send(absl::Milliseconds(150));
    site.table_.Remove("servers", site.server_.id());
    const absl::Time removed = absl::Now();
    site.Send(absl::Milliseconds(250));
    site.link_.Set(LinkState::kOpen);
    site.Send(absl::Seconds(4));
    int late = 0;
    for (const absl::Time arrival : site.server_.Arrivals()) {
      late += arrival > removed + kDrainTime ? 1 : 0;
    }
    BOOST_TEST(late == 0, "play " << play);
    BOOST_TEST(site.server_.Arrivals().size() > 100u);
  }
}

// Guards against hosts that drop all servers after an outage, as a peer passes
// the removals on before they know of the outage's end.
BOOST_AUTO_TEST_CASE(ServersThatLapsedInAnOutageAreServedFromThenOn) {
  GatewaySite site(kCallConfiguration, {"plain"}, /*servers=*/4);
  absl::SleepFor(absl::Seconds(4));
  site.table_.SetDown(true);
  for (const auto& server : site.servers_) {
    site.table_.Remove("servers", server->id());
  }
  absl::SleepFor(absl::Seconds(5));
  site.table_.SetDown(false);
  int number = 0;
  int refused = 0;
  for (const absl::Time end = absl::Now() + absl::Seconds(4);
       absl::Now() < end;) {
    if (number == 150) {
      for (const auto& server : site.servers_) {
        site.table_.Put("servers", server->id(), server->Registration("plain"));
      }
    }
    const auto host = static_cast<std::size_t>(++number) % site.kHosts;
    const auto reply = site.client_.FetchAndWait(
        MakeRequest(site.hosts_[host]->callers(), number));
    refused += reply.status == 200 ? 0 : 1;
    absl::SleepFor(kPause);
  }
  BOOST_TEST(refused == 0, "of " << number);
}

}  // namespace
}  // namespace gentianlb::process
