// Fake of one zone's servers for the dispatcher's tests. A server computes
// prompts one at a time and streams in parallel; time advances in steps. It
// applies the dispatcher's decisions and records each caller's outcome.

#ifndef GENTIANLB_SCHEDULE_FAKE_SITE_TEST_H_
#define GENTIANLB_SCHEDULE_FAKE_SITE_TEST_H_

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "schedule/dispatcher.h"

namespace gentianlb::schedule {

// Outcome of one request as its caller sees it.
struct CallerOutcome {
  enum class Kind { kComplete, kRefused, kCancelled, kFailed };
  Kind kind = Kind::kComplete;
  absl::Time finished_at;
  Code code = Code::kInternal;
  absl::Duration retry_after;
};

class FakeSite {
 public:
  static constexpr absl::Duration kStep = absl::Milliseconds(10);

  explicit FakeSite(const DispatcherOptions& options = {})
      : dispatcher(options) {}

  static ServerSpec MakeServer(int number) {
    ServerSpec spec;
    spec.id = ServerId("server-" + std::to_string(number));
    spec.models = {ModelId("model")};
    spec.prefill_tokens_per_second = 5000;
    spec.decode_tokens_per_second = 50;
    spec.max_streams = 8;
    spec.kv_tokens = 100000;
    spec.cache_tokens = 100000;
    spec.power = {.idle_watts = 100,
                  .watts_per_stream = 20,
                  .joules_per_prefill_token = 0.05};
    return spec;
  }

  void AddServers(int count) {
    for (int i = 0; i < count; ++i) specs.push_back(MakeServer(i));
    Deliver(ServersConfigured{specs});
  }

  // Creates a request with `prompt` prompt tokens and `output` output tokens.
  Request MakeRequest(const std::string& workspace, int tier,
                      absl::Duration deadline, int prompt, int output) {
    Request request;
    request.id = RequestId("r" + std::to_string(next_id_++));
    request.host = EntryHostId("host");
    request.workspace = WorkspaceId(workspace);
    request.model = ModelId("model");
    request.tier = Tier{tier};
    request.arrival = now;
    request.deadline = now + deadline;
    request.prompt_tokens = prompt;
    request.max_output_tokens = output * 2;
    output_tokens_[request.id] = output;
    requests[request.id] = request;
    return request;
  }

  RequestId Send(const std::string& workspace, int tier,
                 absl::Duration deadline, int prompt, int output) {
    const Request request =
        MakeRequest(workspace, tier, deadline, prompt, output);
    Deliver(RequestArrived{request});
    return request.id;
  }

  void Deliver(const Event& event) {
    std::vector<Decision> decisions;
    dispatcher.Handle(event, now, &decisions);
    const bool granted = std::any_of(
        decisions.begin(), decisions.end(),
        [](const auto& d) { return std::holds_alternative<Grant>(d); });
    power_exceeded |= granted && dispatcher.worst_watts() > share;
    // A wakeup that is always due at once would make the owner's loop spin.
    busy_wakeup |= dispatcher.NextWakeup() <= now;
    for (const Decision& decision : decisions) Apply(decision);
  }

  void SetShare(double watts) {
    share = watts;
    Deliver(PowerShareChanged{watts});
  }

  void Run(absl::Duration span) {
    for (const absl::Time end = now + span; now < end;) Step();
  }

  int Count(CallerOutcome::Kind kind, int tier) const {
    return static_cast<int>(
        std::count_if(outcomes.begin(), outcomes.end(), [&](const auto& entry) {
          return entry.second.kind == kind &&
                 requests.at(entry.first).tier.rank == tier;
        }));
  }

  // Returns the number of a workspace's requests that completed before their
  // deadline.
  int CountInTime(const std::string& workspace) const {
    return static_cast<int>(
        std::count_if(outcomes.begin(), outcomes.end(), [&](const auto& entry) {
          const Request& request = requests.at(entry.first);
          return entry.second.kind == CallerOutcome::Kind::kComplete &&
                 request.workspace == WorkspaceId(workspace) &&
                 entry.second.finished_at <= request.deadline;
        }));
  }

  int RunningOn(const ServerId& server) const {
    return static_cast<int>(
        std::count_if(streams_.begin(), streams_.end(),
                      [&](const Stream& s) { return s.server == server; }));
  }

  bool idle() const { return streams_.empty(); }

  Dispatcher dispatcher;
  absl::Time now = absl::FromUnixSeconds(1000);
  std::vector<ServerSpec> specs;
  std::map<RequestId, Request> requests;
  std::map<RequestId, CallerOutcome> outcomes;
  std::vector<std::pair<RequestId, ServerId>> grants;
  std::map<ServerId, double> speed_factors;  // 0: the server hangs.
  // Servers where every request finishes at once with this outcome.
  std::map<ServerId, RequestOutcome> failures;
  double share = std::numeric_limits<double>::infinity();
  bool power_exceeded = false;
  bool busy_wakeup = false;
  int duplicate_outcomes = 0;

 private:
  struct Stream {
    RequestId id;
    ServerId server;
    double prompt = 0;  // Prompt tokens left to compute.
    int cached = 0;
    double tokens = 0;
    int output = 0;
    bool first_token_reported = false;
    absl::Time reported_at;
    std::optional<RequestOutcome> result;
  };

  void RecordOutcome(const RequestId& id, CallerOutcome outcome) {
    outcome.finished_at = now;
    if (!outcomes.emplace(id, outcome).second) ++duplicate_outcomes;
  }

  void Apply(const Decision& decision) {
    if (const auto* grant = std::get_if<Grant>(&decision)) {
      grants.emplace_back(grant->id, grant->server);
      Stream stream{.id = grant->id, .server = grant->server};
      stream.cached = CachedTokens(requests.at(grant->id), grant->server);
      stream.prompt = requests.at(grant->id).prompt_tokens - stream.cached;
      stream.output = output_tokens_.at(grant->id);
      const auto fails = failures.find(grant->server);
      if (fails != failures.end()) stream.result = fails->second;
      streams_.push_back(stream);
    } else if (const auto* refuse = std::get_if<Refuse>(&decision)) {
      RecordOutcome(refuse->id, {.kind = CallerOutcome::Kind::kRefused,
                                 .code = refuse->code,
                                 .retry_after = refuse->retry_after});
    } else if (const auto* cancel = std::get_if<Cancel>(&decision)) {
      for (Stream& stream : streams_) CancelStream(*cancel, &stream);
      for (Stream& stream : finished_) CancelStream(*cancel, &stream);
    }
  }

  void CancelStream(const Cancel& cancel, Stream* stream) {
    if (stream->id != cancel.id) return;
    // The stream may have finished before the cancel arrived. A request that
    // was not sent isn't retried after a cancel, so the cancel is its outcome.
    const RequestOutcome result =
        stream->result.value_or(RequestOutcome::kNotSent);
    if (result != RequestOutcome::kNotSent) return;
    stream->result = RequestOutcome::kCancelled;
    RecordOutcome(cancel.id, {.kind = CallerOutcome::Kind::kCancelled,
                              .code = cancel.code});
  }

  // Advances a stream by one step. A server computes one prompt at a time.
  void AdvanceStream(Stream* stream, std::map<ServerId, bool>* prefilling) {
    const auto factor = speed_factors.find(stream->server);
    const double speed = factor == speed_factors.end() ? 1 : factor->second;
    const double seconds = absl::ToDoubleSeconds(kStep);
    if (stream->prompt > 0) {
      if (std::exchange((*prefilling)[stream->server], true)) return;
      stream->prompt -= 5000 * speed * seconds;
    } else {
      const double batch = 1 + 0.03 * (RunningOn(stream->server) - 1);
      stream->tokens += 50 * speed * seconds / batch;
    }
  }

  void ReportProgress(Stream* stream) {
    const int tokens = static_cast<int>(stream->tokens);
    if (tokens < 1) return;
    if (tokens >= stream->output) {
      stream->result = RequestOutcome::kComplete;
      RecordOutcome(stream->id, {});
    } else if (!stream->first_token_reported ||
               now - stream->reported_at >= absl::Milliseconds(200)) {
      stream->first_token_reported = true;
      stream->reported_at = now;
      Deliver(TokensStreamed{stream->id, tokens});
    }
  }

  void Step() {
    now += kStep;
    std::map<ServerId, bool> prefilling;
    // By index, as a delivered event may append new grants to the list.
    for (std::size_t i = 0; i < streams_.size(); ++i) {
      if (streams_[i].result) continue;
      Stream stream = streams_[i];
      AdvanceStream(&stream, &prefilling);
      ReportProgress(&stream);
      const auto cancelled = streams_[i].result;
      streams_[i] = stream;
      if (cancelled) streams_[i].result = cancelled;
    }
    FinishStreams();
    // Requests cancelled for a smaller share finish within this step.
    power_exceeded |= !streams_.empty() && dispatcher.worst_watts() > share;
    if (dispatcher.NextWakeup() <= now) Deliver(TimePassed{});
  }

  void FinishStreams() {
    finished_.clear();
    for (const Stream& stream : streams_) {
      if (stream.result) finished_.push_back(stream);
    }
    std::erase_if(streams_, [](const Stream& s) { return s.result; });
    while (!finished_.empty()) {
      // Removed first: after the event the request may be granted again, as
      // another stream.
      const Stream stream = finished_.front();
      finished_.erase(finished_.begin());
      if (stream.result == RequestOutcome::kFailed) {
        RecordOutcome(stream.id, {.kind = CallerOutcome::Kind::kFailed});
      }
      Deliver(RequestFinished{.id = stream.id,
                              .kind = *stream.result,
                              .output_tokens = static_cast<int>(stream.tokens),
                              .cached_prompt_tokens = stream.cached});
    }
  }

  // Returns the cached prompt tokens; the fake engines never evict a block.
  int CachedTokens(const Request& request, const ServerId& server) {
    int tokens = 0;
    for (const PrefixHash hash : request.prefix) {
      if (!caches_[server].insert(hash).second) tokens += kPrefixBlockTokens;
    }
    return tokens;
  }

  std::map<ServerId, std::set<PrefixHash>> caches_;
  std::map<RequestId, int> output_tokens_;
  std::vector<Stream> streams_;
  std::vector<Stream> finished_;  // Not yet reported in this step.
  int next_id_ = 0;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_FAKE_SITE_TEST_H_
