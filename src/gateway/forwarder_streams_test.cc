// Streams that break off and are resumed, before servers of two software
// versions.

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "gateway/fake_site_test.h"
#include "gateway/stream_records.h"

namespace gentianlb::gateway {
namespace {

constexpr char kEvent[] = "id: 1\ndata: a\n\n";

// Each of the two servers of the model service has a version of its own and
// runs two streams.
struct Fixture {
  Fixture() {
    site.forwarder->SetStreamVersions(&streams);
    site.Configure();
    site.AddServer("llm-a", "llm", 2, "v1");
    site.AddServer("llm-b", "llm", 2, "v2");
    OnServersChanged();
  }

  void OnServersChanged() {
    streams.SetServers(site.directory.AllServers());
    site.forwarder->OnServersChanged();
  }

  std::shared_ptr<FakeCaller> Begin() {
    auto caller = site.SendRequest("/resume/1");
    site.last().SendHead(200);
    site.last().SendData(kEvent);
    return caller;
  }
  std::shared_ptr<FakeCaller> TakeUp(const char* first_attempt) {
    return site.SendRequest("/resume/1", "key", /*last_event=*/1,
                            first_attempt);
  }

  FakeSite site;
  StreamVersions streams{EntryHostId("h"),
                         ZoneId("z"),
                         &site.timers,
                         [this] { return site.now; },
                         {.send = [](const auto&...) {}}};
};

// Guards against a stream that goes on at another version because that has
// room.
BOOST_FIXTURE_TEST_CASE(ATakenUpStreamWaitsForItsVersion, Fixture) {
  const auto first = Begin();
  const std::string server = site.last().server();
  first->on_disconnect();
  TakeUp("r1");
  TakeUp("r1");
  BOOST_REQUIRE(site.calls.size() == 3u);
  BOOST_TEST(site.calls[1]->server() == server);
  BOOST_TEST(site.calls[2]->server() == server);
  BOOST_TEST(site.calls[2]->call.last_event == 1);
  TakeUp("r1");
  BOOST_TEST(site.calls.size() == 3u);  // Its server is full.
  site.calls[1]->SendData("id: 2\ndata: b\n\n");
  site.calls[1]->Finish();
  BOOST_REQUIRE(site.calls.size() == 4u);
  BOOST_TEST(site.last().server() == server);
}

// Guards against a guess, and against a caller that comes back in vain.
BOOST_FIXTURE_TEST_CASE(AStreamThatNobodyKnowsIsRefusedForItsWholeTime,
                        Fixture) {
  const auto caller = TakeUp("unknown");
  BOOST_TEST(site.calls.empty());
  BOOST_TEST(caller->status == 503);
  BOOST_TEST(caller->header("Retry-After") == "5.000");
  BOOST_TEST(site.forwarder->open_requests() == 0u);
}

// Guards against a caller that is sent away for its whole time, and begins
// anew, though a moment later the records say where its stream goes on.
BOOST_FIXTURE_TEST_CASE(AStreamWhoseRecordsCantBeReadMayComeBackSoon, Fixture) {
  StreamRecords records(
      EntryHostId("h"), /*incarnation=*/1, &site.timers,
      [this] { return site.now; },
      {.read = [](const auto&,
                  const TableDone& done) { done(TableFailure::kUnavailable); },
       .transact = [](const auto&, const auto&) {},
       .versions = [this] { return streams.RegisteredVersions(); },
       .on_read = [] {}});
  streams.SetRecords(&records);
  records.Start();
  const auto caller = TakeUp("unknown");
  site.AdvanceTime(absl::Seconds(1));
  BOOST_TEST(caller->status == 503);
  BOOST_TEST(caller->header("Retry-After") == "1.000");
  streams.SetRecords(nullptr);
}

// The same while the servers of its version have yet to register.
BOOST_FIXTURE_TEST_CASE(AStreamWhoseServersMayRegisterMayComeBackSoon,
                        Fixture) {
  Begin();
  site.directory.Update(site.last().server(), std::nullopt, site.now);
  site.directory.SetTableRecovered(site.now);
  OnServersChanged();
  const auto early = TakeUp("r1");
  BOOST_TEST(early->status == 503);
  BOOST_TEST(early->header("Retry-After") == "0.500");
  site.AdvanceTime(kReregistrationTime);
  const auto late = TakeUp("r1");
  BOOST_TEST(late->status == 503);
  BOOST_TEST(late->header("Retry-After") == "5.000");
}

// Guards against a stream that is forgotten before its caller gives it up:
// each attempt has a deadline of its own.
BOOST_FIXTURE_TEST_CASE(AStreamIsKnownBeyondTheTimeOfItsFirstAttempt, Fixture) {
  const auto first = Begin();
  const std::string server = site.last().server();
  first->on_disconnect();
  site.AdvanceTime(absl::Seconds(20));
  TakeUp("r1");
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.last().server() == server);
}

// Guards against a stream that the gateway resumes at another version, or ends
// as if it were complete.
BOOST_FIXTURE_TEST_CASE(AStreamWithoutAServerOfItsVersionBreaksOff, Fixture) {
  const auto caller = Begin();
  site.directory.Update(site.last().server(), std::nullopt, site.now);
  OnServersChanged();
  site.last().Finish(http::TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(caller->aborted);
  BOOST_TEST(!caller->complete);
  BOOST_TEST(TakeUp("r1")->status == 503);
}

// Guards against refusals of streams whose callers name no first attempt, as
// before versions served side by side.
BOOST_FIXTURE_TEST_CASE(AStreamWithoutAFirstAttemptGoesToAnyServer, Fixture) {
  TakeUp("");
  BOOST_TEST(site.calls.size() == 1u);
}

// How far an answer had come when its connection was lost. The last ones follow
// a head without the request's id and the server's signature.
enum class Lost {
  kBeforeAByte,
  kAfterTheHead,
  kAfterAnEvent,
  kUnderWay,
  kInsideUnidentifiedEvent,
  kInsideUnframedUnidentifiedEvent,
};

constexpr char kHalfEvent[] = "id: 1\nda";

// Ends an attempt at a server that is lost.
void Lose(FakeCall& call, Lost lost) {
  switch (lost) {
    case Lost::kBeforeAByte:
      break;
    case Lost::kAfterTheHead:
      call.Begin();
      break;
    case Lost::kAfterAnEvent:
      call.SendHead(200);
      call.SendData(kEvent);
      break;
    case Lost::kUnderWay:
      call.SendHead(200);
      call.SendData(kEvent);
      call.SendData("id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
      break;
    case Lost::kInsideUnidentifiedEvent:
      call.SendUnidentifiedHead();
      if (!call.stopped) call.SendData(kHalfEvent);
      break;
    case Lost::kInsideUnframedUnidentifiedEvent:
      call.SendUnidentifiedHead(/*names_other_request=*/false,
                                /*ends_with_connection=*/true);
      if (call.stopped) return;
      call.SendData(kHalfEvent);
      return call.Finish();
  }
  if (!call.stopped) call.Finish(http::TransferEnd::kBroken);
}

constexpr int kPromptServers = 20;

// Sends prompts, no two alike, with one part in common, to a server each, whose
// answer `answer` ends. Returns how many servers had them when one is refused
// since servers ended under it; 0 if none is.
template <typename Answer>
std::size_t ServersUntilRefused(Answer answer) {
  FakeSite site;
  site.Configure();
  for (int i = 0; i < kPromptServers; ++i) {
    site.AddServer("llm-" + std::to_string(i), "llm", 2);
  }
  site.forwarder->OnServersChanged();
  std::set<std::string> servers;
  for (schedule::PartHash own = 100; own < 100 + kPromptServers; ++own) {
    const std::size_t sent = site.calls.size();
    const auto caller =
        site.SendRequest("/stream/1", "key", 0, "", {{7, 50}, {own, 50}});
    if (site.calls.size() == sent) {
      BOOST_TEST(caller->status == 503);
      BOOST_TEST(caller->body.find("3007") != std::string::npos);
      return servers.size();
    }
    servers.insert(site.last().server());
    answer(site);
  }
  return 0;
}

std::size_t ServersLostUntilRefused(Lost lost) {
  return ServersUntilRefused(
      [lost](FakeSite& site) { Lose(site.last(), lost); });
}

// Guards against a server that ended as it began to write and that counts like
// one on which a request had waited, or like one that had written on.
BOOST_AUTO_TEST_CASE(ALossCountsByHowFarTheAnswerHadCome) {
  BOOST_TEST(ServersLostUntilRefused(Lost::kAfterTheHead) == 3u);
  BOOST_TEST(ServersLostUntilRefused(Lost::kAfterAnEvent) == 3u);
  BOOST_TEST(ServersLostUntilRefused(Lost::kBeforeAByte) == 6u);
  BOOST_TEST(ServersLostUntilRefused(Lost::kUnderWay) == 0u);
}

// Guards against servers that end one after the other under one part since what
// they wrote before is taken for another program's answer.
BOOST_AUTO_TEST_CASE(AServerLostInsideAnUnidentifiedEventCounts) {
  BOOST_TEST(ServersLostUntilRefused(Lost::kInsideUnidentifiedEvent) == 3u);
  BOOST_TEST(ServersLostUntilRefused(Lost::kInsideUnframedUnidentifiedEvent) ==
             3u);
}

// Guards against a part that is refused since servers write bad heads, and go
// on.
BOOST_AUTO_TEST_CASE(AnInvalidAnswerIsNoLoss) {
  BOOST_TEST(ServersUntilRefused([](FakeSite& site) {
               site.last().Begin();
               site.last().Finish(http::TransferEnd::kInvalid);
             }) == 0u);
}

// Guards against a part that is refused since servers answer it late, with the
// answer to another request, and go on.
BOOST_AUTO_TEST_CASE(AnAnswerToAnotherRequestIsNoLoss) {
  BOOST_TEST(ServersUntilRefused([](FakeSite& site) {
               site.last().SendUnidentifiedHead(/*names_other_request=*/true);
               BOOST_TEST(site.last().stopped);
             }) == 0u);
}

// Guards against a part that is refused since broken servers, or other programs
// at their addresses, answer without a signature and go on.
BOOST_AUTO_TEST_CASE(AnUnidentifiedAnswerOfARunningServerIsNoLoss) {
  const auto writes = [](const char* bytes, bool ends_with_connection) {
    return [=](FakeSite& site) {
      const auto call = site.calls.back();
      call->SendUnidentifiedHead(/*names_other_request=*/false,
                                 ends_with_connection);
      if (!call->stopped) call->SendData(bytes);
      if (!call->stopped && !call->cancelled) call->Finish();
    };
  };
  for (const char* bytes : {"", "oops", kHalfEvent, kEvent}) {
    BOOST_TEST(ServersUntilRefused(writes(bytes, false)) == 0u);
  }
  for (const char* bytes : {"", "oops", "<html>", kEvent}) {
    BOOST_TEST(ServersUntilRefused(writes(bytes, true)) == 0u);
  }
}

// Guards against the same where the server leaves its answer open, and against
// a host that keeps the caller waiting for its end.
BOOST_AUTO_TEST_CASE(AnUnidentifiedAnswerThatStaysOpenIsLeft) {
  BOOST_TEST(ServersUntilRefused([](FakeSite& site) {
               const auto call = site.calls.back();
               call->SendUnidentifiedHead();
               if (!call->stopped) call->SendData(kHalfEvent);
               site.AdvanceTime(absl::Milliseconds(100));
               BOOST_TEST((call->stopped || call->cancelled));
               BOOST_TEST(site.forwarder->open_requests() == 0u);
             }) == 0u);
}

// Guards against an answer that is read on though the server writes events.
BOOST_AUTO_TEST_CASE(AnUnidentifiedAnswerThatGoesOnIsLeft) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/resume/1");
  const auto call = site.calls.back();
  call->SendUnidentifiedHead();
  if (!call->stopped) {
    call->SendData("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  }
  BOOST_TEST((call->stopped || call->cancelled));
  // Another server answers, and no byte of the first answer is relayed.
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.last().call.last_event == 0);
  site.last().SendResponse(200, kEvent);
  BOOST_TEST(caller->complete);
  BOOST_TEST(caller->body == kEvent);
}

}  // namespace
}  // namespace gentianlb::gateway
