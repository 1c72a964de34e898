// Several gateways as processes, before servers that name a request limit.

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "http/client.h"
#include "process/gateway_site_test.h"
#include "process/process.h"
#include "standins/platform_server.h"

namespace gentianlb::process {
namespace {

using standins::PlatformServer;

// A limit holds in each such window.
constexpr absl::Duration kWindow = absl::Seconds(4);
// From this long after it was first named.
constexpr absl::Duration kSettled = absl::Seconds(3);

// No refusal needs longer.
constexpr absl::Duration kAtOnce = absl::Milliseconds(500);

double AllowedInWindow(double per_second) {
  return 1.5 * per_second * absl::ToDoubleSeconds(kWindow) + 5;
}

class Site : public GatewaySite {
 public:
  static constexpr int kServers = 8;
  static constexpr double kRequestsPerSecond = 140;

  Site() : GatewaySite(kCallConfiguration, {"plain"}, kServers) {}
  ~Site() { client_.Stop(); }  // Its callbacks refer to the members below.

  // Sends requests over all hosts in turn.
  void Send(absl::Duration span) {
    const absl::Time start = absl::Now();
    const auto count =
        static_cast<int>(absl::ToDoubleSeconds(span) * kRequestsPerSecond);
    for (int i = 0; i < count; ++i) {
      absl::SleepFor(start + i / kRequestsPerSecond * absl::Seconds(1) -
                     absl::Now());
      SendOne(i);
    }
    WaitUntil("all requests are answered", [this] { return open_ == 0; });
  }

  // Returns the most requests that `server` got in any window since `from`.
  static int MostInWindow(const PlatformServer& server, absl::Time from) {
    const std::vector<absl::Time> arrivals = server.Arrivals();
    int most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
      if (*first < from) continue;
      const auto last =
          std::lower_bound(first, arrivals.end(), *first + kWindow);
      most = std::max(most, static_cast<int>(last - first));
    }
    return most;
  }

  void NameLimit(PlatformServer& server, const std::string& limit) {
    server.SetFaults({.request_limit = limit});
  }

  std::atomic<int> open_ = 0;
  std::atomic<int> served_ = 0;
  std::atomic<int> refused_ = 0;
  std::atomic<int> refused_late_ = 0;  // Not at once.
  std::atomic<int> others_ = 0;

 private:
  void SendOne(int number) {
    http::ClientRequest request = MakeRequest(
        number, "/read/1", absl::StrCat("body of ", number), "2000");
    const absl::Time sent = absl::Now();
    ++open_;
    client_.Fetch(std::move(request), [this, sent](const http::Reply& reply) {
      if (reply.status == 200) {
        ++served_;
      } else if (reply.status == 503 &&
                 !http::FindHeader(reply.headers, "Retry-After").empty()) {
        ++refused_;
        if (absl::Now() - sent > kAtOnce) ++refused_late_;
      } else {
        ++others_;
      }
      --open_;
    });
  }
};

// Guards against a server that gets many times the limit that it names, while
// others have room.
BOOST_FIXTURE_TEST_CASE(AServerGetsNoMoreThanItsLimit, Site) {
  for (const char* limit : {"6.2", "1"}) {
    double per_second = 0;
    BOOST_REQUIRE(absl::SimpleAtod(limit, &per_second));
    NameLimit(*servers_[0], limit);
    served_ = 0;
    const absl::Time named = absl::Now();
    Send(kSettled + kWindow + absl::Seconds(1));
    BOOST_TEST(MostInWindow(*servers_[0], named + kSettled) <=
               AllowedInWindow(per_second));
    // All others have room.
    BOOST_TEST(served_ >= 8 * kRequestsPerSecond);
  }
}

// Guards against limits of all servers that are passed, that aren't used, or
// for which requests wait though they can't be run in time.
BOOST_FIXTURE_TEST_CASE(LimitsOfAllServersAreKeptAndUsed, Site) {
  constexpr double kPerSecond = 8;
  for (auto& server : servers_) NameLimit(*server, "8");
  const absl::Time named = absl::Now();
  Send(kSettled);
  served_ = refused_ = refused_late_ = 0;
  Send(kWindow);
  for (const auto& server : servers_) {
    BOOST_TEST(MostInWindow(*server, named + kSettled) <=
               AllowedInWindow(kPerSecond));
  }
  const double all_limits =
      kPerSecond * kServers * absl::ToDoubleSeconds(kWindow);
  BOOST_TEST(served_ >= 0.9 * all_limits);
  BOOST_TEST(refused_ > 0);
  BOOST_TEST(refused_late_ == 0);
  BOOST_TEST(others_ == 0);
}

// Guards against a limit that holds on after its server has stopped naming it.
BOOST_FIXTURE_TEST_CASE(ALimitEndsWithTheFirstAnswerWithoutIt, Site) {
  for (auto& server : servers_) NameLimit(*server, "8");
  Send(kSettled);
  for (auto& server : servers_) NameLimit(*server, "");
  Send(absl::Seconds(1));
  served_ = 0;
  Send(absl::Seconds(2));
  BOOST_TEST(served_ >= 0.98 * 2 * kRequestsPerSecond);
}

}  // namespace
}  // namespace gentianlb::process
