// The link to a caller is cut, and no end of its connection reaches the host.
// The caller takes its stream up over another host.

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr std::size_t kHosts = 2;
constexpr std::size_t kServers = 4;
constexpr int kEvents = 100;
constexpr int kStreams = 6;

constexpr char kConfiguration[] = R"({"version":2,
 "routes":[
  {"name":"chat","host":"one.example","prefix":"/chat/",
   "route_type":"streaming","timeout_ms":15000,"slo_ms":500,"priority":1,
   "gap_target_ms":250,"service":"llm","max_attempts":2,"public":true,
   "resumable":true}],
 "services":[
  {"name":"llm","engine":{"slots":8,"kv_capacity":100000,"stride":1,
   "models":[{"name":"m"}]}}],
 "limits":{"idle_timeout_ms":15000}})";

// A caller of this route that gets nothing for so long leaves its stream.
constexpr absl::Duration kEventTimeout = absl::Seconds(2);

// From the rules: for so long a server may work on after another one goes on
// with its stream.
constexpr absl::Duration kMaxOverlap = absl::Milliseconds(400);

constexpr absl::Duration kReading = absl::Milliseconds(600);

struct LostCallerSite : AnswersSite {
  // `options`: of the servers.
  explicit LostCallerSite(const std::vector<std::string>& options)
      : AnswersSite(std::vector<FaultyServerSetup>(
                        kServers, {.service = "llm", .options = options}),
                    kHosts, kEvents) {
    table_.Put("op", "config", kConfiguration);
    StartHosts();
  }

  // Returns for how long the first server works on after another one has begun
  // to go on with a stream of a caller whose link is cut.
  absl::Duration Overlap() {
    CallerConnection lost(hosts_[0]->callers());
    CallRecord first = NewCall(CallKind::kChat);
    {
      const std::jthread cut([&lost] {
        absl::SleepFor(kReading);
        lost.CutLink();
      });
      first = Ask(lost, 0, CallKind::kChat, first, kReading + kEventTimeout);
    }
    CallRecord next = NewCall(CallKind::kChat);
    next.resumes = first.id;
    next.after_event = LastEventOf(first.answer.body, 0);
    CallerConnection other(hosts_[1]->callers());
    next = Ask(other, 1, CallKind::kChat, next, kAnswerTime);
    const absl::Time left = std::min(ReportedAt("left " + first.id),
                                     ReportedAt("wrote " + first.id));
    return left - ReportedAt("run " + next.id);
  }
};

void CheckOverlaps(LostCallerSite& site) {
  for (int i = 0; i < kStreams; ++i) {
    const absl::Duration overlap = site.Overlap();
    BOOST_TEST_MESSAGE("overlap " << absl::FormatDuration(overlap));
    BOOST_TEST((overlap < kMaxOverlap));
  }
}

// Guards against a server that works for a caller who is gone, while another
// one goes on with the same stream.
BOOST_AUTO_TEST_CASE(AStreamOfALostCallerIsLeft) {
  LostCallerSite site({"--event-gap-ms", "70"});
  CheckOverlaps(site);
}

}  // namespace
}  // namespace gentianlb::process
