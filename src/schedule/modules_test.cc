// The smaller decision modules one by one.

#include <boost/test/unit_test.hpp>
#include <set>

#include "base/retry.h"
#include "schedule/estimate.h"
#include "schedule/limits.h"
#include "schedule/pace.h"
#include "schedule/power.h"
#include "schedule/prefix_cache.h"
#include "schedule/refuse.h"
#include "schedule/server.h"
#include "schedule/signature.h"
#include "schedule/window.h"

namespace gentianlb::schedule {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(seconds);
}

// --- Estimates ---------------------------------------------------------------

// One workspace sends drafts and tags. With one estimate for both, each tag
// would reserve the memory of a draft.
BOOST_AUTO_TEST_CASE(LengthsAreLearntByKindOfRequest) {
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
  BOOST_TEST(learnt.high > 1050);
  BOOST_TEST(estimator.Estimate(tag, 1).high == 4);
}

BOOST_AUTO_TEST_CASE(StreamedTokensCorrectTheEstimate) {
  const OutputEstimate estimate{100, 300};
  BOOST_TEST(Corrected(estimate, 50, 0).median == 100);
  BOOST_TEST(Corrected(estimate, 150, 0).median == 300);
  BOOST_TEST(Corrected(estimate, 400, 0).median == 600);
  BOOST_TEST(Corrected(estimate, 400, 450).median == 450);
}

// --- Window and pace ---------------------------------------------------------

BOOST_AUTO_TEST_CASE(WindowShrinksWithinSecondsAndGrowsBack) {
  Window window(32);
  for (double t = 0; t < 4; t += 0.1) window.Slow(At(t));
  BOOST_TEST(window.streams() == 1);
  BOOST_TEST(window.probing());
  BOOST_TEST(!window.OpenAt(At(4)));
  for (double t = 10; t < 16; t += 0.1) window.Good(At(t), true);
  BOOST_TEST(window.streams() == 32);
  BOOST_TEST(window.OpenAt(At(16)));
}

BOOST_AUTO_TEST_CASE(ProbesBecomeRarerWhileTheyFail) {
  Window window(1);
  absl::Duration last;
  absl::Time now = At(0);
  for (int i = 0; i < 5; ++i) {
    window.Granted();
    window.Slow(now);
    const absl::Duration pause = window.closed_until() - now;
    BOOST_TEST((pause > last));
    last = pause;
    now = window.closed_until();
  }
  BOOST_TEST((last <= absl::Seconds(30)));
}

BOOST_AUTO_TEST_CASE(PaceFollowsAndForgets) {
  ServerSpec spec;
  spec.decode_tokens_per_second = 50;
  Pace pace(spec);
  for (int i = 0; i < 10; ++i) pace.AddTokens(0.2, 1);
  BOOST_TEST(pace.straggling());
  BOOST_TEST(pace.TokenSeconds(1) > 0.18);
  for (int i = 0; i < 10; ++i) pace.Forget();
  BOOST_TEST(!pace.straggling());
}

// --- Server ------------------------------------------------------------------

// Several hosts hear at the same moment that a server has four free streams,
// and each has four requests waiting. Were all sent, twelve callers of sixteen
// would wait for a slot behind the others; so a host sends one or two, and the
// rest when it has heard what the others did.
BOOST_AUTO_TEST_CASE(WhatOthersDoAlikeTakesRoomUntilItIsHeardOf) {
  ServerSpec spec;
  spec.max_streams = 10;
  spec.expected_competitors = 2;
  Server server(spec);
  server.Elsewhere({ServerId("s"), 6}, At(0));
  BOOST_TEST(server.FreeStreams(At(0)) == 4);
  server.Begin({}, At(0));
  BOOST_TEST(server.FreeStreams(At(0)) == 1);
  BOOST_TEST(server.FreeStreams(At(1)) == 3);
  spec.expected_competitors = 0;
  Server alone(spec);
  alone.Begin({}, At(0));
  BOOST_TEST(alone.FreeStreams(At(0)) == 9);
}

// --- Power -------------------------------------------------------------------

BOOST_AUTO_TEST_CASE(WorstCaseCountsPrefillOnceAndDoubtAsRunning) {
  ServerSpec spec;
  spec.prefill_tokens_per_second = 1000;
  spec.power = {.idle_watts = 100,
                .watts_per_stream = 10,
                .joules_per_prefill_token = 0.1};
  PowerLedger ledger;
  ledger.SetServer(0, spec, true);
  ledger.SetShare(225);
  BOOST_TEST(ledger.watts() == 100);
  ledger.Begin(0, true);
  BOOST_TEST(ledger.watts() == 210);
  BOOST_TEST(ledger.Fits(0, 0));
  ledger.Begin(0, true);  // The prompts are computed one after the other.
  BOOST_TEST(ledger.watts() == 220);
  BOOST_TEST(!ledger.Fits(0, 0));
  ledger.SetShare(215);
  BOOST_TEST(ledger.MustCancel());
  ledger.Cancelling(0, true);
  BOOST_TEST(!ledger.MustCancel());
  BOOST_TEST(ledger.watts() == 220);  // It may still be running.
  BOOST_TEST(!ledger.Fits(0, 0));
  ledger.End(0, true, true);
  ledger.FirstToken(0, false);
  BOOST_TEST(ledger.watts() == 110);
  ledger.End(0, false, false);
  BOOST_TEST(ledger.watts() == 100);
}

// Short questions wait 100 ms for a slot of a busy engine. If that counts as
// the pace of prompts, a long letter is foretold half a second, and its user is
// refused although the engine would have begun it in time.
BOOST_AUTO_TEST_CASE(WaitOfShortPromptsForetellsNothingOfLongOnes) {
  ServerSpec spec;
  spec.prefill_tokens_per_second = 100000;
  spec.decode_tokens_per_second = 200;
  spec.speeds_estimated = true;
  Pace pace(spec);
  for (int i = 0; i < 50; ++i) {
    pace.AddFirstToken(0.115, pace.ExpectedFirstToken(600, 1));
  }
  BOOST_TEST(pace.FirstTokenSeconds(600, 1) > 0.1);
  BOOST_TEST(pace.FirstTokenSeconds(20000, 1) < 0.4);
}

// The same engine computes prompts at a third of its speed. Long ones show it.
BOOST_AUTO_TEST_CASE(LongPromptsShowThePaceOfPrompts) {
  ServerSpec spec;
  spec.prefill_tokens_per_second = 100000;
  spec.decode_tokens_per_second = 200;
  spec.speeds_estimated = true;
  Pace pace(spec);
  for (int i = 0; i < 50; ++i) {
    pace.AddFirstToken(0.6 + 0.02, pace.ExpectedFirstToken(20000, 1));
  }
  BOOST_TEST(pace.prefill_speed() < 40000);
  BOOST_TEST(pace.FirstTokenSeconds(600, 1) < 0.1);
}

// --- Prefix cache ------------------------------------------------------------

std::vector<PrefixHash> Chain(PrefixHash blocks) {
  std::vector<PrefixHash> chain;
  for (PrefixHash i = 1; i <= blocks; ++i) chain.push_back(i * 1000);
  return chain;
}

class CachePicture {
 public:
  CachePicture() {
    ServerSpec spec;
    spec.cache_tokens = 64000;
    cache.SetServer(0, spec);
    cache.SetServer(1, spec);
  }
  double Cached(ServerIndex server, double at) const {
    return cache.Find(marks).CachedTokens(server, At(at));
  }
  PrefixCache cache;
  std::vector<PrefixMark> marks = MarksOf(Chain(100));
};

BOOST_AUTO_TEST_CASE(OwnGrantsAreRememberedAndDoubtedWithAge) {
  CachePicture picture;
  picture.cache.Granted(0, picture.marks, 6400, At(1));
  BOOST_TEST(picture.Cached(0, 1) == 6400);
  BOOST_TEST(picture.Cached(1, 1) == 0);
  BOOST_TEST(picture.Cached(0, 300) < 4000);
  // Other prompts have replaced half of the cache.
  picture.cache.Granted(0, {}, 32000, At(1));
  BOOST_TEST(picture.Cached(0, 1) == 3200);
}

// Events are lost on the way. Believing the rest as before would send work
// after blocks that were evicted unseen.
BOOST_AUTO_TEST_CASE(GapsInTheEventsRaiseDoubt) {
  CachePicture picture;
  picture.cache.Changed(0, {.sequence = 1, .added = Chain(100)}, At(1));
  BOOST_TEST(picture.Cached(0, 1) == 6400);
  picture.cache.Changed(0, {.sequence = 5}, At(1));
  BOOST_TEST(picture.Cached(0, 1) == 4800);
  picture.cache.Changed(0, {.sequence = 6, .cleared = true}, At(1));
  BOOST_TEST(picture.Cached(0, 1) == 0);
  // Late: it was overtaken.
  picture.cache.Changed(0, {.sequence = 2, .added = Chain(100)}, At(1));
  BOOST_TEST(picture.Cached(0, 1) == 0);
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded) {
  CachePicture picture;
  for (std::uint64_t i = 0; i < 600; ++i) {
    CacheChanged event{.sequence = i + 1};
    for (PrefixHash hash = 0; hash < 1000; ++hash) {
      event.added.push_back(i * 1000 + hash);
    }
    picture.cache.Changed(0, event, At(1));
  }
  BOOST_TEST(picture.cache.entries() <= 262144u);
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
  // Nothing more is granted: the rate falls.
  BOOST_TEST(drain.PerSecond(100, At(60)) < 200);
}

BOOST_AUTO_TEST_CASE(ComeBackTimesAreSpreadAndRepeatable) {
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

BOOST_AUTO_TEST_CASE(LimitsOfAWorkspace) {
  WorkspaceLimits limits;
  WorkspaceSpec spec;
  spec.id = WorkspaceId("a");
  spec.tokens_per_second = 10;
  spec.max_concurrent = 2;
  spec.max_waiting_bytes = 100;
  limits.Configure({spec}, At(0));
  const WorkspaceIndex a = limits.Number(spec.id);
  Request request;
  request.body_bytes = 60;
  BOOST_TEST(!limits.Check(a, request, At(0)).has_value());
  limits.Waits(a, request);
  BOOST_TEST(
      (limits.Check(a, request, At(0))->code == Code::kWorkspaceQueueFull));
  limits.Runs(a);
  BOOST_TEST((limits.Check(a, request, At(0))->code == Code::kRateLimited));
  limits.WaitsNoMore(a, request);
  limits.RunsNoMore(a);
  limits.Charge(a, 150);  // The bucket of 100 goes into debt.
  const auto breach = limits.Check(a, request, At(0));
  BOOST_TEST((breach->retry_after == absl::Seconds(5)));
  BOOST_TEST(!limits.Check(a, request, At(6)).has_value());
}

// A limit is divided anew several times a second. If each change filled the
// bucket, the limit would hold nobody.
BOOST_AUTO_TEST_CASE(ARateThatChangesOftenDoesNotFillTheBucket) {
  TokenBucket bucket;
  bucket.Rescale(10, 100, At(0));
  bucket.Take(60);
  bucket.Rescale(5, 50, At(0));
  BOOST_TEST(bucket.level() == 20);
  bucket.Take(50);
  bucket.Rescale(10, 100, At(0));
  BOOST_TEST(bucket.level() == -30);  // A debt stays what it is.
  BOOST_TEST((bucket.UntilFilled() == absl::Seconds(3)));
}

// Some calls fail on any server; one that fails must not close it. A server
// that breaks everything looks idle and would draw all work to itself.
BOOST_AUTO_TEST_CASE(ThreeFailuresInARowCloseAWindow) {
  Window window(8);
  window.Failed(At(0));
  window.Failed(At(0));
  window.Good(At(0), false);
  window.Failed(At(1));
  window.Failed(At(1));
  BOOST_TEST(window.OpenAt(At(1)));
  BOOST_TEST(window.streams() == 8);
  window.Failed(At(1));
  BOOST_TEST(!window.OpenAt(At(1)));
}

// Nobody has told how fast a server is. A slow one must not count as a
// straggler for ever because the guess was too good.
BOOST_AUTO_TEST_CASE(AGuessIsReplacedByTheFirstSamples) {
  Stretch guessed(/*guessed=*/true);
  for (int i = 0; i < 5; ++i) guessed.Add(5);
  BOOST_TEST(guessed.quick() > 4.5);
  BOOST_TEST(!guessed.straggling());
  Stretch configured(/*guessed=*/false);
  for (int i = 0; i < 5; ++i) configured.Add(5);
  BOOST_TEST(configured.straggling());
}

// What others have learnt is used until own answers teach more.
BOOST_AUTO_TEST_CASE(OwnSamplesGoBeforeWhatOthersTell) {
  Stretch stretch(/*guessed=*/true);
  stretch.Told(3);
  BOOST_TEST(stretch.quick() == 3);
  for (int i = 0; i < 30; ++i) stretch.Add(1);
  stretch.Told(3);
  BOOST_TEST(stretch.quick() < 1.1);
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

BOOST_AUTO_TEST_CASE(SignatureTellsDecisionsApart) {
  Signature first;
  Signature second;
  first.Add(Grant{RequestId("a"), EntryHostId("h"), ServerId("s")});
  second.Add(Grant{RequestId("a"), EntryHostId("h"), ServerId("t")});
  BOOST_TEST(first.value() != second.value());
}

}  // namespace
}  // namespace gentianlb::schedule
