// A hand-written fake of one zone's servers, for the tests of the dispatcher:
// prompts one after the other, streams side by side, time in steps. It carries
// the decisions out and tells what callers received.

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

// How one request ended for its caller.
struct CallerOutcome {
  enum class Kind { kComplete, kRefused, kCancelled, kBroken };
  Kind kind = Kind::kComplete;
  absl::Time when;
  Code code = Code::kInternal;
  absl::Duration retry_after;
};

class FakeSite {
 public:
  static constexpr absl::Duration kStep = absl::Milliseconds(10);

  explicit FakeSite(const DispatcherOptions& options = {})
      : dispatcher(options) {}

  static ServerSpec Spec(int number) {
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
    for (int i = 0; i < count; ++i) specs.push_back(Spec(i));
    Tell(ServersConfigured{specs});
  }

  // A request of `prompt` tokens that will put out `output`.
  Request Make(const std::string& workspace, int tier, absl::Duration deadline,
               int prompt, int output) {
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
    outputs_[request.id] = output;
    requests[request.id] = request;
    return request;
  }

  RequestId Send(const std::string& workspace, int tier,
                 absl::Duration deadline, int prompt, int output) {
    const Request request = Make(workspace, tier, deadline, prompt, output);
    Tell(RequestArrived{request});
    return request.id;
  }

  void Tell(const Event& event) {
    std::vector<Decision> decisions;
    dispatcher.Handle(event, now, &decisions);
    const bool granted = std::any_of(
        decisions.begin(), decisions.end(),
        [](const auto& d) { return std::holds_alternative<Grant>(d); });
    overdrawn |= granted && dispatcher.worst_watts() > share;
    // A timer that is due at once, for ever, would spin its owner.
    spinning |= dispatcher.NextWakeup() <= now;
    for (const Decision& decision : decisions) Carry(decision);
  }

  void SetShare(double watts) {
    share = watts;
    Tell(PowerShareChanged{watts});
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

  // Requests of one workspace that were finished in time.
  int InTime(const std::string& workspace) const {
    return static_cast<int>(
        std::count_if(outcomes.begin(), outcomes.end(), [&](const auto& entry) {
          const Request& request = requests.at(entry.first);
          return entry.second.kind == CallerOutcome::Kind::kComplete &&
                 request.workspace == WorkspaceId(workspace) &&
                 entry.second.when <= request.deadline;
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
  std::map<ServerId, double> slowness;  // 0: it hangs.
  std::map<ServerId, EndKind> failing;  // How grants there end at once.
  double share = std::numeric_limits<double>::infinity();
  bool overdrawn = false;
  bool spinning = false;
  int ended_twice = 0;

 private:
  struct Stream {
    RequestId id;
    ServerId server;
    double prompt = 0;  // Left to compute.
    int cached = 0;
    double tokens = 0;
    int output = 0;
    bool told_first = false;
    absl::Time told;
    std::optional<EndKind> ending;
  };

  void Finish(const RequestId& id, CallerOutcome outcome) {
    outcome.when = now;
    if (!outcomes.emplace(id, outcome).second) ++ended_twice;
  }

  void Carry(const Decision& decision) {
    if (const auto* grant = std::get_if<Grant>(&decision)) {
      grants.emplace_back(grant->id, grant->server);
      Stream stream{.id = grant->id, .server = grant->server};
      stream.cached = CachedTokens(requests.at(grant->id), grant->server);
      stream.prompt = requests.at(grant->id).prompt_tokens - stream.cached;
      stream.output = outputs_.at(grant->id);
      const auto fails = failing.find(grant->server);
      if (fails != failing.end()) stream.ending = fails->second;
      streams_.push_back(stream);
    } else if (const auto* refuse = std::get_if<Refuse>(&decision)) {
      Finish(refuse->id, {.kind = CallerOutcome::Kind::kRefused,
                          .code = refuse->code,
                          .retry_after = refuse->retry_after});
    } else if (const auto* cancel = std::get_if<Cancel>(&decision)) {
      for (Stream& stream : streams_) Stop(*cancel, &stream);
      for (Stream& stream : ending_) Stop(*cancel, &stream);
    }
  }

  void Stop(const Cancel& cancel, Stream* stream) {
    if (stream->id != cancel.id) return;
    // It may have ended already: the two crossed on the way. What was not sent
    // is not tried again after a cancel, so that is its end.
    const EndKind ending = stream->ending.value_or(EndKind::kNotSent);
    if (ending != EndKind::kNotSent) return;
    stream->ending = EndKind::kCancelled;
    Finish(cancel.id,
           {.kind = CallerOutcome::Kind::kCancelled, .code = cancel.code});
  }

  // Work of one stream in one step; prompts of a server go one by one.
  void Work(Stream* stream, std::map<ServerId, bool>* prefilling) {
    const auto slow = slowness.find(stream->server);
    const double speed = slow == slowness.end() ? 1 : slow->second;
    const double seconds = absl::ToDoubleSeconds(kStep);
    if (stream->prompt > 0) {
      if (std::exchange((*prefilling)[stream->server], true)) return;
      stream->prompt -= 5000 * speed * seconds;
    } else {
      const double batch = 1 + 0.03 * (RunningOn(stream->server) - 1);
      stream->tokens += 50 * speed * seconds / batch;
    }
  }

  void Report(Stream* stream) {
    const int tokens = static_cast<int>(stream->tokens);
    if (tokens < 1) return;
    if (tokens >= stream->output) {
      stream->ending = EndKind::kComplete;
      Finish(stream->id, {});
    } else if (!stream->told_first ||
               now - stream->told >= absl::Milliseconds(200)) {
      stream->told_first = true;
      stream->told = now;
      Tell(TokensStreamed{stream->id, tokens});
    }
  }

  void Step() {
    now += kStep;
    std::map<ServerId, bool> prefilling;
    // By index: what is told may bring new grants to the end of the list.
    for (std::size_t i = 0; i < streams_.size(); ++i) {
      if (streams_[i].ending) continue;
      Stream stream = streams_[i];
      Work(&stream, &prefilling);
      Report(&stream);
      const auto cancelled = streams_[i].ending;
      streams_[i] = stream;
      if (cancelled) streams_[i].ending = cancelled;
    }
    EndStreams();
    // What was cancelled for a smaller share has ended within this step.
    overdrawn |= !streams_.empty() && dispatcher.worst_watts() > share;
    if (dispatcher.NextWakeup() <= now) Tell(TimePassed{});
  }

  void EndStreams() {
    ending_.clear();
    for (const Stream& stream : streams_) {
      if (stream.ending) ending_.push_back(stream);
    }
    std::erase_if(streams_, [](const Stream& s) { return s.ending; });
    while (!ending_.empty()) {
      // Out first: once told of, it may run again and is another stream.
      const Stream stream = ending_.front();
      ending_.erase(ending_.begin());
      if (stream.ending == EndKind::kBroken) {
        Finish(stream.id, {.kind = CallerOutcome::Kind::kBroken});
      }
      Tell(RequestEnded{.id = stream.id,
                        .kind = *stream.ending,
                        .output_tokens = static_cast<int>(stream.tokens),
                        .cached_prompt_tokens = stream.cached});
    }
  }

  // Engines keep all they have seen.
  int CachedTokens(const Request& request, const ServerId& server) {
    int tokens = 0;
    for (const PrefixHash hash : request.prefix) {
      if (!caches_[server].insert(hash).second) tokens += kPrefixBlockTokens;
    }
    return tokens;
  }

  std::map<ServerId, std::set<PrefixHash>> caches_;
  std::map<RequestId, int> outputs_;
  std::vector<Stream> streams_;
  std::vector<Stream> ending_;  // Still to be told of in this step.
  int next_id_ = 0;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_FAKE_SITE_TEST_H_
