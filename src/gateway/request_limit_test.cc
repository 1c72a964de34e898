// Entry hosts that dispatch for each other, before servers that name a request
// limit.

#include <glog/logging.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "gateway/group_site_test.h"

namespace gentianlb::gateway {
namespace {

using schedule::RequestOutcome;

constexpr int kServers = 8;
constexpr int kStreams = 18;

// A limit holds in each such window.
constexpr absl::Duration kWindow = absl::Seconds(4);
// From this long after it was first named.
constexpr absl::Duration kSettled = absl::Seconds(3);

double AllowedInWindow(double per_second) {
  return 1.5 * per_second * absl::ToDoubleSeconds(kWindow) + 5;
}

// Callers' requests, and the servers that run them.
class Site {
 public:
  explicit Site(int hosts, unsigned seed = 1)
      : groups(hosts, kServers, kStreams), host_count_(hosts) {
    FLAGS_minloglevel = google::GLOG_FATAL;  // The tests check no log lines.
    groups.random.seed(seed);
    random_.seed(seed);
    groups.peer_uses = [this] { return PeerUses(); };
  }

  // Sends `per_second` requests a second.
  void Run(absl::Duration span, double per_second) {
    const double per_step =
        per_second * absl::ToDoubleSeconds(GroupSite::kStep);
    for (const absl::Time end = groups.now + span; groups.now < end;) {
      for (due_ += per_step; due_ >= 1; --due_) Send();
      groups.Advance(GroupSite::kStep);
      HandleDecisions();
      EndCalls();
    }
  }

  void NameLimit(const std::string& server, double per_second) {
    limits_[server] = per_second;
  }
  void EndLimits() { limits_.clear(); }

  // Returns the most requests that `server` got in any window since `from`.
  int MostInWindow(const std::string& server, absl::Time from) const {
    const auto found = arrivals_.find(server);
    if (found == arrivals_.end()) return 0;
    const std::vector<absl::Time>& times = found->second;
    int most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
      if (*first < from) continue;
      const auto last = std::lower_bound(first, times.end(), *first + kWindow);
      most = std::max(most, static_cast<int>(last - first));
    }
    return most;
  }

  GroupSite groups;
  int sent = 0;
  int served = 0;
  int refused = 0;
  int refused_at_once = 0;
  absl::Duration longest_refusal;

 private:
  struct Call {
    std::string host;
    RequestId id;
    absl::Time sent_at;
    bool running = false;
    std::string server;
    absl::Time ends_at;
  };

  void Send() {
    std::string host;
    do {
      host = "h" + std::to_string(random_() % host_count_);
    } while (groups.hosts.at(host).frozen);
    const RequestId id = groups.Submit(host, 0, absl::Seconds(5));
    calls_.push_back({host, id, groups.now});
    ++sent;
  }

  void HandleDecisions() {
    std::erase_if(calls_, [this](Call& call) {
      if (call.running) return false;
      const GroupSite::Host& host = groups.hosts.at(call.host);
      if (host.frozen || host.local.contains(call.id)) return true;
      if (!host.outcomes.contains(call.id)) return false;
      if (!host.IsGranted(call.id)) {
        ++refused;
        const absl::Duration held = groups.now - call.sent_at;
        if (held <= absl::Milliseconds(50)) ++refused_at_once;
        longest_refusal = std::max(longest_refusal, held);
        return true;
      }
      call.running = true;
      call.server = host.outcomes.at(call.id);
      call.ends_at = groups.now + absl::Milliseconds(30 + random_() % 40);
      arrivals_[call.server].push_back(groups.now);
      return false;
    });
  }

  void EndCalls() {
    std::erase_if(calls_, [this](const Call& call) {
      if (!call.running || call.ends_at > groups.now) return false;
      ++served;
      double named = schedule::kNoRequestLimit;
      if (const auto limit = limits_.find(call.server);
          limit != limits_.end()) {
        named = limit->second;
        last_named_[call.server] = groups.now;
      }
      groups.FinishRequest(call.host, call.id, RequestOutcome::kComplete,
                           named);
      return true;
    });
  }

  // What hosts publish of limits that responses have named in the last seconds.
  absl::flat_hash_map<NameHash, ServerUse> PeerUses() {
    absl::flat_hash_map<NameHash, ServerUse> uses;
    for (const auto& [server, at] : last_named_) {
      if (groups.now - at > absl::Seconds(2)) continue;
      ServerUse use;
      use.server = HashName(server);
      const auto limit = limits_.find(server);
      if (limit == limits_.end()) continue;
      use.request_limit = static_cast<float>(limit->second);
      uses[use.server] = use;
    }
    return uses;
  }

  const int host_count_;
  std::mt19937 random_;
  double due_ = 0;
  std::map<std::string, double> limits_;
  std::map<std::string, absl::Time> last_named_;
  std::map<std::string, std::vector<absl::Time>> arrivals_;
  std::vector<Call> calls_;
};

// Guards against a server that gets many times the limit that it names, from
// any number of hosts, and against work that is lost while others have room.
BOOST_AUTO_TEST_CASE(AServerGetsNoMoreThanItsLimit) {
  for (const int hosts : {8, 64}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      Site site(hosts, seed);
      site.Run(absl::Seconds(1), 500);
      site.NameLimit("s0", 6.2);
      site.NameLimit("s1", 1);
      const absl::Time named = site.groups.now;
      site.Run(absl::Seconds(10), 500);
      BOOST_TEST(site.MostInWindow("s0", named + kSettled) <=
                 AllowedInWindow(6.2));
      BOOST_TEST(site.MostInWindow("s1", named + kSettled) <=
                 AllowedInWindow(1));
      BOOST_TEST(site.served >= 0.99 * site.sent);
    }
  }
}

// Guards against limits of all servers that are passed, that aren't used, or
// for which requests wait though they can't be run in time.
BOOST_AUTO_TEST_CASE(LimitsOfAllServersAreKeptAndUsed) {
  for (const int hosts : {8, 64}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      Site site(hosts, seed);
      for (int i = 0; i < kServers; ++i) {
        site.NameLimit("s" + std::to_string(i), 8);
      }
      const absl::Time named = site.groups.now;
      site.Run(kSettled, 300);
      site.served = site.refused = site.refused_at_once = 0;
      site.longest_refusal = absl::ZeroDuration();
      site.Run(absl::Seconds(10), 300);
      for (int i = 0; i < kServers; ++i) {
        BOOST_TEST(site.MostInWindow("s" + std::to_string(i),
                                     named + kSettled) <= AllowedInWindow(8));
      }
      BOOST_TEST(site.served >= 0.95 * 8 * kServers * 10);
      BOOST_TEST(site.refused > 0);
      BOOST_TEST(site.refused_at_once >= 0.95 * site.refused);
      BOOST_TEST((site.longest_refusal <=
                  GroupSite::kObjective + 2 * GroupSite::kStep));
    }
  }
}

// Guards against a dispatcher that takes over and knows no limits.
BOOST_AUTO_TEST_CASE(ANewDispatcherKeepsTheLimit) {
  for (const int hosts : {8, 64}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      Site site(hosts, seed);
      site.NameLimit("s0", 6.2);
      site.NameLimit("s1", 1);
      const absl::Time named = site.groups.now;
      site.Run(absl::Seconds(6), 300);
      site.groups.hosts.at(site.groups.Dispatcher()).frozen = true;
      site.Run(absl::Seconds(6), 300);
      BOOST_TEST(site.MostInWindow("s0", named + kSettled) <=
                 AllowedInWindow(6.2));
      BOOST_TEST(site.MostInWindow("s1", named + kSettled) <=
                 AllowedInWindow(1));
    }
  }
}

// Guards against a limit that holds on after its server has stopped naming it.
BOOST_AUTO_TEST_CASE(ALimitEndsWithTheFirstResponseWithoutIt) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Site site(8, seed);
    for (int i = 0; i < kServers; ++i) {
      site.NameLimit("s" + std::to_string(i), 2);
    }
    site.Run(absl::Seconds(5), 300);
    site.EndLimits();
    // Each server is asked twice a second.
    site.Run(absl::Milliseconds(700), 300);
    site.served = site.sent = 0;
    site.Run(absl::Seconds(2), 300);
    BOOST_TEST(site.served >= 0.95 * site.sent);
  }
}

// Guards against lost and repeated datagrams that let more through.
BOOST_AUTO_TEST_CASE(ALossyNetworkKeepsTheLimit) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Site site(8, seed);
    site.groups.lost_percent = 5;
    site.groups.duplicated_percent = 5;
    site.groups.max_delay_ms = 10;
    site.NameLimit("s0", 6.2);
    const absl::Time named = site.groups.now;
    site.Run(absl::Seconds(10), 300);
    BOOST_TEST(site.MostInWindow("s0", named + kSettled) <=
               AllowedInWindow(6.2));
  }
}

}  // namespace
}  // namespace gentianlb::gateway
