// Plays loads above the capacity and checks what callers of each kind get.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "schedule/fake_site_test.h"

namespace gentianlb::schedule {
namespace {

// The load exceeds the streams, and one output in five is fifty times as long
// as the others. In order of arrival, long requests would hold nearly all
// streams, and most short ones would wait and be refused as too late.
BOOST_AUTO_TEST_CASE(OverloadFavorsShortRequests) {
  const auto run_scenario = [](int interval_ms) {
    FakeSite site;
    site.AddServers(2);
    for (int i = 0; i < 600; ++i) {
      const bool is_long = i % 5 == 0;
      Request request =
          site.MakeRequest(is_long ? "draft" : "note", 0, absl::Minutes(5), 100,
                           is_long ? 500 : 10);
      request.workspace = WorkspaceId("one");
      request.expected_output_tokens = is_long ? 500 : 10;
      request.first_token_due = site.now + absl::Seconds(2);
      site.requests[request.id].workspace =
          WorkspaceId(is_long ? "draft" : "note");
      site.Deliver(RequestArrived{request});
      site.Run(absl::Milliseconds(interval_ms));
    }
    site.Run(absl::Minutes(2));
    return std::pair(site.CountInTime("note"), site.CountInTime("draft"));
  };
  // Four times the capacity.
  const auto [notes, drafts] = run_scenario(50);
  BOOST_TEST(notes >= 0.9 * 480);
  BOOST_TEST(drafts > 0);  // Long requests get the rest.
  // Two thirds of the capacity: all are answered.
  const auto [calm_notes, calm_drafts] = run_scenario(300);
  BOOST_TEST(calm_notes == 480);
  BOOST_TEST(calm_drafts == 120);
}

// Outcome of the lower of two tiers on four servers, and the median time from
// arrival to refusal.
struct LowerTierResult {
  int sent = 0;
  int in_time = 0;
  int refused = 0;
  absl::Duration median_delay;
};

LowerTierResult RunTwoTiers(double urgent_load, double lower_load) {
  constexpr int kPrompt = 500;
  constexpr int kOutput = 20;
  // At load 1; the four servers compute at most 10 such prompts a second each.
  constexpr double kPerSecond = 38;
  FakeSite site;
  site.AddServers(4);
  double urgent_credit = 0;
  double lower_credit = 0;
  LowerTierResult lower_tier;
  std::vector<RequestId> lower;
  const auto send = [&](int tier) {
    Request request =
        site.MakeRequest("w", tier, absl::Seconds(6), kPrompt, kOutput);
    request.first_token_due = site.now + absl::Seconds(1);
    site.requests[request.id] = request;
    site.Deliver(RequestArrived{request});
    return request.id;
  };
  for (int step = 0; step < 2000; ++step) {
    const double per_step = kPerSecond * absl::ToDoubleSeconds(FakeSite::kStep);
    urgent_credit += urgent_load * per_step;
    lower_credit += lower_load * per_step;
    for (; urgent_credit >= 1; --urgent_credit) send(0);
    for (; lower_credit >= 1; --lower_credit) {
      const RequestId id = send(1);
      if (step > 500) lower.push_back(id);
    }
    site.Run(FakeSite::kStep);
  }
  site.Run(absl::Seconds(8));
  std::vector<absl::Duration> delays;
  for (const RequestId& id : lower) {
    const CallerOutcome& outcome = site.outcomes.at(id);
    if (outcome.kind == CallerOutcome::Kind::kComplete) ++lower_tier.in_time;
    if (outcome.kind == CallerOutcome::Kind::kRefused) {
      delays.push_back(outcome.finished_at - site.requests.at(id).arrival);
    }
  }
  std::sort(delays.begin(), delays.end());
  lower_tier.sent = static_cast<int>(lower.size());
  lower_tier.refused = static_cast<int>(delays.size());
  if (!delays.empty()) lower_tier.median_delay = delays[delays.size() / 2];
  BOOST_TEST_MESSAGE("lower tier: sent "
                     << lower_tier.sent << " in time " << lower_tier.in_time
                     << " median refusal delay " << lower_tier.median_delay);
  return lower_tier;
}

// The urgent tier alone uses up the servers. Requests of the lower tier that
// can't be in time must be refused on arrival, and not only shortly before
// their first token deadline, a second later.
BOOST_AUTO_TEST_CASE(LateRequestsAreRefusedOnArrival) {
  const LowerTierResult lower_tier = RunTwoTiers(1.2, 0.5);
  // Otherwise the next check has too few samples.
  BOOST_TEST(lower_tier.refused >= 0.9 * lower_tier.sent);
  BOOST_TEST(lower_tier.median_delay <= absl::Milliseconds(100));
}

// The urgent tier leaves a third of the capacity, and the lower tier's load is
// twice that. The rest must be used, and requests beyond it refused early.
BOOST_AUTO_TEST_CASE(LowerTierUsesTheRemainingCapacity) {
  const LowerTierResult lower_tier = RunTwoTiers(0.67, 0.67);
  BOOST_TEST(lower_tier.refused >= 0.2 * lower_tier.sent);
  BOOST_TEST(lower_tier.median_delay <= absl::Milliseconds(100));
  BOOST_TEST(lower_tier.in_time >= 0.4 * lower_tier.sent);
}

// Guards against streams that stay empty while callers are refused: a reserve
// for each of several higher tiers, though these can wait for the next stream.
BOOST_AUTO_TEST_CASE(NoStreamIsIdleWhileTheLowestOfManyTiersIsRefused) {
  constexpr int kServers = 12;
  constexpr int kTiers = 5;
  constexpr int kOutput = 50;  // A second, or a little more.
  FakeSite site;
  site.AddServers(kServers);
  // Parts of the streams that each tier asks for: together 1.6.
  constexpr double kLoads[kTiers] = {0.15, 0.15, 0.15, 0.15, 1.0};
  double credits[kTiers] = {};
  double streams_in_use = 0;
  int steps = 0;
  for (int step = 0; step < 1500; ++step) {
    for (int tier = 0; tier < kTiers; ++tier) {
      credits[tier] += kLoads[tier] * kServers * 8 / 1.2 *
                       absl::ToDoubleSeconds(FakeSite::kStep);
      for (; credits[tier] >= 1; --credits[tier]) {
        Request request = site.MakeRequest("w", tier, absl::Seconds(10),
                                           /*prompt=*/50, kOutput);
        request.first_token_due = site.now + absl::Milliseconds(600);
        site.Deliver(RequestArrived{request});
      }
    }
    site.Run(FakeSite::kStep);
    if (step < 500) continue;
    ++steps;
    for (const ServerSpec& spec : site.specs) {
      streams_in_use += site.RunningOn(spec.id);
    }
  }
  BOOST_TEST(streams_in_use / steps >= 0.95 * kServers * 8);
  using Kind = CallerOutcome::Kind;
  BOOST_TEST(site.Count(Kind::kRefused, kTiers - 1) > 0);
  for (int tier = 0; tier < kTiers - 1; ++tier) {
    BOOST_TEST(site.Count(Kind::kRefused, tier) == 0);
  }
}

}  // namespace
}  // namespace gentianlb::schedule
