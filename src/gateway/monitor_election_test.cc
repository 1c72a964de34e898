#include "gateway/monitor_election.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace gentianlb::gateway {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const std::vector<std::string> hosts = {"h1", "h2", "h3", "h4"};

FleetUpdate Update(const std::string& host, bool up) {
  FleetUpdate update;
  update.sender.host = host;
  update.period_ms = 250;
  update.tables = {{HashName("t"), {7, 0, 7}, up}};
  return update;
}

// Returns the monitors if each host received updates of all of `senders`, and
// the service refuses the hosts in `refused`.
std::vector<std::string> Monitors(const std::vector<std::string>& senders,
                                  const std::vector<std::string>& refused) {
  const absl::Time now = start + absl::Seconds(10);
  auto reaches = [&](const std::string& host) {
    return std::find(refused.begin(), refused.end(), host) == refused.end();
  };
  std::vector<std::string> monitors;
  for (const std::string& host : hosts) {
    MonitorElection election(host, start);
    for (const std::string& peer : senders) {
      if (peer != host) election.RecordUpdate(Update(peer, reaches(peer)), now);
    }
    if (election.IsMonitor(reaches(host), now)) monitors.push_back(host);
  }
  return monitors;
}

BOOST_AUTO_TEST_CASE(OneOfAllHostsIsTheMonitor) {
  BOOST_TEST(Monitors(hosts, {}).size() == 1u);
}

// The monitor can no longer reach the service while the other hosts can. If it
// kept the role, changes that the others' unanswered calls hide would go
// unnoticed.
BOOST_AUTO_TEST_CASE(AnotherHostReplacesAMonitorThatTheServiceRefuses) {
  const std::string first = Monitors(hosts, {}).front();
  const std::vector<std::string> next = Monitors(hosts, {first});
  BOOST_REQUIRE(next.size() == 1u);
  BOOST_TEST(next.front() != first);
}

// The monitor freezes. It must be replaced after a second.
BOOST_AUTO_TEST_CASE(AnUnresponsiveMonitorIsReplacedAfterASecond) {
  const std::string first = Monitors(hosts, {}).front();
  for (const std::string& host : hosts) {
    if (host == first) continue;
    MonitorElection election(host, start);
    const absl::Time received = start + absl::Seconds(10);
    election.RecordUpdate(Update(first, true), received);
    BOOST_TEST(!election.IsMonitor(true, received + absl::Milliseconds(900)));
    BOOST_TEST(election.IsMonitor(true, received + absl::Milliseconds(1100)));
  }
}

// All hosts start at once and have not received updates of each other. If each
// of hundreds became the monitor, their calls would overload the service.
BOOST_AUTO_TEST_CASE(NoHostIsTheMonitorJustAfterTheStart) {
  const MonitorElection election("h1", start);
  BOOST_TEST(!election.IsMonitor(true, start + absl::Seconds(1)));
  BOOST_TEST(election.IsMonitor(true, start + absl::Seconds(3)));
}

}  // namespace
}  // namespace gentianlb::gateway
