// What reaches a request whose send is open: decisions, whatever dispatcher
// they come from, and a caller that doesn't acknowledge.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "gateway/fake_site_test.h"
#include "gateway/forwarder_internal.h"

namespace gentianlb::gateway {
namespace {

using http::TransferEnd;

// One request at its server, and its dispatch id.
struct OpenSend : FakeSite {
  explicit OpenSend(const std::string& path) {
    // The first id of a host is its clock's time.
    dispatch_id = RequestId(absl::StrCat(absl::ToUnixMicros(now)));
    Configure();
    caller = SendRequest(path);
    BOOST_REQUIRE(calls.size() == 1u);
  }

  // Returns the server that has not got it.
  ServerId OtherServer() const {
    const std::string first = calls.front()->server();
    const std::string service = first.substr(0, first.size() - 1);
    return ServerId(service + (first.ends_with("a") ? "b" : "a"));
  }
  void Grant() {
    forwarder->ApplyDecision(
        schedule::Grant{dispatch_id, EntryHostId("h"), OtherServer(), {}});
  }
  void Refuse() {
    forwarder->ApplyDecision(schedule::Refuse{
        dispatch_id, EntryHostId("h"), Code::kQueueFull, absl::Seconds(1)});
  }

  RequestId dispatch_id;
  std::shared_ptr<FakeCaller> caller;
};

// Guards against a second server that gets a payment while the first has it.
BOOST_AUTO_TEST_CASE(AGrantWhileASendIsOpenSendsNothing) {
  for (const char* path : {"/pay/1", "/stream/1", "/read/1", "/resume/1"}) {
    OpenSend site(path);
    site.Grant();
    BOOST_TEST(site.calls.size() == 1u, path);
    site.calls.front()->SendResponse(200, "id: 1\ndata: paid\n\n");
    BOOST_TEST(site.caller->status == 200);
    BOOST_TEST(site.forwarder->open_requests() == 0u);
  }
}

// Guards against a promise of "not run" while a server has the payment.
BOOST_AUTO_TEST_CASE(ARefusalWhileASendIsOpenIsNoAnswer) {
  for (const char* path : {"/pay/1", "/stream/1"}) {
    OpenSend site(path);
    site.Refuse();
    BOOST_TEST(site.caller->status == 0, path);
    BOOST_TEST(!site.calls.front()->cancelled);
    site.calls.front()->SendResponse(200, "id: 1\ndata: paid\n\n");
    BOOST_TEST(site.caller->status == 200);
  }
}

// Guards against a dispatch id that a refusal takes away from an open send, so
// that its end is never reported.
BOOST_AUTO_TEST_CASE(ARefusalWhileASendIsOpenLeavesTheRetryItsOrder) {
  OpenSend site("/pay/1");
  site.Refuse();
  site.calls.front()->SendHead(503, /*not_run=*/true);
  site.calls.front()->Finish();
  BOOST_REQUIRE(site.calls.size() == 2u);
  site.last().SendResponse(200, "paid");
  BOOST_TEST(site.caller->body == "paid");
}

// Guards against a payment that goes to a second server after the first may
// have made it.
BOOST_AUTO_TEST_CASE(AGrantAfterAnUnknownEndSendsNothing) {
  OpenSend site("/pay/1");
  site.calls.front()->Finish(TransferEnd::kBroken);
  site.Grant();
  site.Refuse();
  BOOST_TEST(site.calls.size() == 1u);
  BOOST_TEST(site.caller->status == 502);
}

// Guards against a host that goes on with the stream of a caller who no longer
// acknowledges, and may have resumed it over another host.
BOOST_AUTO_TEST_CASE(AStreamOfAnUnresponsiveCallerIsLeft) {
  OpenSend site("/resume/1");
  site.caller->unacknowledged_for = CallerEventTimeout(
      FakeSite::MakeRoute("/resume/", RouteKind::kStream, "llm"));
  for (int i = 0; i < 8 && !site.calls.front()->cancelled; ++i) {
    site.AdvanceTime(absl::Milliseconds(500));
  }
  BOOST_TEST(site.calls.front()->cancelled);
  BOOST_TEST(site.forwarder->open_requests() == 0u);
}

// Guards against a stream that is left after a pause of this process, when what
// its caller has acknowledged meanwhile waits to be read.
BOOST_AUTO_TEST_CASE(AStreamOfACallerThatAnswersAgainGoesOn) {
  OpenSend site("/resume/1");
  site.caller->unacknowledged_for = absl::Seconds(9);
  site.AdvanceTime(absl::Milliseconds(3201));
  site.caller->unacknowledged_for = absl::ZeroDuration();
  site.AdvanceTime(absl::Milliseconds(1000));
  BOOST_TEST(!site.calls.front()->cancelled);
  site.calls.front()->SendResponse(200, "id: 1\ndata: a\n\n");
  BOOST_TEST(site.caller->complete);
}

// A call that may run once is not taken up; its caller may only wait.
BOOST_AUTO_TEST_CASE(ACallOfAnUnresponsiveCallerGoesOn) {
  OpenSend site("/pay/1");
  site.caller->unacknowledged_for = absl::Seconds(9);
  site.AdvanceTime(absl::Milliseconds(4500));
  BOOST_TEST(!site.calls.front()->cancelled);
}

}  // namespace
}  // namespace gentianlb::gateway
