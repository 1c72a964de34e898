// A dispatcher held at a number of waiting requests on busy servers: answers
// finish, the next is granted, another comes in.

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "costs.h"
#include "meter.h"
#include "schedule/dispatcher.h"

namespace gentianlb::bench {
namespace {

constexpr int kStreams = 8;
constexpr int kPrefixBlocks = 16;  // 1,000 tokens of prompt.
constexpr int kWorkspaces = 50;
constexpr int kTiers = 4;
constexpr int kDocuments = 200;
constexpr int kTokens = 310;
constexpr int kTokensPerReport = 32;  // As entry::Calls.
constexpr absl::Duration kFirstToken = absl::Milliseconds(400);
constexpr absl::Duration kAnswer = absl::Seconds(8);

struct Running {
  RequestId id;
  absl::Time granted;
};

class Site {
 public:
  Site(int servers, int waiting) : servers_(servers), waiting_(waiting) {
    Handle(Workspaces());
    Handle(Servers());
    // Filled streams first, so that the rest of the heap is of waiting ones.
    int streams = servers * kStreams;
    for (int i = 0; i < streams; ++i) Arrive();
    std::int64_t before = HeapBytes();
    std::size_t at_first = dispatcher_.waiting();
    for (int i = 0; i < waiting; ++i) Arrive();
    bytes_per_waiting_ = static_cast<double>(HeapBytes() - before) /
                         static_cast<double>(dispatcher_.waiting() - at_first);
    for (int i = 0; i < streams + waiting; ++i) Turn();
  }

  std::vector<double> Measure() {
    // One whole round of answers, however many run at once.
    int answers = std::max(4'000, servers_ * kStreams);
    decisions_ = events_ = 0;
    watch_ = {};
    for (int i = 0; i < answers; ++i) Turn();
    auto decisions = static_cast<double>(decisions_);
    return {static_cast<double>(servers_),
            static_cast<double>(waiting_),
            decisions,
            watch_.seconds() * 1e9 / decisions,
            static_cast<double>(events_) / decisions,
            bytes_per_waiting_};
  }

 private:
  static schedule::WorkspacesConfigured Workspaces() {
    schedule::WorkspacesConfigured event;
    for (int i = 0; i < kWorkspaces; ++i) {
      schedule::WorkspaceSpec spec;
      spec.id = WorkspaceId(absl::StrCat("workspace-", i));
      spec.max_waiting = 1'000'000;
      spec.max_waiting_bytes = std::int64_t{1} << 50;
      event.workspaces.push_back(spec);
    }
    return event;
  }

  schedule::ServersConfigured Servers() const {
    schedule::ServersConfigured event;
    for (int i = 0; i < servers_; ++i) {
      schedule::ServerSpec spec;
      spec.id = ServerId(absl::StrCat("server-", i));
      spec.models = {ModelId("model")};
      spec.prefill_tokens_per_second = 8000;
      spec.decode_tokens_per_second = 60;
      spec.max_streams = kStreams;
      spec.kv_tokens = 1'000'000;
      spec.cache_tokens = 200'000;
      event.servers.push_back(spec);
    }
    return event;
  }

  void Arrive() {
    schedule::Request request;
    request.id =
        RequestId(absl::StrCat("entry-1000-1790000000000000-", ++ids_));
    request.host = EntryHostId("entry-1000");
    request.workspace = WorkspaceId(absl::StrCat("workspace-", ids_ % 50));
    request.model = ModelId("model");
    request.tier = Tier{static_cast<int>(ids_ % kTiers)};
    request.arrival = now_;
    request.deadline = now_ + absl::Hours(12);
    request.prompt_tokens = kPrefixBlocks * schedule::kPrefixBlockTokens;
    request.max_output_tokens = 320;
    request.body_bytes = 4096;
    std::uint64_t document = ids_ * 7 % kDocuments;
    for (std::uint64_t block = 0; block < kPrefixBlocks; ++block) {
      request.prefix.push_back(document * kPrefixBlocks + block + 1);
    }
    Handle(schedule::RequestArrived{std::move(request)});
  }

  // Time goes on to the end of the oldest answer; others' tokens come in
  // meanwhile. Then another request comes.
  void Turn() {
    absl::Time end = now_ + absl::Milliseconds(100);
    if (!running_.empty()) {
      end = std::max(now_, running_.front().granted + kAnswer);
    }
    while (!reports_.empty() && reports_.begin()->first <= end) {
      auto [due, report] = *reports_.begin();
      reports_.erase(reports_.begin());
      now_ = std::max(now_, due);
      Handle(report);
    }
    now_ = end;
    if (dispatcher_.NextWakeup() <= now_) Handle(schedule::TimePassed{});
    if (!running_.empty() && running_.front().granted + kAnswer <= now_) {
      RequestId id = running_.front().id;
      running_.pop_front();
      Handle(
          schedule::RequestEnded{id, schedule::EndKind::kComplete, kTokens, 0});
    }
    while (dispatcher_.waiting() < static_cast<std::size_t>(waiting_)) Arrive();
  }

  // As the entry host reports: the first token, then every 32.
  void Grant(const RequestId& id) {
    running_.push_back({id, now_});
    for (int tokens = 1; tokens < kTokens; tokens += kTokensPerReport) {
      absl::Duration after =
          kFirstToken + (kAnswer - kFirstToken) * (1.0 * tokens / kTokens);
      reports_.emplace(now_ + after, schedule::TokensStreamed{id, tokens});
    }
  }

  void Handle(const schedule::Event& event) {
    std::vector<schedule::Decision> decisions;
    watch_.Start();
    dispatcher_.Handle(event, now_, &decisions);
    watch_.Stop();
    ++events_;
    decisions_ += static_cast<std::int64_t>(decisions.size());
    for (const schedule::Decision& decision : decisions) {
      const auto* grant = std::get_if<schedule::Grant>(&decision);
      if (grant != nullptr) Grant(grant->id);
    }
  }

  const int servers_;
  const int waiting_;
  schedule::Dispatcher dispatcher_{{}};
  absl::Time now_ = absl::UnixEpoch();
  std::deque<Running> running_;
  std::multimap<absl::Time, schedule::TokensStreamed> reports_;
  std::uint64_t ids_ = 0;
  std::int64_t decisions_ = 0;
  std::int64_t events_ = 0;
  Stopwatch watch_;
  double bytes_per_waiting_ = 0;
};

}  // namespace

Table MeasureDispatcher(bool quick) {
  Table table{"dispatcher",
              {"servers", "waiting", "decisions", "ns/decision",
               "events/decision", "heap bytes/waiting"},
              {}};
  table.rows.push_back(Site(10, 100).Measure());
  table.rows.push_back(Site(100, 1'000).Measure());
  if (!quick) table.rows.push_back(Site(1'000, 10'000).Measure());
  return table;
}

}  // namespace gentianlb::bench
