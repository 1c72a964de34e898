#include "gateway/groups.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "gateway/group_messages.h"

namespace gentianlb::gateway {
namespace {

const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
constexpr int kHosts = 8;

EntryHostId Name(int number) {
  return EntryHostId("h" + std::to_string(number));
}

HostEntry Entry(int number, float processor = 1) {
  return {Name(number).str(), "", "z", processor};
}

// What host `self` takes for the dispatcher when all but `unheard` live.
EntryHostId Choice(int self, const GroupKey& group, int unheard = -1) {
  GroupHosts hosts(Name(self));
  std::vector<HostEntry> live;
  for (int i = 0; i < kHosts; ++i) {
    if (i != unheard) live.push_back(Entry(i));
  }
  hosts.Set(live);
  return hosts.DispatcherOf(group, now);
}

BOOST_AUTO_TEST_CASE(AllHostsTakeTheSameForTheDispatcher) {
  std::map<EntryHostId, int> groups;
  for (std::uint16_t group = 0; group < 64; ++group) {
    const GroupKey key{HashName("service"), group};
    for (int i = 1; i < kHosts; ++i) {
      BOOST_TEST(Choice(i, key) == Choice(0, key));
    }
    ++groups[Choice(0, key)];
  }
  BOOST_TEST(groups.size() == static_cast<std::size_t>(kHosts));
}

// The dispatcher's host is lost. Its group falls to another, and no other group
// moves: callers of those would wait for a decision in vain too.
BOOST_AUTO_TEST_CASE(OnlyTheGroupsOfALostHostMove) {
  for (std::uint16_t group = 0; group < 64; ++group) {
    const GroupKey key{HashName("service"), group};
    const bool was_lost = Choice(0, key) == Name(3);
    BOOST_TEST((Choice(0, key, /*unheard=*/3) == Choice(0, key)) != was_lost);
  }
}

// A host that doesn't answer, is about to stop or isn't heard any more would
// leave requests without a decision.
BOOST_AUTO_TEST_CASE(HostsThatCannotDispatchAreLeftOut) {
  const GroupKey key{HashName("service"), 0};
  const EntryHostId first = Choice(0, key);
  for (int self = 0; self < kHosts; ++self) {
    GroupHosts hosts(Name(self));
    const std::vector<HostEntry> both = {{first.str(), "", "z", 1},
                                         {Name(self).str(), "", "z", 1}};
    hosts.Set(both);
    BOOST_TEST(hosts.DispatcherOf(key, now) == first);
    if (Name(self) == first) {
      hosts.Drain();
      hosts.Set({Entry(0), Entry(1), {first.str(), "", "z", 1}});
      BOOST_TEST(hosts.DispatcherOf(key, now) != first);
      continue;
    }
    hosts.Silent(first, now);
    BOOST_TEST(hosts.DispatcherOf(key, now) != first);
    BOOST_TEST(hosts.DispatcherOf(key, now + absl::Seconds(2)) == first);
    // Without it, as those that drain or are silent are not listed.
    hosts.Set({both.back()});
    BOOST_TEST(hosts.DispatcherOf(key, now + absl::Seconds(2)) == Name(self));
    hosts.Set({});
    BOOST_TEST(hosts.DispatcherOf(key, now + absl::Seconds(2)) == Name(self));
  }
}

// Hosts have unlike processors. A small one that dispatched for all would keep
// every caller waiting.
BOOST_AUTO_TEST_CASE(SmallHostsDontDispatchWhereLargeOnesAre) {
  for (std::uint16_t group = 0; group < 16; ++group) {
    const GroupKey key{HashName("service"), group};
    GroupHosts hosts(Name(0));
    BOOST_TEST(hosts.DispatcherOf(key, now) == Name(0));
    hosts.Set(
        {Entry(0, 0.12F), Entry(1, 0.5F), Entry(2, 0.4F), Entry(3, 0.25F)});
    const EntryHostId chosen = hosts.DispatcherOf(key, now);
    BOOST_TEST((chosen == Name(1) || chosen == Name(2)));
  }
}

BOOST_AUTO_TEST_CASE(EachServerIsInOneGroup) {
  BOOST_TEST(GroupsFor(0) == 1);
  BOOST_TEST(GroupsFor(108) == 1);
  BOOST_TEST(GroupsFor(5120) == 10);
  std::map<std::uint16_t, int> sizes;
  for (int i = 0; i < 1000; ++i) {
    ++sizes[GroupOf(ServerId("s" + std::to_string(i)), 4)];
  }
  BOOST_TEST(sizes.size() == 4u);
  for (const auto& [group, size] : sizes) BOOST_TEST(size > 200);
}

schedule::Request SampleRequest() {
  schedule::Request request;
  request.id = RequestId("17");
  request.workspace = WorkspaceId("w");
  request.model = ModelId("m");
  request.avoid = ServerId("s");
  request.tier = Tier{18};
  request.arrival = now - absl::Milliseconds(5);
  request.deadline = now + absl::Seconds(5);
  request.first_token_due = now + absl::Milliseconds(360);
  request.prompt_tokens = 2890;
  request.max_output_tokens = 90;
  request.expected_output_tokens = 50;
  request.body_bytes = 18000;
  request.parts = {{7, 60}, {8, 2890}};
  return request;
}

GroupMessage Sample() {
  const GroupKey group{HashName("service"), 3};
  GroupMessage message;
  message.from = Name(1);
  message.events = {
      {group, schedule::RequestArrived{SampleRequest()}},
      {group, schedule::RequestRunning{SampleRequest(), ServerId("t"), 12}},
      {group, schedule::CallerDisconnected{RequestId("1")}},
      {group, schedule::TokensStreamed{RequestId("2"), 5}},
      {group, schedule::RequestFinished{RequestId("3"),
                                        schedule::RequestOutcome::kFailed, 9}},
      {group, OpenRequests{{RequestId("4"), RequestId("5")}}}};
  message.answers = {
      schedule::Grant{RequestId("6"), EntryHostId(), ServerId("t")},
      schedule::Refuse{RequestId("7"), EntryHostId(),
                       Code::kDeadlineUnreachable, absl::Milliseconds(400)},
      RequestWaits{RequestId("8")}};
  message.rooms = {{group, -4}};
  return message;
}

// Hosts' clocks differ: times travel as spans.
BOOST_AUTO_TEST_CASE(MessagesComeBackAsTheyWere) {
  const absl::Time there = now + absl::Hours(9);
  const auto back = DecodeGroupMessage(Encode(Sample(), now), there);
  BOOST_REQUIRE(back.has_value());
  BOOST_TEST(back->from == Name(1));
  BOOST_REQUIRE(back->events.size() == 6u);
  schedule::Request expected = SampleRequest();
  for (absl::Time* time :
       {&expected.arrival, &expected.deadline, &expected.first_token_due}) {
    *time += absl::Hours(9);
  }
  const auto& arrived =
      std::get<schedule::RequestArrived>(back->events[0].event);
  BOOST_TEST((arrived.request == expected));
  const auto& running =
      std::get<schedule::RequestRunning>(back->events[1].event);
  BOOST_TEST((running.request == expected));
  BOOST_TEST(running.server.str() == "t");
  const auto& ended =
      std::get<schedule::RequestFinished>(back->events[4].event);
  BOOST_TEST((ended.kind == schedule::RequestOutcome::kFailed));
  BOOST_TEST(ended.output_tokens == 9);
  BOOST_TEST(std::get<OpenRequests>(back->events[5].event).ids.size() == 2u);
  BOOST_TEST((back->answers == Sample().answers));
  BOOST_TEST((back->rooms == Sample().rooms));
}

// A datagram is cut on the way, or a stranger sends to the port. Nothing of it
// may be believed, and a length in it must not be taken at its word.
BOOST_AUTO_TEST_CASE(CutAndForeignMessagesAreNone) {
  const std::string whole = Encode(Sample(), now);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    BOOST_TEST(!DecodeGroupMessage(whole.substr(0, size), now).has_value());
  }
  BOOST_TEST(!DecodeGroupMessage("GET / HTTP/1.1\r\n\r\n", now).has_value());
  std::string foreign = whole;
  for (std::size_t i = 10; i < foreign.size(); ++i) foreign[i] = '\xff';
  BOOST_TEST(!DecodeGroupMessage(foreign, now).has_value());
}

}  // namespace
}  // namespace gentianlb::gateway
