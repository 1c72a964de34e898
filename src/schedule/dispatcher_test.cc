#include "schedule/dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <set>

#include "schedule/fake_site_test.h"

namespace gentianlb::schedule {
namespace {

using Kind = CallerOutcome::Kind;

// Hundreds of requests arrive within a second, many times what the engines can
// hold. Each is either answered in time or refused at once with a retry time;
// none waits just to be refused as too late.
BOOST_AUTO_TEST_CASE(BurstIsServedOrRefusedAtOnce) {
  FakeSite site;
  site.AddServers(2);
  std::vector<RequestId> sent;
  for (int i = 0; i < 400; ++i) {
    sent.push_back(site.Send("chat", 0, absl::Seconds(20), 200, 100));
    if (i % 4 == 0) site.Run(FakeSite::kStep);
  }
  const int refused_at_once = site.Count(Kind::kRefused, 0);
  site.Run(absl::Minutes(1));
  BOOST_TEST(site.CountInTime("chat") > 60);
  BOOST_TEST(refused_at_once > 200);
  // Nearly all queued requests are answered.
  const int refused_late = site.Count(Kind::kRefused, 0) - refused_at_once;
  BOOST_TEST(refused_late + site.Count(Kind::kCancelled, 0) < 40);
  std::set<absl::Duration> times;
  for (const auto& [id, outcome] : site.outcomes) {
    if (outcome.kind == Kind::kRefused) times.insert(outcome.retry_after);
  }
  // The retry times are spread.
  BOOST_TEST(times.size() > 50u);
}

// One workspace sends ten times as many requests as another in the same tier.
// Only the busy workspace is delayed.
BOOST_AUTO_TEST_CASE(HotWorkspaceDelaysItselfFirst) {
  FakeSite site;
  site.AddServers(1);
  int modest = 0;
  for (int i = 0; i < 300; ++i) {
    site.Send("hot", 1, absl::Seconds(30), 200, 100);
    if (i % 10 == 0) {
      site.Send("modest", 1, absl::Seconds(30), 200, 100);
      ++modest;
    }
    site.Run(absl::Milliseconds(100));
  }
  site.Run(absl::Minutes(1));
  BOOST_TEST(site.CountInTime("modest") == modest);
  BOOST_TEST(site.CountInTime("hot") > 60);
}

// One workspace sends few large requests. If fairness counted requests, it
// would get ten times the engine time of the other.
BOOST_AUTO_TEST_CASE(FairnessIsByWorkAndNotByCount) {
  FakeSite site;
  site.AddServers(1);
  for (int i = 0; i < 60; ++i) site.Send("large", 1, absl::Hours(1), 100, 500);
  for (int i = 0; i < 600; ++i) site.Send("small", 1, absl::Hours(1), 100, 50);
  site.Run(absl::Seconds(60));
  const double large = site.CountInTime("large") * 500.0;
  const double small = site.CountInTime("small") * 50.0;
  BOOST_TEST(large > 0.5 * small);
  BOOST_TEST(small > 0.5 * large);
}

// An engine becomes ten times slower while its load report still looks idle.
// Within seconds it must get almost no requests, as their callers would wait
// ten times as long. When it recovers, it gets its share back.
BOOST_AUTO_TEST_CASE(SlowServerLosesItsLoadAndRecovers) {
  FakeSite site;
  site.AddServers(3);
  const ServerId slow("server-1");
  const auto load = [&site](int seconds) {
    for (int i = 0; i < seconds * 10; ++i) {
      site.Send("chat", 0, absl::Seconds(15), 300, 60);
      site.Run(absl::Milliseconds(100));
    }
  };
  load(10);
  site.speed_factors[slow] = 0.1;
  load(5);
  BOOST_TEST(site.dispatcher.window(slow) == 1);
  const std::size_t before = site.grants.size();
  load(10);
  const auto since = site.grants.begin() + static_cast<std::ptrdiff_t>(before);
  const auto to_slow = std::count_if(
      since, site.grants.end(),
      [&slow](const auto& grant) { return grant.second == slow; });
  BOOST_TEST(to_slow <= 5);
  site.speed_factors.clear();
  load(40);
  BOOST_TEST(site.dispatcher.window(slow) > 3);
}

// An engine hangs: connections stay open, and no first token arrives. There is
// no response that shows it as slow, so requests would wait there forever.
BOOST_AUTO_TEST_CASE(HungServerIsDetectedWithoutAnyResponse) {
  FakeSite site;
  site.AddServers(2);
  const ServerId hung("server-0");
  site.speed_factors[hung] = 0;
  for (int i = 0; i < 100; ++i) {
    site.Send("chat", 0, absl::Seconds(60), 300, 60);
    site.Run(absl::Milliseconds(100));
  }
  BOOST_TEST(site.dispatcher.window(hung) <= 2);
  BOOST_TEST(site.dispatcher.counters().overdue_first_tokens > 0u);
  BOOST_TEST(site.RunningOn(hung) <= 8);
}

// A prompt of 30000 tokens takes six seconds on a healthy engine. If that were
// taken for a hang, the engine's window would be reduced.
BOOST_AUTO_TEST_CASE(LongPrefillIsNotTakenForAHang) {
  FakeSite site;
  site.AddServers(1);
  site.Send("draft", 0, absl::Minutes(5), 30000, 60);
  site.Run(absl::Seconds(20));
  BOOST_TEST(site.CountInTime("draft") == 1);
  BOOST_TEST(site.dispatcher.counters().overdue_first_tokens == 0u);
  BOOST_TEST(site.dispatcher.window(ServerId("server-0")) == 8);
}

// Drafts of a minute each fill all engines while short questions arrive.
// Without reserved streams a question would wait until a draft completes.
BOOST_AUTO_TEST_CASE(ShortRequestsPassLongOnesWithoutStarvingThem) {
  FakeSite site;
  site.AddServers(2);
  for (int i = 0; i < 60; ++i) {  // The usual output length.
    site.Send("chat", 1, absl::Seconds(10), 50, 20);
    site.Run(absl::Milliseconds(100));
  }
  for (int i = 0; i < 40; ++i) {
    site.Send("drafts", 1, absl::Minutes(10), 500, 3000);
  }
  int questions = 60;
  for (int i = 0; i < 600; ++i) {
    site.Send("chat", 1, absl::Seconds(10), 50, 20);
    ++questions;
    site.Run(absl::Milliseconds(200));
  }
  site.Run(absl::Minutes(8));
  BOOST_TEST(site.CountInTime("chat") >= questions * 0.98);
  BOOST_TEST(site.CountInTime("drafts") >= 35);
}

// The load is three times the capacity. The top tier must be served as if
// alone; the lowest tier is the one that is refused.
BOOST_AUTO_TEST_CASE(OverloadDegradesTheLowestTier) {
  FakeSite site;
  site.AddServers(2);
  int urgent = 0;
  for (int i = 0; i < 600; ++i) {
    if (i % 5 == 0) {
      site.Send("urgent", 0, absl::Seconds(10), 200, 100);
      ++urgent;
    }
    site.Send("middle", 1, absl::Seconds(20), 200, 100);
    site.Send("batch", 2, absl::Seconds(60), 200, 100);
    site.Run(absl::Milliseconds(100));
  }
  site.Run(absl::Minutes(2));
  BOOST_TEST(site.CountInTime("urgent") >= urgent * 0.97);
  BOOST_TEST(site.CountInTime("middle") > site.CountInTime("batch"));
  BOOST_TEST(site.dispatcher.counters().inversions == 0u);
}

// The queue is full of batch requests when a draft of the top tier arrives. The
// draft must not be refused while batch requests wait.
BOOST_AUTO_TEST_CASE(FullQueueShedsTheLowestTierFirst) {
  DispatcherOptions options;
  options.max_waiting = 20;
  FakeSite site(options);
  site.AddServers(1);
  for (int i = 0; i < 40; ++i) site.Send("batch", 2, absl::Hours(8), 100, 100);
  const int refused = site.Count(Kind::kRefused, 2);
  for (int i = 0; i < 20; ++i) site.Send("draft", 0, absl::Hours(1), 100, 100);
  BOOST_TEST(site.Count(Kind::kRefused, 2) >= refused + 10);
  BOOST_TEST(site.Count(Kind::kRefused, 0) == 0);
  BOOST_TEST(site.dispatcher.counters().inversions == 0u);
}

// The power cap drops while all servers are busy. The power must drop at once,
// by cancelling batch requests and not chat.
BOOST_AUTO_TEST_CASE(PowerDropCancelsFromTheLowestTierUp) {
  FakeSite site;
  site.AddServers(2);
  site.SetShare(1000);
  for (int i = 0; i < 6; ++i) site.Send("chat", 0, absl::Minutes(5), 100, 900);
  for (int i = 0; i < 8; ++i) site.Send("batch", 2, absl::Hours(1), 100, 3000);
  site.Run(absl::Seconds(5));
  const int batch_running = static_cast<int>(site.dispatcher.running()) - 6;
  BOOST_TEST(batch_running > 2);
  site.SetShare(330);  // Idle power and six streams, but not a seventh.
  site.Run(FakeSite::kStep * 2);
  BOOST_TEST(site.Count(Kind::kCancelled, 2) == batch_running);
  BOOST_TEST(site.Count(Kind::kCancelled, 0) == 0);
  BOOST_TEST(site.dispatcher.worst_watts() <= 330);
  BOOST_TEST(!site.power_exceeded);
  BOOST_TEST(site.dispatcher.counters().WastedPrefill(WasteCause::kPowerShare) >
             0);
  site.Run(absl::Minutes(1));
  BOOST_TEST(site.CountInTime("chat") == 6);
}

// Batch requests occupy every stream when an urgent request with a near
// deadline arrives. It must be answered in time.
BOOST_AUTO_TEST_CASE(UrgentRequestPreemptsNearItsLatestStart) {
  DispatcherOptions options;
  options.weights = {.goodput = 1, .wasted_prefill = 0.2};
  FakeSite site(options);
  site.AddServers(1);
  for (int i = 0; i < 8; ++i) site.Send("batch", 2, absl::Hours(8), 100, 3000);
  site.Run(absl::Seconds(5));
  site.Send("chat", 0, absl::Seconds(10), 100, 100);
  site.Run(absl::Seconds(11));
  BOOST_TEST(site.CountInTime("chat") == 1);
  BOOST_TEST(site.Count(Kind::kCancelled, 2) == 1);
  for (const auto& [id, outcome] : site.outcomes) {
    // It was running, so the code must not say that it was not run.
    if (outcome.kind != Kind::kCancelled) continue;
    BOOST_TEST((Describe(outcome.code).run == RunState::kUnknown));
  }
}

// Another host takes over after the dispatcher's host dies. Running requests
// must count, or the engines would get twice the requests they can hold and use
// twice the power.
BOOST_AUTO_TEST_CASE(AdoptedRequestsCountAsRunning) {
  FakeSite site;
  site.AddServers(1);
  site.SetShare(600);
  for (int i = 0; i < 8; ++i) {
    const Request request =
        site.MakeRequest("chat", 0, absl::Minutes(1), 100, 100);
    site.Deliver(RequestRunning{request, ServerId("server-0"), 10});
    // A host with older state also reports it as waiting.
    site.Deliver(RequestArrived{request});
  }
  BOOST_TEST(site.dispatcher.running() == 8u);
  BOOST_TEST(site.dispatcher.worst_watts() == 260);
  site.Send("chat", 0, absl::Minutes(1), 100, 100);
  BOOST_TEST(site.grants.empty());
  site.Deliver(RequestFinished{.id = RequestId("r0"), .output_tokens = 100});
  BOOST_TEST(site.grants.size() == 1u);
}

// A server refuses every connection. Its requests were certainly not sent, so
// another server answers them, and the failing one is not retried endlessly.
BOOST_AUTO_TEST_CASE(UnsentRequestIsRetriedWithinTheBudget) {
  FakeSite site;
  site.AddServers(2);
  site.failures[ServerId("server-0")] = RequestOutcome::kNotSent;
  for (int i = 0; i < 20; ++i) {
    site.Send("chat", 0, absl::Seconds(30), 100, 50);
    site.Run(absl::Milliseconds(200));
  }
  site.Run(absl::Seconds(20));
  BOOST_TEST(site.CountInTime("chat") == 20);
  BOOST_TEST(site.grants.size() < 30u);
  // All servers fail: the retries stop, and the callers are refused.
  site.failures[ServerId("server-1")] = RequestOutcome::kNotSent;
  for (int i = 0; i < 50; ++i) {
    site.Send("chat", 0, absl::Seconds(30), 100, 50);
  }
  site.Run(absl::Minutes(2));
  BOOST_TEST(site.dispatcher.counters().retried < 40u);
  BOOST_TEST(site.dispatcher.waiting() == 0u);
}

// A server aborts every response. A request that may have reached a server
// must never be sent again, as it could run twice.
BOOST_AUTO_TEST_CASE(FailedRequestIsNeverRetried) {
  FakeSite site;
  site.AddServers(2);
  site.failures[ServerId("server-0")] = RequestOutcome::kFailed;
  for (int i = 0; i < 40; ++i) {
    site.Send("chat", 0, absl::Seconds(30), 100, 50);
    site.Run(absl::Milliseconds(200));
  }
  site.Run(absl::Seconds(10));
  std::set<RequestId> granted;
  for (const auto& [id, server] : site.grants) {
    BOOST_TEST(granted.insert(id).second);
  }
  // It fails at once and looks idle, but must not attract all requests.
  BOOST_TEST(site.Count(Kind::kFailed, 0) < 10);
}

// No engine can finish the request before its deadline. It is refused at once,
// before its prompt is computed.
BOOST_AUTO_TEST_CASE(UnreachableDeadlineIsRefusedAtOnce) {
  FakeSite site;
  site.AddServers(1);
  const RequestId id = site.Send("draft", 0, absl::Seconds(1), 100, 3000);
  BOOST_TEST((site.outcomes.at(id).code == Code::kDeadlineUnreachable));
  BOOST_TEST((Describe(site.outcomes.at(id).code).run == RunState::kNo));
  Request unknown = site.MakeRequest("draft", 0, absl::Minutes(1), 10, 10);
  unknown.model = ModelId("other");
  site.Deliver(RequestArrived{unknown});
  BOOST_TEST((site.outcomes.at(unknown.id).code == Code::kNoServer));
}

// A caller disconnects while its response is computed. The engine must stop,
// and the computed prompt counts as wasted.
BOOST_AUTO_TEST_CASE(DisconnectedCallerFreesItsCapacity) {
  FakeSite site;
  site.AddServers(1);
  const RequestId id = site.Send("chat", 0, absl::Minutes(5), 1000, 3000);
  site.Run(absl::Seconds(2));
  site.Deliver(CallerDisconnected{id});
  site.Run(FakeSite::kStep);
  BOOST_TEST(site.idle());
  BOOST_TEST(site.dispatcher.counters().WastedPrefill(
                 WasteCause::kCallerDisconnected) == 1000);
}

// Under the same overload, two deployments with different weights differ in
// wasted prefill and in goodput.
BOOST_AUTO_TEST_CASE(WeightsTradeGoodputForWaste) {
  const auto run_scenario = [](const Weights& weights) {
    DispatcherOptions options;
    options.weights = weights;
    FakeSite site(options);
    site.AddServers(2);
    for (int i = 0; i < 600; ++i) {
      const int length = 100 + (i * 37) % 700;
      site.Send("batch", 1, absl::Seconds(40), 2000, length);
      if (i % 3 == 0) site.Send("chat", 0, absl::Seconds(8), 200, 60);
      site.Run(absl::Milliseconds(200));
    }
    site.Run(absl::Minutes(2));
    const Counters& counters = site.dispatcher.counters();
    const double wasted = counters.WastedPrefill(WasteCause::kDeadlineMissed) +
                          counters.WastedPrefill(WasteCause::kPreempted);
    return std::pair(site.CountInTime("batch") + site.CountInTime("chat"),
                     wasted / counters.prefill_computed);
  };
  const auto [goodput, waste] =
      run_scenario({.goodput = 1, .wasted_prefill = 0.2});
  const auto [cautious_goodput, cautious_waste] =
      run_scenario({.goodput = 0.2, .wasted_prefill = 1});
  BOOST_TEST(goodput >= cautious_goodput);
  BOOST_TEST(cautious_waste <= waste);
  BOOST_TEST(cautious_waste < 0.02);
}

// Requests with the same prefix go to the server that has it cached, as long as
// that isn't slower than computing it again.
BOOST_AUTO_TEST_CASE(SharedPrefixGoesToTheServerThatCachesIt) {
  FakeSite site;
  site.AddServers(4);
  for (int i = 0; i < 10; ++i) {
    Request request = site.MakeRequest("chat", 0, absl::Seconds(30), 6400, 20);
    for (PrefixHash hash = 1; hash <= 100; ++hash) {
      request.prefix.push_back(hash);
    }
    site.Deliver(RequestArrived{request});
    site.Run(absl::Seconds(3));
  }
  std::set<ServerId> used;
  for (const auto& [id, server] : site.grants) used.insert(server);
  BOOST_TEST(site.grants.size() == 10u);
  BOOST_TEST(used.size() == 1u);
}

// A plain service sheds some calls, which reduces its windows. Later it answers
// all calls at once, but calls report nothing before their end. If the windows
// never grew again, callers would be refused while the server is nearly idle.
BOOST_AUTO_TEST_CASE(PlainServiceWindowGrowsAgain) {
  Dispatcher dispatcher({});
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  ServerSpec spec;
  spec.id = ServerId("plain");
  spec.max_streams = 6;
  std::vector<Decision> decisions;
  int next_id = 0;
  // Sends more requests than are granted; granted ones finish 30 ms later.
  const auto run_scenario = [&](RequestOutcome kind, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      for (int j = 0; j < 8; ++j) {
        Request request;
        request.id = RequestId(std::to_string(next_id++));
        request.host = EntryHostId("host");
        request.deadline = now + absl::Seconds(1);
        dispatcher.Handle(RequestArrived{request}, now, &decisions);
      }
      now += absl::Milliseconds(30);
      std::vector<Decision> before;
      before.swap(decisions);
      for (const Decision& decision : before) {
        const auto* grant = std::get_if<Grant>(&decision);
        if (grant == nullptr) continue;
        dispatcher.Handle(RequestFinished{grant->id, kind, 0, 0}, now,
                          &decisions);
      }
    }
  };
  dispatcher.Handle(ServersConfigured{{spec}}, now, &decisions);
  run_scenario(RequestOutcome::kShed, 40);
  BOOST_TEST(dispatcher.window(ServerId("plain")) < 3);
  run_scenario(RequestOutcome::kComplete, 200);
  BOOST_TEST(dispatcher.window(ServerId("plain")) == 6);
}

// Short requests arrive steadily, and long ones have a first token deadline.
// If the last stream of each server were reserved for short requests, long ones
// would be refused although streams are free.
BOOST_AUTO_TEST_CASE(LongRequestWithFirstTokenDeadlineGetsTheLastStream) {
  FakeSite site;
  site.AddServers(1);
  for (int i = 0; i < 100; ++i) {
    site.Send("chat", 0, absl::Seconds(30), 10, 5);
    site.Run(absl::Milliseconds(200));
  }
  site.Run(absl::Seconds(5));
  std::vector<RequestId> drafts;
  drafts.reserve(8);
  for (int i = 0; i < 8; ++i) {
    Request request = site.MakeRequest("draft", 0, absl::Minutes(5), 10, 1000);
    request.expected_output_tokens = 1000;
    request.first_token_due = site.now + absl::Seconds(2);
    site.Deliver(RequestArrived{request});
    drafts.push_back(request.id);
  }
  site.Run(absl::Seconds(3));
  for (const RequestId& id : drafts) {
    BOOST_TEST(std::any_of(site.grants.begin(), site.grants.end(),
                           [&](const auto& one) { return one.first == id; }));
  }
}

// A server is leaving. It gets no new requests, and the other server answers
// them all.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNoNewRequests) {
  FakeSite site;
  site.AddServers(2);
  site.Deliver(
      ServerHealthChanged{ServerId("server-0"), ServerHealth::kLeaving});
  for (int i = 0; i < 10; ++i) {
    site.Send("chat", 0, absl::Seconds(30), 100, 50);
  }
  site.Run(absl::Seconds(10));
  for (const auto& [id, server] : site.grants) {
    BOOST_TEST((server == ServerId("server-1")));
  }
  BOOST_TEST(site.CountInTime("chat") == 10);
}

}  // namespace
}  // namespace gentianlb::schedule
