// Several gateways as processes, before servers that end as they begin to write
// on a prompt with a certain part.

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "http/client.h"
#include "process/gateway_site_test.h"

namespace gentianlb::process {
namespace {

using standins::PlatformServer;

constexpr char kConfiguration[] = R"({"version":1,
 "routes":[
  {"name":"chat","host":"one.example","prefix":"/chat/",
   "route_type":"streaming","timeout_ms":5000,"slo_ms":2000,"priority":0,
   "service":"llm","max_attempts":2,"public":true,"resumable":true}],
 "services":[
  {"name":"llm","engine":{"slots":8,"kv_capacity":100000,"stride":1,
   "models":[{"name":"m"}]}}],
 "limits":{"idle_timeout_ms":15000}})";

constexpr char kSystemPart[] = "5157e100";  // Begins all prompts of the route.
constexpr char kDeadlyPart[] = "dead0001";

// The platform's rules: sends that are allowed later than this after the fifth
// server has ended, and from when sound requests must be served again.
constexpr int kFreeEnds = 5;
constexpr int kMaxLateSends = 3;
constexpr absl::Duration kLate = absl::Seconds(3);
constexpr absl::Duration kServedAgain = absl::Seconds(6);
constexpr double kServedShare = 0.95;

constexpr absl::Duration kRestart = absl::Seconds(3);
constexpr absl::Duration kStep = absl::Milliseconds(10);

class Site : public GatewaySite {
 public:
  static constexpr int kServers = 8;

  Site() : GatewaySite(kConfiguration, {"llm"}, kServers) {
    for (auto& server : servers_) server->SetFaults(Faults());
  }
  ~Site() { client_.Stop(); }

  // Sends sound streams, and beside them such with the deadly part, for `span`.
  void Run(absl::Duration span, absl::Duration sound_gap,
           absl::Duration deadly_gap) {
    const absl::Time end = absl::Now() + span;
    absl::Time next_sound = absl::Now();
    absl::Time next_deadly =
        deadly_gap > absl::ZeroDuration() ? next_sound : absl::InfiniteFuture();
    while (absl::Now() < end) {
      for (; next_sound <= absl::Now(); next_sound += sound_gap) SendSound();
      for (; next_deadly <= absl::Now(); next_deadly += deadly_gap) {
        SendDeadly();
      }
      RestartServers();
      absl::SleepFor(kStep);
    }
  }

  void WaitForAnswers() {
    WaitUntil("all requests are answered", [this] { return open_ == 0; });
  }

  // Returns when servers began to write on the deadly part, in order.
  std::vector<absl::Time> DeadlyArrivals() const {
    std::vector<absl::Time> all;
    for (const auto& server : servers_) {
      const std::vector<absl::Time> some = server->DeadlyArrivals();
      all.insert(all.end(), some.begin(), some.end());
    }
    std::sort(all.begin(), all.end());
    return all;
  }

  // Returns the share of sound requests sent from `from` to `to` that were
  // served.
  double ServedShare(absl::Time from, absl::Time to) const {
    const absl::MutexLock lock(&mutex_);
    int sent = 0;
    int served = 0;
    for (const auto& [at, complete] : sound_) {
      if (at < from || at >= to) continue;
      ++sent;
      served += complete ? 1 : 0;
    }
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
  }

 private:
  static PlatformServer::Faults Faults() {
    PlatformServer::Faults faults;
    faults.ends_under_part = kDeadlyPart;
    faults.event_gap = absl::Milliseconds(50);
    return faults;
  }

  http::ClientRequest MakeStream(const std::string& parts) {
    const int number = ++sent_;
    http::ClientRequest request = MakeRequest(
        number, "/chat/1", absl::StrCat("body of ", number), "4000");
    request.headers.push_back({"Model", "m"});
    request.headers.push_back({"Token-Count", "600,20"});
    request.headers.push_back(
        {"Prefix-Hash", absl::StrCat(kSystemPart, ":300,", parts, ":200,own",
                                     number, ":100")});
    request.send_policy = http::SendPolicy::kFreshConnection;
    return request;
  }

  // Sound requests share the caller's part with the deadly ones.
  std::string CallersPart() const { return absl::StrCat("ca11e", sent_ % 10); }

  void SendSound() {
    const absl::Time sent = absl::Now();
    ++open_;
    client_.Fetch(
        MakeStream(CallersPart()), [this, sent](const http::Reply& reply) {
          const bool complete =
              reply.status == 200 && reply.end == http::TransferEnd::kComplete;
          const absl::MutexLock lock(&mutex_);
          sound_.emplace(sent, complete);
          --open_;
        });
  }

  void SendDeadly() {
    ++open_;
    client_.Fetch(MakeStream(absl::StrCat(CallersPart(), ":100,", kDeadlyPart)),
                  [this](const http::Reply&) { --open_; });
  }

  // A server that has ended is back under another id some time later.
  void RestartServers() {
    const absl::Time now = absl::Now();
    std::vector<std::unique_ptr<PlatformServer>> started;
    for (const auto& server : servers_) {
      if (!server->HasEnded()) continue;
      const auto [found, is_new] = ended_at_.try_emplace(server->id(), now);
      if (is_new || found->second == absl::InfiniteFuture()) continue;
      if (now - found->second < kRestart) continue;
      found->second = absl::InfiniteFuture();
      table_.Remove("servers", server->id());
      started.push_back(std::make_unique<PlatformServer>(
          absl::StrCat(server->id(), "-again"), kEvents));
      started.back()->SetFaults(Faults());
      table_.Put("servers", started.back()->id(),
                 started.back()->Registration("llm"));
    }
    std::move(started.begin(), started.end(), std::back_inserter(servers_));
  }

  int sent_ = 0;
  std::map<std::string, absl::Time> ended_at_;
  std::atomic<int> open_ = 0;
  mutable absl::Mutex mutex_;
  std::multimap<absl::Time, bool> sound_ ABSL_GUARDED_BY(mutex_);
};

constexpr absl::Duration kSoundGap = absl::Milliseconds(33);
constexpr absl::Duration kDeadlyGap = absl::Milliseconds(200);

// Guards against requests, no two alike, whose one common part ends server
// after server.
BOOST_FIXTURE_TEST_CASE(APartEndsFewServersThoughNoTwoRequestsAreAlike, Site) {
  const absl::Time begin = absl::Now();
  Run(absl::Seconds(1), kSoundGap, absl::ZeroDuration());
  WaitForAnswers();
  BOOST_TEST(ServedShare(begin, absl::Now()) >= kServedShare);
  Run(absl::Seconds(14), kSoundGap, kDeadlyGap);
  const absl::Time end = absl::Now();
  WaitForAnswers();
  const std::vector<absl::Time> sends = DeadlyArrivals();
  BOOST_REQUIRE(!sends.empty());
  const std::size_t last_free = std::min<std::size_t>(sends.size(), kFreeEnds);
  const absl::Time last_end = sends[last_free - 1];
  const auto late =
      std::count_if(sends.begin(), sends.end(),
                    [&](absl::Time sent) { return sent > last_end + kLate; });
  BOOST_TEST(late <= kMaxLateSends);
  BOOST_TEST(ServedShare(last_end + kServedAgain, end) >= kServedShare);
  BOOST_TEST_MESSAGE("sends " << sends.size() << ", late " << late);
}

}  // namespace
}  // namespace gentianlb::process
