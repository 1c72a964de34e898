#include "replay/scenario.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "replay/random.h"
#include "replay/work_model.h"

namespace gentianlb::replay {
namespace {

using schedule::kPrefixBlockTokens;

// How long callers arrive. Long enough for several answers of the longest kind
// one after the other, and an overload longer than the longest deadline, as it
// would else be no more than a queue.
constexpr double kLengthSeconds = 120;
constexpr double kOverloadSeconds = 360;

// Texts that are being read at any moment, per workspace and kind.
constexpr int kOpenDocuments = 3;

// One load pattern. Loads are parts of what the servers could at most finish.
struct Pattern {
  std::string name;
  double load = 0;
  double seconds = kLengthSeconds;
  double burst_load = 0;     // During the bursts; 0: none.
  double hot_factor = 1;     // Of the largest workspace's requests.
  double long_factor = 1;    // Of the longest kind's share.
  double batch_load = 0;     // Of the lowest tier, all within kBatchSeconds.
  double leaving_share = 0;  // Of callers that close early.
  double slow_speed = 0;     // Of one of the newest servers for a while.
  bool server_dies = false;
  double cap_factor = 1;     // Of the cap for a while.
  double trouble_from = 30;  // When all of these begin and end, in seconds.
  double trouble_to = 80;
};

// Bursts: a tenth of the time, as when a municipality publishes its calls.
constexpr double kBurstPeriod = 40;
constexpr double kBurstSeconds = 4;
constexpr double kBurstStart = 15;

// The overnight batch comes in at once, after the shift's end.
constexpr double kBatchSeconds = 10;

const std::vector<Pattern>& Patterns() {
  static const auto& patterns = *new std::vector<Pattern>{
      {.name = "steady", .load = 0.6},
      {.name = "burst", .load = 0.5, .burst_load = 4},
      {.name = "hot-workspace", .load = 0.6, .hot_factor = 5},
      {.name = "slow-server", .load = 0.6, .slow_speed = 0.15},
      {.name = "dead-server", .load = 0.6, .server_dies = true},
      {.name = "long-among-short", .load = 0.6, .long_factor = 4},
      {.name = "overload-1.5", .load = 1.5, .seconds = kOverloadSeconds},
      {.name = "overload-3", .load = 3, .seconds = kOverloadSeconds},
      {.name = "power-drop", .load = 0.6, .cap_factor = 0.75},
      {.name = "overnight-batch", .load = 0.2, .batch_load = 1.2},
      {.name = "callers-leave", .load = 0.6, .leaving_share = 0.05},
      {.name = "mixed",
       .load = 0.6,
       .burst_load = 2,
       .leaving_share = 0.02,
       .slow_speed = 0.2,
       .server_dies = true,
       .cap_factor = 0.85,
       .trouble_from = 8,
       .trouble_to = 24},
  };
  return patterns;
}

const Pattern* FindPattern(std::string_view name) {
  for (const Pattern& pattern : Patterns()) {
    if (pattern.name == name) return &pattern;
  }
  return nullptr;
}

int RoundToBlocks(int tokens) {
  return (tokens + kPrefixBlockTokens - 1) / kPrefixBlockTokens *
         kPrefixBlockTokens;
}

// A text that several requests of a workspace share.
struct Document {
  std::string name;
  int tokens = 0;
  int readers_left = 0;
};

// Draws the requests of one service.
class RequestSource {
 public:
  RequestSource(const Deployment& deployment, const ServiceLoad& service,
                const Pattern& pattern, Random* random)
      : deployment_(deployment),
        service_(service),
        pattern_(pattern),
        random_(random),
        capacity_(RequestsPerSecond(deployment, service)) {
    for (const RequestKind& kind : deployment.kinds) {
      if (kind.service == service.id) kinds_.push_back(&kind);
    }
  }

  // Appends its requests and the callers that leave, not yet in order.
  void Generate(std::vector<TraceEvent>* events) {
    const double most = std::max(pattern_.load, pattern_.burst_load);
    const double hot =
        1 + (pattern_.hot_factor - 1) * deployment_.workspaces.front().share;
    double rate = most * hot * capacity_;
    for (double at = random_->Gap(rate); at < pattern_.seconds;
         at += random_->Gap(rate)) {
      // Thinned to the load of the moment.
      if (random_->Unit() * most < LoadAt(at)) Append(at, DrawKind(), events);
    }
    if (pattern_.batch_load > 0) GenerateBatch(events);
  }

 private:
  double LoadAt(double at) const {
    double phase = at - kBurstStart;
    bool burst = pattern_.burst_load > 0 && phase >= 0 &&
                 phase - kBurstPeriod * static_cast<int>(phase / kBurstPeriod) <
                     kBurstSeconds;
    return burst ? pattern_.burst_load : pattern_.load;
  }

  // The lowest tier's requests of the whole time, within seconds.
  void GenerateBatch(std::vector<TraceEvent>* events) {
    const RequestKind* lowest = *std::max_element(
        kinds_.begin(), kinds_.end(),
        [](const auto* a, const auto* b) { return a->tier < b->tier; });
    int count = static_cast<int>(pattern_.batch_load * capacity_ *
                                 lowest->share * pattern_.seconds);
    for (int i = 0; i < count; ++i) {
      Append(random_->Unit() * kBatchSeconds, *lowest, events);
    }
  }

  double ShareOf(const RequestKind& kind) const {
    bool longest = kind.tier == Tier{0};
    return kind.share * (longest ? pattern_.long_factor : 1);
  }

  const RequestKind& DrawKind() {
    double total = 0;
    for (const RequestKind* kind : kinds_) total += ShareOf(*kind);
    double draw = random_->Unit() * total;
    for (const RequestKind* kind : kinds_) {
      draw -= ShareOf(*kind);
      if (draw < 0) return *kind;
    }
    return *kinds_.back();
  }

  const WorkspaceId& DrawWorkspace() {
    double total = 0;
    auto share = [&](std::size_t i) {
      return deployment_.workspaces[i].share *
             (i == 0 ? pattern_.hot_factor : 1);
    };
    for (std::size_t i = 0; i < deployment_.workspaces.size(); ++i) {
      total += share(i);
    }
    double draw = random_->Unit() * total;
    for (std::size_t i = 0; i < deployment_.workspaces.size(); ++i) {
      draw -= share(i);
      if (draw < 0) return deployment_.workspaces[i].spec.id;
    }
    return deployment_.workspaces.back().spec.id;
  }

  // One of the texts that the workspace is working on.
  Document& DrawDocument(const RequestKind& kind,
                         const WorkspaceId& workspace) {
    auto& open = documents_[{kind.name, workspace}];
    open.resize(kOpenDocuments);
    Document& document = open[random_->Index(kOpenDocuments)];
    if (document.readers_left == 0) {
      document.name =
          absl::StrCat(service_.id.str(), "-document-", ++document_count_);
      document.tokens = RoundToBlocks(random_->Spread(
          kind.document_tokens.least, kind.document_tokens.most));
      document.readers_left = kind.document_readers;
    }
    --document.readers_left;
    return document;
  }

  void Append(double at, const RequestKind& kind,
              std::vector<TraceEvent>* events) {
    TraceRequest request;
    request.id = RequestId(absl::StrCat(service_.id.str(), "-", ++count_));
    request.workspace = DrawWorkspace();
    request.service = service_.id;
    request.tier = kind.tier;
    request.deadline = kind.deadline;
    request.max_output_tokens = kind.max_output_tokens;
    request.output_tokens =
        random_->Spread(kind.output_tokens.least, kind.output_tokens.most);
    request.prompt_tokens =
        random_->Spread(kind.tail_tokens.least, kind.tail_tokens.most);
    AddPrefix(kind, &request);
    absl::Duration when =
        absl::Microseconds(static_cast<std::int64_t>(at * 1e6));
    if (random_->Unit() < pattern_.leaving_share) {
      absl::Duration stay = absl::Floor(kind.deadline * random_->Unit() / 2,
                                        absl::Microseconds(1));
      events->push_back({when + stay, TraceCancel{request.id}});
    }
    events->push_back({when, std::move(request)});
  }

  void AddPrefix(const RequestKind& kind, TraceRequest* request) {
    if (kind.instruction_tokens > 0) {
      request->prefix.push_back(
          {absl::StrCat(kind.name, "-instructions"), kind.instruction_tokens});
      request->prompt_tokens += kind.instruction_tokens;
    }
    if (kind.document_tokens.most == 0) return;
    const Document& document = DrawDocument(kind, request->workspace);
    request->prefix.push_back({document.name, document.tokens});
    request->prompt_tokens += document.tokens;
  }

  const Deployment& deployment_;
  const ServiceLoad& service_;
  const Pattern& pattern_;
  Random* const random_;
  const double capacity_;
  std::vector<const RequestKind*> kinds_;
  std::map<std::pair<std::string, WorkspaceId>, std::vector<Document>>
      documents_;
  int count_ = 0;
  int document_count_ = 0;
};

// Appends what befalls servers and power.
void AppendTrouble(const Deployment& deployment, const Pattern& pattern,
                   std::vector<TraceEvent>* events) {
  const absl::Duration from = absl::Seconds(pattern.trouble_from);
  const absl::Duration to = absl::Seconds(pattern.trouble_to);
  const auto& servers = deployment.services.front().servers;
  const ServerId& newest = servers.back().id;
  const ServerId& next = servers[servers.size() - 2].id;
  if (pattern.slow_speed > 0) {
    events->push_back({from, TraceServerSlow{newest, pattern.slow_speed}});
    events->push_back({to, TraceServerBack{newest}});
  }
  if (pattern.server_dies) {
    events->push_back({from, TraceServerDead{next}});
    events->push_back({to, TraceServerBack{next}});
  }
  if (pattern.cap_factor < 1) {
    const double cap = deployment.power_cap_watts;
    events->push_back({from, TracePowerCap{cap * pattern.cap_factor}});
    events->push_back({to, TracePowerCap{cap}});
  }
}

}  // namespace

std::vector<std::string> ScenarioNames() {
  std::vector<std::string> names;
  for (const Pattern& pattern : Patterns()) names.push_back(pattern.name);
  return names;
}

Result<Trace> MakeScenario(const Deployment& deployment, std::string_view name,
                           std::uint64_t seed) {
  const Pattern* pattern = FindPattern(name);
  if (pattern == nullptr) {
    return Fail(Code::kUsage,
                absl::StrCat("no scenario named ", std::string(name)));
  }
  Trace trace;
  trace.deployment = deployment.name;
  trace.note = absl::StrCat(pattern->name, ", seed ", seed);
  Random random(seed);
  for (const ServiceLoad& service : deployment.services) {
    RequestSource(deployment, service, *pattern, &random)
        .Generate(&trace.events);
  }
  AppendTrouble(deployment, *pattern, &trace.events);
  // At the same time, a request stands before its caller's leaving.
  std::stable_sort(trace.events.begin(), trace.events.end(),
                   [](const TraceEvent& a, const TraceEvent& b) {
                     return std::pair(a.at, a.body.index()) <
                            std::pair(b.at, b.body.index());
                   });
  return trace;
}

Result<Trace> MakeShortScenario(const Deployment& deployment,
                                std::string_view name, std::uint64_t seed,
                                absl::Duration length) {
  BOOST_LEAF_AUTO(trace, MakeScenario(deployment, name, seed));
  auto end =
      std::find_if(trace.events.begin(), trace.events.end(),
                   [&](const TraceEvent& event) { return event.at >= length; });
  trace.events.erase(end, trace.events.end());
  absl::StrAppend(&trace.note, ", first ", absl::FormatDuration(length));
  return trace;
}

}  // namespace gentianlb::replay
