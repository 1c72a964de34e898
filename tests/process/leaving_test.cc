// Gateways before servers that say in their answers that they leave, while the
// table service doesn't.

#include <boost/test/unit_test.hpp>

#include "process/cooldown_site_test.h"

namespace gentianlb::process {
namespace {

using Faults = standins::PlatformServer::Faults;

constexpr absl::Duration kEvery = absl::Milliseconds(7);

// Of streams, which take longer.
constexpr absl::Duration kEveryStream = absl::Milliseconds(15);

void CheckTwoLeave(CooldownSite& site, const Faults& usual,
                   absl::Duration every) {
  site.SetFaults(0, CooldownSite::kServers, usual);
  site.Send(absl::Seconds(1), every);
  Faults leaving = usual;
  leaving.leaving = true;
  const absl::Time from = absl::Now();
  site.SetFaults(0, 2, leaving);
  site.Send(absl::Seconds(6), every);
  site.WaitForAnswers();
  site.Report();
  site.ReportArrivals(from);
  BOOST_TEST(site.CountLate(0, from) == 0);
  BOOST_TEST(site.CountLate(1, from) == 0);
  BOOST_TEST(site.served_ == site.sent());
}

// Guards against requests to a server that has said to this host that it
// leaves.
BOOST_AUTO_TEST_CASE(AHostSendsNothingToServersThatSayTheyLeave) {
  CooldownSite site(kCallConfiguration, "plain");
  CheckTwoLeave(site, Faults(), kEvery);
}

// The same for streams, without the table service.
BOOST_AUTO_TEST_CASE(AHostSendsNoStreamsToServersThatSayTheyLeave) {
  CooldownSite site(kStreamAndCallConfiguration, "llm");
  site.table_.SetDown(true);
  CheckTwoLeave(site, {.event_gap = absl::Milliseconds(20)}, kEveryStream);
}

// Guards against callers that are refused while all servers of a service leave
// but still serve.
BOOST_AUTO_TEST_CASE(ServersThatAllLeaveServeUntilTheDrainTimeEnds) {
  CooldownSite site(kCallConfiguration, "plain");
  site.Send(absl::Seconds(1), kEvery);
  const absl::Time from = absl::Now();
  site.SetFaults(0, CooldownSite::kServers, {.leaving = true});
  site.Send(absl::Seconds(1.8), kEvery);
  site.WaitForAnswers();
  BOOST_TEST(site.served_ == site.sent());
  site.Send(absl::Seconds(3), kEvery);
  site.WaitForAnswers();
  site.Report();
  for (int i = 0; i < CooldownSite::kServers; ++i) {
    BOOST_TEST(site.CountLate(i, from) == 0);
  }
}

}  // namespace
}  // namespace gentianlb::process
