#include "gateway/forwarder.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "gateway/fake_site_test.h"

namespace gentianlb::gateway {
namespace {

using http::TransferEnd;

BOOST_AUTO_TEST_CASE(RefusesWithRetryAfterBeforeAnyConfiguration) {
  FakeSite site;
  const auto caller = site.SendRequest("/read/1");
  BOOST_TEST(caller->status == 503);
  BOOST_TEST(!caller->header("Retry-After").empty());
  BOOST_TEST(!site.forwarder->configured());
}

BOOST_AUTO_TEST_CASE(RefusesUnknownPathsAndKeys) {
  FakeSite site;
  site.Configure();
  BOOST_TEST(site.SendRequest("/nowhere/1")->status == 404);
  BOOST_TEST(site.SendRequest("/read/1", "stolen")->status == 401);
  BOOST_TEST(site.SendRequest("/read/1", "")->status == 401);
  BOOST_TEST(site.calls.empty());
}

BOOST_AUTO_TEST_CASE(APlainResponseIsRelayedUnchanged) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/pay/1");
  BOOST_REQUIRE(site.calls.size() == 1u);
  BOOST_TEST(site.last().call.workspace.str() == "w");
  site.last().SendHead(201);
  site.last().SendData("pa");
  BOOST_TEST(caller->status == 0);
  site.last().SendData("id");
  site.last().Finish();
  BOOST_TEST(caller->status == 201);
  BOOST_TEST(caller->body == "paid");
  BOOST_TEST(caller->complete);
  BOOST_TEST(site.forwarder->open_requests() == 0u);
}

BOOST_AUTO_TEST_CASE(AStreamIsRelayedEventByEvent) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/stream/1");
  site.last().SendHead(200);
  site.last().SendData("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(caller->body == "id: 1\ndata: a\n\n");
  site.last().SendData("ta: b\n\n");
  site.last().Finish();
  BOOST_TEST(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(caller->complete);
}

// A payment reaches its server, and the connection breaks before the response.
// The payment may have been made: a retry, or a refusal that says "not run",
// would cause a second one.
BOOST_AUTO_TEST_CASE(APaymentThatMayHaveRunIsNeitherRetriedNorRefused) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/pay/1");
  site.last().Finish(TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(caller->status == 502);
  BOOST_TEST(caller->header("Retry-After").empty());
}

// A server reports that it has no capacity and did not run the request. Another
// server may run it.
BOOST_AUTO_TEST_CASE(ARequestThatWasNotRunIsRetriedElsewhere) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/pay/1");
  const std::string first = site.last().server();
  site.last().SendHead(503, /*not_run=*/true);
  site.last().Finish();
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.last().server() != first);
  site.last().SendResponse(200, "paid");
  BOOST_TEST(caller->body == "paid");
}

// All servers report that they have no capacity. The refusal must say that the
// request was not run, and when to retry.
BOOST_AUTO_TEST_CASE(ARequestThatNoServerRanIsRefusedAsNotRun) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/pay/1");
  while (!caller->complete) {
    site.last().SendHead(503, /*not_run=*/true);
    site.last().Finish();
    site.AdvanceTime(absl::Seconds(1));
  }
  BOOST_TEST(site.calls.size() <= 3u);
  BOOST_TEST(caller->status == 503);
  BOOST_TEST(!caller->header("Retry-After").empty());
}

// One server may have run the request, and the next reports that it did not. A
// refusal that says "not run" would be false.
BOOST_AUTO_TEST_CASE(AfterAnUnknownOutcomeNoRefusalSaysNotRun) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/read/1");
  site.last().Finish(TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);
  while (!caller->complete) {
    site.last().SendHead(503, /*not_run=*/true);
    site.last().Finish();
    site.AdvanceTime(absl::Seconds(1));
  }
  BOOST_TEST(caller->status == 502);
}

// Guards against a call that ends server after server, each under an attempt of
// its caller.
BOOST_AUTO_TEST_CASE(ACallUnderWhichServersEndIsRefusedAsNotRun) {
  FakeSite site;
  site.Configure();
  for (const char* id : {"c", "d", "e"}) {
    site.AddServer(std::string("plain-") + id, "plain", 2);
  }
  site.forwarder->OnServersChanged();
  const auto first = site.SendRequest("/read/1");
  site.last().Finish(TransferEnd::kBroken);
  site.last().Finish(TransferEnd::kBroken);
  BOOST_TEST(first->status == 502);
  const auto second = site.SendRequest("/read/1");
  site.last().Finish(TransferEnd::kBroken);
  BOOST_TEST(second->status == 502);
  BOOST_TEST(site.calls.size() == 3u);
  const auto third = site.SendRequest("/read/1");
  BOOST_TEST(third->status == 503);
  BOOST_TEST(!third->header("Retry-After").empty());
  const auto other = site.SendRequest("/read/2");
  site.last().SendResponse(200, "read");
  BOOST_TEST(other->status == 200);
  BOOST_TEST(site.calls.size() == 4u);
}

// Guards against timeouts and errors that are taken for the end of a server.
BOOST_AUTO_TEST_CASE(AFailureThatAServerSurvivesMakesNoCallSuspect) {
  FakeSite site;
  site.Configure();
  for (int i = 0; i < 4; ++i) {
    const auto caller = site.SendRequest("/read/1");
    site.last().Finish(TransferEnd::kTimedOut);
    if (!caller->complete) site.last().SendResponse(500, "error");
    BOOST_TEST(caller->complete);
    site.AdvanceTime(absl::Seconds(40));  // Closed servers are tried again.
    BOOST_TEST(site.calls.size() > static_cast<std::size_t>(i));
  }
}

BOOST_AUTO_TEST_CASE(AnIdempotentCallIsRetriedWithinItsAttempts) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/read/1");
  site.last().Finish(TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);
  site.last().SendResponse(500, "broken");
  // Two attempts were made, as the route allows: the last response is relayed.
  BOOST_TEST(site.calls.size() == 2u);
  BOOST_TEST(caller->status == 500);
  BOOST_TEST(caller->body == "broken");
}

// Guards against a failure that was cut and is relayed as a complete one.
BOOST_AUTO_TEST_CASE(AFailureThatIsCutIsNotRelayed) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/pay/1");
  site.last().SendHead(500);
  site.last().SendData("half");
  site.last().Finish(TransferEnd::kBroken);
  BOOST_TEST(caller->status == 502);
  BOOST_TEST(caller->header("X-From").empty());
  BOOST_TEST(caller->body.find("half") == std::string::npos);
}

// Ninety hosts share the burst of retries that the operators allow. If each
// accumulated as many as one host of a dozen, a fault of one server would cause
// several times the allowed retries at once.
BOOST_AUTO_TEST_CASE(ManyHostsShareTheRetryBurst) {
  FakeSite site;
  site.demand.RaiseHostCount(90);
  site.Configure();
  const auto caller = site.SendRequest("/read/1");
  site.last().Finish(TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 1u);  // 1/30 of a retry is available.
  BOOST_TEST(caller->status == 502);
}

// A connection could not be made, so nothing was sent: even a payment may be
// retried.
BOOST_AUTO_TEST_CASE(ARequestThatWasNotSentIsRetriedElsewhere) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/pay/1");
  site.last().Finish(TransferEnd::kNotSent);
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.calls[0]->server() != site.calls[1]->server());
  site.last().SendResponse(200, "paid");
  BOOST_TEST(caller->status == 200);
}

// A server fails in the middle of a stream. The caller must get the rest from
// another server, in the same response and under the first one's head.
BOOST_AUTO_TEST_CASE(AResumableStreamResumesOnAnotherServer) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/resume/1");
  const std::string first = site.last().server();
  site.last().SendHead(200);
  site.last().SendData("id: 1\ndata: a\n\nid: 2\ndata: b");
  site.last().Finish(TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.last().call.last_event == 1);
  site.last().SendHead(200);
  site.last().SendData("id: 2\ndata: b\n\n");
  site.last().Finish();
  BOOST_TEST(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(caller->header("X-From") == first);
  BOOST_TEST(caller->complete);
  BOOST_TEST(!caller->aborted);
}

// On a route that doesn't allow resumption the response must be aborted.
BOOST_AUTO_TEST_CASE(AStreamThatCannotResumeIsAborted) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/stream/1");
  site.last().SendHead(200);
  site.last().SendData("id: 1\ndata: a\n\n");
  site.last().Finish(TransferEnd::kBroken);
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(caller->aborted);
  BOOST_TEST(!caller->complete);
}

// A stream without a length or chunks looks complete when its server dies. The
// caller must see that it was broken off, and no half event.
BOOST_AUTO_TEST_CASE(AStreamThatEndsInsideAnEventIsAborted) {
  for (const std::string_view rest : {"id: 2\nda", "id: 2\ndata: b\n", "i"}) {
    FakeSite site;
    site.Configure();
    const auto caller = site.SendRequest("/stream/1");
    site.last().SendHead(200);
    site.last().SendData("id: 1\ndata: a\n\n");
    site.last().SendData(rest);
    site.last().Finish();
    BOOST_TEST(caller->body == "id: 1\ndata: a\n\n");
    BOOST_TEST(caller->aborted);
    BOOST_TEST(!caller->complete);
  }
}

// The same before the first event: nothing was relayed yet, so the caller gets
// a status that doesn't promise anything.
BOOST_AUTO_TEST_CASE(AStreamThatEndsInsideItsFirstEventFails) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/stream/1");
  site.last().SendHead(200);
  site.last().SendData("id: 1\nda");
  site.last().Finish();
  BOOST_TEST(caller->status == 502);
}

// A closed connection is all that shows the end of such a stream, and one
// without any event has not even begun.
BOOST_AUTO_TEST_CASE(AnUnframedStreamWithoutAnEventFails) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/stream/1");
  site.last().SendUnframedHead(200);
  site.last().Finish();
  BOOST_TEST(caller->status == 502);
}

// A caller that resumes after the last event gets no more events, and that is
// the whole response.
BOOST_AUTO_TEST_CASE(AResumedStreamMayHaveNoMoreEvents) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/resume/1", "key", /*last_event=*/4);
  site.last().SendUnframedHead(200);
  site.last().Finish();
  BOOST_TEST(caller->status == 200);
  BOOST_TEST(caller->complete);
}

// Where the route allows it, another server must send the event that was cut
// and the rest.
BOOST_AUTO_TEST_CASE(AStreamThatEndsInsideAnEventResumesElsewhere) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/resume/1");
  site.last().SendHead(200);
  site.last().SendData("id: 1\ndata: a\n\nid: 2\ndata: b");
  site.last().Finish();
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(site.last().call.last_event == 1);
  site.last().SendHead(200);
  site.last().SendData("id: 2\ndata: bb\n\n");
  site.last().Finish();
  BOOST_TEST(caller->body == "id: 1\ndata: a\n\nid: 2\ndata: bb\n\n");
  BOOST_TEST(caller->complete);
}

// The late response to an earlier request arrives where this request's response
// is due. It must not be relayed to the wrong caller.
BOOST_AUTO_TEST_CASE(AnotherRequestsResponseIsNotRelayed) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/pay/1");
  ResponseHead head;
  head.status = 200;
  head.matches_request = false;
  BOOST_TEST((site.last().sink.on_head(head) == http::ReadAction::kStop));
  site.last().SendData("paid");
  site.last().Finish(TransferEnd::kBroken);
  BOOST_TEST(caller->status == 502);
  BOOST_TEST(caller->body.find("paid") == std::string::npos);
}

// The caller disconnects. The server's work on its request must stop at once.
BOOST_AUTO_TEST_CASE(ADisconnectedCallersRequestIsCancelled) {
  FakeSite site;
  site.Configure();
  const auto sent = site.SendRequest("/stream/1");
  sent->on_disconnect();
  BOOST_TEST(site.last().cancelled);
  BOOST_TEST(site.forwarder->open_requests() == 0u);
  for (const ServerUse& use : site.forwarder->ServerUses()) {
    BOOST_TEST(use.running == 0);
  }
}

// The server is still running the request when the route's timeout passes. The
// caller must get a final response, and the work must stop.
BOOST_AUTO_TEST_CASE(AtItsTimeoutARequestGetsAFinalResponse) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/pay/1");
  site.AdvanceTime(absl::Seconds(5));
  BOOST_TEST(caller->status == 504);
  BOOST_TEST(site.last().cancelled);
  const auto stream = site.SendRequest("/stream/1");
  site.last().SendHead(200);
  site.last().SendData("id: 1\ndata: a\n\n");
  site.AdvanceTime(absl::Seconds(5));
  BOOST_TEST(stream->aborted);
}

// All servers of a service are full and stay so. Requests that can't be served
// within a fraction of their time must be refused at once; the others wait, and
// each must have a response when its time is over.
BOOST_AUTO_TEST_CASE(InOverloadEveryRequestGetsAResponseInTime) {
  FakeSite site;
  site.Configure();
  std::vector<std::shared_ptr<FakeCaller>> callers;
  callers.reserve(60);
  for (int i = 0; i < 60; ++i) callers.push_back(site.SendRequest("/stream/1"));
  BOOST_TEST(site.calls.size() == 4u);  // Two servers with two streams each.
  auto completed = [&] {
    return std::count_if(callers.begin(), callers.end(),
                         [](const auto& caller) { return caller->complete; });
  };
  BOOST_TEST(completed() > 20);  // The refused ones.
  site.AdvanceTime(absl::Seconds(5));
  BOOST_TEST(completed() == 60);
  for (const auto& caller : callers) {
    const bool refused = caller->status == 503;
    BOOST_TEST((refused || caller->status == 504));
    BOOST_TEST(refused == !caller->header("Retry-After").empty());
  }
}

BOOST_AUTO_TEST_CASE(WhileDrainingResponsesCloseTheirConnection) {
  FakeSite site;
  site.Configure();
  Configuration configuration = FakeSite::MakeConfiguration(2);
  configuration.routes[3].timeout = absl::Milliseconds(1200);
  site.forwarder->SetConfiguration(std::move(configuration));
  const auto before = site.SendRequest("/pay/1");
  site.forwarder->Drain(PlanDrain(site.now, absl::Seconds(8)));
  site.last().SendResponse(200, "paid");
  BOOST_TEST(before->header("Connection") == "close");
  // Long streams are refused first, then all requests.
  site.AdvanceTime(absl::Seconds(4));
  BOOST_TEST(site.SendRequest("/stream/1")->status == 503);
  const auto call = site.SendRequest("/pay/1");
  site.last().SendResponse(200, "paid");
  BOOST_TEST(call->status == 200);
  site.AdvanceTime(absl::Milliseconds(3590));
  BOOST_TEST(site.SendRequest("/pay/1")->status == 503);
}

// Guards against requests in progress that get no answer, or a false one, as a
// host exits.
BOOST_AUTO_TEST_CASE(AHostThatExitsAnswersAllRequests) {
  FakeSite site;
  site.Configure();
  // Servers have room for four. The third is lost, and its retry waits.
  std::vector<std::shared_ptr<FakeCaller>> sent;
  for (const char* path : {"/pay/1", "/pay/2", "/read/3", "/pay/4"}) {
    sent.push_back(site.SendRequest(path));
  }
  sent.push_back(site.SendRequest("/pay/5"));
  site.calls[2]->Begin();
  site.calls[2]->Finish(http::TransferEnd::kBroken);
  const auto waiting = site.SendRequest("/pay/6");
  const auto stream = site.SendRequest("/stream/1");
  const auto streaming = site.calls.back();
  streaming->SendHead(200);
  streaming->SendData("id: 1\ndata: a\n\n");
  const std::size_t calls = site.calls.size();
  site.forwarder->AnswerAll();
  BOOST_TEST(site.calls.size() == calls);
  for (const auto& caller : sent) {
    BOOST_TEST(caller->status == 504);
    BOOST_TEST(caller->complete);
  }
  BOOST_TEST(waiting->status == 503);
  BOOST_TEST(waiting->complete);
  BOOST_TEST(!stream->aborted);
  streaming->SendData("id: 2\ndata: b\n\n");
  streaming->Finish();
  BOOST_TEST(stream->complete);
  BOOST_TEST(site.forwarder->open_requests() == 0u);
}

// No server is available, and a caller retries as advised. If each refused
// request were charged, the third would exceed the limit though none ever ran.
BOOST_AUTO_TEST_CASE(ARefusedRequestIsNotChargedToTheLimit) {
  FakeSite site;
  Configuration configuration = FakeSite::MakeConfiguration(1);
  configuration.workspaces[0].quota = {.tokens_per_second = 1,
                                       .burst_tokens = 300};
  site.forwarder->SetConfiguration(std::move(configuration));
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(site.SendRequest("/stream/1")->status == 503);
  }
  // A request that was sent to a server is charged.
  site.AddServer("llm-a", "llm", 2);
  site.forwarder->OnServersChanged();
  site.SendRequest("/stream/1");
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(site.SendRequest("/stream/1")->status == 429);
}

}  // namespace
}  // namespace gentianlb::gateway
