// Unit tests of the decision modules below the dispatcher.

#include <boost/test/unit_test.hpp>
#include <set>

#include "base/retry.h"
#include "schedule/limits.h"
#include "schedule/output_estimator.h"
#include "schedule/power_ledger.h"
#include "schedule/prefix_cache_tracker.h"
#include "schedule/refuse.h"
#include "schedule/server.h"
#include "schedule/signature.h"
#include "schedule/speed_estimator.h"
#include "schedule/window.h"

namespace gentianlb::schedule {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

// --- Output estimates --------------------------------------------------------

// One workspace sends long drafts and short tags. With one estimate for both,
// each tag would reserve as much memory as a draft.
BOOST_AUTO_TEST_CASE(OutputLengthsAreLearntPerOutputLimit) {
  OutputEstimator estimator;
  Request draft;
  draft.max_output_tokens = 4000;
  Request tag;
  tag.max_output_tokens = 16;
  BOOST_TEST(estimator.Estimate(draft, 1).median == 2000);
  for (int i = 0; i < 100; ++i) {
    estimator.Learn(draft, 1, 900 + 2 * i);
    estimator.Learn(tag, 1, 4);
  }
  const OutputEstimate learnt = estimator.Estimate(draft, 1);
  BOOST_TEST(learnt.median > 950);
  BOOST_TEST(learnt.median < 1050);
  BOOST_TEST(learnt.p90 > 1050);
  BOOST_TEST(estimator.Estimate(tag, 1).p90 == 4);
}

BOOST_AUTO_TEST_CASE(StreamedTokensCorrectTheEstimate) {
  const OutputEstimate estimate{100, 300};
  BOOST_TEST(CorrectEstimate(estimate, 50, 0).median == 100);
  BOOST_TEST(CorrectEstimate(estimate, 150, 0).median == 300);
  BOOST_TEST(CorrectEstimate(estimate, 400, 0).median == 600);
  BOOST_TEST(CorrectEstimate(estimate, 400, 450).median == 450);
}

// --- Window and speed --------------------------------------------------------

BOOST_AUTO_TEST_CASE(WindowShrinksWithinSecondsAndRecovers) {
  Window window(32);
  for (double t = 0; t < 4; t += 0.1) window.OnSlowResponse(At(t));
  BOOST_TEST(window.streams() == 1);
  BOOST_TEST(window.probing());
  BOOST_TEST(!window.IsOpen(At(4)));
  for (double t = 10; t < 16; t += 0.1) window.OnGoodResponse(At(t), true);
  BOOST_TEST(window.streams() == 32);
  BOOST_TEST(window.IsOpen(At(16)));
}

BOOST_AUTO_TEST_CASE(FailedProbesIncreaseTheBackoff) {
  Window window(1);
  absl::Duration last_backoff;
  absl::Time now = At(0);
  for (int i = 0; i < 5; ++i) {
    window.OnGrant();
    window.OnSlowResponse(now);
    const absl::Duration backoff = window.closed_until() - now;
    BOOST_TEST((backoff > last_backoff));
    last_backoff = backoff;
    now = window.closed_until();
  }
  BOOST_TEST((last_backoff <= absl::Seconds(30)));
}

BOOST_AUTO_TEST_CASE(SpeedFollowsSamplesAndDecaysWithoutThem) {
  ServerSpec spec;
  spec.decode_tokens_per_second = 50;
  SpeedEstimator speed(spec);
  for (int i = 0; i < 10; ++i) speed.AddDecodeSample(0.2, 1);
  BOOST_TEST(speed.straggling());
  BOOST_TEST(speed.TokenSeconds(1) > 0.18);
  for (int i = 0; i < 10; ++i) speed.Decay();
  BOOST_TEST(!speed.straggling());
}

// --- Server ------------------------------------------------------------------

// Several hosts learn at the same time that a server has four free streams, and
// each has four requests waiting. If all were sent, 12 of 16 callers would wait
// for a slot. So each host sends one or two, and the rest after it has received
// the load of its peers.
BOOST_AUTO_TEST_CASE(UnreportedPeerGrantsReduceFreeStreams) {
  ServerSpec spec;
  spec.max_streams = 10;
  spec.expected_competitors = 2;
  Server server(spec);
  server.OnPeerLoad({ServerId("s"), 6}, At(0));
  BOOST_TEST(server.FreeStreams(At(0)) == 4);
  server.OnGrant({}, At(0));
  BOOST_TEST(server.FreeStreams(At(0)) == 1);
  BOOST_TEST(server.FreeStreams(At(1)) == 3);
  spec.expected_competitors = 0;
  Server uncontended(spec);
  uncontended.OnGrant({}, At(0));
  BOOST_TEST(uncontended.FreeStreams(At(0)) == 9);
}

// --- Power -------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(WorstCaseCountsPrefillOnceAndCancelledAsRunning) {
  ServerSpec spec;
  spec.prefill_tokens_per_second = 1000;
  spec.power = {.idle_watts = 100,
                .watts_per_stream = 10,
                .joules_per_prefill_token = 0.1};
  PowerLedger ledger;
  ledger.SetServer(0, spec, true);
  ledger.SetShare(225);
  BOOST_TEST(ledger.worst_case_watts() == 100);
  ledger.AddStream(0, true);
  BOOST_TEST(ledger.worst_case_watts() == 210);
  BOOST_TEST(ledger.Fits(0, 0));
  ledger.AddStream(0, true);  // Prompts are computed one after the other.
  BOOST_TEST(ledger.worst_case_watts() == 220);
  BOOST_TEST(!ledger.Fits(0, 0));
  ledger.SetShare(215);
  BOOST_TEST(ledger.MustCancel());
  ledger.OnCancel(0, true);
  BOOST_TEST(!ledger.MustCancel());
  // The cancelled request may still be running.
  BOOST_TEST(ledger.worst_case_watts() == 220);
  BOOST_TEST(!ledger.Fits(0, 0));
  ledger.RemoveStream(0, true, true);
  ledger.OnFirstToken(0, false);
  BOOST_TEST(ledger.worst_case_watts() == 110);
  ledger.RemoveStream(0, false, false);
  BOOST_TEST(ledger.worst_case_watts() == 100);
}

// Short prompts wait 100 ms for a slot of a busy engine. If that wait counted
// as slow prefill, the prediction for a long prompt would rise to half a
// second, and it would be refused although the engine could have started it in
// time.
BOOST_AUTO_TEST_CASE(QueueingOfShortPromptsDoesNotAffectLongPrompts) {
  ServerSpec spec;
  spec.prefill_tokens_per_second = 100000;
  spec.decode_tokens_per_second = 200;
  spec.speeds_estimated = true;
  SpeedEstimator speed(spec);
  for (int i = 0; i < 50; ++i) {
    speed.AddFirstTokenSample(0.115, speed.ExpectedFirstToken(600, 1));
  }
  BOOST_TEST(speed.FirstTokenSeconds(600, 1) > 0.1);
  BOOST_TEST(speed.FirstTokenSeconds(20000, 1) < 0.4);
}

// The engine computes prompts at a third of the estimated speed. Samples of
// long prompts change the prefill speed and not the overhead.
BOOST_AUTO_TEST_CASE(LongPromptsDetermineThePrefillSpeed) {
  ServerSpec spec;
  spec.prefill_tokens_per_second = 100000;
  spec.decode_tokens_per_second = 200;
  spec.speeds_estimated = true;
  SpeedEstimator speed(spec);
  for (int i = 0; i < 50; ++i) {
    speed.AddFirstTokenSample(0.6 + 0.02, speed.ExpectedFirstToken(20000, 1));
  }
  BOOST_TEST(speed.prefill_speed() < 40000);
  BOOST_TEST(speed.FirstTokenSeconds(600, 1) < 0.1);
}

// --- Prefix cache ------------------------------------------------------------

std::vector<PrefixHash> Chain(PrefixHash blocks) {
  std::vector<PrefixHash> chain;
  for (PrefixHash i = 1; i <= blocks; ++i) chain.push_back(i * 1000);
  return chain;
}

// A prefix cache with two servers of 64000 tokens each, and a chain of 100
// blocks.
class PrefixCacheFixture {
 public:
  PrefixCacheFixture() {
    ServerSpec spec;
    spec.cache_tokens = 64000;
    cache.SetServer(0, spec);
    cache.SetServer(1, spec);
  }
  double Cached(ServerIndex server, double at) const {
    return cache.Find(marks).CachedTokens(server, At(at));
  }
  PrefixCacheTracker cache;
  std::vector<PrefixMark> marks = MakePrefixMarks(Chain(100));
};

// Guards against a cached part that is counted though a part before it, without
// which it is useless, is another one.
BOOST_AUTO_TEST_CASE(AMarkOfAPartCoversThePartsBeforeIt) {
  const std::vector<PrefixMark> first =
      MakePrefixMarks(std::vector<PromptPart>{{1, 800}, {2, 410}, {3, 250}});
  const std::vector<PrefixMark> second =
      MakePrefixMarks(std::vector<PromptPart>{{9, 800}, {2, 410}, {3, 250}});
  BOOST_REQUIRE(first.size() == 3u);
  BOOST_TEST(first[0].tokens == 800);
  BOOST_TEST(first[1].tokens == 1210);
  BOOST_TEST(first[2].tokens == 1460);
  for (std::size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST(first[i].hash != second[i].hash);
  }
}

BOOST_AUTO_TEST_CASE(EntriesOfOwnGrantsExpireWithAge) {
  PrefixCacheFixture fixture;
  fixture.cache.OnGrant(0, fixture.marks, 6400, At(1));
  BOOST_TEST(fixture.Cached(0, 1) == 6400);
  BOOST_TEST(fixture.Cached(1, 1) == 0);
  BOOST_TEST(fixture.Cached(0, 300) < 4000);
  // Other prompts replace half of the cache.
  fixture.cache.OnGrant(0, {}, 32000, At(1));
  BOOST_TEST(fixture.Cached(0, 1) == 3200);
}

// Cache events are lost. Without a lower probability for all entries, requests
// would be sent to servers that have evicted the blocks.
BOOST_AUTO_TEST_CASE(LostEventsReduceTheRetentionProbability) {
  PrefixCacheFixture fixture;
  fixture.cache.OnCacheEvent(0, {.sequence = 1, .added = Chain(100)}, At(1));
  BOOST_TEST(fixture.Cached(0, 1) == 6400);
  fixture.cache.OnCacheEvent(0, {.sequence = 5}, At(1));
  BOOST_TEST(fixture.Cached(0, 1) == 4800);
  fixture.cache.OnCacheEvent(0, {.sequence = 6, .cleared = true}, At(1));
  BOOST_TEST(fixture.Cached(0, 1) == 0);
  // An event that arrives out of order is ignored.
  fixture.cache.OnCacheEvent(0, {.sequence = 2, .added = Chain(100)}, At(1));
  BOOST_TEST(fixture.Cached(0, 1) == 0);
}

BOOST_AUTO_TEST_CASE(NumberOfEntriesIsBounded) {
  PrefixCacheFixture fixture;
  for (std::uint64_t i = 0; i < 600; ++i) {
    CacheChanged event{.sequence = i + 1};
    for (PrefixHash hash = 0; hash < 1000; ++hash) {
      event.added.push_back(i * 1000 + hash);
    }
    fixture.cache.OnCacheEvent(0, event, At(1));
  }
  BOOST_TEST(fixture.cache.entries() <= 262144u);
}

// --- Refusal and limits ------------------------------------------------------

BOOST_AUTO_TEST_CASE(DrainRateIsMeasuredWhileThereIsABacklog) {
  DrainRate drain;
  BOOST_TEST(drain.PerSecond(100, At(0)) == 100);
  drain.SetBacklog(true, At(0));
  for (int i = 1; i <= 300; ++i) drain.RecordGrant(50, At(i * 0.1));
  const double rate = drain.PerSecond(100, At(30));
  BOOST_TEST(rate > 400);
  BOOST_TEST(rate < 520);
  // Without further grants, the rate falls.
  BOOST_TEST(drain.PerSecond(100, At(60)) < 200);
}

BOOST_AUTO_TEST_CASE(RetryAfterTimesAreSpreadAndReproducible) {
  RetryAfterJitter first(7, absl::Seconds(1));
  RetryAfterJitter second(7, absl::Seconds(1));
  std::set<absl::Duration> times;
  for (int i = 0; i < 100; ++i) {
    const absl::Duration time = first.RetryAfter(10);
    BOOST_TEST((time == second.RetryAfter(10)));
    BOOST_TEST((time >= absl::Seconds(10) && time <= absl::Seconds(15)));
    times.insert(time);
  }
  BOOST_TEST(times.size() > 90u);
}

BOOST_AUTO_TEST_CASE(WorkspaceLimitsAreChecked) {
  WorkspaceLimits limits;
  WorkspaceSpec spec;
  spec.id = WorkspaceId("a");
  spec.tokens_per_second = 10;
  spec.max_concurrent = 2;
  spec.max_waiting_bytes = 100;
  limits.Configure({spec}, At(0));
  const WorkspaceIndex a = limits.IndexOf(spec.id);
  Request request;
  request.body_bytes = 60;
  BOOST_TEST(!limits.Check(a, request, At(0)).has_value());
  limits.AddWaiting(a, request);
  BOOST_TEST(
      (limits.Check(a, request, At(0))->code == Code::kWorkspaceQueueFull));
  limits.AddRunning(a);
  BOOST_TEST((limits.Check(a, request, At(0))->code == Code::kRateLimited));
  limits.RemoveWaiting(a, request);
  limits.RemoveRunning(a);
  limits.Charge(a, 150);  // The bucket of 100 tokens becomes negative.
  const auto breach = limits.Check(a, request, At(0));
  BOOST_TEST((breach->retry_after == absl::Seconds(5)));
  BOOST_TEST(!limits.Check(a, request, At(6)).has_value());
}

// The share of a rate limit changes several times per second. If each change
// filled the bucket, the limit would have no effect.
BOOST_AUTO_TEST_CASE(FrequentRateChangesDoNotFillTheBucket) {
  TokenBucket bucket;
  bucket.Rescale(10, 100, At(0));
  bucket.Take(60);
  bucket.Rescale(5, 50, At(0));
  BOOST_TEST(bucket.level() == 20);
  bucket.Take(50);
  bucket.Rescale(10, 100, At(0));
  BOOST_TEST(bucket.level() == -30);  // A debt is not scaled.
  BOOST_TEST((bucket.TimeUntilLevel() == absl::Seconds(3)));
}

// Some calls fail on any server, and a single failure must not close it. A
// server that fails every request looks idle and would attract all requests.
BOOST_AUTO_TEST_CASE(ThreeFailuresInARowCloseTheWindow) {
  Window window(8);
  window.OnFailure(At(0));
  window.OnFailure(At(0));
  window.OnGoodResponse(At(0), false);
  window.OnFailure(At(1));
  window.OnFailure(At(1));
  BOOST_TEST(window.IsOpen(At(1)));
  BOOST_TEST(window.streams() == 8);
  window.OnFailure(At(1));
  BOOST_TEST(!window.IsOpen(At(1)));
}

// The speed of a server is not configured. A slow server must not count as a
// straggler forever because the default estimate was too high.
BOOST_AUTO_TEST_CASE(FirstSamplesReplaceAnEstimatedSpeed) {
  Slowdown estimated(/*estimated=*/true);
  for (int i = 0; i < 5; ++i) estimated.Add(5);
  BOOST_TEST(estimated.recent() > 4.5);
  BOOST_TEST(!estimated.straggling());
  Slowdown configured(/*estimated=*/false);
  for (int i = 0; i < 5; ++i) configured.Add(5);
  BOOST_TEST(configured.straggling());
}

// A slowdown measured by peer dispatchers is used until there are enough own
// samples.
BOOST_AUTO_TEST_CASE(OwnSamplesOverrideTheSeed) {
  Slowdown slowdown(/*estimated=*/true);
  slowdown.Seed(3);
  BOOST_TEST(slowdown.recent() == 3);
  for (int i = 0; i < 30; ++i) slowdown.Add(1);
  slowdown.Seed(3);
  BOOST_TEST(slowdown.recent() < 1.1);
}

BOOST_AUTO_TEST_CASE(RetriesAreEarnedBySuccesses) {
  RetryBudget budget{RetryOptions{}};
  int taken = 0;
  while (budget.Take()) ++taken;
  BOOST_TEST(taken == 10);
  for (int i = 0; i < 25; ++i) budget.OnCall();
  BOOST_TEST(budget.Take());
  BOOST_TEST(budget.Take());
  BOOST_TEST(!budget.Take());
}

BOOST_AUTO_TEST_CASE(DifferentDecisionsHaveDifferentSignatures) {
  Signature first;
  Signature second;
  first.Add(Grant{RequestId("a"), EntryHostId("h"), ServerId("s")});
  second.Add(Grant{RequestId("a"), EntryHostId("h"), ServerId("t")});
  BOOST_TEST(first.value() != second.value());
}

}  // namespace
}  // namespace gentianlb::schedule
