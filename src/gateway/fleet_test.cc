#include "gateway/fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>

#include "gateway/fleet_site_test.h"

namespace gentianlb::gateway {
namespace {

BOOST_AUTO_TEST_CASE(EachHostHearsOfAllOthers) {
  const std::pair<int, int> sizes[] = {{1, 1}, {8, 4}, {40, 1}, {300, 6}};
  for (const auto& [count, zones] : sizes) {
    FleetSite site(1);
    site.Add(count, zones);
    site.Pass(absl::Seconds(4));
    BOOST_TEST(site.Unaware(count - 1) == 0, count << " hosts");
    for (const auto& [zone, aggregators] : site.AggregatorsByZone()) {
      BOOST_TEST(aggregators == 1, count << " hosts, " << zone);
    }
  }
}

// All of ten seconds' datagrams and bytes, a host and second.
struct Cost {
  double datagrams = 0;
  double bytes = 0;
  double bytes_to_zones = 0;
  double most_datagrams = 0;  // Of one host.
};

Cost CostOf(int count) {
  FleetSite site(2);
  site.Add(count, 6);
  for (auto& [name, host] : site.hosts) {
    host.compose = [](FleetNews* own) {
      for (NameHash i = 0; i < 20; ++i) own->workspaces.push_back({i, 10});
      for (NameHash i = 0; i < 100; ++i) {
        own->servers.push_back({i, 1, 0, 1, 1});
      }
    };
  }
  site.Pass(absl::Seconds(4));
  for (auto& [name, host] : site.hosts) host.sent = 0;
  site.counts_bytes = true;
  constexpr int kSeconds = 2;
  site.Pass(absl::Seconds(kSeconds));
  Cost cost;
  for (const auto& [name, host] : site.hosts) {
    const double part = 1.0 / kSeconds / count;
    cost.datagrams += host.sent * part;
    cost.bytes += static_cast<double>(host.sent_bytes) * part;
    cost.bytes_to_zones += static_cast<double>(host.sent_bytes_to_zones) * part;
    cost.most_datagrams = std::max(cost.most_datagrams,
                                   static_cast<double>(host.sent) / kSeconds);
  }
  return cost;
}

// Ten times as many hosts. Were each to tell each, a host would send ten times
// as much, and callers on small hosts would wait for processors and links.
BOOST_AUTO_TEST_CASE(WhatAHostSendsDoesNotGrowWithTheHosts) {
  const Cost few = CostOf(30);
  const Cost many = CostOf(300);
  BOOST_TEST(many.datagrams <= few.datagrams * 1.1);
  BOOST_TEST(many.bytes <= few.bytes * 1.1);
  BOOST_TEST(many.bytes_to_zones <= few.bytes_to_zones);
  // The busiest, as its period grows with its zone.
  BOOST_TEST(many.most_datagrams <= 450);
}

// Datagrams are lost, doubled and late. What hosts let through is counted once
// by each other host all the same; counted twice, workspaces would be refused
// below their limits, and forgotten, they would pass them.
BOOST_AUTO_TEST_CASE(CountersComeThroughABadNetwork) {
  FleetSite site(3);
  site.lost_per_thousand = 100;
  site.doubled_percent = 20;
  site.slowest_ms = 80;
  site.Add(40, 4);
  constexpr NameHash kWorkspace = 7;
  std::map<std::string, std::uint64_t> let_through;
  std::map<std::string, std::uint64_t> heard;
  std::map<std::string, UseCounters> counters;
  for (auto& [host_name, host] : site.hosts) {
    const std::string name = host_name;
    host.compose = [&, name](FleetNews* own) {
      own->workspaces = {{kWorkspace, 1, let_through[name]}};
    };
    host.on_others = [&, name](const FleetNews& others) {
      for (const UseDelta& grown :
           counters[name].Update(others.incarnation, others.workspaces)) {
        heard[name] += grown.admitted;
      }
    };
  }
  site.Pass(absl::Seconds(4));
  heard.clear();
  std::uint64_t all = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string name =
        FleetSite::Name(static_cast<int>(site.random() % 40));
    let_through[name] += 1000;
    all += 1000;
    site.Pass(absl::Milliseconds(20));
  }
  site.Pass(absl::Seconds(2));
  for (const auto& [name, host] : site.hosts) {
    BOOST_TEST(heard[name] == all - let_through[name], name);
  }
}

// More than half of all hosts are killed at the same moment, aggregators among
// them, and start again after some seconds. Those that live must soon know who
// is left: their callers would wait for dispatchers that are gone.
BOOST_AUTO_TEST_CASE(TheRestGoesOnWhenMostHostsAreKilled) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    FleetSite site(seed);
    site.lost_per_thousand = 5;
    site.Add(195, 6);
    site.Pass(absl::Seconds(4));
    std::vector<std::string> killed;
    for (const auto& [name, host] : site.hosts) {
      if (site.random() % 100 < 60) killed.push_back(name);
    }
    for (const std::string& name : killed) site.Kill(name);
    site.Pass(absl::Milliseconds(3500));
    for (const FleetSite::Host* host : site.Up()) {
      const bool fresh = site.now - host->others_at <= absl::Seconds(1);
      BOOST_TEST(fresh, "seed " << seed << " host " << host->entry.host);
      for (const HostEntry& dispatcher : host->others.dispatchers) {
        BOOST_TEST(site.hosts.at(dispatcher.host).up);
      }
      BOOST_TEST(!host->others.dispatchers.empty());
    }
    for (const std::string& name : killed) site.Start(name);
    site.Pass(absl::Seconds(3));
    site.lost_per_thousand = 0;
    site.Pass(absl::Seconds(1));
    BOOST_TEST(site.Unaware(194) == 0, "seed " << seed);
  }
}

// An aggregator freezes for three seconds, and wakes without knowing it. The
// zone has another within a second, and never hears that all others are gone:
// each group would move to another host, and back.
BOOST_AUTO_TEST_CASE(AFrozenAggregatorIsReplacedAndComesBackQuietly) {
  FleetSite site(4);
  site.Add(60, 3);
  site.Pass(absl::Seconds(4));
  FleetSite::Host* frozen = nullptr;
  for (FleetSite::Host* host : site.Up()) {
    if (host->fleet->aggregates()) frozen = host;
  }
  BOOST_REQUIRE(frozen != nullptr);
  const std::size_t dispatchers = frozen->others.dispatchers.size();
  frozen->frozen = true;
  site.Pass(absl::Seconds(2));
  BOOST_TEST(site.Unaware(58) == 60 - 1);  // One is missed by all;
  for (FleetSite::Host* host : site.Up()) {
    BOOST_TEST(host->others.hosts == 58);  // the others are all heard.
    host->on_others = [&](const FleetNews& others) {
      BOOST_TEST(others.hosts >= 58);
      if (!others.detailed) return;
      BOOST_TEST(others.dispatchers.size() + 1 >= dispatchers);
    };
  }
  site.Pass(absl::Seconds(1));
  frozen->frozen = false;
  site.Pass(absl::Seconds(2));
  BOOST_TEST(site.Unaware(59) == 0);
}

// A zone is cut off for ten seconds. Each side goes on with its own hosts and
// says that some are missing; afterwards all hear of all again.
BOOST_AUTO_TEST_CASE(BothSidesOfACutGoOnAndMeetAgain) {
  FleetSite site(5);
  site.Add(60, 3);
  site.Pass(absl::Seconds(4));
  for (auto& [name, host] : site.hosts) host.side = host.entry.zone == "z0";
  site.Pass(absl::Seconds(10));
  for (const FleetSite::Host* host : site.Up()) {
    BOOST_TEST(host->others.hosts == (host->side == 1 ? 19 : 39));
    BOOST_TEST(!host->others.complete);
    for (const HostEntry& dispatcher : host->others.dispatchers) {
      BOOST_TEST((dispatcher.zone == "z0") == (host->side == 1));
    }
  }
  for (auto& [name, host] : site.hosts) host.side = 0;
  site.Pass(absl::Seconds(2));
  BOOST_TEST(site.Unaware(59) == 0);
}

// A host starts that only knows one other, which doesn't aggregate and is of
// another zone. It is led to its aggregator.
BOOST_AUTO_TEST_CASE(AHostThatKnowsOneOtherFindsAll) {
  FleetSite site(6);
  site.Add(30, 3);
  site.Pass(absl::Seconds(4));
  site.reads_table = false;
  FleetSite::Host& newcomer = site.hosts["new"];
  newcomer.entry = {"new", "10.0.0.2:1", "z0", 0.12F};
  site.Start("new");
  for (FleetSite::Host* host : site.Up()) {
    if (host->fleet->aggregates() || host->entry.zone != "z1") continue;
    newcomer.fleet->Learn(host->entry);
    break;
  }
  site.Pass(absl::Seconds(4));
  BOOST_TEST(site.Unaware(30) == 0);
}

// All hosts of a zone are started again after their clocks were set back. What
// they tell seems older than what the others heard before; taken for that, the
// zone would be left out of limits and dispatchers for as long as the others
// run.
BOOST_AUTO_TEST_CASE(HostsWithClocksSetBackAreHeardAgain) {
  FleetSite site(8);
  site.Add(30, 3);
  site.Pass(absl::Seconds(4));
  std::vector<std::string> restarted;
  for (auto& [name, host] : site.hosts) {
    if (host.entry.zone == "z0" || name == "h1") restarted.push_back(name);
  }
  for (const std::string& name : restarted) site.Kill(name);
  site.Pass(absl::Seconds(1));
  for (const std::string& name : restarted) {
    FleetSite::Host& host = site.hosts.at(name);
    host.incarnation -= 5;
    host.clock_behind = absl::Seconds(20);
    site.Start(name);
  }
  site.Pass(absl::Seconds(3));
  BOOST_TEST(site.Unaware(29) == 0);
}

// A host is replaced for good. The others don't wait for it for ever: limits
// would be kept in parts, and refuse callers for nothing.
BOOST_AUTO_TEST_CASE(AHostThatNeverComesBackIsForgotten) {
  FleetSite site(7);
  site.Add(12, 3);
  site.Pass(absl::Seconds(4));
  site.Kill("h1");
  site.Pass(absl::Seconds(30));
  BOOST_TEST(site.Unaware(10) == 11);
  site.Pass(absl::Seconds(40));
  BOOST_TEST(site.Unaware(10) == 0);
}

}  // namespace
}  // namespace gentianlb::gateway
