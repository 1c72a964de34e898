// Entry hosts that dispatch for each other, before servers that end under some
// requests whose callers repeat them at once over other hosts.

#include <glog/logging.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/group_site_test.h"

namespace gentianlb::gateway {
namespace {

using schedule::ContentHash;
using schedule::RequestOutcome;

constexpr int kServers = 9;
constexpr int kStreams = 18;
constexpr int kMaxServersEnded = 3;

// Callers' requests, and the servers that run them.
class Site {
 public:
  explicit Site(int hosts, unsigned seed = 1)
      : groups(hosts, kServers, kStreams), host_count_(hosts) {
    FLAGS_minloglevel = google::GLOG_FATAL;  // The tests check no log lines.
    groups.random.seed(seed);
    random_.seed(seed);
  }

  // Sends harmless requests for `span`, and runs all for as long.
  void Run(absl::Duration span, int harmless_per_step) {
    for (const absl::Time end = groups.now + span; groups.now < end;) {
      for (int i = 0; i < harmless_per_step; ++i) {
        const ContentHash content = ++last_content_;
        ++harmless_sent;
        Start(content, /*attempts=*/2);
      }
      Step();
    }
  }

  void SendHarmless(ContentHash content) { Start(content, /*attempts=*/2); }

  // A caller insists on a request that ends each server.
  void SendDeadly(ContentHash content) {
    deadly_.insert(content);
    Start(content, /*attempts=*/12);
  }

  void EndServer(const std::string& server) {
    if (!ended_.insert(server).second) return;
    const std::vector<Call> calls = calls_;
    for (const Call& call : calls) {
      if (call.running && call.server == server) {
        Lose(call);
      }
    }
  }

  std::string ServerName(int number) const {
    return "s" + std::to_string(number);
  }
  int ServersEnded() const { return static_cast<int>(ended_.size()); }
  int SendsOf(ContentHash content) { return sends_[content]; }

  GroupSite groups;
  int harmless_sent = 0;
  int harmless_served = 0;
  int harmless_suspected = 0;  // Refused since servers ended under them.

 private:
  struct Call {
    ContentHash content = 0;
    int attempts_left = 0;  // Of the caller.
    int sends_left = 0;     // Of this attempt.
    std::string host;
    RequestId id;
    int decisions = 0;  // Handled so far.
    bool running = false;
    std::string server;
    absl::Time ends_at;
  };

  void Start(ContentHash content, int attempts) {
    Call call;
    call.content = content;
    call.attempts_left = attempts - 1;
    call.sends_left = 2;
    call.host = NextHost();
    Submit(std::move(call));
  }

  std::string NextHost() {
    while (true) {
      std::string name = "h" + std::to_string(random_() % host_count_);
      if (!groups.hosts.at(name).frozen) return name;
    }
  }

  void Submit(Call call) {
    // The server that it lost, if any.
    const ServerId avoid(call.server);
    call.id =
        groups.Submit(call.host, 0, absl::Seconds(5), call.content, avoid);
    call.decisions = 0;
    call.running = false;
    calls_.push_back(std::move(call));
  }

  void Step() {
    groups.Advance(GroupSite::kStep);
    const std::vector<Call> calls = calls_;
    for (const Call& call : calls) HandleDecision(call.id);
    const std::vector<Call> running = calls_;
    for (const Call& call : running) {
      if (call.running && call.ends_at <= groups.now) End(call);
    }
    for (auto due = repeats_.begin();
         due != repeats_.end() && due->first <= groups.now;) {
      Call call = due->second;
      due = repeats_.erase(due);
      Start(call.content, call.attempts_left);
    }
  }

  Call* Find(const RequestId& id) {
    for (Call& call : calls_) {
      if (call.id == id) return &call;
    }
    return nullptr;
  }
  void Erase(const RequestId& id) {
    std::erase_if(calls_, [&](const Call& call) { return call.id == id; });
  }

  void HandleDecision(const RequestId& id) {
    Call* call = Find(id);
    if (call == nullptr) return;
    GroupSite::Host& host = groups.hosts.at(call->host);
    if (host.frozen || host.local.contains(id)) return Erase(id);
    const int decisions = host.decisions[id];
    if (decisions == call->decisions) return;
    call->decisions = decisions;
    if (!host.IsGranted(id)) return HandleRefusal(*call);
    call->server = host.outcomes.at(id);
    if (ended_.contains(call->server)) {
      return groups.FinishRequest(call->host, id, RequestOutcome::kNotSent);
    }
    ++sends_[call->content];
    call->running = true;
    const bool deadly = deadly_.contains(call->content);
    const unsigned span = deadly ? 20 : 20 + random_() % 130;
    call->ends_at = groups.now + absl::Milliseconds(span);
  }

  void HandleRefusal(const Call& call) {
    const Code code = groups.hosts.at(call.host).refusals.at(call.id);
    const bool deadly = deadly_.contains(call.content);
    if (!deadly && code == Code::kEndsServers) ++harmless_suspected;
    const Call refused = call;
    Erase(call.id);
    if (deadly) Repeat(refused);
  }

  void End(const Call& call) {
    if (Find(call.id) == nullptr) return;
    if (deadly_.contains(call.content)) return EndServer(call.server);
    ++harmless_served;
    groups.FinishRequest(call.host, call.id);
    Erase(call.id);
  }

  // The connection to the call's server is lost.
  void Lose(const Call& call) {
    Call next = call;
    Erase(call.id);
    groups.FinishRequest(next.host, next.id, RequestOutcome::kConnectionLost);
    if (--next.sends_left > 0) return Submit(std::move(next));
    Repeat(next);
  }

  // The caller comes back over another host.
  void Repeat(const Call& call) {
    constexpr absl::Duration kNewConnection = absl::Milliseconds(3);
    if (call.attempts_left <= 0) return;
    repeats_.emplace(groups.now + kNewConnection, call);
  }

  const int host_count_;
  std::mt19937 random_;
  ContentHash last_content_ = 1'000'000;
  std::vector<Call> calls_;
  std::multimap<absl::Time, Call> repeats_;
  std::set<ContentHash> deadly_;
  std::set<std::string> ended_;
  std::map<ContentHash, int> sends_;
};

constexpr ContentHash kDeadly = 1;
constexpr ContentHash kWanted = 2;

// Guards against a request that ends server after server, as its caller repeats
// it over other hosts.
BOOST_AUTO_TEST_CASE(ADeadlyRequestEndsThreeServersAtMost) {
  for (const int hosts : {8, 64}) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
      Site site(hosts, seed);
      site.Run(absl::Milliseconds(200), /*harmless_per_step=*/0);
      site.SendDeadly(kDeadly);
      site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
      BOOST_TEST(site.ServersEnded() == kMaxServersEnded);
      BOOST_TEST(site.SendsOf(kDeadly) == kMaxServersEnded);
    }
  }
}

// Guards against harmless requests that are refused for good since they ran
// beside a deadly one.
BOOST_AUTO_TEST_CASE(RequestsBesideADeadlyOneAreServed) {
  int sent = 0;
  int served = 0;
  int suspected = 0;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Site site(8, seed);
    site.Run(absl::Milliseconds(500), /*harmless_per_step=*/0);
    site.Run(absl::Milliseconds(300), /*harmless_per_step=*/1);
    site.SendDeadly(kDeadly);
    site.Run(absl::Seconds(1), /*harmless_per_step=*/1);
    site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
    BOOST_TEST(site.ServersEnded() == kMaxServersEnded);
    sent += site.harmless_sent;
    served += site.harmless_served;
    suspected += site.harmless_suspected;
  }
  BOOST_TEST_MESSAGE("sent " << sent << " served " << served << " suspected "
                             << suspected);
  BOOST_TEST(served >= 0.95 * sent);
  // One in a hundred of those that ran on the servers that ended.
  BOOST_TEST(suspected <= 0.01 * 10 * kMaxServersEnded * kStreams);
}

// Guards against harmless requests that are refused since many servers crash.
BOOST_AUTO_TEST_CASE(ServersThatCrashTogetherMakeNobodySuspect) {
  for (const int hosts : {8, 64}) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Site site(hosts, seed);
      site.Run(absl::Milliseconds(500), /*harmless_per_step=*/0);
      site.Run(absl::Milliseconds(300), /*harmless_per_step=*/1);
      for (int i = 0; i < kServers / 2; ++i) {
        site.EndServer(site.ServerName(i));
      }
      site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
      BOOST_TEST(site.harmless_suspected == 0);
    }
  }
}

// Guards against a content that many callers ask for and that is refused since
// one of its servers crashed.
BOOST_AUTO_TEST_CASE(AContentThatManyAskForOutlivesACrash) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Site site(8, seed);
    site.Run(absl::Milliseconds(500), /*harmless_per_step=*/0);
    for (int i = 0; i < 40; ++i) site.SendHarmless(kWanted);
    site.Run(absl::Milliseconds(10), /*harmless_per_step=*/0);
    site.EndServer(site.ServerName(0));
    site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
    BOOST_TEST(site.harmless_suspected <= 2);
    BOOST_TEST(site.harmless_served >= 38);
  }
}

// Guards against a request that ends more servers once another host dispatches.
BOOST_AUTO_TEST_CASE(ANewDispatcherKnowsTheDeadlyRequests) {
  for (const int hosts : {8, 64}) {
    Site site(hosts);
    site.Run(absl::Milliseconds(200), /*harmless_per_step=*/0);
    site.SendDeadly(kDeadly);
    site.Run(absl::Milliseconds(500), /*harmless_per_step=*/0);
    site.groups.hosts.at(site.groups.Dispatcher()).frozen = true;
    site.Run(absl::Seconds(2), /*harmless_per_step=*/0);
    site.SendDeadly(kDeadly);
    site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
    BOOST_TEST(site.ServersEnded() == kMaxServersEnded);
  }
}

// Guards against lost and repeated datagrams that let a deadly request through.
// Each lost report of a loss may let it run once more.
BOOST_AUTO_TEST_CASE(ALossyNetworkLetsFewDeadlyRequestsThrough) {
  int ended = 0;
  constexpr int kSeeds = 20;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Site site(8, seed);
    site.groups.lost_percent = 5;
    site.groups.duplicated_percent = 5;
    site.Run(absl::Milliseconds(200), /*harmless_per_step=*/0);
    site.SendDeadly(kDeadly);
    site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
    ended += site.ServersEnded();
  }
  BOOST_TEST(ended <= kSeeds * kMaxServersEnded * 1.05);
}

// Guards against a partition across which each side lets more servers end than
// it may alone.
BOOST_AUTO_TEST_CASE(EachSideOfAPartitionCountsForItself) {
  Site site(8);
  site.groups.partition = {"h0", "h1", "h2"};
  site.Run(absl::Seconds(2), /*harmless_per_step=*/0);
  site.SendDeadly(kDeadly);
  site.Run(absl::Seconds(1), /*harmless_per_step=*/0);
  BOOST_TEST(site.ServersEnded() <= 2 * kMaxServersEnded);
}

}  // namespace
}  // namespace gentianlb::gateway
