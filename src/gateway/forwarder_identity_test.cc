// What proves that an answer belongs to the request that was sent, and what
// callers are told of the others.

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <string>

#include "gateway/fake_site_test.h"
#include "gateway/forwarder.h"

namespace gentianlb::gateway {
namespace {

BOOST_AUTO_TEST_CASE(ARetryElsewhereMayUseAKeptConnection) {
  FakeSite site;
  site.Configure();
  site.SendRequest("/pay/1");
  site.last().SendHead(503, /*not_run=*/true);
  site.last().Finish();
  BOOST_REQUIRE(site.calls.size() == 2u);
  BOOST_TEST(!site.last().call.new_connection);
}

// Returns whether the next call that the only server gets has a new connection.
// The dispatcher may close a server that failed for some seconds.
bool NextIsOnNewConnection(FakeSite& site) {
  const std::size_t before = site.calls.size();
  for (int tries = 0; tries < 20; ++tries) {
    site.SendRequest("/pay/1");
    if (site.calls.size() > before) break;
    site.AdvanceTime(absl::Seconds(1));
  }
  BOOST_REQUIRE(site.calls.size() > before);
  const bool new_connection = site.last().call.new_connection;
  site.last().SendResponse(200, "paid");
  return new_connection;
}

// Guards against a server whose doubled answers cost one call after another.
BOOST_AUTO_TEST_CASE(AServerThatGaveAnotherAnswerGetsNewConnectionsForAWhile) {
  FakeSite site;
  site.AddServer("plain-a", "plain", 2);
  site.forwarder->SetConfiguration(FakeSite::MakeConfiguration(1));
  BOOST_TEST(!NextIsOnNewConnection(site));
  const auto caller = site.SendRequest("/pay/1");
  site.last().SendUnidentifiedHead(/*names_other_request=*/true);
  BOOST_TEST(caller->status == 502);
  BOOST_TEST(NextIsOnNewConnection(site));
  BOOST_TEST(NextIsOnNewConnection(site));
  site.AdvanceTime(ConnectionReuse::kPause);
  BOOST_TEST(!NextIsOnNewConnection(site));
}

// An answer that names no request says nothing of later ones: its connection is
// closed.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutAnIdPausesNoReuse) {
  FakeSite site;
  site.AddServer("plain-a", "plain", 2);
  site.forwarder->SetConfiguration(FakeSite::MakeConfiguration(1));
  site.SendRequest("/pay/1");
  site.last().SendUnidentifiedHead(/*names_other_request=*/false);
  BOOST_TEST(!NextIsOnNewConnection(site));
}

// Guards against a call that a server has run, though its answer promises the
// caller that it has not: only the server can say so.
BOOST_AUTO_TEST_CASE(APromiseThatTheServerDidNotMakeIsNotPassedOn) {
  for (const char* path : {"/pay/1", "/stream/1"}) {
    for (const int status : {503, 429, 408, 421}) {
      FakeSite site;
      site.Configure();
      const auto caller = site.SendRequest(path);
      site.last().SendResponse(status, "full");
      BOOST_TEST(site.calls.size() == 1u);
      BOOST_TEST(caller->status == 502);
      BOOST_TEST(caller->body.find("full") == std::string::npos);
      BOOST_TEST(caller->header("Retry-After").empty());
      BOOST_TEST(site.forwarder->open_requests() == 0u);
    }
  }
}

// Guards against a part of a failure's body that its caller gets as the whole.
BOOST_AUTO_TEST_CASE(AFailureThatIsCutIsNotRelayed) {
  for (const char* path : {"/pay/1", "/read/1"}) {
    for (const char* part : {"", "half"}) {
      FakeSite site;
      site.Configure();
      const auto caller = site.SendRequest(path);
      for (std::size_t call = 0; call < site.calls.size(); ++call) {
        site.calls[call]->SendHead(500);
        site.calls[call]->SendData(part);
        site.calls[call]->Finish(http::TransferEnd::kBroken);
      }
      BOOST_TEST(caller->status == 502);
      BOOST_TEST(caller->body.find("half") == std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(OtherFailuresAreRelayedAsTheyCome) {
  for (const int status : {400, 404, 500, 504}) {
    FakeSite site;
    site.Configure();
    const auto caller = site.SendRequest("/pay/1");
    site.last().SendResponse(status, "failed");
    BOOST_TEST(caller->status == status);
    BOOST_TEST(caller->body == "failed");
  }
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/read/1");
  site.last().SendResponse(429, "slower");
  BOOST_TEST(caller->status == 429);
}

}  // namespace
}  // namespace gentianlb::gateway
