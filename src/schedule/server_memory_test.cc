// Memory of servers to which other dispatchers, and hosts that decide
// themselves, send too.

#include <boost/test/unit_test.hpp>
#include <string>

#include "schedule/fake_site_test.h"

namespace gentianlb::schedule {
namespace {

constexpr int kPrompt = 15000;
constexpr int kOutput = 2000;
constexpr std::int64_t kMemory = 100000;  // Of FakeSite's servers.

// One server, and requests that run for longer than the test.
class Fixture : public FakeSite {
 public:
  Fixture() { AddServers(1); }

  Request MakeLong() {
    Request request = MakeRequest("w", 0, absl::Minutes(30), kPrompt, kOutput);
    request.expected_output_tokens = kOutput;
    return request;
  }

  // Sends `count` requests and lets the server compute their prompts.
  void SendLong(int count) {
    Deliver(PeerLoadReported{specs[0].id, peer_streams});
    for (int i = 0; i < count; ++i) Deliver(RequestArrived{MakeLong()});
    for (int i = 0; i < 20; ++i) {
      Deliver(PeerLoadReported{specs[0].id, peer_streams});
      Run(absl::Seconds(1));
    }
  }

  // Returns the memory that all streams of the server need at least.
  std::int64_t Used() const {
    return (RunningOn(specs[0].id) + peer_streams) * std::int64_t{kPrompt};
  }

  int peer_streams = 0;
};

// Guards against a server whose memory is exceeded by its dispatcher alone.
BOOST_FIXTURE_TEST_CASE(GrantsFitIntoTheMemory, Fixture) {
  SendLong(8);
  BOOST_TEST(RunningOn(specs[0].id) == 5);
  BOOST_TEST(Used() <= kMemory);
}

// Guards against a server that ends since hosts that decide themselves fill
// what its dispatcher takes for free memory.
BOOST_FIXTURE_TEST_CASE(StreamsOfPeersTakeMemory, Fixture) {
  peer_streams = 3;
  SendLong(8);
  BOOST_TEST(RunningOn(specs[0].id) == 2);
  BOOST_TEST(Used() <= kMemory);
}

// Guards against a request that is taken for the only one of a server since its
// dispatcher has granted none there.
BOOST_FIXTURE_TEST_CASE(AServerWithStreamsOfPeersIsNotEmpty, Fixture) {
  peer_streams = 5;
  SendLong(1);
  BOOST_TEST(RunningOn(specs[0].id) == 0);
  peer_streams = 0;
  SendLong(0);
  BOOST_TEST(RunningOn(specs[0].id) == 1);
}

// Guards against a reservation for peers' streams that is lower than for
// average requests. Larger ones may exceed the memory by what they need beyond
// that.
BOOST_FIXTURE_TEST_CASE(
    LargerStreamsOfPeersExceedTheMemoryByTheDifferenceAtMost, Fixture) {
  constexpr int kSmallPrompt = 4000;
  constexpr int kLargePrompt = 19000;
  peer_streams = 5;
  Deliver(PeerLoadReported{specs[0].id, peer_streams});
  for (int i = 0; i < 8; ++i) {
    Request request =
        MakeRequest("w", 0, absl::Minutes(30), kSmallPrompt, kOutput);
    request.expected_output_tokens = kOutput;
    Deliver(RequestArrived{request});
  }
  SendLong(0);
  const int own = RunningOn(specs[0].id);
  BOOST_TEST(own == specs[0].max_streams - peer_streams);
  const std::int64_t used = own * std::int64_t{kSmallPrompt} +
                            peer_streams * std::int64_t{kLargePrompt};
  BOOST_TEST_MESSAGE("used " << used << " of " << kMemory);
  constexpr std::int64_t kDifference = kLargePrompt - kSmallPrompt;
  BOOST_TEST(used <= kMemory + peer_streams * kDifference);
}

// Guards against memory of peers' streams that is kept once they have ended.
BOOST_FIXTURE_TEST_CASE(MemoryOfPeersStreamsBecomesFree, Fixture) {
  peer_streams = 3;
  SendLong(8);
  peer_streams = 0;
  SendLong(0);
  BOOST_TEST(RunningOn(specs[0].id) == 5);
}

// Guards against requests that another dispatcher granted, and that a new one
// takes over, without their memory.
BOOST_FIXTURE_TEST_CASE(AdoptedRequestsTakeMemory, Fixture) {
  for (int i = 0; i < 3; ++i) {
    Deliver(RequestRunning{MakeLong(), specs[0].id, /*output_tokens=*/1});
  }
  SendLong(8);
  BOOST_TEST(RunningOn(specs[0].id) == 2);
}

}  // namespace
}  // namespace gentianlb::schedule
