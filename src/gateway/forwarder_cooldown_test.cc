// Tests the forwarder before servers that want no requests from this host.

#include <boost/test/unit_test.hpp>

#include "gateway/fake_site_test.h"

namespace gentianlb::gateway {
namespace {

using http::TransferEnd;

class CooldownSite : public FakeSite {
 public:
  CooldownSite() { Configure(); }

  // A cooldown that the dispatcher doesn't know of.
  void CoolDown(const char* server, absl::Duration span) {
    forwarder->cooldowns().OnAsked(*directory.Find(ServerId(server)), span,
                                   now);
  }

  // The server refuses the last call.
  void TurnAway(std::optional<absl::Duration> cooldown) {
    ResponseHead head = last().MakeHead(503);
    head.not_run = true;
    head.cooldown = cooldown;
    last().Begin();
    last().sink.on_head(head);
    last().Finish();
  }

  // Returns the other server of the same service.
  static std::string Other(const std::string& server) {
    return server == "plain-a" ? "plain-b" : "plain-a";
  }
};

// Guards against a dispatcher that grants a server in its cooldown, as one that
// has just started does.
BOOST_FIXTURE_TEST_CASE(AGrantDuringACooldownIsNotSent, CooldownSite) {
  CoolDown("plain-a", absl::Seconds(3));
  for (int i = 0; i < 4; ++i) {
    const auto caller = SendRequest("/pay/1");
    BOOST_TEST(last().server() == "plain-b");
    last().SendResponse(200, "paid");
    BOOST_TEST(caller->body == "paid");
  }
}

// Guards against a request that waits for its connection and is sent although
// its server has asked for a cooldown meanwhile.
BOOST_FIXTURE_TEST_CASE(ACooldownIsCheckedAgainOnceConnected, CooldownSite) {
  const auto caller = SendRequest("/pay/1");
  const std::string first = last().server();
  BOOST_TEST(last().call.may_send());
  CoolDown(first.c_str(), absl::Seconds(3));
  BOOST_TEST(!last().call.may_send());
  last().Finish(TransferEnd::kWithdrawn);
  BOOST_REQUIRE(calls.size() == 2u);
  BOOST_TEST(last().server() == Other(first));
  last().SendResponse(200, "paid");
  BOOST_TEST(caller->body == "paid");
}

// Guards against a cooldown that a response of an earlier start asks for.
BOOST_FIXTURE_TEST_CASE(ACooldownOfAnEarlierStartIsIgnored, CooldownSite) {
  ServerEntry entry = *directory.Find(ServerId("plain-a"));
  entry.started = 1;
  directory.Update("plain-a", entry, now);
  entry.id = ServerId("plain-b");
  directory.Update("plain-b", entry, now);
  forwarder->OnServersChanged();
  SendRequest("/pay/1");
  const ServerId server(last().server());
  entry.id = server;
  entry.started = 2;
  directory.Update(server.str(), entry, now);
  forwarder->OnServersChanged();
  TurnAway(absl::Seconds(3));
  BOOST_TEST(
      (forwarder->cooldowns().Left(server, now) == absl::ZeroDuration()));
}

// Guards against a retry budget that is used up by retries that found no
// server, so that later requests are refused while servers are idle.
BOOST_FIXTURE_TEST_CASE(ARetryThatFindsNoServerIsNotCharged, CooldownSite) {
  for (int i = 0; i < 8; ++i) {
    AdvanceTime(absl::Seconds(4));
    SendRequest("/read/1");
    CoolDown(Other(last().server()).c_str(), absl::Seconds(30));
    const std::size_t sent = calls.size();
    TurnAway(absl::Seconds(3.9));
    BOOST_TEST(calls.size() == sent);
    AdvanceTime(absl::Seconds(30));
  }
  const auto caller = SendRequest("/read/1");
  TurnAway(std::nullopt);
  last().SendResponse(200, "read");
  BOOST_TEST(caller->body == "read");
}

// Guards against a server that gets requests after it has said that it leaves,
// from a dispatcher that doesn't know, and against a report with each of its
// responses.
BOOST_FIXTURE_TEST_CASE(ALeavingServerIsReportedOnceAndNotSentTo,
                        CooldownSite) {
  std::vector<LeavingServer> reported;
  forwarder->OnServerLeaving(
      [&](const LeavingServer& server, const ServerPath&) {
        reported.push_back(server);
        directory.MarkLeaving(server, now);
      });
  for (int i = 0; i < 4; ++i) SendRequest("/pay/1");
  const std::string leaving = calls.front()->server();
  int responses = 0;
  for (const auto& call : std::vector(calls)) {
    ResponseHead head = call->MakeHead(200);
    head.leaving = call->server() == leaving;
    responses += head.leaving ? 1 : 0;
    call->Begin();
    call->sink.on_head(head);
    call->Finish();
  }
  BOOST_TEST(responses == 2);
  BOOST_TEST(reported.size() == 1u);
  for (int i = 0; i < 2; ++i) {
    SendRequest("/pay/1");
    BOOST_TEST(last().server() == Other(leaving));
  }
}

}  // namespace
}  // namespace gentianlb::gateway
