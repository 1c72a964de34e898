#include "schedule/suspects.h"

#include <boost/test/unit_test.hpp>

namespace gentianlb::schedule {
namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration kMs = absl::Milliseconds(1);
constexpr ContentHash kContent = 7;

ServerId Server(int number) { return ServerId("s" + std::to_string(number)); }

SuspectRequests WithLosses(int servers) {
  SuspectRequests suspects;
  for (int i = 0; i < servers; ++i) {
    suspects.OnServerLost(kContent, Server(i), start);
  }
  return suspects;
}

// Guards against a request that ends a fourth server.
BOOST_AUTO_TEST_CASE(ThreeLostServersAreTheMost) {
  for (int lost = 0; lost < 3; ++lost) {
    BOOST_TEST(WithLosses(lost).MayRun(kContent, 0, start + kMs));
  }
  const SuspectRequests suspects = WithLosses(3);
  BOOST_TEST(!suspects.MayRun(kContent, 0, start + kMs));
  BOOST_TEST(suspects.MayRun(kContent + 1, 0, start + kMs));
}

// Guards against attempts at once that each end a server.
BOOST_AUTO_TEST_CASE(RunningAttemptsCountAsLossesToCome) {
  BOOST_TEST(WithLosses(0).MayRun(kContent, 100, start));
  BOOST_TEST(WithLosses(1).MayRun(kContent, 1, start));
  BOOST_TEST(!WithLosses(1).MayRun(kContent, 2, start));
  BOOST_TEST(!WithLosses(2).MayRun(kContent, 1, start));
}

// Guards against requests that ran before and are counted as new attempts.
BOOST_AUTO_TEST_CASE(TheFirstLossIsKnown) {
  SuspectRequests suspects = WithLosses(1);
  suspects.OnServerLost(kContent, Server(1), start + kMs);
  BOOST_TEST((suspects.FirstLoss(kContent, start + kMs) == start));
  BOOST_TEST((suspects.FirstLoss(kContent + 1, start + kMs) ==
              absl::InfiniteFuture()));
}

// Guards against a server that counts twice, as seen by its host and by its
// dispatcher.
BOOST_AUTO_TEST_CASE(AServerCountsOnce) {
  SuspectRequests suspects = WithLosses(1);
  suspects.OnServerLost(kContent, Server(0), start + kMs);
  suspects.OnPeerChange({kContent, Server(0)}, start + kMs);
  BOOST_TEST(suspects.ServersLost(kContent, start + kMs) == 1u);
}

// Guards against harmless requests that are refused since they ran on servers
// that ended.
BOOST_AUTO_TEST_CASE(ASuccessClearsTheContent) {
  SuspectRequests suspects = WithLosses(2);
  suspects.OnServed(kContent);
  BOOST_TEST(suspects.ServersLost(kContent, start) == 0u);
  BOOST_TEST(suspects.size() == 0u);
}

// Guards against answers that a sound server breaks off and that are taken for
// its end.
BOOST_AUTO_TEST_CASE(AServerThatRespondsLaterHasNotEnded) {
  SuspectRequests suspects = WithLosses(2);
  suspects.OnResponse(Server(0), start + kMs);
  BOOST_TEST(suspects.ServersLost(kContent, start) == 1u);
  suspects.OnResponse(Server(1), start + kMs);
  BOOST_TEST(suspects.size() == 0u);
}

// Guards against bytes that a server sent before it ended and that clear what
// it ended under.
BOOST_AUTO_TEST_CASE(AnEarlierGrantsResponseClearsNothing) {
  SuspectRequests suspects = WithLosses(1);
  suspects.OnResponse(Server(0), start);
  BOOST_TEST(suspects.ServersLost(kContent, start) == 1u);
}

// Guards against contents that are refused for ever.
BOOST_AUTO_TEST_CASE(ContentsAreForgottenInTime) {
  const SuspectRequests suspects = WithLosses(3);
  const absl::Time end = start + SuspectRequests::kMemory;
  BOOST_TEST((suspects.TimeUntilForgotten(kContent, end - kMs) == kMs));
  BOOST_TEST(!suspects.MayRun(kContent, 0, end - kMs));
  BOOST_TEST(suspects.MayRun(kContent, 0, end));
}

// Guards against a memory that grows with each server that ends, or that
// forgets the worst content for harmless ones.
BOOST_AUTO_TEST_CASE(TheMemoryIsBounded) {
  SuspectRequests suspects = WithLosses(3);
  for (ContentHash content = 100; content < 10'000; ++content) {
    suspects.OnServerLost(content, Server(0), start + kMs);
  }
  BOOST_TEST(suspects.size() == SuspectRequests::kMaxContents);
  BOOST_TEST(suspects.ServersLost(kContent, start + kMs) == 3u);
}

// Guards against peers that pass on to each other what one of them has learnt.
BOOST_AUTO_TEST_CASE(OnlyOwnFindingsAreReported) {
  SuspectRequests suspects;
  std::vector<SuspectChange> reported;
  suspects.OnChange(
      [&](const SuspectChange& change) { reported.push_back(change); });
  suspects.OnPeerChange({kContent, Server(0)}, start);
  suspects.OnServerLost(kContent, Server(0), start);  // Known already.
  BOOST_TEST(reported.empty());
  suspects.OnServerLost(kContent, Server(1), start);
  suspects.OnServed(kContent);
  suspects.OnServed(kContent);
  suspects.OnServerLost(kContent, Server(2), start);
  suspects.OnResponse(Server(2), start + kMs);
  const std::vector<SuspectChange> expected = {{kContent, Server(1)},
                                               {kContent, ServerId()},
                                               {kContent, Server(2)},
                                               {kContent, ServerId()}};
  BOOST_TEST((reported == expected));
}

}  // namespace
}  // namespace gentianlb::schedule
