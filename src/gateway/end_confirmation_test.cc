// Tests the confirmation of unframed bodies' ends, without a network.

#include "gateway/end_confirmation.h"

#include <glog/logging.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "gateway/confirmed_servers.h"
#include "gateway/fake_site_test.h"

namespace gentianlb::gateway {
namespace {

using http::TransferEnd;

constexpr absl::Duration kLong = absl::Seconds(1);

EndVerdict Judge(ServerProbe probe, int probes, int open_transfers,
                 absl::Duration waited = kLong) {
  return JudgeEnd({probe, probes, waited, open_transfers});
}

BOOST_AUTO_TEST_CASE(AServerThatAnswersLives) {
  BOOST_TEST((Judge(ServerProbe::kSame, 1, 0) == EndVerdict::kComplete));
  BOOST_TEST((Judge(ServerProbe::kSame, 3, 0) == EndVerdict::kComplete));
}

// Guards against half of a body that looks complete since another process
// listens at the address of its server.
BOOST_AUTO_TEST_CASE(AnotherServerAtItsAddressMeansThatItIsDead) {
  BOOST_TEST((Judge(ServerProbe::kOther, 1, 0) == EndVerdict::kBroken));
  BOOST_TEST((Judge(ServerProbe::kOther, 1, 2) == EndVerdict::kBroken));
}

BOOST_AUTO_TEST_CASE(AServerThatRefusesAndHasNoOtherTransferIsDead) {
  BOOST_TEST((Judge(ServerProbe::kRefused, 1, 0) == EndVerdict::kBroken));
  BOOST_TEST((Judge(ServerProbe::kRefused, 2, 0) == EndVerdict::kBroken));
}

// Guards against whole answers of a full server that are taken for broken.
BOOST_AUTO_TEST_CASE(AFullServerThatRefusesIsAskedAgain) {
  BOOST_TEST((Judge(ServerProbe::kRefused, 1, 2) == EndVerdict::kProbeAgain));
  BOOST_TEST((Judge(ServerProbe::kRefused, 2, 2) == EndVerdict::kProbeAgain));
}

// Guards against a dead server that is taken for a full one because the packets
// that end its other connections were lost.
BOOST_AUTO_TEST_CASE(OtherTransfersThatMerelyStayOpenProveNothing) {
  BOOST_TEST((Judge(ServerProbe::kRefused, 3, 2) == EndVerdict::kBroken));
}

BOOST_AUTO_TEST_CASE(AnUnconfirmedEndIsBroken) {
  for (const ServerProbe probe :
       {ServerProbe::kUnanswered, ServerProbe::kUnidentified}) {
    for (const int probes : {1, 2}) {
      BOOST_TEST((Judge(probe, probes, 3) == EndVerdict::kProbeAgain));
    }
    BOOST_TEST((Judge(probe, 3, 3) == EndVerdict::kBroken));
    BOOST_TEST((Judge(probe, 5, 3, kLong - absl::Milliseconds(1)) ==
                EndVerdict::kProbeAgain));
  }
}

ServerEntry Server(std::int64_t started = 0) {
  ServerEntry server;
  server.id = ServerId("s");
  server.address = {"10.0.0.1", 80};
  server.started = started;
  return server;
}

// Transfers to one server, with probes that the test answers.
struct Fixture {
  Fixture() {
    FLAGS_minloglevel = google::GLOG_FATAL;  // The tests check no log lines.
    EndConfirmationHooks hooks;
    hooks.probe = [this](const ServerEntry& server,
                         std::function<void(ServerProbe)> done) {
      BOOST_TEST((server == Server(started)));
      probes.emplace(++probes_made, std::move(done));
      return static_cast<std::uint64_t>(probes_made);
    };
    hooks.cancel_probe = [this](std::uint64_t id) {
      BOOST_TEST(probes.erase(static_cast<int>(id)) == 1);
    };
    hooks.open_transfers = [this](const ServerEntry& server, absl::Time since) {
      return servers->OpenTransfers(server, since);
    };
    confirmations = std::make_unique<EndConfirmations>(
        &timers, [this] { return now; }, &metrics, std::move(hooks));
    ServerPort port;
    port.send = [this](ServerCall call, CallSink sink) {
      calls.push_back(std::make_shared<FakeCall>());
      calls.back()->call = std::move(call);
      calls.back()->sink = std::move(sink);
      return static_cast<http::TransferId>(calls.size());
    };
    port.cancel = [this](http::TransferId id) {
      calls.at(id - 1)->cancelled = true;
    };
    servers = std::make_unique<ConfirmedServers>(
        std::move(port), [this] { return now; }, confirmations.get());
  }

  http::TransferId Send(const char* method = "POST", const char* peer = "") {
    CallerRequest request;
    request.id = RequestId("r");
    request.method = method;
    ServerCall call;
    call.request = std::make_shared<const CallerRequest>(std::move(request));
    call.server = Server(started);
    call.path.peer = EntryHostId(peer);
    const std::size_t number = calls.size();
    CallSink sink;
    sink.on_first_byte = [] {};
    sink.on_head = [](const ResponseHead&) {
      return http::ReadAction::kContinue;
    };
    sink.on_data = [this](std::string_view bytes) { body += bytes; };
    sink.on_end = [this, number](TransferEnd end, const std::string&) {
      BOOST_TEST(!ends.contains(number));
      ends[number] = end;
    };
    return servers->Port().send(std::move(call), std::move(sink));
  }

  // The last call gets a whole unframed response.
  void Answer() {
    calls.back()->SendUnframedHead(200);
    calls.back()->SendData("half");
    calls.back()->Finish();
  }

  void AdvanceTime(absl::Duration span) {
    now += span;
    timers.Advance(now);
  }

  // Answers the probe in progress.
  void Report(ServerProbe probe) {
    BOOST_REQUIRE(probes.size() == 1);
    const auto done = std::move(probes.begin()->second);
    probes.clear();
    done(probe);
  }

  // Returns how a transfer ended, if it did.
  std::optional<TransferEnd> End(std::size_t call) const {
    const auto found = ends.find(call);
    if (found == ends.end()) return std::nullopt;
    return found->second;
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  TimerService timers;
  metrics::Metrics metrics;
  std::int64_t started = 0;  // Of the server, as in ServerEntry.
  std::map<int, std::function<void(ServerProbe)>> probes;
  int probes_made = 0;
  std::vector<std::shared_ptr<FakeCall>> calls;
  std::map<std::size_t, TransferEnd> ends;
  std::string body;
  std::unique_ptr<EndConfirmations> confirmations;
  std::unique_ptr<ConfirmedServers> servers;
};

// Guards against half of a body that looks complete because its server was
// killed.
BOOST_FIXTURE_TEST_CASE(AnUnframedEndOfADeadServerIsBroken, Fixture) {
  Send();
  Answer();
  BOOST_TEST(body == "half");
  BOOST_TEST(!End(0));
  AdvanceTime(kLong);
  BOOST_TEST(!End(0));
  Report(ServerProbe::kRefused);
  BOOST_TEST((End(0) == TransferEnd::kBroken));
  BOOST_TEST(probes_made == 1);
  BOOST_TEST(confirmations->waiting() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AnUnframedEndOfALivingServerIsComplete, Fixture) {
  Send();
  Answer();
  BOOST_TEST(probes_made == 0);  // Connections end one after the other.
  AdvanceTime(kLong);
  Report(ServerProbe::kSame);
  BOOST_TEST((End(0) == TransferEnd::kComplete));
  BOOST_TEST(metrics.Text().find("gentianlb_unframed_ends_total{") !=
             std::string::npos);
}

// Guards against a server that is taken for lost because probes had no answer.
BOOST_FIXTURE_TEST_CASE(AServerThatDoesNotAnswerIsAskedThreeTimes, Fixture) {
  Send();
  Answer();
  for (int i = 0; i < 3; ++i) {
    AdvanceTime(kLong);
    BOOST_TEST(!End(0));
    Report(ServerProbe::kUnanswered);
  }
  BOOST_TEST((End(0) == TransferEnd::kTimedOut));
}

// Guards against half of a body that looks complete since another server
// answers at the address of the dead one.
BOOST_FIXTURE_TEST_CASE(AnUnframedEndBeforeAnotherServerIsBroken, Fixture) {
  Send();
  Answer();
  AdvanceTime(kLong);
  Report(ServerProbe::kOther);
  BOOST_TEST((End(0) == TransferEnd::kBroken));
}

// Guards against whole answers of a full server that are taken for broken: it
// refuses new connections, and answers on those that it has.
BOOST_FIXTURE_TEST_CASE(AFullServersAnswersAreComplete, Fixture) {
  Send();
  calls.back()->SendUnframedHead(200);
  AdvanceTime(kLong);
  Send();
  Answer();
  AdvanceTime(kLong);
  Report(ServerProbe::kRefused);
  Send();
  calls.back()->SendNamedHead(200);
  BOOST_TEST(!End(1));
  AdvanceTime(absl::ZeroDuration());
  BOOST_TEST((End(1) == TransferEnd::kComplete));
  BOOST_TEST(probes.empty());
}

// Guards against half of a body that looks complete because its dead server's
// answer to an earlier request is read late.
BOOST_FIXTURE_TEST_CASE(EarlierRequestsDontSpeakForAServer, Fixture) {
  Send();
  Send();
  Answer();
  calls.front()->SendNamedHead(200);
  calls.front()->SendData("goes on");
  for (int i = 0; i < 3; ++i) {
    AdvanceTime(kLong);
    BOOST_TEST(!End(1));
    Report(ServerProbe::kUnanswered);
  }
  BOOST_TEST((End(1) == TransferEnd::kTimedOut));
}

// Guards against half of a body that looks complete because a server that was
// started again under its id answers the next request.
BOOST_FIXTURE_TEST_CASE(ARestartedServersAnswersDontSpeakForIt, Fixture) {
  started = 1'700'000'000'000;
  Send();
  Answer();
  AdvanceTime(kLong);
  const std::int64_t began = std::exchange(started, 0);
  Send();  // A later row may state no start.
  calls.back()->SendNamedHead(200);
  started = began;
  Send();
  calls.back()->SendNamedHead(200);
  AdvanceTime(kLong);
  BOOST_TEST(!End(0));
  Report(ServerProbe::kOther);
  BOOST_TEST((End(0) == TransferEnd::kBroken));
}

// Guards against half of a body that looks complete because another transfer of
// a dead server seems to be open.
BOOST_FIXTURE_TEST_CASE(ASilentTransferDoesNotSpeakForItsServer, Fixture) {
  Send();
  calls.back()->SendUnframedHead(200);
  AdvanceTime(kLong);
  Send();
  Answer();
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST(!End(1));
    AdvanceTime(kLong);
    Report(ServerProbe::kRefused);
  }
  BOOST_TEST((End(1) == TransferEnd::kBroken));
}

// Guards against two answers of a dead server that vouch for each other, and
// against requests for which no connection was made.
BOOST_FIXTURE_TEST_CASE(OnlyTransfersThatLastSpeakForAServer, Fixture) {
  Send();
  Answer();
  Send();
  Answer();
  Send();
  AdvanceTime(absl::Milliseconds(20));
  BOOST_TEST(servers->OpenTransfers(Server(), now) == 0);
  for (int id : {1, 2}) {
    const auto done = probes.at(id);
    probes.erase(id);
    done(ServerProbe::kRefused);
  }
  BOOST_TEST((End(0) == TransferEnd::kBroken));
  BOOST_TEST((End(1) == TransferEnd::kBroken));
}

// Guards against a server's other transfers that end only after the first
// probe.
BOOST_FIXTURE_TEST_CASE(TransfersThatEndBetweenProbesDontSpeak, Fixture) {
  Send();
  calls.back()->SendUnframedHead(200);
  AdvanceTime(kLong);
  Send();
  Answer();
  AdvanceTime(kLong);
  Report(ServerProbe::kRefused);
  BOOST_TEST(!End(1));
  calls.front()->Finish(TransferEnd::kBroken);
  AdvanceTime(kLong);
  Report(ServerProbe::kRefused);
  BOOST_TEST((End(1) == TransferEnd::kBroken));
}

// A caller that goes, or a deadline that passes, during the wait.
BOOST_FIXTURE_TEST_CASE(ACancelledWaitLeavesNothing, Fixture) {
  const http::TransferId early = Send();
  Answer();
  servers->Port().cancel(early);
  AdvanceTime(kLong);
  BOOST_TEST(probes_made == 0);
  const http::TransferId late = Send();
  Answer();
  AdvanceTime(kLong);
  BOOST_TEST(probes.size() == 1U);
  servers->Port().cancel(late);
  BOOST_TEST(probes.empty());
  AdvanceTime(kLong);
  BOOST_TEST(ends.empty());
  BOOST_TEST(confirmations->waiting() == 0U);
  BOOST_TEST(!calls.back()->cancelled);  // Its transfer has ended.
}

BOOST_FIXTURE_TEST_CASE(ATransferInProgressIsCancelledAsEver, Fixture) {
  const http::TransferId id = Send();
  calls.back()->SendUnframedHead(200);
  servers->Port().cancel(id);
  BOOST_TEST(calls.back()->cancelled);
}

BOOST_FIXTURE_TEST_CASE(AHostThatStopsGivesUpItsProbes, Fixture) {
  Send();
  Answer();
  AdvanceTime(kLong);
  Send();
  Answer();
  confirmations.reset();
  BOOST_TEST(probes.empty());
  AdvanceTime(kLong);
  BOOST_TEST(ends.empty());
}

// Framed, without a body, broken, or confirmed by a peer.
BOOST_FIXTURE_TEST_CASE(OtherEndsDontWait, Fixture) {
  Send();
  calls.back()->SendResponse(200, "whole");
  BOOST_TEST((End(0) == TransferEnd::kComplete));
  Send("HEAD");
  calls.back()->SendUnframedHead(200);
  calls.back()->Finish();
  BOOST_TEST((End(1) == TransferEnd::kComplete));
  Send();
  calls.back()->SendUnframedHead(204);
  calls.back()->Finish();
  BOOST_TEST((End(2) == TransferEnd::kComplete));
  Send();
  calls.back()->SendUnframedHead(200);
  calls.back()->Finish(TransferEnd::kBroken);
  BOOST_TEST((End(3) == TransferEnd::kBroken));
  Send("POST", "peer");
  Answer();
  BOOST_TEST((End(4) == TransferEnd::kComplete));
  AdvanceTime(kLong);
  BOOST_TEST(probes_made == 0);
}

}  // namespace
}  // namespace gentianlb::gateway
