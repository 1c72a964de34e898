// What a decision costs as the site grows: a dispatcher is held at a number of
// waiting requests while answers finish and others take their place.

#include <algorithm>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "replay/bench.h"
#include "replay/random.h"
#include "schedule/dispatcher.h"

namespace gentianlb::replay {
namespace {

using schedule::Decision;
using schedule::Event;

// Enough finished answers for a mean that repeats within a few in 100.
constexpr int kAnswers = 20'000;

// Answers take as long, and come as fast, as the servers are configured for;
// a slower pace would be measured as a site of stragglers.
constexpr double kAnswerSeconds = 8;
constexpr double kFirstTokenSeconds = 0.4;
constexpr double kFullBatchSlowdown = 1.6;
constexpr double kDecodeSpeed = 15;  // Of the oldest generation.

constexpr int kGenerations = 4;
constexpr int kStreamsPerServer = 16;
constexpr int kWorkspaces = 50;
constexpr int kTiers = 4;
constexpr int kPrefixBlocks = 32;
constexpr int kDocuments = 200;

schedule::ServersConfigured Servers(int count) {
  schedule::ServersConfigured event;
  for (int i = 0; i < count; ++i) {
    schedule::ServerSpec spec;
    spec.id = ServerId(absl::StrCat("server-", i));
    spec.generation = 1 + i % kGenerations;
    spec.models = {ModelId("model")};
    spec.prefill_tokens_per_second = 4000.0 * spec.generation;
    spec.decode_tokens_per_second = kDecodeSpeed * spec.generation;
    spec.max_streams = kStreamsPerServer;
    spec.kv_tokens = 1'000'000;
    spec.cache_tokens = 200'000;
    spec.power = {200, 12, 0.02};
    event.servers.push_back(spec);
  }
  return event;
}

schedule::WorkspacesConfigured Workspaces() {
  schedule::WorkspacesConfigured event;
  for (int i = 0; i < kWorkspaces; ++i) {
    schedule::WorkspaceSpec spec;
    spec.id = WorkspaceId(absl::StrCat("workspace-", i));
    spec.max_waiting = 1'000'000;
    event.workspaces.push_back(spec);
  }
  return event;
}

// Keeps the dispatcher full and counts what it decides.
class ScaleRun {
 public:
  ScaleRun(int servers, int waiting)
      : waiting_target_(waiting), random_(1), dispatcher_({}) {
    Handle(Workspaces());
    Handle(Servers(servers));
    Handle(schedule::PowerShareChanged{1e9});
    for (int i = 0; i < servers; ++i) {
      generation_[ServerId(absl::StrCat("server-", i))] = 1 + i % kGenerations;
    }
    int all = servers * kStreamsPerServer + waiting;
    for (int i = 0; i < all; ++i) Arrive();
    // Warm up: all that runs now was granted at one moment.
    for (int i = 0; i < 2 * all; ++i) Turn();
    decisions_ = 0;
    spent_ = {};
  }

  ScaleFigures Measure(int servers) {
    for (int i = 0; i < kAnswers; ++i) Turn();
    std::chrono::duration<double, std::nano> spent = spent_;
    double each = spent.count() /
                  static_cast<double>(std::max<std::int64_t>(1, decisions_));
    return {servers, waiting_target_, decisions_, each};
  }

 private:
  struct Running {
    RequestId id;
    absl::Time granted;
    int generation = 1;
  };

  void Arrive() {
    schedule::Request request;
    request.id = RequestId(absl::StrCat("request-", ++count_));
    request.host = EntryHostId("entry-1");
    request.workspace =
        WorkspaceId(absl::StrCat("workspace-", random_.Index(kWorkspaces)));
    request.model = ModelId("model");
    request.tier = Tier{random_.Index(kTiers)};
    request.arrival = now_;
    request.deadline = now_ + absl::Hours(2 + random_.Index(10));
    request.prompt_tokens = kPrefixBlocks * schedule::kPrefixBlockTokens;
    request.max_output_tokens = 256;
    std::uint64_t document =
        static_cast<std::uint64_t>(random_.Index(kDocuments));
    for (std::uint64_t block = 0; block < kPrefixBlocks; ++block) {
      request.prefix.push_back(document * kPrefixBlocks + block + 1);
    }
    ++waiting_;
    Handle(schedule::RequestArrived{std::move(request)});
  }

  // An answer ends, another request takes its place, and a third comes in.
  void Turn() {
    if (!running_.empty()) {
      now_ += absl::Seconds(kAnswerSeconds) / running_.size();
      FinishOldest();
    }
    while (!no_token_yet_.empty() &&
           no_token_yet_.front().granted + absl::Seconds(kFirstTokenSeconds) <=
               now_) {
      RequestId id = no_token_yet_.front().id;
      no_token_yet_.pop_front();
      Handle(schedule::TokensStreamed{id, 1});
    }
    while (waiting_ < waiting_target_) Arrive();
  }

  void FinishOldest() {
    const Running oldest = running_.front();
    running_.pop_front();
    double seconds = absl::ToDoubleSeconds(now_ - oldest.granted);
    double tokens = std::max(0.0, seconds - kFirstTokenSeconds) * kDecodeSpeed *
                    oldest.generation / kFullBatchSlowdown;
    Handle(schedule::RequestFinished{oldest.id,
                                     schedule::RequestOutcome::kComplete,
                                     1 + static_cast<int>(tokens), 0});
  }

  void Handle(const Event& event) {
    std::vector<Decision> decisions;
    auto before = std::chrono::steady_clock::now();
    dispatcher_.Handle(event, now_, &decisions);
    spent_ += std::chrono::steady_clock::now() - before;
    for (const Decision& decision : decisions) {
      ++decisions_;
      --waiting_;
      const auto* grant = std::get_if<schedule::Grant>(&decision);
      if (grant == nullptr) continue;
      running_.push_back({grant->id, now_, generation_[grant->server]});
      no_token_yet_.push_back(running_.back());
    }
  }

  const int waiting_target_;
  Random random_;
  schedule::Dispatcher dispatcher_;
  absl::Time now_ = absl::UnixEpoch();
  absl::flat_hash_map<ServerId, int> generation_;
  std::deque<Running> running_;
  std::deque<Running> no_token_yet_;
  int waiting_ = 0;
  int count_ = 0;
  std::int64_t decisions_ = 0;
  std::chrono::steady_clock::duration spent_{};
};

}  // namespace

ScaleFigures MeasureScale(int servers, int waiting) {
  return ScaleRun(servers, waiting).Measure(servers);
}

}  // namespace gentianlb::replay
