#include "entry/wire.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::entry {
namespace {

schedule::Request SomeRequest() {
  schedule::Request request;
  request.id = RequestId("h1-1-7");
  request.host = EntryHostId("h1");
  request.workspace = WorkspaceId("tenders");
  request.model = ModelId("draft-7b");
  request.tier = Tier{2};
  request.arrival = absl::FromUnixMicros(1'000'001);
  request.deadline = absl::FromUnixMicros(31'000'001);
  request.prompt_tokens = 700;
  request.max_output_tokens = 50;
  request.body_bytes = 2800;
  request.prefix = {1, 0xffffffffffffffffULL, 0};
  return request;
}

std::vector<PeerItem> AllItems() {
  Domain domain{ServiceId("drafting-llm"), ZoneId("abdali")};
  RequestId id("h1-1-7");
  EntryHostId host("h1");
  return {DispatchEvent{domain, schedule::RequestArrived{SomeRequest()}},
          DispatchEvent{domain, schedule::CallerDisconnected{id}},
          DispatchEvent{domain, schedule::RequestRunning{SomeRequest(),
                                                         ServerId("s"), 5}},
          DispatchEvent{domain, schedule::TokensStreamed{id, 9}},
          DispatchEvent{domain,
                        schedule::RequestFinished{
                            id, schedule::RequestOutcome::kNotSent, 1, 2}},
          DispatchDecision{domain, schedule::Grant{id, host, ServerId("s")}},
          DispatchDecision{domain, schedule::Refuse{id, host, Code::kQueueFull,
                                                    absl::Seconds(3)}},
          DispatchDecision{domain, schedule::Cancel{id, host, Code::kPowerShort,
                                                    absl::Seconds(4)}},
          HealthNews{ServerId("s"), schedule::ServerHealth::kDead}};
}

BOOST_AUTO_TEST_CASE(EveryItemComesBackAsItWas) {
  for (const PeerItem& item : AllItems()) {
    Json::Value json = ToJson(item);
    auto back = Capture([&] { return PeerItemFromJson(json); });
    BOOST_REQUIRE(back.ok());
    BOOST_TEST((ToJson(back.value()) == json));
  }
}

// A peer of another release leaves a field out, or sends it in another form.
// Taking a preset for it would schedule a request that nobody sent.
BOOST_AUTO_TEST_CASE(EveryFieldIsNeededInItsForm) {
  for (const PeerItem& item : AllItems()) {
    Json::Value json = ToJson(item);
    for (const std::string& field : json.getMemberNames()) {
      Json::Value without = json;
      without.removeMember(field);
      BOOST_TEST(!Capture([&] { return PeerItemFromJson(without); }).ok());
      Json::Value other = json;
      other[field] = Json::Value(Json::arrayValue);
      BOOST_TEST(!Capture([&] { return PeerItemFromJson(other); }).ok());
    }
  }
}

BOOST_AUTO_TEST_CASE(AMembershipMessageComesBackAsItWas) {
  member::Member member;
  member.id = EntryHostId("h1");
  member.zone = ZoneId("z");
  member.address = "127.0.0.1:1";
  member.incarnation = 7;
  member.revision = 3;
  member.state = member::MemberState::kSuspect;
  member.config_version = 12;
  member.roles = {{"dispatch/s/z", 99}};
  for (const auto& body : std::vector<decltype(member::Envelope::body)>{
           member::Ping{4}, member::Ack{5, EntryHostId("h2")},
           member::PingRequest{6, EntryHostId("h3")}}) {
    member::Envelope envelope{member, EntryHostId("h2"), "", body, {member}};
    Json::Value json = ToJson(envelope);
    auto back = Capture([&] { return EnvelopeFromJson(json); });
    BOOST_REQUIRE(back.ok());
    BOOST_TEST((back.value() == envelope));
  }
}

}  // namespace
}  // namespace gentianlb::entry
