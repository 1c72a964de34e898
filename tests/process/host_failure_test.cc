// Entry hosts that die, stand still or are cut off, while callers re-send their
// keys elsewhere. Counts are taken at the servers.

#include <signal.h>

#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "process/deployment.h"
#include "process/verdicts.h"

namespace gentianlb::process {
namespace {

constexpr int kRequests = 8;

// Two streams at a time, so that most of the requests wait.
Shape Narrow() {
  Shape shape;
  shape.zones = {"abdali"};
  shape.hosts_per_zone = 3;
  shape.engines = {{.zone = "abdali", .decode_rate = 400, .max_streams = 2}};
  shape.relays = true;
  return shape;
}

struct Sent {
  Chat chat;
  std::string key;
  Call call;
};

std::vector<Sent> SendAll(Caller& caller, const std::string& host) {
  std::vector<Sent> sent;
  for (int i = 0; i < kRequests; ++i) {
    Chat chat{kModel, absl::StrCat("draft ", i), 200};
    std::string key = absl::StrCat("key-", i);
    sent.push_back({chat, key, caller.Ask(host, chat, Sending(key, 1))});
  }
  sent.front().call.WaitForBytes(1);
  return sent;
}

// Sends every key again to another host. Each that was being answered has to be
// answered in the end; no key may have been executed twice.
void ResendAll(Deployment& site, Caller& caller, const std::string& host,
               const std::vector<Sent>& sent) {
  for (const Sent& request : sent) {
    bool begun = !request.call.SoFar().Text().empty();
    Answer answer = AskUntilFinal(caller, host, request.chat, request.key, 2);
    BOOST_TEST(IsTruthful(answer, request.chat), answer.body);
    BOOST_TEST((answer.IsWhole() || !begun), answer.body);
  }
  BOOST_TEST(site.MostExecutions() == 1);
}

// An entry host is killed while it streams some answers and others wait. The
// callers see broken connections and send their keys to the next host.
BOOST_AUTO_TEST_CASE(KeysOfAKilledHostAreRunOnce) {
  Deployment site(GENTIANLB_BUILD_DIR, Narrow());
  Caller caller(kDraftingToken);
  std::vector<Sent> sent = SendAll(caller, site.host(0).address);
  site.host(0).process->KillAndWait();
  for (Sent& request : sent) {
    BOOST_TEST(IsTruthful(request.call.Wait(), request.chat));
  }
  ResendAll(site, caller, site.host(1).address, sent);
}

// An entry host stands still for a while, as in a paused virtual machine, and
// then goes on as if nothing had been. The callers have long sent their keys to
// another host.
BOOST_AUTO_TEST_CASE(KeysOfAPausedHostAreRunOnce) {
  Deployment site(GENTIANLB_BUILD_DIR, Narrow());
  Caller caller(kDraftingToken);
  std::vector<Sent> sent = SendAll(caller, site.host(0).address);
  site.host(0).process->Signal(SIGSTOP);
  ResendAll(site, caller, site.host(1).address, sent);
  site.host(0).process->Signal(SIGCONT);
  for (Sent& request : sent) {
    BOOST_TEST(IsTruthful(request.call.Wait(), request.chat));
  }
  BOOST_TEST(site.MostExecutions() == 1);
}

// An entry host loses touch with its peers and the platform, but not with its
// callers and servers, while keys are sent there and to another host. Those
// without a key are served all the time.
BOOST_AUTO_TEST_CASE(KeysAreRunOnceWhileAHostIsCutOff) {
  Deployment site(GENTIANLB_BUILD_DIR, Narrow());
  Caller caller(kDraftingToken);
  std::vector<Sent> sent = SendAll(caller, site.host(0).address);
  site.SetAllLinks(0, LinkState::kCut);
  std::vector<Call> again;
  again.reserve(sent.size());
  for (const Sent& request : sent) {
    again.push_back(caller.Ask(site.host(1).address, request.chat,
                               Sending(request.key, 2)));
  }
  Chat keyless{kModel, "keyless"};
  WaitUntil("the cut-off host serves", [&] {
    return caller.Ask(site.host(0).address, keyless).Wait().IsWhole();
  });
  site.SetAllLinks(0, LinkState::kOpen);
  for (std::size_t i = 0; i < sent.size(); ++i) {
    BOOST_TEST(IsTruthful(sent[i].call.Wait(), sent[i].chat));
    BOOST_TEST(IsTruthful(again[i].Wait(), sent[i].chat));
  }
  ResendAll(site, caller, site.host(2).address, sent);
}

// An entry host is killed, or stands still, in the middle of its streams. The
// callers' re-sends at the next host get the whole answers, from the engine
// that has them, and nothing is made twice.
BOOST_AUTO_TEST_CASE(AnswersBegunAtALostHostAreResumed) {
  for (int signal : {SIGKILL, SIGSTOP}) {
    Shape wide = Narrow();
    wide.engines[0].max_streams = kRequests;
    Deployment site(GENTIANLB_BUILD_DIR, wide);
    Caller caller(kDraftingToken);
    std::vector<Sent> sent = SendAll(caller, site.host(0).address);
    for (Sent& request : sent) request.call.WaitForBytes(1);
    site.host(0).process->Signal(signal);
    for (const Sent& request : sent) {
      Answer answer = AskUntilFinal(caller, site.host(1).address, request.chat,
                                    request.key, 2);
      BOOST_TEST(answer.Text() == ExpectedText(request.chat), answer.body);
    }
    BOOST_TEST(site.MostExecutions() == 1);
    BOOST_TEST(site.AllExecutions() == kRequests);
  }
}

// Guards against callers who are told for ever to come back for an answer that
// no server has: an entry host died, and its engine has not received the
// request or has forgotten it.
BOOST_AUTO_TEST_CASE(AKeyThatNoServerHasGetsAFinalAnswer) {
  Deployment site(GENTIANLB_BUILD_DIR, Narrow());
  Json::Value forgetful;
  forgetful["keep_ms"] = 0;
  SetControl(site.engine(0).address, forgetful);
  Caller caller(kDraftingToken);
  Chat chat{kModel, "a draft", 200};
  Call first = caller.Ask(site.host(0).address, chat, Sending("k", 1));
  first.WaitForBytes(1);
  site.host(0).process->KillAndWait();
  absl::SleepFor(absl::Seconds(1));  // The engine ends the stream meanwhile.
  Answer answer = AskUntilFinal(caller, site.host(1).address, chat, "k", 2);
  BOOST_TEST(answer.Run() == "unknown", answer.body);
  BOOST_TEST(site.AllExecutions() == 1);
}

// An entry host is killed while a permit check runs for it. Nobody can know
// whether it took effect, so that no host may run it again.
BOOST_AUTO_TEST_CASE(APermitCheckOfAKilledHostIsNotRepeated) {
  Deployment site(GENTIANLB_BUILD_DIR, Narrow());
  Caller caller(kPermitToken);
  Json::Value slow;
  slow["work_ms"] = 1000;
  SetControl(site.portal(0).address, slow);
  auto send = [&](std::size_t host) {
    return caller.Send(site.host(host).address, "POST",
                       "/member-portal/permits/check", "{}", {Key("p")});
  };
  Call first = send(0);
  WaitUntil("the check runs", [&] { return site.Executions()["p"] == 1; });
  site.host(0).process->KillAndWait();
  BOOST_TEST(!first.Wait().IsWhole());
  for (std::size_t host : {1, 2}) {
    Answer again = send(host).Wait();
    BOOST_TEST(!again.IsWhole());
    BOOST_TEST(again.Run() == "unknown", again.body);
  }
  BOOST_TEST(site.Executions()["p"] == 1);
}

// Impatient clients send one key to all entry hosts at once. All get the whole
// answer, and it is made once.
BOOST_AUTO_TEST_CASE(ADraftSentEverywhereIsMadeOnce) {
  Deployment site(GENTIANLB_BUILD_DIR, Narrow());
  Caller caller(kDraftingToken);
  Chat chat{kModel, "the same draft", 200};
  std::vector<Call> calls;
  for (int i = 0; i < 2; ++i) {
    for (std::size_t host = 0; host < site.host_count(); ++host) {
      calls.push_back(
          caller.Ask(site.host(host).address, chat, Sending("same", i + 1)));
    }
  }
  for (Call& call : calls) {
    Answer answer = call.Wait();
    BOOST_TEST(answer.Text() == ExpectedText(chat), answer.body);
  }
  BOOST_TEST(site.AllExecutions() == 1);
}

// Members press the button again and again: one permit check reaches all entry
// hosts at once. It is run by one of them.
BOOST_AUTO_TEST_CASE(APermitCheckSentEverywhereIsRunOnce) {
  Deployment site(GENTIANLB_BUILD_DIR, Narrow());
  Caller caller(kPermitToken);
  for (int i = 0; i < 20; ++i) {
    std::string key = absl::StrCat("permit-", i);
    std::vector<Call> calls;
    for (std::size_t host = 0; host < site.host_count(); ++host) {
      calls.push_back(caller.Send(site.host(host).address, "POST",
                                  "/member-portal/permits/check", "{}",
                                  {Key(key)}));
    }
    int whole = 0;
    for (Call& call : calls) whole += call.Wait().IsWhole() ? 1 : 0;
    BOOST_TEST(whole >= 1, key);
    BOOST_TEST(site.Executions()[key] == 1, key);
  }
}

}  // namespace
}  // namespace gentianlb::process
