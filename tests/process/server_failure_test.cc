// Backend servers that die, freeze, cut or cross their answers, or leave.

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "process/deployment.h"
#include "process/verdicts.h"

namespace gentianlb::process {
namespace {

Shape OneZone(std::vector<EngineShape> engines) {
  Shape shape;
  shape.zones = {"abdali"};
  shape.engines = std::move(engines);
  return shape;
}

Json::Value Switch(const char* name, const Json::Value& value) {
  Json::Value changes;
  changes[name] = value;
  return changes;
}

std::int64_t Counter(const Member& server, const char* name) {
  return ShowControl(server.address)["counters"][name].asInt64();
}

// The only server of a service dies while it works on an answer. The caller is
// told that it may have been run; whoever comes later is told that it was not.
BOOST_AUTO_TEST_CASE(AKilledServerIsSaidByNumber) {
  Deployment site(GENTIANLB_BUILD_DIR,
                  OneZone({{.zone = "abdali", .decode_rate = 100}}));
  Caller caller(kDraftingToken);
  const std::string& host = site.host(0).address;
  Call running = caller.Ask(host, {kModel, "long", 3000, false});
  WaitUntil("the request runs",
            [&] { return Counter(site.engine(0), "executions") == 1; });
  site.engine(0).process->KillAndWait();
  Answer broken = running.Wait();
  BOOST_TEST(broken.Code() == static_cast<int>(Code::kServerBroke),
             broken.body);
  BOOST_TEST(broken.Run() == "unknown");

  Answer later =
      caller.Ask(host, {kModel, "x"}, {{"Gentian-Deadline", "2s"}}).Wait();
  BOOST_TEST(later.status >= 500, later.body);
  BOOST_TEST(later.Run() == "no", later.body);
}

// A connection to an engine breaks in the middle of an answer, while the engine
// goes on. The caller gets the whole answer and notices nothing.
BOOST_AUTO_TEST_CASE(ACutStreamIsResumed) {
  Deployment site(GENTIANLB_BUILD_DIR, OneZone({{.zone = "abdali"}}));
  SetControl(site.engine(0).address, Switch("cut_after_tokens", 20));
  Caller caller(kDraftingToken);
  for (bool stream : {true, false}) {
    Chat chat{kModel, "a draft", 100, stream};
    Answer answer = caller.Ask(site.host(0).address, chat, {Key("d")}).Wait();
    BOOST_TEST(answer.IsWhole(), answer.body);
    BOOST_TEST(answer.Text() == ExpectedText(chat));
  }
  BOOST_TEST(site.MostExecutions() == 1);
}

// An engine sends a chunk, and then a whole answer, that belong to another
// caller. Passed on, a member would read another firm's tender.
BOOST_AUTO_TEST_CASE(CrossedAnswersReachNobody) {
  Deployment site(GENTIANLB_BUILD_DIR, OneZone({{.zone = "abdali"}}));
  Caller caller(kDraftingToken);
  for (int round = 0; round < 6; ++round) {
    Chat chat{kModel, absl::StrCat("private ", round), 60, round % 2 == 0};
    Chat other{kModel, absl::StrCat("foreign ", round), 400};
    Call foreign = caller.Ask(site.host(0).address, other);
    SetControl(site.engine(0).address, Switch("crossed", 1));
    Answer answer = caller.Ask(site.host(0).address, chat).Wait();
    BOOST_TEST(IsTruthful(answer, chat), answer.body);
    BOOST_TEST(IsTruthful(foreign.Wait(), other));
  }
  BOOST_TEST(Counter(site.engine(0), "answers_crossed") > 0);
}

// An engine freezes with streams on it and later goes on. New requests are
// served by the other one, and those that were caught get their whole answers.
BOOST_AUTO_TEST_CASE(AFrozenServerIsPassedOver) {
  Deployment site(GENTIANLB_BUILD_DIR,
                  OneZone({{.zone = "abdali", .decode_rate = 400},
                           {.zone = "abdali", .decode_rate = 400}}));
  Caller caller(kDraftingToken);
  Chat caught_chat{kModel, "caught", 400};
  constexpr int kCaught = 4;
  std::vector<Call> caught;
  caught.reserve(kCaught);
  for (int i = 0; i < kCaught; ++i) {
    caught.push_back(caller.Ask(site.host(0).address, caught_chat));
  }
  for (Call& call : caught) call.WaitForBytes(1);
  SetControl(site.engine(0).address, Switch("freeze", true));

  std::int64_t before = Counter(site.engine(1), "executions");
  for (int i = 0; i < 20; ++i) {
    Chat chat{kModel, absl::StrCat("new ", i)};
    Answer answer = AskUntilFinal(caller, site.host(1).address, chat,
                                  absl::StrCat("frozen-", i));
    BOOST_TEST(IsTruthful(answer, chat), answer.body);
  }
  BOOST_TEST(Counter(site.engine(1), "executions") > before);

  SetControl(site.engine(0).address, Switch("freeze", false));
  for (Call& call : caught) BOOST_TEST(IsTruthful(call.Wait(), caught_chat));
  BOOST_TEST(site.MostExecutions() <= 1);
}

// A server is to be replaced and says so, or the platform's list does. From
// shortly after, none of the entry hosts gives it anything new, so that it can
// end without cutting anybody off.
BOOST_AUTO_TEST_CASE(ALeavingServerGetsNoNewWork) {
  Deployment site(
      GENTIANLB_BUILD_DIR,
      OneZone({{.zone = "abdali"}, {.zone = "abdali"}, {.zone = "abdali"}}));
  Caller caller(kDraftingToken);
  int asked = 0;
  auto ask_all = [&] {
    std::vector<Call> calls;
    for (int i = 0; i < 12; ++i) {
      const std::string& host = site.host(i % site.host_count()).address;
      calls.push_back(
          caller.Ask(host, {kModel, absl::StrCat("n", ++asked), 30}));
    }
    for (Call& call : calls) BOOST_TEST(call.Wait().IsWhole());
  };
  auto rests = [&](std::size_t engine) {
    std::int64_t before = Counter(site.engine(engine), "executions");
    ask_all();
    return Counter(site.engine(engine), "executions") == before;
  };

  SetControl(site.engine(0).address, Switch("leaving", true));
  site.ListAsLeaving({site.engine(1).name});
  WaitUntil("the leaving servers rest", [&] { return rests(0) && rests(1); });
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(rests(0));
    BOOST_TEST(rests(1));
  }
}

// The caller of a long draft hangs up. The engine is told, so that it doesn't
// go on computing for nobody.
BOOST_AUTO_TEST_CASE(AnAbandonedStreamIsCancelled) {
  Deployment site(GENTIANLB_BUILD_DIR,
                  OneZone({{.zone = "abdali", .decode_rate = 100}}));
  Caller caller(kDraftingToken);
  Call call = caller.Ask(site.host(0).address, {kModel, "long", 3000});
  call.WaitForBytes(1);
  call.Cancel();
  WaitUntil("the engine cancels",
            [&] { return Counter(site.engine(0), "cancelled") == 1; });
}

// One of two engines dies in the middle of an answer. Its caller can't be given
// the rest, and the other engine must not make the answer a second time.
BOOST_AUTO_TEST_CASE(AKilledServersStreamIsNotRunElsewhere) {
  Deployment site(GENTIANLB_BUILD_DIR,
                  OneZone({{.zone = "abdali", .decode_rate = 100},
                           {.zone = "abdali", .decode_rate = 100}}));
  Caller caller(kDraftingToken);
  Chat chat{kModel, "long", 3000};
  Call call = caller.Ask(site.host(0).address, chat, {Key("k")});
  call.WaitForBytes(1);
  bool on_first = Counter(site.engine(0), "executions") == 1;
  site.engine(on_first ? 0 : 1).process->KillAndWait();
  Answer cut = call.Wait();
  BOOST_TEST(!cut.IsWhole());
  BOOST_TEST(IsTruthful(cut, chat));
  Answer again = caller.Ask(site.host(1).address, chat, Sending("k", 2)).Wait();
  BOOST_TEST(again.Run() == "unknown", again.body);
  BOOST_TEST(Counter(site.engine(on_first ? 1 : 0), "executions") == 0);
}

}  // namespace
}  // namespace gentianlb::process
