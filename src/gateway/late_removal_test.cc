// Tests, in virtual time, when hosts drop servers whose registrations are
// removed, in and beside outages of the table service.

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "gateway/sharing_site_test.h"

namespace gentianlb::gateway {
namespace {

struct Size {
  int hosts;
  int zones;
  std::uint64_t seeds;
};
const std::vector<Size> sizes = {
    {1, 1, 10}, {8, 4, 10}, {64, 3, 3}, {195, 6, 1}};

constexpr int kServers = 6;

// A server that left gets no request later than this.
constexpr absl::Duration kDrainTime = absl::Seconds(2);

std::string Server(int number) { return "s" + std::to_string(number); }

// Servers that renew their registrations while the table service is available,
// lapse without, and register again.
class Servers {
 public:
  explicit Servers(SharingSite* site) : site_(*site) {
    for (int i = 0; i < kServers; ++i) {
      site_.table.Put(Server(i));
      renewed_.push_back(site_.now() - kHeartbeat * (i + 1) / (kServers + 1));
    }
    attempted_ = renewed_;
  }

  void Pass(absl::Duration span, bool available) {
    for (const absl::Time end = site_.now() + span; site_.now() < end;) {
      site_.Pass(FleetSite::kStep);
      for (int i = 0; i < kServers; ++i) Step(i, available);
    }
  }

  void Kill(int server) { killed_.insert(server); }

 private:
  static constexpr absl::Duration kHeartbeat = absl::Milliseconds(1200);

  void Step(int server, bool available) {
    const auto i = static_cast<std::size_t>(server);
    if (site_.now() >= renewed_[i] + 3 * kHeartbeat && !lapsed_.contains(i)) {
      lapsed_.insert(i);
      site_.table.Remove(Server(server));
    }
    if (killed_.contains(server)) return;
    if (site_.now() < attempted_[i] + kHeartbeat) return;
    attempted_[i] = site_.now();
    if (!available) return;
    renewed_[i] = site_.now();
    if (lapsed_.erase(i) > 0) site_.table.Put(Server(server));
  }

  SharingSite& site_;
  std::vector<absl::Time> renewed_;
  std::vector<absl::Time> attempted_;
  std::set<std::size_t> lapsed_;
  std::set<int> killed_;
};

std::set<std::size_t> AllHosts(const SharingSite& site) {
  std::set<std::size_t> all;
  for (std::size_t i = 0; i < site.count(); ++i) all.insert(i);
  return all;
}

// Returns the number of hosts that have the server, without those in `excused`.
int CountHaving(const SharingSite& site, const std::string& server,
                const std::set<std::size_t>& excused) {
  int having = 0;
  for (std::size_t i = 0; i < site.count(); ++i) {
    const bool has = site.directory(i).Find(ServerId(server)) != nullptr;
    having += has && !excused.contains(i) ? 1 : 0;
  }
  return having;
}

// Returns the fewest servers that any host has.
std::size_t FewestServers(const SharingSite& site) {
  std::size_t fewest = kServers;
  for (std::size_t i = 0; i < site.count(); ++i) {
    std::size_t present = 0;
    for (int j = 0; j < kServers; ++j) {
      present += site.directory(i).Find(ServerId(Server(j))) != nullptr ? 1 : 0;
    }
    fewest = std::min(fewest, present);
  }
  return fewest;
}

// Guards against removals that a host delays because another one, which was cut
// off alone, has returned.
BOOST_AUTO_TEST_CASE(HostsThatReturnDelayNoRemovalAtOthers) {
  for (const auto& [hosts, zones, seeds] : sizes) {
    if (hosts == 1) continue;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      SharingSite site(hosts, zones, seed);
      site.LoseMessages(seed % 2 == 0 ? 20 : 0);
      Servers servers(&site);
      servers.Pass(absl::Seconds(3), /*available=*/true);
      // The aggregators of all zones but one, or a third of all hosts.
      std::set<std::size_t> cut = site.Aggregators();
      cut.erase(cut.begin());
      for (std::size_t i = seed % 3; seed % 2 == 1 && i < site.count();
           i += 3) {
        cut.insert(i);
      }
      site.CutOff(cut);
      const absl::Duration span = absl::Milliseconds(700) * seed;
      servers.Pass(span, /*available=*/true);
      site.table.Remove(Server(0));
      servers.Kill(0);
      servers.Pass(absl::Milliseconds(30) * seed, /*available=*/true);
      site.Reconnect(cut);
      servers.Pass(kDrainTime - absl::Milliseconds(30) * seed,
                   /*available=*/true);
      BOOST_TEST(CountHaving(site, Server(0), cut) == 0,
                 hosts << " hosts, seed " << seed);
    }
  }
}

// Guards against hosts that all lose their connections for a moment and take
// that for an outage.
BOOST_AUTO_TEST_CASE(AShortLossOfAllConnectionsDelaysNoRemoval) {
  for (const auto& [hosts, zones, seeds] : sizes) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      SharingSite site(hosts, zones, seed);
      Servers servers(&site);
      servers.Pass(absl::Milliseconds(3000 + 150 * seed), /*available=*/true);
      site.table.refused = AllHosts(site);
      servers.Pass(absl::Milliseconds(40) * seed, /*available=*/true);
      site.table.Remove(Server(0));
      servers.Kill(0);
      const absl::Duration rest = absl::Milliseconds(30) * seed;
      servers.Pass(rest, /*available=*/true);
      site.table.refused.clear();
      servers.Pass(kDrainTime - rest, /*available=*/true);
      BOOST_TEST(CountHaving(site, Server(0), {}) == 0,
                 hosts << " hosts, seed " << seed);
    }
  }
}

// Guards against hosts without servers after an outage in which all
// registrations lapsed, and against a dead server that stays in use.
BOOST_AUTO_TEST_CASE(LapsedServersStayInUseUntilTheyAreBack) {
  for (const auto& [hosts, zones, seeds] : sizes) {
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      SharingSite site(hosts, zones, seed);
      site.LoseMessages(seed % 2 == 0 ? 20 : 0);
      Servers servers(&site);
      servers.Pass(absl::Seconds(3), /*available=*/true);
      const bool silent = seed % 3 == 0;
      if (silent) site.table.SetUnresponsive(true);
      if (!silent) site.table.refused = AllHosts(site);
      servers.Pass(absl::Milliseconds(3700 + 600 * seed), /*available=*/false);
      site.table.SetUnresponsive(false);
      site.table.refused.clear();
      std::size_t fewest = kServers;
      for (int i = 0; i < 80; ++i) {
        servers.Pass(absl::Milliseconds(50), /*available=*/true);
        fewest = std::min(fewest, FewestServers(site));
      }
      BOOST_TEST(fewest == kServers, hosts << " hosts, seed " << seed);
      site.table.Remove(Server(0));
      servers.Kill(0);
      servers.Pass(kDrainTime, /*available=*/true);
      BOOST_TEST(CountHaving(site, Server(0), {}) == 0,
                 hosts << " hosts, seed " << seed);
    }
  }
}

}  // namespace
}  // namespace gentianlb::gateway
