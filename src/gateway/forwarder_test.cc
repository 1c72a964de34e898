#include "gateway/forwarder.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "gateway/fake_site_test.h"

namespace gentianlb::gateway {
namespace {

using http::TransferEnd;

BOOST_AUTO_TEST_CASE(BeforeAnyConfigurationCallersAreToldToComeBack) {
  FakeSite site;
  const auto caller = site.Ask("/read/1");
  BOOST_TEST(caller->status == 503);
  BOOST_TEST(!caller->header("Retry-After").empty());
  BOOST_TEST(!site.forwarder->configured());
}

BOOST_AUTO_TEST_CASE(UnknownPathsAndKeysAreRefused) {
  FakeSite site;
  site.Configure();
  BOOST_TEST(site.Ask("/nowhere/1")->status == 404);
  BOOST_TEST(site.Ask("/read/1", "stolen")->status == 401);
  BOOST_TEST(site.Ask("/read/1", "")->status == 401);
  BOOST_TEST(site.calls.empty());
}

BOOST_AUTO_TEST_CASE(APlainAnswerComesWholeAndUnchanged) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/pay/1");
  BOOST_REQUIRE(site.calls.size() == 1u);
  BOOST_TEST(site.last().call.workspace.str() == "w");
  site.last().Head(201);
  site.last().Data("pa");
  BOOST_TEST(caller->status == 0);
  site.last().Data("id");
  site.last().End();
  BOOST_TEST(caller->status == 201);
  BOOST_TEST(caller->body == "paid");
  BOOST_TEST(caller->complete);
  BOOST_TEST(site.forwarder->open_requests() == 0u);
}

BOOST_AUTO_TEST_CASE(AStreamIsRelayedEventByEvent) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/stream/1");
  site.last().Head(200);
  site.last().Data("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(caller->body == "id: 1\ndata: a\n\n");
  site.last().Data("ta: b\n\n");
  site.last().End();
  BOOST_TEST(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(caller->complete);
}

// A payment reaches its server and the connection breaks before the answer. It
// may have been made; sent again, or refused as not run, it would be made
// twice.
BOOST_AUTO_TEST_CASE(APaymentThatMayHaveRunIsNotRepeatedNorRefused) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/pay/1");
  site.last().End(TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(caller->status == 502);
  BOOST_TEST(caller->header("Retry-After").empty());
}

// The server says that it has no room and has not run it. Another one may.
BOOST_AUTO_TEST_CASE(WhatAServerHasNotRunGoesToAnother) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/pay/1");
  const std::string first = site.last().server();
  site.last().Head(503, /*not_run=*/true);
  site.last().End();
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.last().server() != first);
  site.last().Answer(200, "paid");
  BOOST_TEST(caller->body == "paid");
}

// All servers say that they have no room. The caller is told the truth: not
// run, and when to come back.
BOOST_AUTO_TEST_CASE(WhatNoServerHasRunIsRefusedTruthfully) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/pay/1");
  while (!caller->complete) {
    site.last().Head(503, /*not_run=*/true);
    site.last().End();
    site.Pass(absl::Seconds(1));
  }
  BOOST_TEST(site.calls.size() <= 3u);
  BOOST_TEST(caller->status == 503);
  BOOST_TEST(!caller->header("Retry-After").empty());
}

// One server may have run it, the next says that it has not. "Not run" would be
// a lie.
BOOST_AUTO_TEST_CASE(AfterAnUnknownOutcomeNothingIsSaidToBeNotRun) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/read/1");
  site.last().End(TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);
  while (!caller->complete) {
    site.last().Head(503, /*not_run=*/true);
    site.last().End();
    site.Pass(absl::Seconds(1));
  }
  BOOST_TEST(caller->status == 502);
}

BOOST_AUTO_TEST_CASE(AnIdempotentCallIsRepeatedWithinItsAttempts) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/read/1");
  site.last().End(TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);
  site.last().Answer(500, "broken");
  // Two servers were tried, as the route allows: the last answer is passed on.
  BOOST_TEST(site.calls.size() == 2u);
  BOOST_TEST(caller->status == 500);
  BOOST_TEST(caller->body == "broken");
}

// Ninety hosts share what the operators allow as a burst of repeats. Were each
// to save up as much as one of a dozen, a fault of one server would be answered
// by several times the allowed repeats, all at once.
BOOST_AUTO_TEST_CASE(ManyHostsShareTheRetryBurst) {
  FakeSite site;
  site.demand.Know(90);
  site.Configure();
  const auto caller = site.Ask("/read/1");
  site.last().End(TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 1u);  // A thirtieth of a repeat was saved.
  BOOST_TEST(caller->status == 502);
}

// A connection could not be made: nothing was sent, so even a payment may go
// elsewhere.
BOOST_AUTO_TEST_CASE(WhatWasNeverSentGoesElsewhere) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/pay/1");
  site.last().End(TransferEnd::kNotSent);
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.calls[0]->server() != site.calls[1]->server());
  site.last().Answer(200, "paid");
  BOOST_TEST(caller->status == 200);
}

// A server dies in the middle of a stream. The caller gets the rest from
// another one, within the same answer and under the first one's head.
BOOST_AUTO_TEST_CASE(AResumableStreamGoesOnElsewhere) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/resume/1");
  const std::string first = site.last().server();
  site.last().Head(200);
  site.last().Data("id: 1\ndata: a\n\nid: 2\ndata: b");
  site.last().End(TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.last().call.last_event == 1);
  site.last().Head(200);
  site.last().Data("id: 2\ndata: b\n\n");
  site.last().End();
  BOOST_TEST(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(caller->header("X-From") == first);
  BOOST_TEST(caller->complete);
  BOOST_TEST(!caller->cut);
}

// The same on a route that doesn't allow it: the answer must be seen to be cut.
BOOST_AUTO_TEST_CASE(AStreamThatCannotGoOnIsVisiblyCut) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/stream/1");
  site.last().Head(200);
  site.last().Data("id: 1\ndata: a\n\n");
  site.last().End(TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(caller->cut);
  BOOST_TEST(!caller->complete);
}

// The late answer to an earlier request comes on the connection where this
// one's is due. Its caller must not get what belongs to another caller.
BOOST_AUTO_TEST_CASE(AnotherRequestsAnswerIsNotPassedOn) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/pay/1");
  AnswerHead head;
  head.status = 200;
  head.is_own = false;
  BOOST_TEST((site.last().sink.on_head(head) == http::ReadAction::kStop));
  site.last().Data("paid");
  site.last().End(TransferEnd::kBroken);
  BOOST_TEST(caller->status == 502);
  BOOST_TEST(caller->body.find("paid") == std::string::npos);
}

// The caller hangs up; the server's work for it is stopped at once.
BOOST_AUTO_TEST_CASE(ACallerThatLeavesStopsTheWork) {
  FakeSite site;
  site.Configure();
  const auto sent = site.Ask("/stream/1");
  sent->gone();
  BOOST_TEST(site.last().cancelled);
  BOOST_TEST(site.forwarder->open_requests() == 0u);
  for (const ServerUse& use : site.forwarder->Uses()) {
    BOOST_TEST(use.running == 0);
  }
}

// The route's time is over and the server still works. The caller gets its
// final answer then, and the work stops.
BOOST_AUTO_TEST_CASE(AtItsTimeoutARequestGetsItsFinalAnswer) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/pay/1");
  site.Pass(absl::Seconds(5));
  BOOST_TEST(caller->status == 504);
  BOOST_TEST(site.last().cancelled);
  const auto stream = site.Ask("/stream/1");
  site.last().Head(200);
  site.last().Data("id: 1\ndata: a\n\n");
  site.Pass(absl::Seconds(5));
  BOOST_TEST(stream->cut);
}

// All servers of a service are full and stay so. Who can't be served within a
// part of his time is told at once to come back; the others wait, and nobody is
// left without an answer when his time is over.
BOOST_AUTO_TEST_CASE(InOverloadEveryoneIsAnsweredInTime) {
  FakeSite site;
  site.Configure();
  std::vector<std::shared_ptr<FakeCaller>> callers;
  callers.reserve(60);
  for (int i = 0; i < 60; ++i) callers.push_back(site.Ask("/stream/1"));
  BOOST_TEST(site.calls.size() == 4u);  // Two servers with two streams each.
  auto answered = [&] {
    return std::count_if(callers.begin(), callers.end(),
                         [](const auto& caller) { return caller->complete; });
  };
  BOOST_TEST(answered() > 20);  // Refused at once.
  site.Pass(absl::Seconds(5));
  BOOST_TEST(answered() == 60);
  for (const auto& caller : callers) {
    const bool refused = caller->status == 503;
    BOOST_TEST((refused || caller->status == 504));
    BOOST_TEST(refused == !caller->header("Retry-After").empty());
  }
}

BOOST_AUTO_TEST_CASE(AnOlderConfigurationNeverComesIntoForce) {
  FakeSite site;
  site.Configure(5);
  Configuration older = FakeSite::MakeConfiguration(4);
  older.routes.clear();
  site.forwarder->SetConfiguration(std::move(older));
  BOOST_TEST(site.forwarder->version() == 5);
  site.Ask("/read/1");
  BOOST_TEST(site.calls.size() == 1u);
}

// A route is removed while a request on it is under way. The request ends as it
// began; the next one is refused.
BOOST_AUTO_TEST_CASE(ARequestKeepsTheVersionItBeganWith) {
  FakeSite site;
  site.Configure(5);
  const auto before = site.Ask("/read/1");
  Configuration next = FakeSite::MakeConfiguration(6);
  next.routes.clear();
  site.forwarder->SetConfiguration(std::move(next));
  BOOST_TEST(site.Ask("/read/1")->status == 404);
  site.last().End(TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);  // Repeated as its route allows.
  site.last().Answer(200, "read");
  BOOST_TEST(before->status == 200);
}

// A server reports that it will leave. Nothing new goes there; what it does is
// finished.
BOOST_AUTO_TEST_CASE(ADrainingServerGetsNothingNew) {
  FakeSite site;
  site.Configure();
  const auto caller = site.Ask("/pay/1");
  const std::string leaving = site.last().server();
  ServerEntry entry;
  for (const ServerEntry& one : site.directory.ServersOf(ServiceId("plain"))) {
    if (one.id.str() == leaving) entry = one;
  }
  entry.draining = true;
  site.directory.Change(leaving, entry, site.now);
  site.forwarder->ServersChanged();
  for (int i = 0; i < 3; ++i) {
    site.Ask("/pay/1");
    BOOST_TEST(site.last().server() != leaving);
  }
  site.calls[0]->Answer(200, "paid");
  BOOST_TEST(caller->status == 200);
}

// Another server has the address now. It is asked nothing more under that name.
BOOST_AUTO_TEST_CASE(AWrongServerIsReported) {
  FakeSite site;
  site.Configure();
  std::string reported;
  site.forwarder->OnWrongServer(
      [&](const ServerId& server) { reported = server.str(); });
  const auto caller = site.Ask("/pay/1");
  const std::string first = site.last().server();
  AnswerHead head;
  head.status = 421;
  head.not_run = true;
  head.wrong_server = true;
  site.last().sink.on_head(head);
  site.last().End();
  BOOST_TEST(reported == first);
  site.last().Answer(200, "paid");
  BOOST_TEST(caller->status == 200);
}

BOOST_AUTO_TEST_CASE(WhileDrainingAnswersCloseTheirConnection) {
  FakeSite site;
  site.Configure();
  const auto before = site.Ask("/pay/1");
  site.forwarder->Drain(PlanDrain(site.now, absl::Seconds(8)));
  site.last().Answer(200, "paid");
  BOOST_TEST(before->header("Connection") == "close");
  // What may last is refused first, then everything.
  site.Pass(absl::Seconds(4));
  BOOST_TEST(site.Ask("/stream/1")->status == 503);
  const auto call = site.Ask("/pay/1");
  site.last().Answer(200, "paid");
  BOOST_TEST(call->status == 200);
  site.Pass(absl::Milliseconds(3590));
  BOOST_TEST(site.Ask("/pay/1")->status == 503);
}

// The dispatcher of a group, on another host, has not yet heard that a server
// leaves, and grants it. This host knows: sent there, the answer would be cut
// when the server ends.
BOOST_AUTO_TEST_CASE(AGrantOfALeavingServerIsNotSent) {
  FakeSite site;
  site.Configure();
  // All streams are taken, so that the fifth waits.
  for (int i = 0; i < 5; ++i) site.Ask("/read/1");
  BOOST_REQUIRE(site.calls.size() == 4u);
  ServerEntry leaving;
  leaving.id = ServerId("plain-b");
  leaving.service = ServiceId("plain");
  leaving.address = {"10.0.0.1", 80};
  leaving.streams = 2;
  leaving.draining = true;
  site.directory.Change("plain-b", leaving, site.now);
  site.forwarder->ServersChanged();
  // The host counts its requests from the time of its start.
  const std::int64_t fifth = absl::ToUnixMicros(site.now) + 4;
  const RequestId id(std::to_string(fifth));
  site.forwarder->Decide(
      schedule::Grant{id, EntryHostId("h"), ServerId("plain-b")});
  BOOST_TEST(site.calls.size() == 4u);
  // The same of a server that stays is sent, so that the name is right.
  site.forwarder->Decide(
      schedule::Grant{id, EntryHostId("h"), ServerId("plain-a")});
  BOOST_TEST(site.calls.size() == 5u);
}

// No server is there, and a caller comes back as it was told to. Were each try
// charged, the third would be refused for the limit though nothing ever ran.
BOOST_AUTO_TEST_CASE(WhatIsRefusedUnsentCostsNothingOfTheLimit) {
  FakeSite site;
  Configuration configuration = FakeSite::MakeConfiguration(1);
  configuration.workspaces[0].quota = {.tokens_per_second = 1,
                                       .burst_tokens = 300};
  site.forwarder->SetConfiguration(std::move(configuration));
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(site.Ask("/stream/1")->status == 503);
  }
  // Sent to a server they do cost.
  site.AddServer("llm-a", "llm", 2);
  site.forwarder->ServersChanged();
  site.Ask("/stream/1");
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(site.Ask("/stream/1")->status == 429);
}

}  // namespace
}  // namespace gentianlb::gateway
