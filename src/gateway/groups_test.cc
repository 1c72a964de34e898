#include "gateway/groups.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "gateway/group_messages.h"

namespace gentianlb::gateway {
namespace {

const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
constexpr int kHostCount = 8;

EntryHostId HostId(int number) {
  return EntryHostId("h" + std::to_string(number));
}

HostEntry MakeHostEntry(int number, float processor = 1) {
  return {HostId(number).str(), "", "z", processor};
}

// Returns the dispatcher that host `self` selects if all hosts but `lost` are
// live.
EntryHostId SelectedDispatcher(int self, const GroupKey& group, int lost = -1) {
  DispatcherSelector selector(HostId(self));
  std::vector<HostEntry> live;
  for (int i = 0; i < kHostCount; ++i) {
    if (i != lost) live.push_back(MakeHostEntry(i));
  }
  selector.SetHosts(live);
  return selector.DispatcherOf(group, now);
}

BOOST_AUTO_TEST_CASE(AllHostsSelectSameDispatcher) {
  std::map<EntryHostId, int> groups;
  for (std::uint16_t group = 0; group < 64; ++group) {
    const GroupKey key{HashName("service"), group};
    for (int i = 1; i < kHostCount; ++i) {
      BOOST_TEST(SelectedDispatcher(i, key) == SelectedDispatcher(0, key));
    }
    ++groups[SelectedDispatcher(0, key)];
  }
  BOOST_TEST(groups.size() == static_cast<std::size_t>(kHostCount));
}

// The host of the dispatcher is lost. Its groups are assigned to other hosts,
// and no other group moves: callers of the moved groups would wait in vain for
// a decision too.
BOOST_AUTO_TEST_CASE(OnlyGroupsOfLostHostMove) {
  for (std::uint16_t group = 0; group < 64; ++group) {
    const GroupKey key{HashName("service"), group};
    const bool was_lost = SelectedDispatcher(0, key) == HostId(3);
    BOOST_TEST((SelectedDispatcher(0, key, /*lost=*/3) ==
                SelectedDispatcher(0, key)) != was_lost);
  }
}

// A host that doesn't answer, is about to stop or is no longer live would leave
// requests without a decision.
BOOST_AUTO_TEST_CASE(HostsThatCannotDispatchAreNotSelected) {
  const GroupKey key{HashName("service"), 0};
  const EntryHostId dispatcher = SelectedDispatcher(0, key);
  for (int self = 0; self < kHostCount; ++self) {
    DispatcherSelector selector(HostId(self));
    const std::vector<HostEntry> both = {{dispatcher.str(), "", "z", 1},
                                         {HostId(self).str(), "", "z", 1}};
    selector.SetHosts(both);
    BOOST_TEST(selector.DispatcherOf(key, now) == dispatcher);
    if (HostId(self) == dispatcher) {
      selector.Drain();
      selector.SetHosts(
          {MakeHostEntry(0), MakeHostEntry(1), {dispatcher.str(), "", "z", 1}});
      BOOST_TEST(selector.DispatcherOf(key, now) != dispatcher);
      continue;
    }
    selector.Exclude(dispatcher, now);
    BOOST_TEST(selector.DispatcherOf(key, now) != dispatcher);
    BOOST_TEST(selector.DispatcherOf(key, now + absl::Seconds(2)) ==
               dispatcher);
    // Without the first host, because draining and unresponsive hosts are not
    // listed.
    selector.SetHosts({both.back()});
    BOOST_TEST(selector.DispatcherOf(key, now + absl::Seconds(2)) ==
               HostId(self));
    selector.SetHosts({});
    BOOST_TEST(selector.DispatcherOf(key, now + absl::Seconds(2)) ==
               HostId(self));
  }
}

// Hosts have different processor shares. If a small host dispatched for all,
// every caller would wait for it.
BOOST_AUTO_TEST_CASE(SmallHostsDontDispatchBesideLargeOnes) {
  for (std::uint16_t group = 0; group < 16; ++group) {
    const GroupKey key{HashName("service"), group};
    DispatcherSelector selector(HostId(0));
    BOOST_TEST(selector.DispatcherOf(key, now) == HostId(0));
    selector.SetHosts({MakeHostEntry(0, 0.12F), MakeHostEntry(1, 0.5F),
                       MakeHostEntry(2, 0.4F), MakeHostEntry(3, 0.25F)});
    const EntryHostId dispatcher = selector.DispatcherOf(key, now);
    BOOST_TEST((dispatcher == HostId(1) || dispatcher == HostId(2)));
  }
}

BOOST_AUTO_TEST_CASE(ServersAreSpreadOverGroups) {
  BOOST_TEST(GroupCount(0) == 1);
  BOOST_TEST(GroupCount(108) == 1);
  BOOST_TEST(GroupCount(5120) == 10);
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
  request.parts = {{7, 60}, {8, 2830}};
  request.content = 0x123456789abcdef0;
  request.version = "v1.2";
  request.zone = ZoneId("z");
  request.max_pause = absl::Milliseconds(300);
  return request;
}

GroupMessage Sample() {
  const GroupKey group{HashName("service"), 3};
  GroupMessage message;
  message.from = HostId(1);
  message.suspects = {{5, ServerId("t")}, {6, ServerId()}};
  message.memory = MemoryTransfer::kAnswer;
  message.parts = {{7, ServerId("t"), 2, absl::Minutes(3)}, {8, ServerId(), 0}};
  message.events = {
      {group, schedule::RequestArrived{SampleRequest()}},
      {group, schedule::RequestRunning{SampleRequest(), ServerId("t"), 12}},
      {group, schedule::CallerDisconnected{RequestId("1")}},
      {group, schedule::TokensStreamed{RequestId("2"),
                                       5,
                                       6.25,
                                       {absl::Milliseconds(220),
                                        absl::Milliseconds(40)},
                                       2.5}},
      {group, schedule::RequestFinished{RequestId("3"),
                                        schedule::RequestOutcome::kFailed, 9, 0,
                                        schedule::kNoRequestLimit,
                                        schedule::ResponseProgress::kBegun}},
      {group, OpenRequests{{RequestId("4"), RequestId("5")}}},
      {group, schedule::RequestDelayed{RequestId("9")}}};
  message.answers = {
      schedule::Grant{RequestId("6"), EntryHostId(), ServerId("t")},
      schedule::Refuse{RequestId("7"), EntryHostId(),
                       Code::kDeadlineUnreachable, absl::Milliseconds(400)},
      RequestQueued{RequestId("8")}};
  message.capacities = {{group, -4}};
  return message;
}

// Times are sent as durations, because the clocks of hosts differ.
BOOST_AUTO_TEST_CASE(MessagesRoundTrip) {
  const absl::Time receiver_time = now + absl::Hours(9);
  const auto decoded = DecodeGroupMessage(Encode(Sample(), now), receiver_time);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->from == HostId(1));
  BOOST_REQUIRE(decoded->events.size() == 7u);
  schedule::Request expected = SampleRequest();
  for (absl::Time* time :
       {&expected.arrival, &expected.deadline, &expected.first_token_due}) {
    *time += absl::Hours(9);
  }
  const auto& arrived =
      std::get<schedule::RequestArrived>(decoded->events[0].event);
  BOOST_TEST((arrived.request == expected));
  const auto& running =
      std::get<schedule::RequestRunning>(decoded->events[1].event);
  BOOST_TEST((running.request == expected));
  BOOST_TEST(running.server.str() == "t");
  const auto& finished =
      std::get<schedule::RequestFinished>(decoded->events[4].event);
  BOOST_TEST((finished.kind == schedule::RequestOutcome::kFailed));
  BOOST_TEST(finished.output_tokens == 9);
  BOOST_TEST((finished.request_limit == schedule::kNoRequestLimit));
  BOOST_TEST((finished.progress == schedule::ResponseProgress::kBegun));
  const auto& streamed =
      std::get<schedule::TokensStreamed>(decoded->events[3].event);
  BOOST_TEST((streamed.request_limit == 6.25));
  BOOST_TEST((streamed.pauses.longest == absl::Milliseconds(220)));
  BOOST_TEST((streamed.pauses.typical == absl::Milliseconds(40)));
  BOOST_TEST((streamed.machine_slowdown == 2.5));
  BOOST_TEST(!finished.machine_slowdown.has_value());
  BOOST_TEST(std::get<OpenRequests>(decoded->events[5].event).ids.size() == 2u);
  BOOST_TEST(
      std::get<schedule::RequestDelayed>(decoded->events[6].event).id.str() ==
      "9");
  BOOST_TEST((decoded->suspects == Sample().suspects));
  BOOST_TEST((decoded->parts == Sample().parts));
  BOOST_TEST((decoded->memory == MemoryTransfer::kAnswer));
  BOOST_TEST((decoded->answers == Sample().answers));
  BOOST_TEST((decoded->capacities == Sample().capacities));
}

// A datagram is truncated in transit, or an unrelated sender uses the port. The
// decoder must reject the whole datagram and must not trust a length in it.
BOOST_AUTO_TEST_CASE(TruncatedAndForeignMessagesAreRejected) {
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
