// Hosts that are told to stop while callers go on, on routes with different
// timeouts. Real gateways and slow backend servers as processes.

#include <signal.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

// Each route is named by its timeout in milliseconds.
constexpr int kTimeouts[] = {800, 2000, 3000, 6000, 15000};

// With the hosts' grace time of 8 s. Requests that are sent within the first
// may still be at their servers in its last sixth.
constexpr absl::Duration kExcusedTime = absl::Seconds(3);
constexpr absl::Duration kGraceTime = absl::Seconds(8);

std::string RouteConfiguration() {
  std::string routes;
  for (const int timeout : kTimeouts) {
    absl::StrAppend(
        &routes, routes.empty() ? "" : ",", R"({"name":"t)", timeout,
        R"(","host":"one.example","prefix":"/t)", timeout,
        R"(/","route_type":"non_idempotent","timeout_ms":)", timeout,
        R"(,"slo_ms":500,"priority":1,"service":"plain","max_attempts":1,)",
        R"("public":true})");
  }
  return absl::StrCat(R"({"version":2,"routes":[)", routes,
                      R"(],"services":[{"name":"plain","max_conns":100}],)",
                      R"("limits":{"idle_timeout_ms":15000}})");
}

struct TimedCall {
  std::string id;
  int timeout_ms = 0;  // The earlier of the caller's and the route's.
  absl::Time sent;
  absl::Time ended;
  RawAnswer answer;

  bool IsWhole() const { return answer.end == AnswerEnd::kFramed; }
};

class DrainSite : public AnswersSite {
 public:
  DrainSite(std::vector<FaultyServerSetup> servers, std::size_t hosts)
      : AnswersSite(std::move(servers), hosts) {
    table_.Put("op", "config", RouteConfiguration());
    StartHosts();
  }

  // Begins a call, on a connection that an earlier call has left open if there
  // is one. Returns false once the host's port is closed.
  bool BeginCall(std::size_t host, int route, int deadline_ms) {
    std::unique_ptr<CallerConnection> connection = TakeConnection(host);
    if (!connection->IsOpen()) return false;
    threads_.emplace_back([this, host, route, deadline_ms,
                           kept = std::move(connection)]() mutable {
      Call(*kept, route, deadline_ms);
      absl::MutexLock lock(&calls_mutex_);
      idle_[host].push_back(std::move(kept));
    });
    return true;
  }

  void WaitForCalls() { threads_.clear(); }

  std::vector<TimedCall> calls() {
    absl::MutexLock lock(&calls_mutex_);
    return timed_calls_;
  }

 private:
  std::unique_ptr<CallerConnection> TakeConnection(std::size_t host) {
    absl::MutexLock lock(&calls_mutex_);
    std::vector<std::unique_ptr<CallerConnection>>& idle = idle_[host];
    while (!idle.empty()) {
      std::unique_ptr<CallerConnection> connection = std::move(idle.back());
      idle.pop_back();
      if (connection->IsOpen()) return connection;
    }
    return std::make_unique<CallerConnection>(hosts_[host]->callers());
  }

  void Call(CallerConnection& connection, int route, int deadline_ms) {
    constexpr absl::Duration kAnswerBound = absl::Seconds(20);
    TimedCall call;
    call.id = NewCall(CallKind::kOnce).id;
    call.timeout_ms = std::min(route, deadline_ms);
    call.sent = absl::Now();
    call.answer = connection.Ask(
        absl::StrCat("POST /t", route,
                     "/1 HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ",
                     call.id, "\r\nDeadline-Ms: ", deadline_ms,
                     "\r\nContent-Length: 4\r\n\r\ncall"),
        kAnswerBound);
    call.ended = absl::Now();
    absl::MutexLock lock(&calls_mutex_);
    timed_calls_.push_back(call);
  }

  absl::Mutex calls_mutex_;
  std::vector<TimedCall> timed_calls_ ABSL_GUARDED_BY(calls_mutex_);
  // By host.
  std::map<std::size_t, std::vector<std::unique_ptr<CallerConnection>>> idle_
      ABSL_GUARDED_BY(calls_mutex_);
  std::vector<std::jthread> threads_;
};

// The outcome of the calls that were sent after the signal.
struct DrainVerdict {
  int calls = 0;
  int served = 0;
  std::vector<std::string> lost;     // Run, without a whole answer.
  std::vector<std::string> cut;      // Sent late, and ended before their time.
  std::vector<std::string> refused;  // 503, and run.
};

DrainVerdict Judge(const DrainSite& site, const std::vector<TimedCall>& calls,
                   absl::Time signal) {
  // Of a timeout, as seen by its caller.
  constexpr absl::Duration kTolerance = absl::Milliseconds(100);
  DrainVerdict verdict;
  for (const TimedCall& call : calls) {
    if (call.sent < signal) continue;
    ++verdict.calls;
    const absl::Duration after = call.sent - signal;
    const absl::Duration took = call.ended - call.sent;
    const std::string text =
        absl::StrCat(call.id, " timeout ", call.timeout_ms, " ms, sent ",
                     absl::FormatDuration(after), " after the signal, status ",
                     call.answer.status, " after ", absl::FormatDuration(took));
    const bool run = site.HasReported("run " + call.id + " ");
    const bool in_time =
        took + kTolerance < absl::Milliseconds(call.timeout_ms);
    if (call.IsWhole() && call.answer.status == 200) ++verdict.served;
    if (run && !call.IsWhole()) verdict.lost.push_back(text);
    if (run && call.answer.status == 503) verdict.refused.push_back(text);
    const bool failed = call.answer.status != 200;
    if (run && failed && in_time && after > kExcusedTime) {
      verdict.cut.push_back(text);
    }
  }
  return verdict;
}

// Returns the number of `lines` and the first of them.
std::string Summary(const char* what, const std::vector<std::string>& lines) {
  return absl::StrCat(lines.size(), " ", what, ": ",
                      lines.empty() ? "" : lines.front());
}

// Guards against requests that a stopping host accepts though their time goes
// beyond its end, so that servers run them and their callers get no answer.
BOOST_AUTO_TEST_CASE(AStoppingHostAnswersWhatItAccepts) {
  constexpr std::size_t kStopping = 2;
  // Fewer calls at once than the servers have places.
  constexpr absl::Duration kCallInterval = absl::Milliseconds(40);
  constexpr int kLongDeadlineMs = 20000;
  constexpr int kShortDeadlineMs = 2500;
  // Longer than the shortest timeout.
  const std::vector<FaultyServerSetup> servers(
      6, {.service = "plain", .options = {"--work-ms", "1600"}});
  DrainSite site(servers, /*hosts=*/4);
  absl::Time signal = absl::InfiniteFuture();
  const absl::Time signal_due = absl::Now() + absl::Seconds(1);
  std::array<bool, kStopping> listens = {true, true};
  for (int i = 0; listens[0] || listens[1]; ++i) {
    if (signal == absl::InfiniteFuture() && absl::Now() > signal_due) {
      signal = absl::Now();
      for (std::size_t host = 0; host < kStopping; ++host) {
        site.hosts_[host]->process().Signal(SIGTERM);
      }
    }
    const std::size_t host = static_cast<std::size_t>(i) % kStopping;
    const int route = kTimeouts[i / 2 % std::size(kTimeouts)];
    const int deadline_ms = i % 6 < 4 ? kLongDeadlineMs : kShortDeadlineMs;
    listens[host] = site.BeginCall(host, route, deadline_ms);
    absl::SleepFor(kCallInterval);
  }
  for (std::size_t host = 0; host < kStopping; ++host) {
    BOOST_TEST(site.hosts_[host]->process().Wait() == 0);
  }
  BOOST_TEST((absl::Now() - signal < kGraceTime));
  site.WaitForCalls();
  const DrainVerdict verdict = Judge(site, site.calls(), signal);
  BOOST_TEST_MESSAGE("calls " << verdict.calls << " served " << verdict.served
                              << " lost " << verdict.lost.size() << " cut "
                              << verdict.cut.size());
  BOOST_TEST(verdict.lost.empty(), Summary("lost", verdict.lost));
  BOOST_TEST(verdict.cut.empty(), Summary("cut", verdict.cut));
  BOOST_TEST(verdict.refused.empty(),
             Summary("refused and run", verdict.refused));
  BOOST_TEST(verdict.served > 0);
}

}  // namespace
}  // namespace gentianlb::process
