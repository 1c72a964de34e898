// The link to a caller is cut, and no end of its connection reaches the host.
// The caller takes its stream up over another host.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "absl/time/clock.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr std::size_t kHosts = 2;
constexpr std::size_t kServers = 4;
constexpr int kEvents = 100;
constexpr int kStreams = 6;

// A caller that gets nothing for four objectives leaves its stream.
constexpr absl::Duration kObjective = absl::Milliseconds(500);
constexpr absl::Duration kEventTimeout = absl::Seconds(2);
constexpr absl::Duration kTimeout = absl::Seconds(15);

constexpr absl::Duration kReading = absl::Milliseconds(600);

// Returns for how long the first server works on after another one has begun to
// go on with a stream of a caller whose link is cut.
absl::Duration LoseCaller(AnswersSite& site) {
  CallerConnection lost(site.hosts_[0]->callers());
  CallRecord first = site.NewCall(CallKind::kChat);
  {
    const std::jthread cut([&lost] {
      absl::SleepFor(kReading);
      lost.CutLink();
    });
    first = site.Ask(lost, 0, CallKind::kChat, first, kReading + kEventTimeout);
  }
  CallRecord next = site.NewCall(CallKind::kChat);
  next.resumes = first.id;
  next.after_event = LastEventOf(first.answer.body, 0);
  CallerConnection other(site.hosts_[1]->callers());
  next = site.Ask(other, 1, CallKind::kChat, next);
  const absl::Time begun = site.ReportedAt("run " + next.id);
  const absl::Time left = std::min(site.ReportedAt("left " + first.id),
                                   site.ReportedAt("wrote " + first.id));
  BOOST_REQUIRE((begun < absl::InfiniteFuture()));
  BOOST_REQUIRE((left < absl::InfiniteFuture()));
  return left - begun;
}

// Guards against two servers that run the same stream, since the host of the
// first one never receives the end of its caller's connection.
BOOST_AUTO_TEST_CASE(AStreamOfALostCallerIsLeft) {
  AnswersSite site(
      std::vector<FaultyServerSetup>(
          kServers, {.service = "llm", .options = {"--event-gap-ms", "70"}}),
      kHosts, kEvents);
  site.table_.Put("op", "config", AnswersConfiguration(kObjective, kTimeout));
  site.StartHosts();
  for (int i = 0; i < kStreams; ++i) {
    const absl::Duration overlap = LoseCaller(site);
    BOOST_TEST_MESSAGE("overlap " << absl::FormatDuration(overlap));
    BOOST_TEST((overlap < kMaxTwoAtWork));
  }
}

}  // namespace
}  // namespace gentianlb::process
