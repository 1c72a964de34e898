// Gateways before servers that refuse requests and ask for a cooldown.

#include <boost/test/unit_test.hpp>

#include "process/cooldown_site_test.h"

namespace gentianlb::process {
namespace {

using Faults = standins::PlatformServer::Faults;

constexpr absl::Duration kEvery = absl::Milliseconds(7);

// Of streams, which take longer.
constexpr absl::Duration kEveryStream = absl::Milliseconds(15);

const Faults refuse_all = {.sheds = true, .retry_after = "1.5"};
const Faults refuse_half = {
    .sheds = true, .sheds_one_in = 2, .retry_after = "1.5"};

void CheckCooldowns(CooldownSite& site, absl::Duration every) {
  site.SetFaults(0, CooldownSite::kServers, refuse_half);
  site.Send(absl::Seconds(6), every);
  site.WaitForAnswers();
  site.Report();
  const auto [asked, broken] = site.CountCooldowns();
  BOOST_TEST(asked >= 32);
  BOOST_TEST(broken == 0);
}

// Guards against requests to a server that has asked this host for a cooldown.
BOOST_AUTO_TEST_CASE(AHostSendsNothingToServersInTheirCooldown) {
  CooldownSite site(kCallConfiguration, "plain");
  CheckCooldowns(site, kEvery);
}

// The same for streams.
BOOST_AUTO_TEST_CASE(AHostSendsNoStreamsToServersInTheirCooldown) {
  CooldownSite site(kStreamAndCallConfiguration, "llm");
  CheckCooldowns(site, kEveryStream);
}

// Guards against a cooldown that ends with the dispatcher that knew of it.
BOOST_AUTO_TEST_CASE(ACooldownOutlivesTheDispatcher) {
  CooldownSite site(kCallConfiguration, "plain");
  site.SetFaults(0, CooldownSite::kServers, refuse_half);
  for (std::size_t host = 0; host < CooldownSite::kHosts; ++host) {
    site.Send(absl::Seconds(1.5), kEvery);
    site.Restart(host);
  }
  site.Send(absl::Seconds(1.5), kEvery);
  site.WaitForAnswers();
  site.Report();
  const auto [asked, broken] = site.CountCooldowns();
  BOOST_TEST(asked >= 32);
  BOOST_TEST(broken == 0);
}

// Guards against servers that are avoided for longer than they asked for, or
// by hosts that they refused nothing.
BOOST_AUTO_TEST_CASE(AfterTheirCooldownServersGetTheirShareAgain) {
  // Streams that run for a while, since idle servers are all alike.
  const Faults slow = {.event_gap = absl::Milliseconds(40)};
  CooldownSite site(kStreamAndCallConfiguration, "llm");
  site.SetFaults(0, CooldownSite::kServers, slow);
  site.Send(absl::Seconds(2), kEveryStream);  // Until all have answered once.
  site.ReportArrivals(absl::InfinitePast());
  site.SetFaults(0, 2, refuse_all);
  site.Send(absl::Seconds(5), kEveryStream);
  site.SetFaults(0, 2, slow);
  // Until the last cooldown has ended, and a second longer.
  site.Send(absl::Seconds(2.5), kEveryStream);
  const absl::Time from = absl::Now();
  site.Send(absl::Seconds(3), kEveryStream);
  site.WaitForAnswers();
  site.Report();
  site.ReportArrivals(from);
  int of_others = 0;
  for (int i = 2; i < CooldownSite::kServers; ++i) {
    of_others += site.ArrivalsSince(i, from);
  }
  const int third = of_others / (CooldownSite::kServers - 2) / 3;
  BOOST_TEST(third > 0);
  BOOST_TEST(site.ArrivalsSince(0, from) >= third);
  BOOST_TEST(site.ArrivalsSince(1, from) >= third);
}

}  // namespace
}  // namespace gentianlb::process
