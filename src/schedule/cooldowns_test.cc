// Tests placement by the cooldowns that servers ask of single hosts.

#include "schedule/cooldowns.h"

#include <boost/test/unit_test.hpp>

#include "schedule/dispatcher.h"

namespace gentianlb::schedule {
namespace {

const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
const EntryHostId h("h");

BOOST_AUTO_TEST_CASE(ACooldownExcludesOnePairUntilItsEnd) {
  Cooldowns cooldowns;
  cooldowns.OnAsked(h, 1, absl::Seconds(3), start);
  BOOST_TEST(cooldowns.IsExcluded(h, 1, start + absl::Seconds(2)));
  BOOST_TEST(!cooldowns.IsExcluded(h, 1, start + absl::Seconds(3)));
  BOOST_TEST(!cooldowns.IsExcluded(h, 2, start));
  BOOST_TEST(!cooldowns.IsExcluded(EntryHostId("other"), 1, start));
}

// Guards against a short cooldown that ends a longer one.
BOOST_AUTO_TEST_CASE(OfTwoCooldownsTheLaterEndCounts) {
  Cooldowns cooldowns;
  cooldowns.OnAsked(h, 1, absl::Seconds(3), start);
  cooldowns.OnAsked(h, 1, absl::Seconds(1), start + absl::Seconds(1));
  BOOST_TEST(cooldowns.IsExcluded(h, 1, start + absl::Seconds(2.5)));
}

// Guards against all waiting requests that reach a server as its cooldown ends.
BOOST_AUTO_TEST_CASE(AfterACooldownOneRequestIsAProbe) {
  Cooldowns cooldowns;
  cooldowns.OnAsked(h, 1, absl::Seconds(1), start);
  const absl::Time end = start + absl::Seconds(1);
  cooldowns.OnGrant(h, 1, end);
  BOOST_TEST(cooldowns.IsExcluded(h, 1, end));
  // A response to a request from before the cooldown says nothing.
  cooldowns.OnReached(h, 1, start);
  BOOST_TEST(cooldowns.IsExcluded(h, 1, end));
  cooldowns.OnReached(h, 1, end);
  BOOST_TEST(!cooldowns.IsExcluded(h, 1, end));
  BOOST_TEST(cooldowns.size() == 0u);
}

// Guards against a server that is lost to a host whose probe was lost.
BOOST_AUTO_TEST_CASE(WithoutAResponseAnotherProbeFollows) {
  Cooldowns cooldowns;
  cooldowns.OnAsked(h, 1, absl::Seconds(1), start);
  const absl::Time end = start + absl::Seconds(1);
  cooldowns.OnGrant(h, 1, end);
  BOOST_TEST(cooldowns.IsExcluded(h, 1, end + absl::Milliseconds(200)));
  BOOST_TEST(!cooldowns.IsExcluded(h, 1, end + absl::Milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(TheNextEndIsTakenOnce) {
  Cooldowns cooldowns;
  BOOST_TEST((cooldowns.NextEnd() == absl::InfiniteFuture()));
  cooldowns.OnAsked(h, 1, absl::Seconds(1), start);
  BOOST_TEST((cooldowns.NextEnd() == start + absl::Seconds(1)));
  BOOST_TEST(!cooldowns.TakeEnded(start));
  BOOST_TEST(cooldowns.TakeEnded(start + absl::Seconds(1)));
  BOOST_TEST(!cooldowns.TakeEnded(start + absl::Seconds(1)));
}

// A dispatcher for a plain service with two servers of two streams.
struct Site {
  Site() : dispatcher(Options()) {
    std::vector<ServerSpec> specs(2);
    specs[0].id = ServerId("a");
    specs[1].id = ServerId("b");
    for (ServerSpec& spec : specs) spec.max_streams = 2;
    Handle(ServersConfigured{specs});
  }

  static DispatcherOptions Options() {
    DispatcherOptions options;
    options.allow_preemption = false;
    options.min_retry_after = absl::Milliseconds(300);
    return options;
  }

  void Handle(const Event& event) {
    decisions.clear();
    dispatcher.Handle(event, now, &decisions);
  }

  void Arrive(const char* id, const char* host,
              absl::Duration deadline = absl::Seconds(10)) {
    Request request;
    request.id = RequestId(id);
    request.host = EntryHostId(host);
    request.arrival = now;
    request.deadline = now + deadline;
    Handle(RequestArrived{request});
  }

  void Finish(const char* id, RequestOutcome kind,
              std::vector<ServerCooldown> cooldowns = {}) {
    RequestFinished event{RequestId(id), kind};
    event.cooldowns = std::move(cooldowns);
    Handle(event);
  }

  // Returns the server of the only decision, "" if there is none that grants.
  std::string Granted() const {
    if (decisions.size() != 1) return "";
    const auto* grant = std::get_if<Grant>(&decisions.front());
    return grant == nullptr ? "" : grant->server.str();
  }
  const Refuse* Refused() const {
    return decisions.size() == 1 ? std::get_if<Refuse>(&decisions.front())
                                 : nullptr;
  }

  // Both servers refuse a request of `host` and ask for `span`.
  void CoolDown(const char* host, absl::Duration span) {
    for (const char* server : {"a", "b"}) {
      Arrive("first", host);
      Finish("first", RequestOutcome::kShed, {{ServerId(server), span}});
    }
  }

  absl::Time now = start;
  Dispatcher dispatcher;
  std::vector<Decision> decisions;
};

// Guards against grants of a server that has asked the host for a cooldown.
BOOST_FIXTURE_TEST_CASE(AServerIsNotGrantedDuringItsCooldown, Site) {
  Arrive("1", "h");
  const std::string server = Granted();
  Finish("1", RequestOutcome::kShed, {{ServerId(server), absl::Seconds(3)}});
  for (const char* id : {"2", "3", "4"}) {
    Arrive(id, "h");
    BOOST_TEST(Granted() != server);
    Finish(id, RequestOutcome::kComplete);
  }
}

// Guards against servers that all hosts avoid for the cooldown of one.
BOOST_FIXTURE_TEST_CASE(OtherHostsAreGrantedAServerInItsCooldown, Site) {
  CoolDown("h", absl::Seconds(3));
  Arrive("2", "other");
  BOOST_TEST(Granted() != "");
}

// A dispatcher that has just started doesn't know of the cooldowns. Guards
// against a request that is refused, or charged as a retry, for that.
BOOST_FIXTURE_TEST_CASE(AWithheldRequestGetsAnotherServerAtOnce, Site) {
  Arrive("1", "h");
  const std::string server = Granted();
  Finish("1", RequestOutcome::kWithheld,
         {{ServerId(server), absl::Seconds(3)}});
  BOOST_TEST(Granted() != "");
  BOOST_TEST(Granted() != server);
  BOOST_TEST(dispatcher.counters().retried == 0u);
}

// Guards against callers that wait in vain, or return before they can be
// served.
BOOST_FIXTURE_TEST_CASE(WithAllServersInCooldownACallerIsToldWhenItEnds, Site) {
  CoolDown("h", absl::Seconds(3));
  Arrive("2", "h", absl::Seconds(2));
  // It can't be served here, but other hosts may be welcome.
  BOOST_REQUIRE(Refused() != nullptr);
  BOOST_TEST((Refused()->code == Code::kServersCoolingDown));
  BOOST_TEST((Refused()->retry_after < absl::Seconds(1)));
  // With an objective that is over before the end, and time after it.
  Request request;
  request.id = RequestId("3");
  request.host = h;
  request.model = ModelId("");
  request.arrival = now;
  request.deadline = now + absl::Seconds(10);
  request.first_token_due = now + absl::Milliseconds(500);
  Handle(RequestArrived{request});
  BOOST_REQUIRE(Refused() != nullptr);
  BOOST_TEST((Refused()->retry_after >= absl::Seconds(3)));
  BOOST_TEST((Refused()->retry_after <= absl::Seconds(3.5)));
}

// Guards against a refusal of a caller that has the time to wait.
BOOST_FIXTURE_TEST_CASE(ACallerWithTimeWaitsForTheFirstCooldownToEnd, Site) {
  CoolDown("h", absl::Milliseconds(300));
  Arrive("2", "h");
  BOOST_TEST(decisions.empty());
  BOOST_TEST((dispatcher.NextWakeup() <= start + absl::Milliseconds(310)));
  now = dispatcher.NextWakeup();
  Handle(TimePassed{});
  BOOST_TEST(Granted() != "");
}

// Guards against a request that is refused for the cooldown of one server while
// another one is merely full.
BOOST_FIXTURE_TEST_CASE(ARequestWaitsForAFullServerDuringACooldown, Site) {
  Arrive("1", "h");
  const std::string cooling = Granted();
  Finish("1", RequestOutcome::kShed, {{ServerId(cooling), absl::Seconds(3)}});
  for (const char* id : {"2", "3"}) {
    Arrive(id, "h");
    BOOST_TEST(Granted() != cooling);
  }
  // Its time ends before the cooldown does.
  Arrive("4", "h", absl::Seconds(2));
  BOOST_TEST(decisions.empty());
  Finish("2", RequestOutcome::kComplete);
  BOOST_TEST(Granted() != "");
  BOOST_TEST(Granted() != cooling);
}

// Guards against requests that wait for a cooldown to end and keep the first
// places of their lane, so that requests of other hosts aren't tried.
BOOST_FIXTURE_TEST_CASE(FewRequestsWaitForACooldownToEnd, Site) {
  CoolDown("h", absl::Seconds(1));
  for (const char* id : {"2", "3"}) {
    Arrive(id, "h");
    BOOST_TEST(decisions.empty());
  }
  Arrive("4", "h");
  BOOST_REQUIRE(Refused() != nullptr);
  BOOST_TEST((Refused()->code == Code::kServersCoolingDown));
  BOOST_TEST((Refused()->retry_after >= absl::Seconds(1)));
  Arrive("5", "other");
  BOOST_TEST(Granted() != "");
}

// Guards against a server that all hosts avoid for longer than it has asked one
// of them for.
BOOST_FIXTURE_TEST_CASE(ACooldownLeavesTheWindowAsItWas, Site) {
  const int before = dispatcher.window(ServerId("a"));
  CoolDown("h", absl::Milliseconds(100));
  now += absl::Seconds(1);
  CoolDown("h", absl::Milliseconds(100));
  BOOST_TEST(dispatcher.window(ServerId("a")) == before);
  BOOST_TEST(dispatcher.CountServers().open == 2);
}

// Guards against a restarted server that stays idle for its predecessor.
BOOST_FIXTURE_TEST_CASE(ARestartedServerIsGrantedAtOnce, Site) {
  CoolDown("h", absl::Seconds(3));
  Handle(ServerHealthChanged{ServerId("b"), ServerHealth::kDead});
  Handle(ServerHealthChanged{ServerId("b"), ServerHealth::kAlive});
  Arrive("2", "h");
  BOOST_TEST(Granted() == "b");
}

}  // namespace
}  // namespace gentianlb::schedule
