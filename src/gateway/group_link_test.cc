// Entry hosts and the dispatchers of groups, over a network that loses, doubles
// and delays, with hosts that freeze, die and are cut off.

#include "gateway/group_link.h"

#include <boost/test/unit_test.hpp>

#include "gateway/group_site_test.h"

namespace gentianlb::gateway {
namespace {

using Host = GroupSite::Host;

// Two hosts have requests for the same two streams. Each for itself would see
// free streams and send; the server would queue what urgent work waits behind.
BOOST_AUTO_TEST_CASE(AServerGetsNoMoreThanItsStreamsFromAllHosts) {
  GroupSite site(8, 2, 2);
  std::vector<std::pair<std::string, RequestId>> asked;
  for (int i = 0; i < 16; ++i) {
    const std::string host = "h" + std::to_string(i % 8);
    asked.emplace_back(host, site.Ask(host));
  }
  site.Pass(absl::Milliseconds(50));
  BOOST_TEST(site.Granted("s0") == 2);
  BOOST_TEST(site.Granted("s1") == 2);
  for (const auto& [host, id] : asked) {
    BOOST_TEST(!site.hosts.at(host).alone.contains(id));
  }
}

// A batch waits at one host and urgent work at another. The stream that comes
// free goes to the urgent one, wherever the request that ended there was from;
// ordered by each host for itself, the batch got it half of the time.
BOOST_AUTO_TEST_CASE(UrgentWorkOfAnotherHostComesFirst) {
  GroupSite site(8, 1, 2);
  const RequestId first = site.Ask("h1");
  site.Ask("h1");
  site.Pass(absl::Milliseconds(20));
  const RequestId batch = site.Ask("h1", /*rank=*/2);
  site.Pass(absl::Milliseconds(20));
  const RequestId urgent = site.Ask("h2", /*rank=*/0);
  site.Pass(absl::Milliseconds(20));
  site.End("h1", first);
  site.Pass(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at("h2").Got(urgent));
  BOOST_TEST(!site.hosts.at("h1").decided.contains(batch));
}

// The dispatcher's host freezes. Callers of the others must not wait for it:
// what was asked is decided by their own hosts within some milliseconds, and
// what comes next is asked of another host at once.
BOOST_AUTO_TEST_CASE(AFrozenDispatcherDelaysNobodyForLong) {
  GroupSite site(8, 4, 4);
  const std::string dispatcher = site.Dispatcher();
  site.hosts.at(dispatcher).frozen = true;
  for (auto& [name, host] : site.hosts) {
    if (name == dispatcher) continue;
    const RequestId id = site.Ask(name);
    // A tenth of the objective, and until it is looked at.
    site.Pass(GroupSite::kObjective / 10 + absl::Milliseconds(6));
    BOOST_TEST((host.alone.contains(id) || host.Got(id)));
    const RequestId next = site.Ask(name);
    site.Pass(absl::Milliseconds(15));
    BOOST_TEST(host.Got(next));
  }
}

// Requests wait at the dispatcher when its host is killed. They are taken back.
BOOST_AUTO_TEST_CASE(WhatWaitsAtALostDispatcherIsTakenBack) {
  GroupSite site(8, 1, 1);
  const std::string dispatcher = site.Dispatcher();
  const std::string other = dispatcher == "h1" ? "h2" : "h1";
  site.Ask(other);
  const RequestId waits = site.Ask(other);
  site.Pass(absl::Milliseconds(50));
  Host& host = site.hosts.at(other);
  BOOST_TEST(!host.alone.contains(waits));
  BOOST_TEST(!host.decided.contains(waits));
  site.hosts.at(dispatcher).frozen = true;
  site.Pass(absl::Milliseconds(250));
  BOOST_TEST(host.alone.contains(waits));
}

// A host is killed with requests on servers. Its ends are never told, and the
// dispatcher must not take the streams for busy until the deadlines: servers
// would stand idle while callers of other hosts are refused.
BOOST_AUTO_TEST_CASE(StreamsOfALostHostComeFree) {
  GroupSite site(8, 1, 2);
  const std::string dispatcher = site.Dispatcher();
  const std::string killed = dispatcher == "h1" ? "h2" : "h1";
  const std::string other = dispatcher == "h3" ? "h4" : "h3";
  site.Ask(killed, 0, absl::Minutes(1));
  site.Ask(killed, 0, absl::Minutes(1));
  site.Pass(absl::Milliseconds(50));
  BOOST_TEST(site.hosts.at(killed).decided.size() == 2u);
  site.Start(killed);  // Anew, and without memory.
  site.hosts.at(killed).frozen = true;
  site.Pass(absl::Seconds(3));
  const RequestId next = site.Ask(other);
  site.Pass(absl::Milliseconds(50));
  BOOST_TEST(site.hosts.at(other).Got(next));
}

// The network doubles the datagram that asks for a stream. Taken for another
// request, it would seem to wait while it runs: the dispatcher would tell its
// host forty times a second that it is alive, and take its answer for none.
BOOST_AUTO_TEST_CASE(ADoubledAskingTakesOneStream) {
  GroupSite site(8, 1, 2);
  const std::string dispatcher = site.Dispatcher();
  const std::string one = dispatcher == "h1" ? "h2" : "h1";
  const std::string other = dispatcher == "h3" ? "h4" : "h3";
  site.Ask(other);
  site.Pass(absl::Milliseconds(20));
  // The last free stream, and one more that waits behind it, both asked twice.
  site.doubled_percent = 100;
  const RequestId runs = site.Ask(one);
  const RequestId waits = site.Ask(one);
  site.Pass(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at(one).Got(runs));
  site.doubled_percent = 0;
  site.End(one, runs);
  site.Pass(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at(one).Got(waits));
  // All runs and nothing waits: a list of open requests twice a second from
  // each of two hosts.
  const int sent = site.sent;
  site.Pass(absl::Seconds(1));
  BOOST_TEST(site.sent - sent <= 6);
  site.End(one, waits);
  site.Pass(absl::Milliseconds(20));
  const RequestId next = site.Ask(other);
  site.Pass(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at(other).Got(next));
}

// An answer comes later than its host waited: the request was decided there by
// then. The dispatcher hears so, and gives the stream to another at once; it
// would else be idle until the next list of open requests, most of a second.
BOOST_AUTO_TEST_CASE(AGrantThatCameTooLateIsGivenBack) {
  GroupSite site(8, 1, 1);
  const std::string dispatcher = site.Dispatcher();
  const std::string one = dispatcher == "h1" ? "h2" : "h1";
  const std::string other = dispatcher == "h3" ? "h4" : "h3";
  // The dispatcher stands still for longer than an answer is awaited, and what
  // tells it that the request was taken back is lost.
  const RequestId late = site.Ask(one);
  site.Pass(GroupSite::kStep);
  site.hosts.at(dispatcher).frozen = true;
  site.broken = {{one, dispatcher}};
  site.Pass(absl::Milliseconds(60));
  BOOST_TEST(site.hosts.at(one).alone.contains(late));
  site.broken.clear();
  site.hosts.at(dispatcher).frozen = false;
  site.Pass(absl::Milliseconds(10));
  const RequestId next = site.Ask(other);
  site.Pass(absl::Milliseconds(20));
  BOOST_TEST(site.hosts.at(other).Got(next));
}

// A host is cut off from the others. It serves what it can by itself, and the
// others go on.
BOOST_AUTO_TEST_CASE(BothSidesOfACutAreServed) {
  GroupSite site(8, 4, 4);
  site.cut = {"h0", "h5"};
  site.Pass(absl::Seconds(2));
  for (auto& [name, host] : site.hosts) {
    const RequestId id = site.Ask(name);
    site.Pass(absl::Milliseconds(40));
    BOOST_TEST((host.Got(id) || host.alone.contains(id)), name);
  }
}

// A connection to the server that was granted can't be made. Certainly nothing
// ran there, and another server is chosen.
BOOST_AUTO_TEST_CASE(WhatWasNotSentIsGrantedElsewhere) {
  GroupSite site(8, 2, 2);
  const RequestId id = site.Ask("h1");
  site.Pass(absl::Milliseconds(20));
  Host& host = site.hosts.at("h1");
  const std::string first = host.decided.at(id);
  site.End("h1", id, schedule::RequestOutcome::kNotSent);
  site.Pass(absl::Milliseconds(20));
  BOOST_TEST(host.decided.at(id) != first);
  BOOST_TEST(host.decisions.at(id) == 2);
}

// Another host becomes the dispatcher while requests run. It is told of them,
// or it would fill the servers a second time.
BOOST_AUTO_TEST_CASE(ANewDispatcherKnowsWhatRuns) {
  GroupSite site(8, 1, 2);
  const std::string before = site.Dispatcher();
  const std::string other = before == "h1" ? "h2" : "h1";
  site.Ask(other);
  site.Ask(other);
  site.Pass(absl::Milliseconds(50));
  site.hosts.at(before).frozen = true;
  site.Pass(absl::Seconds(2));
  const std::string third = before == "h3" ? "h4" : "h3";
  const RequestId waits = site.Ask(third);
  site.Pass(absl::Milliseconds(100));
  const Host& host = site.hosts.at(third);
  BOOST_TEST(!host.decided.contains(waits));
  BOOST_TEST(!host.alone.contains(waits));
}

// Datagrams are lost, doubled and overtake each other. Each request is decided
// once, by the dispatcher or by its own host, soon after it was asked; and what
// was lost doesn't keep streams taken.
BOOST_AUTO_TEST_CASE(EachRequestIsDecidedOnceOverABadNetwork) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    GroupSite site(4, 2, 4);
    site.random.seed(seed);
    site.slowest_ms = 1 + seed;
    site.lost_percent = seed;
    site.doubled_percent = seed;
    std::vector<std::tuple<absl::Time, std::string, RequestId>> running;
    for (int i = 0; i < 200; ++i) {
      const std::string name = "h" + std::to_string(i % 4);
      Host& host = site.hosts.at(name);
      const RequestId id = site.Ask(name, 0, absl::Milliseconds(400));
      site.Pass(absl::Milliseconds(10));
      running.emplace_back(site.now + absl::Milliseconds(40), name, id);
      for (const auto& [due, at, ending] : running) {
        if (due <= site.now) site.End(at, ending);
      }
      std::erase_if(running, [&](const auto& one) {
        return std::get<0>(one) <= site.now;
      });
      BOOST_TEST(host.decisions[id] <= 1);
    }
    for (const auto& [due, at, ending] : running) site.End(at, ending);
    site.Pass(absl::Seconds(5));
    for (const auto& [name, host] : site.hosts) {
      for (const auto& [id, count] : host.decisions) BOOST_TEST(count <= 1);
    }
    // All streams are free again.
    BOOST_TEST(site.Granted("s0") + site.Granted("s1") == 0);
    std::vector<RequestId> last;
    last.reserve(8);
    site.lost_percent = 0;
    site.slowest_ms = 1;
    for (int i = 0; i < 8; ++i) last.push_back(site.Ask("h1"));
    site.Pass(absl::Milliseconds(100));
    int granted = 0;
    for (const RequestId& id : last) {
      granted += site.hosts.at("h1").Got(id) ? 1 : 0;
    }
    BOOST_TEST(granted == 8, "seed " << seed);
  }
}

}  // namespace
}  // namespace gentianlb::gateway
