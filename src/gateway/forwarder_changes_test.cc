// What the forwarder does when configurations and registrations of servers
// change.

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "gateway/fake_site_test.h"
#include "gateway/forwarder.h"

namespace gentianlb::gateway {
namespace {

using http::TransferEnd;

BOOST_AUTO_TEST_CASE(AnOlderConfigurationIsIgnored) {
  FakeSite site;
  site.Configure(5);
  Configuration older = FakeSite::MakeConfiguration(4);
  older.routes.clear();
  site.forwarder->SetConfiguration(std::move(older));
  BOOST_TEST(site.forwarder->version() == 5);
  site.SendRequest("/read/1");
  BOOST_TEST(site.calls.size() == 1u);
}

// A route is removed while one of its requests is in progress. That request
// must finish by the old version; the next one is refused.
BOOST_AUTO_TEST_CASE(ARequestKeepsItsConfigurationVersion) {
  FakeSite site;
  site.Configure(5);
  const auto before = site.SendRequest("/read/1");
  Configuration next = FakeSite::MakeConfiguration(6);
  next.routes.clear();
  site.forwarder->SetConfiguration(std::move(next));
  BOOST_TEST(site.SendRequest("/read/1")->status == 404);
  site.last().Finish(TransferEnd::kBroken);
  BOOST_REQUIRE(site.calls.size() == 2u);  // Retried as its route allows.
  site.last().SendResponse(200, "read");
  BOOST_TEST(before->status == 200);
}

// Guards against a caller whose key was removed but who is still served, and
// against an answer that is cut off because its key was removed meanwhile.
BOOST_AUTO_TEST_CASE(ARemovedKeyIsRefusedWhileItsRequestsFinish) {
  FakeSite site;
  site.Configure(5);
  const auto before = site.SendRequest("/stream/1");
  site.last().SendHead(200);
  Configuration next = FakeSite::MakeConfiguration(6);
  next.workspaces[0].keys = {"other"};
  site.forwarder->SetConfiguration(std::move(next));
  const std::size_t calls = site.calls.size();
  BOOST_TEST(site.SendRequest("/read/1")->status == 401);
  BOOST_TEST(site.SendRequest("/stream/1")->status == 401);
  BOOST_TEST(site.calls.size() == calls);
  site.SendRequest("/read/1", "other");
  BOOST_TEST(site.calls.size() == calls + 1);
  site.calls[0]->SendData("id: 1\ndata: a\n\n");
  site.calls[0]->Finish();
  BOOST_TEST(before->complete);
}

// Guards against requests of one service that run at a server of another one,
// which has taken over the address of a server that is gone.
BOOST_AUTO_TEST_CASE(AnAddressThatIsUsedAgainGetsOnlyItsNewServicesRequests) {
  FakeSite site;
  site.Configure();
  // Both streams of each plain server are in use, so that one request waits.
  for (int i = 0; i < 5; ++i) site.SendRequest("/read/1");
  BOOST_REQUIRE(site.calls.size() == 4u);
  site.directory.Update("plain-a", std::nullopt, site.now);
  site.AddServer("llm-c", "llm", 2);  // At the same address.
  site.forwarder->OnServersChanged();
  const std::size_t calls = site.calls.size();
  for (int i = 0; i < 3; ++i) site.SendRequest("/read/1");
  for (std::size_t i = 0; i < 4; ++i) {
    if (site.calls[i]->server() == "plain-b") {
      site.calls[i]->SendResponse(200, "read");
    }
  }
  BOOST_TEST(site.calls.size() > calls);
  for (std::size_t i = calls; i < site.calls.size(); ++i) {
    BOOST_TEST(site.calls[i]->server() == "plain-b");
  }
}

// A server reports that it will leave. It must get no new requests, and those
// in progress must finish.
BOOST_AUTO_TEST_CASE(ADrainingServerGetsNoNewRequests) {
  FakeSite site;
  site.Configure();
  const auto caller = site.SendRequest("/pay/1");
  const std::string leaving = site.last().server();
  ServerEntry entry;
  for (const ServerEntry& entry_of_service :
       site.directory.ServersOf(ServiceId("plain"))) {
    if (entry_of_service.id.str() == leaving) entry = entry_of_service;
  }
  entry.draining = true;
  site.directory.Update(leaving, entry, site.now);
  site.forwarder->OnServersChanged();
  for (int i = 0; i < 3; ++i) {
    site.SendRequest("/pay/1");
    BOOST_TEST(site.last().server() != leaving);
  }
  site.calls[0]->SendResponse(200, "paid");
  BOOST_TEST(caller->status == 200);
}

// Another server has the address now. The first must get no more requests.
BOOST_AUTO_TEST_CASE(AServerAtAWrongAddressIsReported) {
  FakeSite site;
  site.Configure();
  std::string reported;
  site.forwarder->OnWrongServer(
      [&](const ServerId& server) { reported = server.str(); });
  const auto caller = site.SendRequest("/pay/1");
  const std::string first = site.last().server();
  ResponseHead head;
  head.status = 421;
  head.not_run = true;
  head.wrong_server = true;
  site.last().sink.on_head(head);
  site.last().Finish();
  BOOST_TEST(reported == first);
  site.last().SendResponse(200, "paid");
  BOOST_TEST(caller->status == 200);
}

// A group's dispatcher on another host doesn't know yet that a server leaves,
// and grants it. This host knows, and must not send the request there: the
// response would be aborted when the server stops.
BOOST_AUTO_TEST_CASE(AGrantOfALeavingServerIsNotSent) {
  FakeSite site;
  site.Configure();
  // All streams are in use, so that the fifth request waits.
  for (int i = 0; i < 5; ++i) site.SendRequest("/read/1");
  BOOST_REQUIRE(site.calls.size() == 4u);
  ServerEntry leaving;
  leaving.id = ServerId("plain-b");
  leaving.service = ServiceId("plain");
  leaving.address = {"10.0.0.1", 80};
  leaving.streams = 2;
  leaving.draining = true;
  site.directory.Update("plain-b", leaving, site.now);
  site.forwarder->OnServersChanged();
  // Ids of requests at dispatchers begin at the forwarder's start time.
  const std::int64_t fifth = absl::ToUnixMicros(site.now) + 4;
  const RequestId id(std::to_string(fifth));
  site.forwarder->ApplyDecision(
      schedule::Grant{id, EntryHostId("h"), ServerId("plain-b")});
  BOOST_TEST(site.calls.size() == 4u);
  // A grant of another server is sent, which shows that the id is right.
  site.forwarder->ApplyDecision(
      schedule::Grant{id, EntryHostId("h"), ServerId("plain-a")});
  BOOST_TEST(site.calls.size() == 5u);
}

}  // namespace
}  // namespace gentianlb::gateway
