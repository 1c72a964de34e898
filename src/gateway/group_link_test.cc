// Tests entry hosts and the dispatchers of groups over a network that loses,
// duplicates and delays datagrams, with hosts that freeze, are killed and are
// partitioned.

#include "gateway/group_link.h"

#include <boost/test/unit_test.hpp>

#include "gateway/group_site_test.h"

namespace gentianlb::gateway {
namespace {

using Host = GroupSite::Host;

// Several hosts have requests for the same few streams. If each host dispatched
// alone, each would see free streams, and the server would queue requests in
// front of urgent ones.
BOOST_AUTO_TEST_CASE(HostsTogetherNeverExceedServerStreams) {
  GroupSite site(8, 2, 2);
  std::vector<std::pair<std::string, RequestId>> submitted;
  for (int i = 0; i < 16; ++i) {
    const std::string host = "h" + std::to_string(i % 8);
    submitted.emplace_back(host, site.Submit(host));
  }
  site.Advance(absl::Milliseconds(50));
  BOOST_TEST(site.Granted("s0") == 2);
  BOOST_TEST(site.Granted("s1") == 2);
  for (const auto& [host, id] : submitted) {
    BOOST_TEST(!site.hosts.at(host).local.contains(id));
  }
}

// A batch request waits at one host and an urgent request at another. A stream
// that becomes free goes to the urgent request, whichever host's request
// finished on it. When each host dispatched alone, the batch request got it
// half of the time.
BOOST_AUTO_TEST_CASE(UrgentRequestOfAnotherHostIsGrantedFirst) {
  GroupSite site(8, 1, 2);
  const RequestId first = site.Submit("h1");
  site.Submit("h1");
  site.Advance(absl::Milliseconds(20));
  const RequestId batch = site.Submit("h1", /*rank=*/2);
  site.Advance(absl::Milliseconds(20));
  const RequestId urgent = site.Submit("h2", /*rank=*/0);
  site.Advance(absl::Milliseconds(20));
  site.FinishRequest("h1", first);
  site.Advance(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at("h2").IsGranted(urgent));
  BOOST_TEST(!site.hosts.at("h1").outcomes.contains(batch));
}

// Guards against a dispatcher that grants a leaving server again and again,
// since it has missed the message that says so.
BOOST_AUTO_TEST_CASE(ADispatcherLearnsOfALeavingServerFromAWithheldRequest) {
  GroupSite site(4, 2, 2);
  const std::string dispatcher = site.Dispatcher();
  const std::string origin = dispatcher == "h0" ? "h1" : "h0";
  const RequestId id = site.Submit(origin);
  site.Advance(absl::Milliseconds(20));
  Host& host = site.hosts.at(origin);
  const std::string granted = host.outcomes.at(id);
  const LeavingServer leaving{ServerId(granted), 1, absl::ZeroDuration()};
  host.leaving = {leaving};
  schedule::RequestFinished finished{id, schedule::RequestOutcome::kWithheld};
  finished.cooldowns = {{ServerId(granted), absl::Seconds(1)}};
  host.link->OnEvent(site.service.id, finished);
  site.Advance(absl::Milliseconds(20));
  BOOST_TEST((site.hosts.at(dispatcher).leaving ==
              std::vector<LeavingServer>{leaving}));
  BOOST_TEST(host.IsGranted(id));
  BOOST_TEST(host.outcomes.at(id) != granted);
}

// A new dispatcher grants many servers at once to a host that has cooldowns of
// all of them. Guards against reports that are lost, as they fill more than a
// datagram.
BOOST_AUTO_TEST_CASE(ManyWithheldRequestsFitIntoADatagram) {
  constexpr int kServers = 100;
  constexpr int kStreams = 5;  // One group, so that its dispatcher is a peer.
  constexpr std::size_t kMaxBytes = 60000;
  GroupSite site(2, kServers, kStreams);
  const std::string dispatcher = site.Dispatcher();
  const std::string origin = dispatcher == "h0" ? "h1" : "h0";
  std::vector<RequestId> ids(kServers);
  for (RequestId& id : ids) id = site.Submit(origin);
  site.Advance(absl::Milliseconds(20));
  site.largest_datagram = 0;
  Host& host = site.hosts.at(origin);
  for (const RequestId& id : ids) {
    BOOST_REQUIRE(host.IsGranted(id));
    schedule::RequestFinished finished{id, schedule::RequestOutcome::kWithheld};
    finished.cooldowns = {{ServerId(host.outcomes.at(id)), absl::Seconds(1)}};
    for (const ServerEntry& server : site.entries) {
      finished.cooldowns.push_back({server.id, absl::Seconds(1)});
    }
    host.link->OnEvent(site.service.id, finished);
  }
  site.Advance(absl::Milliseconds(20));
  BOOST_TEST(site.largest_datagram > 0u);
  BOOST_TEST(site.largest_datagram < kMaxBytes);
}

// Guards against hosts that dispatch without knowing that a server leaves.
BOOST_AUTO_TEST_CASE(AllHostsThatMayDispatchLearnOfALeavingServer) {
  GroupSite site(4, 2, 2);
  // Until hosts that have just started have exchanged what they remember.
  site.Advance(absl::Milliseconds(50));
  const LeavingServer leaving{ServerId("s0"), 1, absl::Milliseconds(70)};
  site.hosts.at("h0").link->SendLeaving(leaving, EntryHostId("h3"));
  site.Advance(absl::Milliseconds(20));
  for (const char* name : {"h1", "h2", "h3"}) {
    BOOST_TEST(
        (site.hosts.at(name).leaving == std::vector<LeavingServer>{leaving}));
  }
}

// Guards against a peer that goes on sending to a server which has refused what
// the peer tunnelled, since the message that says so was lost.
BOOST_AUTO_TEST_CASE(APeerLearnsOfACooldownThoughADatagramIsLost) {
  GroupSite site(4, 2, 2);
  site.broken_links.insert({"h0", "h1"});
  site.hosts.at("h0").link->SendCooldown({ServerId("s0"), 1, absl::Seconds(3)},
                                         EntryHostId("h1"));
  site.Advance(absl::Milliseconds(50));
  BOOST_TEST(site.hosts.at("h1").cooldowns.empty());
  site.broken_links.clear();
  site.Advance(absl::Milliseconds(100));
  BOOST_REQUIRE(site.hosts.at("h1").cooldowns.size() == 1u);
  BOOST_TEST(
      (site.hosts.at("h1").cooldowns.front().left == absl::Milliseconds(2900)));
}

// The host of the dispatcher freezes. Callers of the other hosts must not wait
// for it: their own hosts decide requests already submitted to it within some
// milliseconds, and later requests go to another dispatcher at once.
BOOST_AUTO_TEST_CASE(FrozenDispatcherDelaysRequestsOnlyBriefly) {
  GroupSite site(8, 4, 4);
  const std::string dispatcher = site.Dispatcher();
  site.hosts.at(dispatcher).frozen = true;
  for (auto& [name, host] : site.hosts) {
    if (name == dispatcher) continue;
    const RequestId id = site.Submit(name);
    // A tenth of the objective plus one tick of the client.
    site.Advance(GroupSite::kObjective / 10 + absl::Milliseconds(6));
    BOOST_TEST((host.local.contains(id) || host.IsGranted(id)));
    const RequestId next = site.Submit(name);
    site.Advance(absl::Milliseconds(15));
    BOOST_TEST(host.IsGranted(next));
  }
}

// The host of the dispatcher is killed while requests are queued there. Their
// own hosts reclaim them.
BOOST_AUTO_TEST_CASE(RequestsQueuedAtLostDispatcherAreReclaimed) {
  GroupSite site(8, 1, 1);
  const std::string dispatcher = site.Dispatcher();
  const std::string other = dispatcher == "h1" ? "h2" : "h1";
  site.Submit(other);
  const RequestId queued = site.Submit(other);
  site.Advance(absl::Milliseconds(50));
  Host& host = site.hosts.at(other);
  BOOST_TEST(!host.local.contains(queued));
  BOOST_TEST(!host.outcomes.contains(queued));
  site.hosts.at(dispatcher).frozen = true;
  site.Advance(absl::Milliseconds(250));
  BOOST_TEST(host.local.contains(queued));
}

// A host with requests on servers is killed and never reports them as finished.
// The dispatcher must not count their streams as busy until the deadlines:
// servers would idle while callers of other hosts are refused.
BOOST_AUTO_TEST_CASE(StreamsOfLostHostAreFreed) {
  GroupSite site(8, 1, 2);
  const std::string dispatcher = site.Dispatcher();
  const std::string killed = dispatcher == "h1" ? "h2" : "h1";
  const std::string other = dispatcher == "h3" ? "h4" : "h3";
  site.Submit(killed, 0, absl::Minutes(1));
  site.Submit(killed, 0, absl::Minutes(1));
  site.Advance(absl::Milliseconds(50));
  BOOST_TEST(site.hosts.at(killed).outcomes.size() == 2u);
  site.Start(killed);  // Restarted without state.
  site.hosts.at(killed).frozen = true;
  site.Advance(absl::Seconds(3));
  const RequestId next = site.Submit(other);
  site.Advance(absl::Milliseconds(50));
  BOOST_TEST(site.hosts.at(other).IsGranted(next));
}

// The network duplicates the datagram that submits a request. If the dispatcher
// took the copy for another request, the request would be recorded as queued
// while it runs: the dispatcher would send its host forty heartbeats per second
// and treat the end of the request as a disconnected caller.
BOOST_AUTO_TEST_CASE(DuplicatedSubmissionTakesOneStream) {
  GroupSite site(8, 1, 2);
  const std::string dispatcher = site.Dispatcher();
  const std::string requester = dispatcher == "h1" ? "h2" : "h1";
  const std::string other = dispatcher == "h3" ? "h4" : "h3";
  site.Submit(other);
  site.Advance(absl::Milliseconds(20));
  // Takes the last free stream and queues a request behind it, both submitted
  // twice.
  site.duplicated_percent = 100;
  const RequestId granted = site.Submit(requester);
  const RequestId queued = site.Submit(requester);
  site.Advance(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at(requester).IsGranted(granted));
  site.duplicated_percent = 0;
  site.FinishRequest(requester, granted);
  site.Advance(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at(requester).IsGranted(queued));
  // All requests run and none is queued: each of two hosts sends its list of
  // open requests twice per second.
  const int sent = site.sent;
  site.Advance(absl::Seconds(1));
  BOOST_TEST(site.sent - sent <= 6);
  site.FinishRequest(requester, queued);
  site.Advance(absl::Milliseconds(20));
  const RequestId next = site.Submit(other);
  site.Advance(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at(other).IsGranted(next));
}

// A grant arrives after its host has stopped waiting and has dispatched the
// request locally. The dispatcher is notified and gives the stream to another
// request at once. Otherwise the stream would idle until the next list of open
// requests, for most of a second.
BOOST_AUTO_TEST_CASE(LateGrantIsReturned) {
  GroupSite site(8, 1, 1);
  const std::string dispatcher = site.Dispatcher();
  const std::string requester = dispatcher == "h1" ? "h2" : "h1";
  const std::string other = dispatcher == "h3" ? "h4" : "h3";
  // The dispatcher freezes for longer than the answer timeout, and the datagram
  // that reports the reclaimed request is lost.
  const RequestId late = site.Submit(requester);
  site.Advance(GroupSite::kStep);
  site.hosts.at(dispatcher).frozen = true;
  site.broken_links = {{requester, dispatcher}};
  site.Advance(absl::Milliseconds(60));
  BOOST_TEST(site.hosts.at(requester).local.contains(late));
  site.broken_links.clear();
  site.hosts.at(dispatcher).frozen = false;
  site.Advance(absl::Milliseconds(10));
  const RequestId next = site.Submit(other);
  site.Advance(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at(other).IsGranted(next));
}

// Some hosts are partitioned from the others. Both sides still serve requests.
BOOST_AUTO_TEST_CASE(BothSidesOfPartitionServeRequests) {
  GroupSite site(8, 4, 4);
  site.partition = {"h0", "h5"};
  site.Advance(absl::Seconds(2));
  for (auto& [name, host] : site.hosts) {
    const RequestId id = site.Submit(name);
    site.Advance(absl::Milliseconds(40));
    BOOST_TEST((host.IsGranted(id) || host.local.contains(id)), name);
  }
}

// The connection to the granted server fails, so the server has not executed
// the request, and another server is granted.
BOOST_AUTO_TEST_CASE(UnsentRequestIsGrantedAnotherServer) {
  GroupSite site(8, 2, 2);
  const RequestId id = site.Submit("h1");
  site.Advance(absl::Milliseconds(20));
  Host& host = site.hosts.at("h1");
  const std::string first = host.outcomes.at(id);
  site.FinishRequest("h1", id, schedule::RequestOutcome::kNotSent);
  site.Advance(absl::Milliseconds(20));
  BOOST_TEST(host.outcomes.at(id) != first);
  BOOST_TEST(host.decisions.at(id) == 2);
}

// Another host becomes the dispatcher while requests run. It must be notified
// of them; otherwise it would overfill the servers.
BOOST_AUTO_TEST_CASE(NewDispatcherLearnsOfRunningRequests) {
  GroupSite site(8, 1, 2);
  const std::string before = site.Dispatcher();
  const std::string other = before == "h1" ? "h2" : "h1";
  site.Submit(other);
  site.Submit(other);
  site.Advance(absl::Milliseconds(50));
  site.hosts.at(before).frozen = true;
  site.Advance(absl::Seconds(2));
  const std::string third = before == "h3" ? "h4" : "h3";
  const RequestId queued = site.Submit(third);
  site.Advance(absl::Milliseconds(100));
  const Host& host = site.hosts.at(third);
  BOOST_TEST(!host.outcomes.contains(queued));
  BOOST_TEST(!host.local.contains(queued));
}

// Guards against a server that gets too much since its dispatcher forgets the
// streams that hosts decided themselves and that run on for long.
BOOST_AUTO_TEST_CASE(LongStreamsThatHostsDecidedTakeStreams) {
  GroupSite site(8, /*servers=*/1, /*streams=*/10);
  constexpr int kUngranted = 6;
  site.peer_uses = [] {
    ServerUse use;
    use.server = HashName("s0");
    use.ungranted = kUngranted;
    return absl::flat_hash_map<NameHash, ServerUse>{{use.server, use}};
  };
  // From now on the group has a dispatcher.
  const RequestId first = site.Submit("h1");
  site.Advance(absl::Milliseconds(50));
  site.FinishRequest("h1", first);
  site.Advance(absl::Seconds(15));
  for (int i = 0; i < 10; ++i) site.Submit("h1");
  site.Advance(absl::Milliseconds(50));
  BOOST_TEST(site.Granted("s0") == 10 - kUngranted);
}

// Datagrams are lost, duplicated and reordered. Each request is decided once,
// by the dispatcher or by its own host, soon after its submission, and lost
// datagrams don't keep streams occupied.
BOOST_AUTO_TEST_CASE(EachRequestIsDecidedOnceOverLossyNetwork) {
  for (unsigned seed = 1; seed <= 100; ++seed) {
    const unsigned percent = 1 + (seed - 1) % 20;
    GroupSite site(4, 2, 4);
    site.random.seed(seed);
    site.max_delay_ms = 1 + percent;
    site.lost_percent = percent;
    site.duplicated_percent = percent;
    std::vector<std::tuple<absl::Time, std::string, RequestId>> running;
    for (int i = 0; i < 200; ++i) {
      const std::string name = "h" + std::to_string(i % 4);
      Host& host = site.hosts.at(name);
      const RequestId id = site.Submit(name, 0, absl::Milliseconds(400));
      site.Advance(absl::Milliseconds(10));
      running.emplace_back(site.now + absl::Milliseconds(40), name, id);
      for (const auto& [due, origin, finished_id] : running) {
        if (due <= site.now) site.FinishRequest(origin, finished_id);
      }
      std::erase_if(running, [&](const auto& entry) {
        return std::get<0>(entry) <= site.now;
      });
      BOOST_TEST(host.decisions[id] <= 1);
    }
    for (const auto& [due, host, id] : running) site.FinishRequest(host, id);
    site.Advance(absl::Seconds(5));
    for (const auto& [name, host] : site.hosts) {
      for (const auto& [id, count] : host.decisions) BOOST_TEST(count <= 1);
    }
    // All streams are free again.
    BOOST_TEST(site.Granted("s0") + site.Granted("s1") == 0);
    std::vector<RequestId> last;
    last.reserve(8);
    site.lost_percent = 0;
    site.max_delay_ms = 1;
    for (int i = 0; i < 8; ++i) last.push_back(site.Submit("h1"));
    site.Advance(absl::Milliseconds(100));
    int granted = 0;
    for (const RequestId& id : last) {
      granted += site.hosts.at("h1").IsGranted(id) ? 1 : 0;
    }
    BOOST_TEST(granted == 8, "seed " << seed);
  }
}

}  // namespace
}  // namespace gentianlb::gateway
