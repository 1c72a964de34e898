#include "replay/server_fake.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace gentianlb::replay {
namespace {

using Kind = StreamChange::Kind;

const std::vector<schedule::PrefixHash> no_chain;

schedule::ServerSpec Spec() {
  schedule::ServerSpec spec;
  spec.id = ServerId("s");
  spec.prefill_tokens_per_second = 1000;
  spec.decode_tokens_per_second = 10;
  spec.max_streams = 2;
  spec.kv_tokens = 10'000;
  spec.cache_tokens = std::int64_t{10} * schedule::kPrefixBlockTokens;
  spec.power = {100, 10, 0.05};
  return spec;
}

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

// A server with one prompt after the other, and what it has told.
struct Fixture {
  ServerFake server{Spec(), At(0)};
  std::vector<StreamChange> changes;

  void Submit(StreamIndex index, int prompt, int output,
              const std::vector<schedule::PrefixHash>* chain = &no_chain) {
    server.Submit({index, prompt, output, chain});
    server.Advance(now, &changes);
  }
  void AdvanceTo(double seconds) {
    now = At(seconds);
    server.Advance(now, &changes);
  }
  // When `index` came to `kind`, moving on until it does.
  double When(StreamIndex index, Kind kind) {
    while (server.NextChange() < absl::InfiniteFuture()) {
      now = server.NextChange();
      std::size_t before = changes.size();
      server.Advance(now, &changes);
      for (std::size_t i = before; i < changes.size(); ++i) {
        if (changes[i].index == index && changes[i].kind == kind) {
          return absl::ToDoubleSeconds(now - At(0));
        }
      }
    }
    return -1;
  }
  absl::Time now = At(0);
};

BOOST_FIXTURE_TEST_CASE(OneStreamTakesItsPrefillAndItsDecoding, Fixture) {
  Submit(1, 500, 20);
  BOOST_TEST(When(1, Kind::kFirstToken) == 0.5,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(When(1, Kind::kFinished) == 2.5,
             boost::test_tools::tolerance(1e-6));
}

BOOST_FIXTURE_TEST_CASE(AStreamBesideOthersIsSlower, Fixture) {
  Submit(1, 0, 100);
  Submit(2, 0, 100);
  AdvanceTo(5);
  int alone = 50;
  BOOST_TEST(server.Progress().front().second < alone);
  BOOST_TEST(server.Progress().front().second > alone / 2);
}

BOOST_FIXTURE_TEST_CASE(WhatFindsNoSlotWaitsInOrder, Fixture) {
  Submit(1, 100, 10);
  Submit(2, 100, 100);
  Submit(3, 100, 10);
  Submit(4, 100, 10);
  AdvanceTo(0.5);
  BOOST_TEST(server.Load(now).running == 2);
  BOOST_TEST(server.Load(now).queued == 2);
  BOOST_TEST(When(3, Kind::kFirstToken) > 1);
  BOOST_TEST(When(4, Kind::kFirstToken) > 2);
}

BOOST_FIXTURE_TEST_CASE(WhatDoesNotFitTheMemoryWaits, Fixture) {
  Submit(1, 6000, 10);
  Submit(2, 6000, 10);
  AdvanceTo(6.5);
  BOOST_TEST(server.Load(now).running == 1);
  BOOST_TEST(server.Load(now).queued == 1);
}

BOOST_FIXTURE_TEST_CASE(AKnownPrefixIsNotComputedAgain, Fixture) {
  const std::vector<schedule::PrefixHash> chain = {1, 2, 3, 4};
  Submit(1, 300, 1, &chain);
  BOOST_TEST(When(1, Kind::kFirstToken) == 0.3,
             boost::test_tools::tolerance(1e-6));
  AdvanceTo(10);
  Submit(2, 300, 1, &chain);
  BOOST_TEST(changes.back().cached_blocks == 4);
  BOOST_TEST(When(2, Kind::kFirstToken) == 10.044,
             boost::test_tools::tolerance(1e-6));
}

BOOST_FIXTURE_TEST_CASE(TheDrawFollowsWhatRuns, Fixture) {
  BOOST_TEST(server.Watts() == 100);
  Submit(1, 500, 20);
  BOOST_TEST(server.Watts() == 100 + 10 + 0.05 * 1000);
  AdvanceTo(1);
  BOOST_TEST(server.Watts() == 110);
  BOOST_TEST(server.Cancel(1)->prefilled_tokens == 500);
  BOOST_TEST(server.Watts() == 100);
}

// A server's process dies with a prompt half computed and an answer half
// streamed. Their callers see the streams break; nothing of them is left.
BOOST_FIXTURE_TEST_CASE(ADeadServerLosesStreamsAndCache, Fixture) {
  const std::vector<schedule::PrefixHash> chain = {1, 2};
  Submit(1, 128, 1000, &chain);
  AdvanceTo(1);
  Submit(2, 1000, 10);
  AdvanceTo(1.5);
  std::vector<StreamRemains> remains = server.Die();
  BOOST_REQUIRE(remains.size() == 2U);
  BOOST_TEST(remains[0].index == 2);
  BOOST_TEST(remains[0].prefilled_tokens == 250,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(remains[1].prefilled_tokens == 128);
  BOOST_TEST(!server.cache().Holds(1));
  BOOST_TEST(server.Load(now).kv_used_tokens == 0);
  BOOST_TEST((server.NextChange() == absl::InfiniteFuture()));
}

BOOST_FIXTURE_TEST_CASE(ASlowServerDoesItsWorkLater, Fixture) {
  Submit(1, 500, 20);
  server.SetSpeed(0.1);
  BOOST_TEST(When(1, Kind::kFinished) == 25.0,
             boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(TheCacheForgetsTheLeastRecentlyUsedFirst) {
  PrefixCache cache(std::int64_t{3} * schedule::kPrefixBlockTokens);
  cache.Insert({1, 2});
  cache.Insert({3});
  cache.Insert({1, 4});
  BOOST_TEST(cache.Match({1, 4}) == 2);
  BOOST_TEST(!cache.Holds(2));
  schedule::CacheChanged changes;
  BOOST_TEST(cache.TakeChanges(&changes));
  BOOST_TEST((changes.removed.empty() || changes.removed.front() == 2));
  BOOST_TEST(!cache.TakeChanges(&changes));
}

}  // namespace
}  // namespace gentianlb::replay
