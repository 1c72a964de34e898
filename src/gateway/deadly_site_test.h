// Test harness: entry hosts that dispatch for each other, before servers that
// end under some requests, whose callers repeat them at once over other hosts.

#ifndef GENTIANLB_GATEWAY_DEADLY_SITE_TEST_H_
#define GENTIANLB_GATEWAY_DEADLY_SITE_TEST_H_

#include <glog/logging.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/group_site_test.h"

namespace gentianlb::gateway {

// Callers' requests, and the servers that run them.
class DeadlySite {
 public:
  using ContentHash = schedule::ContentHash;
  using Parts = std::vector<schedule::PartHash>;

  static constexpr int kServers = 9;
  static constexpr int kStreams = 18;
  static constexpr absl::Duration kRestart = absl::Seconds(3);
  static constexpr absl::Duration kReadyAfter = absl::Milliseconds(200);

  explicit DeadlySite(int hosts, unsigned seed = 1)
      : groups(hosts, kServers, kStreams), host_count_(hosts) {
    FLAGS_minloglevel = google::GLOG_FATAL;  // The tests check no log lines.
    groups.random.seed(seed);
    random_.seed(seed);
  }

  // Sends harmless requests for `span`, and runs all for as long.
  void Run(absl::Duration span, int harmless_per_step) {
    for (const absl::Time end = groups.now + span; groups.now < end;) {
      for (int i = 0; i < harmless_per_step; ++i) {
        const ContentHash content = ++last_content_;
        ++harmless_sent;
        Start(content, /*attempts=*/2);
      }
      Step();
    }
  }

  void SendHarmless(ContentHash content) { Start(content, /*attempts=*/2); }

  // Sends a request that its caller doesn't repeat, with these parts and one of
  // its own.
  void SendPrompt(const Parts& parts) {
    Call call;
    call.content = ++last_content_;
    for (const schedule::PartHash part : parts) {
      call.prompt.push_back({part, 40});
    }
    call.prompt.push_back({call.content, 20});
    call.sends_left = 2;
    call.host = NextHost();
    if (!EndsServers(call)) ++sound_sent;
    Submit(std::move(call));
  }
  // From now on servers end as they begin to write on a prompt with the part.
  void MakeDeadly(schedule::PartHash part) { deadly_parts_.insert(part); }
  // From now on a server that has ended is back later, under another name.
  void RestartServers() { restarts_ = true; }

  // A host forgets all. Its peers ask it for grants at once; callers come once
  // it is ready.
  void StartHostAgain(const std::string& name) {
    groups.Start(name);
    ready_at_[name] = groups.now + kReadyAfter;
  }

  // A caller insists on a request that ends each server.
  void SendDeadly(ContentHash content) {
    deadly_.insert(content);
    Start(content, /*attempts=*/12);
  }

  void EndServer(const std::string& server) {
    if (!ended_.insert(server).second) return;
    ended_at_.emplace_back(groups.now, server);
    const std::vector<Call> calls = calls_;
    for (const Call& call : calls) {
      if (call.running && call.server == server) {
        Lose(call);
      }
    }
  }

  std::string ServerName(int number) const {
    return "s" + std::to_string(number);
  }
  int ServersEnded() const { return static_cast<int>(ended_.size()); }
  int SendsOf(ContentHash content) { return sends_[content]; }
  // Returns how often a prompt with a deadly part was sent to a server.
  int DeadlySends() const { return deadly_sends_; }

  GroupSite groups;
  int harmless_sent = 0;
  int harmless_served = 0;
  int harmless_suspected = 0;  // Refused since servers ended under them.
  int sound_sent = 0;          // Prompts without a deadly part.
  int sound_served = 0;

 private:
  struct Call {
    ContentHash content = 0;
    std::vector<schedule::PromptPart> prompt;
    int attempts_left = 0;  // Of the caller.
    int sends_left = 0;     // Of this attempt.
    std::string host;
    RequestId id;
    int decisions = 0;  // Handled so far.
    bool running = false;
    std::string server;
    absl::Time sent_at;
    absl::Time ends_at;
  };

  bool EndsServers(const Call& call) const {
    return deadly_.contains(call.content) ||
           std::any_of(call.prompt.begin(), call.prompt.end(),
                       [&](const schedule::PromptPart& part) {
                         return deadly_parts_.contains(part.hash);
                       });
  }

  void Start(ContentHash content, int attempts) {
    Call call;
    call.content = content;
    call.attempts_left = attempts - 1;
    call.sends_left = 2;
    call.host = NextHost();
    Submit(std::move(call));
  }

  std::string NextHost() {
    while (true) {
      std::string name = "h" + std::to_string(random_() % host_count_);
      if (!groups.hosts.at(name).frozen && groups.now >= ready_at_[name]) {
        return name;
      }
    }
  }

  void Submit(Call call) {
    // The server that it lost, if any.
    const ServerId avoid(call.server);
    call.id = groups.Submit(call.host, 0, absl::Seconds(5), call.content, avoid,
                            call.prompt);
    call.decisions = 0;
    call.running = false;
    calls_.push_back(std::move(call));
  }

  void Step() {
    groups.Advance(GroupSite::kStep);
    if (restarts_) StartServersAgain();
    const std::vector<Call> calls = calls_;
    for (const Call& call : calls) HandleDecision(call.id);
    const std::vector<Call> running = calls_;
    for (const Call& call : running) {
      if (call.running && call.ends_at <= groups.now) End(call);
    }
    for (auto due = repeats_.begin();
         due != repeats_.end() && due->first <= groups.now;) {
      Call call = due->second;
      due = repeats_.erase(due);
      Start(call.content, call.attempts_left);
    }
  }

  Call* Find(const RequestId& id) {
    for (Call& call : calls_) {
      if (call.id == id) return &call;
    }
    return nullptr;
  }
  void Erase(const RequestId& id) {
    std::erase_if(calls_, [&](const Call& call) { return call.id == id; });
  }

  void HandleDecision(const RequestId& id) {
    Call* call = Find(id);
    if (call == nullptr) return;
    GroupSite::Host& host = groups.hosts.at(call->host);
    if (host.frozen || host.local.contains(id)) return Erase(id);
    const int decisions = host.decisions[id];
    if (decisions <= call->decisions) return;  // Its host may have restarted.
    call->decisions = decisions;
    if (!host.IsGranted(id)) return HandleRefusal(*call);
    call->server = host.outcomes.at(id);
    if (ended_.contains(call->server)) {
      return groups.FinishRequest(call->host, id,
                                  schedule::RequestOutcome::kNotSent);
    }
    ++sends_[call->content];
    call->running = true;
    call->sent_at = groups.now;
    const bool deadly = EndsServers(*call);
    if (deadly && !call->prompt.empty()) ++deadly_sends_;
    const unsigned span = deadly ? 20 : 20 + random_() % 130;
    call->ends_at = groups.now + absl::Milliseconds(span);
  }

  void HandleRefusal(const Call& call) {
    const Code code = groups.hosts.at(call.host).refusals.at(call.id);
    const bool deadly = EndsServers(call);
    if (!deadly && code == Code::kEndsServers) ++harmless_suspected;
    const Call refused = call;
    Erase(call.id);
    if (deadly) Repeat(refused);
  }

  void End(const Call& call) {
    if (Find(call.id) == nullptr) return;
    if (EndsServers(call)) return EndServer(call.server);
    ++(call.prompt.empty() ? harmless_served : sound_served);
    groups.FinishRequest(call.host, call.id);
    Erase(call.id);
  }

  // The connection to the call's server is lost.
  void Lose(const Call& call) {
    Call next = call;
    Erase(call.id);
    groups.FinishRequest(next.host, next.id,
                         schedule::RequestOutcome::kConnectionLost,
                         std::nullopt, ProgressOf(call));
    if (--next.sends_left > 0) return Submit(std::move(next));
    Repeat(next);
  }

  // A server writes its first byte after some time, and soon more.
  schedule::ResponseProgress ProgressOf(const Call& call) const {
    const absl::Duration run = groups.now - call.sent_at;
    if (EndsServers(call)) return schedule::ResponseProgress::kBegun;
    if (run < absl::Milliseconds(10)) return schedule::ResponseProgress::kNone;
    return run < absl::Milliseconds(20) ? schedule::ResponseProgress::kBegun
                                        : schedule::ResponseProgress::kUnderWay;
  }

  void StartServersAgain() {
    bool started = false;
    while (!ended_at_.empty() &&
           ended_at_.front().first + kRestart <= groups.now) {
      for (ServerEntry& entry : groups.entries) {
        if (entry.id.str() != ended_at_.front().second) continue;
        entry.id = ServerId(entry.id.str() + "+");
        started = true;
      }
      ended_at_.erase(ended_at_.begin());
    }
    if (!started) return;
    for (auto& [name, host] : groups.hosts) {
      host.link->SetServers(groups.service, groups.entries);
    }
  }

  // The caller comes back over another host.
  void Repeat(const Call& call) {
    constexpr absl::Duration kNewConnection = absl::Milliseconds(3);
    if (call.attempts_left <= 0) return;
    repeats_.emplace(groups.now + kNewConnection, call);
  }

  const int host_count_;
  std::mt19937 random_;
  ContentHash last_content_ = 1'000'000;
  std::vector<Call> calls_;
  std::multimap<absl::Time, Call> repeats_;
  std::set<ContentHash> deadly_;
  std::set<schedule::PartHash> deadly_parts_;
  int deadly_sends_ = 0;
  bool restarts_ = false;
  std::map<std::string, absl::Time> ready_at_;
  std::vector<std::pair<absl::Time, std::string>> ended_at_;
  std::set<std::string> ended_;
  std::map<ContentHash, int> sends_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DEADLY_SITE_TEST_H_
