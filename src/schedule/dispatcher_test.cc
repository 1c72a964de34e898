#include "schedule/dispatcher.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <set>

#include "schedule/fake_site_test.h"

namespace gentianlb::schedule {
namespace {

using Kind = CallerOutcome::Kind;

// A form is sent out and hundreds of chat questions arrive within a second,
// many times what the engines hold. Users either get their answer in time or
// hear at once that they can't have it, and when to ask again; nobody waits
// only to be told that it is too late.
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
  BOOST_TEST(site.InTime("chat") > 60);
  BOOST_TEST(refused_at_once > 200);
  // Of those that were let wait, nearly all made it.
  const int refused_late = site.Count(Kind::kRefused, 0) - refused_at_once;
  BOOST_TEST(refused_late + site.Count(Kind::kCancelled, 0) < 40);
  std::set<absl::Duration> times;
  for (const auto& [id, outcome] : site.outcomes) {
    if (outcome.kind == Kind::kRefused) times.insert(outcome.retry_after);
  }
  // They don't all come back in the same moment.
  BOOST_TEST(times.size() > 50u);
}

// One workspace's script sends ten times as much as its neighbour in the same
// tier. The neighbour's users notice nothing; the script waits for itself.
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
  BOOST_TEST(site.InTime("modest") == modest);
  BOOST_TEST(site.InTime("hot") > 60);
}

// The same with few but large requests: counted by number, the workspace with
// the drafts would get ten times the engine time of the other.
BOOST_AUTO_TEST_CASE(FairnessIsByWorkAndNotByCount) {
  FakeSite site;
  site.AddServers(1);
  for (int i = 0; i < 60; ++i) site.Send("large", 1, absl::Hours(1), 100, 500);
  for (int i = 0; i < 600; ++i) site.Send("small", 1, absl::Hours(1), 100, 50);
  site.Run(absl::Seconds(60));
  const double large = site.InTime("large") * 500.0;
  const double small = site.InTime("small") * 50.0;
  BOOST_TEST(large > 0.5 * small);
  BOOST_TEST(small > 0.5 * large);
}

// An engine slows down tenfold; its load report still looks idle. Users whose
// requests go there wait ten times as long, so within seconds next to nothing
// goes there; when it is well again, it gets its share back without help.
BOOST_AUTO_TEST_CASE(SlowServerIsLeftAloneAndComesBack) {
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
  site.slowness[slow] = 0.1;
  load(5);
  BOOST_TEST(site.dispatcher.window(slow) == 1);
  const std::size_t before = site.grants.size();
  load(10);
  const auto since = site.grants.begin() + static_cast<std::ptrdiff_t>(before);
  const auto to_slow = std::count_if(
      since, site.grants.end(),
      [&slow](const auto& grant) { return grant.second == slow; });
  BOOST_TEST(to_slow <= 5);
  site.slowness.clear();
  load(40);
  BOOST_TEST(site.dispatcher.window(slow) > 3);
}

// An engine hangs: connections stay open, no first token comes, and no answer
// ever tells that it is slow. Users sent there would wait for nothing.
BOOST_AUTO_TEST_CASE(SilentServerIsNoticedWithoutAnyAnswer) {
  FakeSite site;
  site.AddServers(2);
  const ServerId hung("server-0");
  site.slowness[hung] = 0;
  for (int i = 0; i < 100; ++i) {
    site.Send("chat", 0, absl::Seconds(60), 300, 60);
    site.Run(absl::Milliseconds(100));
  }
  BOOST_TEST(site.dispatcher.window(hung) <= 2);
  BOOST_TEST(site.dispatcher.counters().overdue_first_tokens > 0u);
  BOOST_TEST(site.RunningOn(hung) <= 8);
}

// A prompt of thirty thousand tokens takes six seconds on a healthy engine.
// Taken for a hang, it would cost a good engine its window.
BOOST_AUTO_TEST_CASE(LongPrefillIsNoSilence) {
  FakeSite site;
  site.AddServers(1);
  site.Send("draft", 0, absl::Minutes(5), 30000, 60);
  site.Run(absl::Seconds(20));
  BOOST_TEST(site.InTime("draft") == 1);
  BOOST_TEST(site.dispatcher.counters().overdue_first_tokens == 0u);
  BOOST_TEST(site.dispatcher.window(ServerId("server-0")) == 8);
}

// Tender drafts of a minute each fill all engines while one-line questions come
// in. Without room kept for them, a question waits until a draft is done.
BOOST_AUTO_TEST_CASE(ShortOnesPassLongOnesAndDontStarveThem) {
  FakeSite site;
  site.AddServers(2);
  for (int i = 0; i < 60; ++i) {  // What is usual here.
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
  BOOST_TEST(site.InTime("chat") >= questions * 0.98);
  BOOST_TEST(site.InTime("drafts") >= 35);
}

// Three times as much comes in as the engines can do. Urgent work goes on as if
// alone; the overnight tier is what gives way.
BOOST_AUTO_TEST_CASE(OverloadIsBorneByTheLowestTier) {
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
  BOOST_TEST(site.InTime("urgent") >= urgent * 0.97);
  BOOST_TEST(site.InTime("middle") > site.InTime("batch"));
  BOOST_TEST(site.dispatcher.counters().inversions == 0u);
}

// The queue is full of overnight sorting when a tender draft comes in. The
// draft's user must not be refused while sorting still waits.
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

// The site's cap drops while everything runs. The draw must follow at once, and
// it is overnight work that users lose, not the chat.
BOOST_AUTO_TEST_CASE(PowerDropCancelsFromTheLowestTierUp) {
  FakeSite site;
  site.AddServers(2);
  site.SetShare(1000);
  for (int i = 0; i < 6; ++i) site.Send("chat", 0, absl::Minutes(5), 100, 900);
  for (int i = 0; i < 8; ++i) site.Send("batch", 2, absl::Hours(1), 100, 3000);
  site.Run(absl::Seconds(5));
  const int batch_running = static_cast<int>(site.dispatcher.running()) - 6;
  BOOST_TEST(batch_running > 2);
  site.SetShare(330);  // Idle and six streams, not a seventh.
  site.Run(FakeSite::kStep * 2);
  BOOST_TEST(site.Count(Kind::kCancelled, 2) == batch_running);
  BOOST_TEST(site.Count(Kind::kCancelled, 0) == 0);
  BOOST_TEST(site.dispatcher.worst_watts() <= 330);
  BOOST_TEST(!site.overdrawn);
  BOOST_TEST(site.dispatcher.counters().WastedPrefill(WasteCause::kPowerShare) >
             0);
  site.Run(absl::Minutes(1));
  BOOST_TEST(site.InTime("chat") == 6);
}

// Every stream is taken by overnight work when an urgent question comes whose
// deadline is near. Its user gets the answer in time.
BOOST_AUTO_TEST_CASE(UrgentRequestPreemptsAtItsLastMoment) {
  DispatcherOptions options;
  options.weights = {.goodput = 1, .wasted_prefill = 0.2};
  FakeSite site(options);
  site.AddServers(1);
  for (int i = 0; i < 8; ++i) site.Send("batch", 2, absl::Hours(8), 100, 3000);
  site.Run(absl::Seconds(5));
  site.Send("chat", 0, absl::Seconds(10), 100, 100);
  site.Run(absl::Seconds(11));
  BOOST_TEST(site.InTime("chat") == 1);
  BOOST_TEST(site.Count(Kind::kCancelled, 2) == 1);
  for (const auto& [id, outcome] : site.outcomes) {
    // It had begun: nobody is told that it was not run.
    if (outcome.kind != Kind::kCancelled) continue;
    BOOST_TEST((Describe(outcome.code).run == RunState::kUnknown));
  }
}

// The host with the dispatcher dies and another takes over. What runs already
// must count, or engines would get twice what they can hold and the site twice
// its watts.
BOOST_AUTO_TEST_CASE(TakenOverWorkCountsAsRunning) {
  FakeSite site;
  site.AddServers(1);
  site.SetShare(600);
  for (int i = 0; i < 8; ++i) {
    const Request request = site.Make("chat", 0, absl::Minutes(1), 100, 100);
    site.Tell(RequestRunning{request, ServerId("server-0"), 10});
    // It is also described as waiting by a host that is behind.
    site.Tell(RequestArrived{request});
  }
  BOOST_TEST(site.dispatcher.running() == 8u);
  BOOST_TEST(site.dispatcher.worst_watts() == 260);
  site.Send("chat", 0, absl::Minutes(1), 100, 100);
  BOOST_TEST(site.grants.empty());
  site.Tell(RequestEnded{.id = RequestId("r0"), .output_tokens = 100});
  BOOST_TEST(site.grants.size() == 1u);
}

// A server refuses every connection. The requests were certainly not sent, so
// users are served by another server and notice nothing, and the failing one is
// not tried again and again.
BOOST_AUTO_TEST_CASE(NotSentIsRetriedElsewhereWithinABudget) {
  FakeSite site;
  site.AddServers(2);
  site.failing[ServerId("server-0")] = EndKind::kNotSent;
  for (int i = 0; i < 20; ++i) {
    site.Send("chat", 0, absl::Seconds(30), 100, 50);
    site.Run(absl::Milliseconds(200));
  }
  site.Run(absl::Seconds(20));
  BOOST_TEST(site.InTime("chat") == 20);
  BOOST_TEST(site.grants.size() < 30u);
  // All servers fail: the retries end, and the caller hears of it.
  site.failing[ServerId("server-1")] = EndKind::kNotSent;
  for (int i = 0; i < 50; ++i) {
    site.Send("chat", 0, absl::Seconds(30), 100, 50);
  }
  site.Run(absl::Minutes(2));
  BOOST_TEST(site.dispatcher.counters().retried < 40u);
  BOOST_TEST(site.dispatcher.waiting() == 0u);
}

// A server breaks off every answer. A request of which a byte may have reached
// a server is never sent again: a refund would go out twice.
BOOST_AUTO_TEST_CASE(BrokenIsNeverSentAgain) {
  FakeSite site;
  site.AddServers(2);
  site.failing[ServerId("server-0")] = EndKind::kBroken;
  for (int i = 0; i < 40; ++i) {
    site.Send("chat", 0, absl::Seconds(30), 100, 50);
    site.Run(absl::Milliseconds(200));
  }
  site.Run(absl::Seconds(10));
  std::set<RequestId> granted;
  for (const auto& [id, server] : site.grants) {
    BOOST_TEST(granted.insert(id).second);
  }
  // It fails at once and looks idle, yet does not draw all work to itself.
  BOOST_TEST(site.Count(Kind::kBroken, 0) < 10);
}

// A caller asks for what no engine could do in its time. It hears so at once,
// before any prompt is computed for it.
BOOST_AUTO_TEST_CASE(UnreachableDeadlineIsRefusedAtOnce) {
  FakeSite site;
  site.AddServers(1);
  const RequestId id = site.Send("draft", 0, absl::Seconds(1), 100, 3000);
  BOOST_TEST((site.outcomes.at(id).code == Code::kDeadlineUnreachable));
  BOOST_TEST((Describe(site.outcomes.at(id).code).run == RunState::kNo));
  Request unknown = site.Make("draft", 0, absl::Minutes(1), 10, 10);
  unknown.model = ModelId("other");
  site.Tell(RequestArrived{unknown});
  BOOST_TEST((site.outcomes.at(unknown.id).code == Code::kNoServer));
}

// A caller closes its window while the answer is being made. The engine is not
// kept busy for nobody, and what was computed is counted as thrown away.
BOOST_AUTO_TEST_CASE(GoneCallerFreesItsRoom) {
  FakeSite site;
  site.AddServers(1);
  const RequestId id = site.Send("chat", 0, absl::Minutes(5), 1000, 3000);
  site.Run(absl::Seconds(2));
  site.Tell(CallerGone{id});
  site.Run(FakeSite::kStep);
  BOOST_TEST(site.idle());
  BOOST_TEST(site.dispatcher.counters().WastedPrefill(
                 WasteCause::kCallerDisconnected) == 1000);
}

// What two deployments weigh differently shows in what they throw away and in
// what they finish, on the same overload.
BOOST_AUTO_TEST_CASE(WeightsTradeGoodputForWaste) {
  const auto play = [](const Weights& weights) {
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
    return std::pair(site.InTime("batch") + site.InTime("chat"),
                     wasted / counters.prefill_computed);
  };
  const auto [goodput, waste] = play({.goodput = 1, .wasted_prefill = 0.2});
  const auto [less, spared] = play({.goodput = 0.2, .wasted_prefill = 1});
  BOOST_TEST(goodput >= less);
  BOOST_TEST(spared <= waste);
  BOOST_TEST(spared < 0.02);
}

// Questions about the same letter go to the engine that has it in its cache,
// as long as that is not slower than computing it anew.
BOOST_AUTO_TEST_CASE(SharedPrefixGoesWhereItIsCached) {
  FakeSite site;
  site.AddServers(4);
  for (int i = 0; i < 10; ++i) {
    Request request = site.Make("chat", 0, absl::Seconds(30), 6400, 20);
    for (PrefixHash hash = 1; hash <= 100; ++hash) {
      request.prefix.push_back(hash);
    }
    site.Tell(RequestArrived{request});
    site.Run(absl::Seconds(3));
  }
  std::set<ServerId> used;
  for (const auto& [id, server] : site.grants) used.insert(server);
  BOOST_TEST(site.grants.size() == 10u);
  BOOST_TEST(used.size() == 1u);
}

// A plain service rejects some calls for want of room, and its windows are cut.
// Later it answers everything at once, but calls show nothing before their end:
// if its windows never grew again, callers would be refused for hours while the
// server stands nearly idle.
BOOST_AUTO_TEST_CASE(AWindowOfAPlainServiceGrowsAgain) {
  Dispatcher dispatcher({});
  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  ServerSpec spec;
  spec.id = ServerId("plain");
  spec.max_streams = 6;
  std::vector<Decision> decisions;
  int asked = 0;
  // Asks for more than is granted; what was granted ends 30 ms later.
  const auto play = [&](EndKind kind, int rounds) {
    for (int i = 0; i < rounds; ++i) {
      for (int j = 0; j < 8; ++j) {
        Request request;
        request.id = RequestId(std::to_string(asked++));
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
        dispatcher.Handle(RequestEnded{grant->id, kind, 0, 0}, now, &decisions);
      }
    }
  };
  dispatcher.Handle(ServersConfigured{{spec}}, now, &decisions);
  play(EndKind::kShed, 40);
  BOOST_TEST(dispatcher.window(ServerId("plain")) < 3);
  play(EndKind::kComplete, 200);
  BOOST_TEST(dispatcher.window(ServerId("plain")) == 6);
}

// Short requests come all the time, and a long one has an objective that bounds
// how long it may wait. Where the last stream of each server is kept for short
// ones, the callers of long ones are refused although streams are free.
BOOST_AUTO_TEST_CASE(ALongOneWithAnObjectiveGetsTheLastStream) {
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
    Request request = site.Make("draft", 0, absl::Minutes(5), 10, 1000);
    request.expected_output_tokens = 1000;
    request.first_token_due = site.now + absl::Seconds(2);
    site.Tell(RequestArrived{request});
    drafts.push_back(request.id);
  }
  site.Run(absl::Seconds(3));
  for (const RequestId& id : drafts) {
    BOOST_TEST(std::any_of(site.grants.begin(), site.grants.end(),
                           [&](const auto& one) { return one.first == id; }));
  }
}

// More is asked for than all streams give, and one answer in five is fifty
// times as long as the others. In order of arrival the long ones would hold
// nearly all streams, and most callers of short ones would be refused when
// their objective has passed.
BOOST_AUTO_TEST_CASE(UnderOverloadTheShortestAreInTimeFirst) {
  const auto play = [](int gap_ms) {
    FakeSite site;
    site.AddServers(2);
    for (int i = 0; i < 600; ++i) {
      const bool is_long = i % 5 == 0;
      Request request = site.Make(is_long ? "draft" : "note", 0,
                                  absl::Minutes(5), 100, is_long ? 500 : 10);
      request.workspace = WorkspaceId("one");
      request.expected_output_tokens = is_long ? 500 : 10;
      request.first_token_due = site.now + absl::Seconds(2);
      site.requests[request.id].workspace =
          WorkspaceId(is_long ? "draft" : "note");
      site.Tell(RequestArrived{request});
      site.Run(absl::Milliseconds(gap_ms));
    }
    site.Run(absl::Minutes(2));
    return std::pair(site.InTime("note"), site.InTime("draft"));
  };
  // Four times what the streams give.
  const auto [notes, drafts] = play(50);
  BOOST_TEST(notes >= 0.9 * 480);
  BOOST_TEST(drafts > 0);  // What the short ones leave.
  // Two thirds of it: all are served.
  const auto [calm_notes, calm_drafts] = play(300);
  BOOST_TEST(calm_notes == 480);
  BOOST_TEST(calm_drafts == 120);
}

// A server is taken out of the configuration. What runs there ends, and nothing
// new goes there.
// What the lower of two tiers gets of four servers, in time, and how long those
// that are refused were kept.
struct LowerTier {
  int asked = 0;
  int in_time = 0;
  int refused = 0;
  absl::Duration kept_median;
};

LowerTier RunTwoTiers(double urgent_load, double lower_load) {
  constexpr int kPrompt = 500;
  constexpr int kOutput = 20;
  // Of four servers with eight streams: some 60 such requests in a second.
  constexpr double kPerSecond = 38;
  FakeSite site;
  site.AddServers(4);
  double urgent_due = 0;
  double lower_due = 0;
  LowerTier got;
  std::vector<RequestId> lower;
  const auto send = [&](int tier) {
    Request request = site.Make("w", tier, absl::Seconds(6), kPrompt, kOutput);
    request.first_token_due = site.now + absl::Seconds(1);
    site.requests[request.id] = request;
    site.Tell(RequestArrived{request});
    return request.id;
  };
  for (int step = 0; step < 2000; ++step) {
    const double each = kPerSecond * absl::ToDoubleSeconds(FakeSite::kStep);
    urgent_due += urgent_load * each;
    lower_due += lower_load * each;
    for (; urgent_due >= 1; --urgent_due) send(0);
    for (; lower_due >= 1; --lower_due) {
      const RequestId id = send(1);
      if (step > 500) lower.push_back(id);
    }
    site.Run(FakeSite::kStep);
  }
  site.Run(absl::Seconds(8));
  std::vector<absl::Duration> kept;
  for (const RequestId& id : lower) {
    const CallerOutcome& outcome = site.outcomes.at(id);
    if (outcome.kind == CallerOutcome::Kind::kComplete) ++got.in_time;
    if (outcome.kind == CallerOutcome::Kind::kRefused) {
      kept.push_back(outcome.when - site.requests.at(id).arrival);
    }
  }
  std::sort(kept.begin(), kept.end());
  got.asked = static_cast<int>(lower.size());
  got.refused = static_cast<int>(kept.size());
  if (!kept.empty()) got.kept_median = kept[kept.size() / 2];
  BOOST_TEST_MESSAGE("lower tier: asked " << got.asked << " in time "
                                          << got.in_time << " kept "
                                          << got.kept_median);
  return got;
}

// Urgent callers alone use the servers up. A caller of the lower tier that is
// kept until its objective is nearly over, and refused then, has lost a second
// for nothing and comes back too late.
BOOST_AUTO_TEST_CASE(WhatCannotBeInTimeIsToldOnArrival) {
  const LowerTier got = RunTwoTiers(1.2, 0.5);
  BOOST_TEST(got.refused >= 0.9 * got.asked);  // Or there is nothing to tell.
  BOOST_TEST(got.kept_median <= absl::Milliseconds(100));
}

// A third of the servers' time is left for twice as much of the lower tier.
// Those that find no room hear so early, and what there is is used.
BOOST_AUTO_TEST_CASE(WhatIsLeftIsUsedByTheLowerTier) {
  const LowerTier got = RunTwoTiers(0.67, 0.67);
  BOOST_TEST(got.refused >= 0.2 * got.asked);
  BOOST_TEST(got.kept_median <= absl::Milliseconds(100));
  BOOST_TEST(got.in_time >= 0.4 * got.asked);
}

BOOST_AUTO_TEST_CASE(LeavingServerGetsNothingNew) {
  FakeSite site;
  site.AddServers(2);
  site.Tell(ServerHealthChanged{ServerId("server-0"), ServerHealth::kLeaving});
  for (int i = 0; i < 10; ++i) {
    site.Send("chat", 0, absl::Seconds(30), 100, 50);
  }
  site.Run(absl::Seconds(10));
  for (const auto& [id, server] : site.grants) {
    BOOST_TEST((server == ServerId("server-1")));
  }
  BOOST_TEST(site.InTime("chat") == 10);
}

}  // namespace
}  // namespace gentianlb::schedule
