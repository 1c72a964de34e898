// Clients that the operators don't control: a crowd that stops just short of
// the end of what it sends, and stays. Real gateways and servers as processes.

#include "process/client_crowd_test.h"

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"
#include "process/answers_site_test.h"

namespace gentianlb::process {
namespace {

constexpr std::int64_t kMebibyte = 1 << 20;

// What the settings state. The process may hold no more, the kernel's part of
// it included.
constexpr std::int64_t kMemory = 48 * kMebibyte;
constexpr char kHostSettings[] = "memory = 48MiB\n";
// For a crowd that takes all connections, 30 MiB of which are for these.
constexpr std::int64_t kLargeMemory = 110 * kMebibyte;
constexpr char kLargeHostSettings[] = "memory = 110MiB\n";

// The callers that a host takes, and 500 for its other addresses, servers,
// tunnels and files.
constexpr std::size_t kMaxDescriptors = 1500 + 500;

// The idle timeout is longer than a test, so that the host closes no connection
// of the crowd for it.
constexpr char kConfiguration[] = R"({"version":2,
 "routes":[
  {"name":"read","host":"one.example","prefix":"/read/",
   "route_type":"idempotent","timeout_ms":120000,"slo_ms":500,"priority":1,
   "service":"plain","max_attempts":2,"public":true},
  {"name":"slow","host":"one.example","prefix":"/slow/",
   "route_type":"idempotent","timeout_ms":120000,"slo_ms":500,"priority":1,
   "service":"slow","max_attempts":2,"public":true}],
 "services":[
  {"name":"plain","max_conns":100},
  {"name":"slow","max_conns":500}],
 "limits":{"idle_timeout_ms":300000}})";

// The body of an ordinary request.
constexpr std::size_t kOrdinaryBytes = 2000;
// What a body lacks in the end.
constexpr std::size_t kMissing = 64;
// Of ten members of a crowd, one sends all.
constexpr std::size_t kOneInSendsAll = 10;

std::string Head(const std::string& path, const std::string& id,
                 const std::string& framing) {
  return absl::StrCat("POST ", path,
                      " HTTP/1.1\r\nHost: one.example\r\nRequest-Id: ", id,
                      "\r\n", framing, "\r\n\r\n");
}

std::string Chunks(std::size_t bytes, std::size_t chunk) {
  std::string text;
  for (std::size_t sent = 0; sent < bytes; sent += chunk) {
    const std::size_t count = std::min(chunk, bytes - sent);
    absl::StrAppend(&text, absl::StrFormat("%x", count), "\r\n",
                    std::string(count, 'x'), "\r\n");
  }
  return text + "0\r\n\r\n";
}

struct CrowdPlan {
  std::size_t callers = 0;
  std::size_t body_bytes = 0;
  std::size_t chunk_bytes = 0;  // 0: with a length.
  const char* path = "/read/1";
  bool all_send_all = false;
};

std::vector<CrowdMember> MakeCrowd(const CrowdPlan& plan) {
  const bool chunked = plan.chunk_bytes > 0;
  const auto whole = std::make_shared<const std::string>(
      chunked ? Chunks(plan.body_bytes, plan.chunk_bytes)
              : std::string(plan.body_bytes, 'x'));
  const auto most = std::make_shared<const std::string>(
      whole->substr(0, whole->size() - kMissing));
  const std::string framing =
      chunked ? "Transfer-Encoding: chunked"
              : absl::StrCat("Content-Length: ", plan.body_bytes);
  std::vector<CrowdMember> members;
  for (std::size_t i = 0; i < plan.callers; ++i) {
    const bool sends_all = plan.all_send_all || i % kOneInSendsAll == 0;
    members.push_back(
        {.head = Head(plan.path, absl::StrCat("crowd-", i), framing),
         .body = sends_all ? whole : most,
         .trickle = ""});
  }
  return members;
}

// Returns the bytes that wait unread in the kernel at an IP:PORT of this
// machine.
std::int64_t UnreadBytes(const std::string& address) {
  const std::size_t colon = address.find(':');
  const std::vector<std::string> parts =
      absl::StrSplit(address.substr(0, colon), '.');
  std::string local;
  for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
    absl::StrAppend(&local, absl::StrFormat("%02X", std::stoi(*part)));
  }
  absl::StrAppend(
      &local, absl::StrFormat(":%04X", std::stoi(address.substr(colon + 1))));
  constexpr std::string_view kListens = "0A";
  std::ifstream table("/proc/net/tcp");
  std::int64_t bytes = 0;
  for (std::string line; std::getline(table, line);) {
    std::istringstream fields(line);
    std::string number, own, remote, state, queues;
    fields >> number >> own >> remote >> state >> queues;
    if (own != local || state == kListens) continue;
    bytes += std::stoll(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return bytes;
}

// Samples what a gateway holds until it ends.
class HeldWatch {
 public:
  explicit HeldWatch(GatewayProcess& host)
      : host_(host), thread_([this](const std::stop_token& stop) {
          for (; !stop.stop_requested(); absl::SleepFor(kPeriod)) Sample();
        }) {}

  std::int64_t resident() const { return host_.process().PeakMemory(); }
  std::int64_t unread() const { return unread_; }
  std::int64_t sum() const { return sum_; }
  std::size_t descriptors() const { return descriptors_; }

 private:
  static constexpr absl::Duration kPeriod = absl::Milliseconds(100);

  void Sample() {
    const std::int64_t unread = UnreadBytes(host_.callers());
    unread_ = std::max<std::int64_t>(unread_, unread);
    sum_ =
        std::max<std::int64_t>(sum_, unread + host_.process().ResidentMemory());
    descriptors_ =
        std::max<std::size_t>(descriptors_, host_.process().OpenDescriptors());
  }

  GatewayProcess& host_;
  std::atomic<std::int64_t> unread_ = 0;
  std::atomic<std::int64_t> sum_ = 0;
  std::atomic<std::size_t> descriptors_ = 0;
  std::jthread thread_;
};

class CrowdSite : public AnswersSite {
 public:
  explicit CrowdSite(std::int64_t memory = kMemory,
                     const std::string& host_settings = kHostSettings)
      : AnswersSite({{.service = "plain"},
                     {.service = "plain"},
                     {.service = "slow",
                      .options = {"--work-ms", "60000"},
                      .slots = 500}},
                    1),
        memory_(memory) {
    table_.Put("op", "config", kConfiguration);
    StartHosts({}, "", host_settings);
    RaiseDescriptorLimit();  // Of the crowd alone.
    watch_ = std::make_unique<HeldWatch>(host());
  }

  GatewayProcess& host() { return *hosts_[0]; }

  // Returns the status of one ordinary request on a connection of its own.
  int AskOrdinary() {
    const std::string id = absl::StrCat("ordinary-", ++ordinary_);
    const std::string body(kOrdinaryBytes, 'q');
    return AskAt(
        host().callers(),
        Head("/read/1", id, absl::StrCat("Content-Length: ", body.size())) +
            body);
  }
  int AskReadiness() {
    return AskAt(host().ready(),
                 "GET /v1/readyz HTTP/1.1\r\nHost: one.example\r\n\r\n");
  }

  // Lets the crowd come and go.
  void Meet(const CrowdPlan& plan) { Meet(MakeCrowd(plan)); }
  void Meet(std::vector<CrowdMember> members) {
    {
      ClientCrowd crowd(host().callers(), std::move(members));
      crowd.WaitUntilSettled();
      BOOST_TEST_CONTEXT("beside the crowd") {
        BOOST_TEST(AskOrdinary() == 200);
      }
      BOOST_TEST_MESSAGE("crowd: " << crowd.sent() << " sent all they have, "
                                   << crowd.closed() << " closed");
    }
    BOOST_TEST_CONTEXT("after the crowd") { BOOST_TEST(AskOrdinary() == 200); }
    CheckBounds();
  }

  void CheckBounds() {
    BOOST_TEST(!host().process().HasEnded());
    BOOST_TEST_MESSAGE("MiB: resident "
                       << watch_->resident() / kMebibyte << ", unread "
                       << watch_->unread() / kMebibyte << ", sum "
                       << watch_->sum() / kMebibyte << "; descriptors "
                       << watch_->descriptors());
    BOOST_TEST(watch_->resident() < memory_);
    BOOST_TEST(watch_->sum() < memory_);
    BOOST_TEST(watch_->descriptors() < kMaxDescriptors);
  }

 private:
  static void RaiseDescriptorLimit() {
    rlimit limit = {};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }

  static int AskAt(const std::string& address, const std::string& request) {
    CallerConnection connection(address);
    return connection.Ask(request, kBound).status;
  }

  const std::int64_t memory_;  // In bytes.
  int ordinary_ = 0;
  std::unique_ptr<HeldWatch> watch_;
};

BOOST_AUTO_TEST_CASE(AFewBodiesThatStopShortOfTheirEndFillNoHost) {
  CrowdSite site;
  site.Meet({.callers = 20, .body_bytes = 400'000});
}

// Guards against a process that is killed since it keeps what it has dropped of
// bodies that nobody ends.
BOOST_AUTO_TEST_CASE(BodiesThatStopShortOfTheirEndFillNoHost) {
  CrowdSite site;
  site.Meet({.callers = 250, .body_bytes = 400'000});
}

BOOST_AUTO_TEST_CASE(ChunkedBodiesThatStopShortOfTheirEndFillNoHost) {
  CrowdSite site;
  site.Meet({.callers = 250, .body_bytes = 400'000, .chunk_bytes = 64 << 10});
}

BOOST_AUTO_TEST_CASE(BodiesInChunksOfOneByteFillNoHost) {
  CrowdSite site;
  site.Meet({.callers = 250, .body_bytes = 400'000, .chunk_bytes = 1});
}

// Guards against callers that can't connect while others send nothing.
BOOST_AUTO_TEST_CASE(UnfinishedRequestsTakeNotAllConnections) {
  constexpr std::size_t kCallers = 1600;
  constexpr std::size_t kTrickled = 400;
  CrowdSite site(kLargeMemory, kLargeHostSettings);
  std::vector<CrowdMember> members;
  for (std::size_t i = 0; i < kCallers; ++i) {
    const std::string id = absl::StrCat("crowd-", i);
    // By turns a body, a head that never ends, and nothing at all.
    const std::string heads[] = {
        Head("/read/1", id, absl::StrCat("Content-Length: ", kTrickled * 2)),
        "POST /read/1 HTTP/1.1\r\nHost: one.example\r\nNever-Ends: ", ""};
    members.push_back(
        {.head = heads[i / 2 % 3],
         .body = nullptr,
         .trickle = i % 2 == 0 ? std::string(kTrickled, 'x') : ""});
  }
  site.Meet(std::move(members));
}

// Guards against whole bodies, which wait for slow servers, that fill a host.
BOOST_AUTO_TEST_CASE(WholeBodiesThatWaitFillNoHost) {
  CrowdSite site;
  site.Meet({.callers = 400,
             .body_bytes = 400'000,
             .path = "/slow/1",
             .all_send_all = true});
}

// Guards against callers that are refused since bodies that wait hold all that
// a host may hold.
BOOST_AUTO_TEST_CASE(WholeBodiesThatWaitLeaveRoomForOthers) {
  CrowdSite site;
  std::vector<CrowdMember> members;
  for (const std::size_t bytes : {400'000, 60'000, 10'000, 1'000}) {
    for (CrowdMember& member : MakeCrowd({.callers = 100,
                               .body_bytes = bytes,
                               .path = "/slow/1",
                               .all_send_all = true})) {
      members.push_back(std::move(member));
    }
  }
  site.Meet(std::move(members));
}

constexpr std::size_t kManyCallers = 1400;

// Returns a head of 15 KiB in short lines, as many as a host takes.
std::string LargeHead(const std::string& path, const std::string& id,
                      const std::string& framing) {
  constexpr std::size_t kLines = 500;
  constexpr std::size_t kLineBytes = 30;
  std::string lines;
  for (std::size_t i = 0; i < kLines; ++i) {
    std::string line = absl::StrCat("x", i, ": ");
    line.append(kLineBytes - line.size() - 2, 'v');
    absl::StrAppend(&lines, line, "\r\n");
  }
  return Head(path, id, lines + framing);
}

// Returns callers whose heads are large, and whose bodies lack their last part
// if they stall.
std::vector<CrowdMember> MakeLargeHeads(std::size_t body_bytes, bool stall,
                                        const std::string& path) {
  const auto body = std::make_shared<const std::string>(
      body_bytes - (stall ? kMissing : 0), 'x');
  std::vector<CrowdMember> members;
  for (std::size_t i = 0; i < kManyCallers; ++i) {
    members.push_back(
        {.head = LargeHead(path, absl::StrCat("crowd-", i),
                           absl::StrCat("Content-Length: ", body_bytes)),
         .body = body,
         .trickle = ""});
  }
  return members;
}

// Guards against heads that fill a host, as nothing counts them.
BOOST_AUTO_TEST_CASE(LargeHeadsOfStalledBodiesFillNoHost) {
  CrowdSite site(kLargeMemory, kLargeHostSettings);
  site.Meet(MakeLargeHeads(20'000, /*stall=*/true, "/read/1"));
}

BOOST_AUTO_TEST_CASE(LargeHeadsOfSmallStalledBodiesFillNoHost) {
  CrowdSite site(kLargeMemory, kLargeHostSettings);
  site.Meet(MakeLargeHeads(200, /*stall=*/true, "/read/1"));
}

// The same by requests that are whole, and wait for slow servers.
BOOST_AUTO_TEST_CASE(LargeHeadsThatWaitFillNoHost) {
  CrowdSite site(kLargeMemory, kLargeHostSettings);
  site.Meet(MakeLargeHeads(200, /*stall=*/false, "/slow/1"));
}

// Guards against connections that keep the memory of the large request that
// they have carried.
BOOST_AUTO_TEST_CASE(LargeHeadsThatWereServedFillNoHost) {
  CrowdSite site(kLargeMemory, kLargeHostSettings);
  site.Meet(MakeLargeHeads(200, /*stall=*/false, "/read/1"));
}

BOOST_AUTO_TEST_CASE(PartsOfLargeHeadsFillNoHost) {
  CrowdSite site(kLargeMemory, kLargeHostSettings);
  std::vector<CrowdMember> members =
      MakeLargeHeads(200, /*stall=*/true, "/read/1");
  for (CrowdMember& member : members) {
    member.head.resize(member.head.size() - kMissing);
    member.body = nullptr;
  }
  site.Meet(std::move(members));
}

// Guards against requests that come behind one that waits.
BOOST_AUTO_TEST_CASE(PipelinedRequestsFillNoHost) {
  constexpr std::size_t kNextBytes = 16'000;
  CrowdSite site(kLargeMemory, kLargeHostSettings);
  std::vector<CrowdMember> members;
  for (std::size_t i = 0; i < kManyCallers; ++i) {
    const std::string id = absl::StrCat("crowd-", i);
    members.push_back(
        {.head = Head("/slow/1", id, "Content-Length: 0") +
                 Head("/slow/1", id + "-next",
                      absl::StrCat("Content-Length: ", kNextBytes)),
         .body = std::make_shared<const std::string>(kNextBytes, 'x'),
         .trickle = ""});
  }
  site.Meet(std::move(members));
}

// Guards against a host that the platform takes out of rotation since others
// hold the connections of its readiness address.
BOOST_AUTO_TEST_CASE(ACrowdAtOtherAddressesKeepsNoReadinessFromThePlatform) {
  constexpr std::size_t kCallers = 96;
  constexpr std::size_t kTrickled = 400;
  CrowdSite site;
  std::vector<CrowdMember> members;
  for (std::size_t i = 0; i < kCallers; ++i) {
    members.push_back(
        {.head = "GET / HTTP/1.1\r\nNever-Ends: ",
         .body = nullptr,
         .trickle = i % 2 == 0 ? std::string(kTrickled, 'x') : ""});
  }
  {
    ClientCrowd at_ready(site.host().ready(), members);
    ClientCrowd at_metrics(site.host().metrics(), members);
    at_ready.WaitUntilSettled();
    at_metrics.WaitUntilSettled();
    BOOST_TEST_CONTEXT("beside the crowd") {
      BOOST_TEST(site.AskReadiness() == 200);
      BOOST_TEST(site.AskOrdinary() == 200);
    }
  }
  BOOST_TEST_CONTEXT("after the crowd") {
    BOOST_TEST(site.AskReadiness() == 200);
    BOOST_TEST(site.AskOrdinary() == 200);
  }
  site.CheckBounds();
}

}  // namespace
}  // namespace gentianlb::process
