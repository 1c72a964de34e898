// Several gateways as processes, while most new connections go to one of them.

#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "http/client.h"
#include "process/gateway_site_test.h"

namespace gentianlb::process {
namespace {

// A quarter of what is served in calm times may be lost by the platform's rule;
// none needs to be, as the servers have room.
constexpr double kServedShare = 0.95;

struct Count {
  std::atomic<int> sent = 0;
  std::atomic<int> served = 0;
  double ServedShare() const {
    return static_cast<double>(served) / std::max(1, sent.load());
  }
};

class Site : public GatewaySite {
 public:
  static constexpr int kServers = 8;

  Site()
      : GatewaySite(kStreamAndCallConfiguration, {"llm", "plain"}, kServers) {
    PlatformServerFaults faults;
    faults.event_gap = absl::Milliseconds(50);
    for (auto& server : servers_) server->SetFaults(faults);
  }
  ~Site() { client_.Stop(); }

  // Sends a stream and a call each 8 ms, so that half of the streams that the
  // servers have are in use; nine of ten go to `host`, or all in turn if it is
  // negative.
  void Run(absl::Duration span, int host, Count* count) {
    constexpr absl::Duration kGap = absl::Milliseconds(8);
    const absl::Time end = absl::Now() + span;
    for (absl::Time next = absl::Now(); next < end; next += kGap) {
      if (next > absl::Now()) absl::SleepFor(next - absl::Now());
      ++number_;
      const bool anywhere = host < 0 || number_ % 10 == 0;
      const int to = anywhere ? number_ / 10 + number_ : host;
      Send(to, "/chat/1", count);
      Send(to, "/read/1", count);
    }
    WaitUntil("all requests are answered", [this] { return open_ == 0; });
  }

 private:
  using PlatformServerFaults = standins::PlatformServer::Faults;

  void Send(int host, const std::string& path, Count* count) {
    http::ClientRequest request =
        MakeRequest(host, path, absl::StrCat("body of ", number_), "4000");
    if (path.starts_with("/chat/")) {
      request.headers.push_back({"Model", "m"});
      request.headers.push_back({"Token-Count", "100,20"});
    }
    request.send_policy = http::SendPolicy::kFreshConnection;
    ++open_;
    ++count->sent;
    client_.Fetch(std::move(request), [this, count](const http::Reply& reply) {
      const bool complete =
          reply.status == 200 && reply.end == http::TransferEnd::kComplete;
      if (complete) ++count->served;
      --open_;
    });
  }

  int number_ = 0;
  std::atomic<int> open_ = 0;
};

// Guards against a host that serves less than its peers would, as most new
// connections come to it.
BOOST_FIXTURE_TEST_CASE(MostConnectionsAtOneHostAreServed, Site) {
  std::array<Count, 3> counts;
  Run(absl::Seconds(2), /*host=*/-1, &counts[0]);
  Run(absl::Seconds(5), /*host=*/0, &counts[1]);
  Run(absl::Seconds(5), /*host=*/1, &counts[2]);
  for (const Count& count : counts) {
    BOOST_TEST(count.ServedShare() >= kServedShare);
  }
}

}  // namespace
}  // namespace gentianlb::process
