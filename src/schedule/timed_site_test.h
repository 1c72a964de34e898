// Fake servers in several zones for tests of server choice, driven by events in
// virtual time. Servers have different speeds and state how slow their machine
// is at the moment. Each prompt waits for those before it; streams and plain
// calls run in parallel.

#ifndef GENTIANLB_SCHEDULE_TIMED_SITE_TEST_H_
#define GENTIANLB_SCHEDULE_TIMED_SITE_TEST_H_

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "schedule/dispatcher.h"

namespace gentianlb::schedule {

// A kind of request. Plain calls have no prompt.
struct Kind {
  int prompt = 0;
  int output = 1;
  double per_second = 0;
  absl::Duration objective;
  absl::Duration deadline;
  double call_seconds = 0.015;  // Of a plain call, usually.
};

// What callers got.
struct Served {
  int granted = 0;
  int crossed = 0;  // Granted in another zone.
  int in_time = 0;
  int refused = 0;
  double first_seconds = 0;   // Mean.
  double finish_seconds = 0;  // Mean.
  double Crossed() const { return static_cast<double>(crossed) / granted; }
  double InTime() const {
    return static_cast<double>(in_time) / (granted + refused);
  }
};

class TimedSite {
 public:
  explicit TimedSite(const DispatcherOptions& options) : dispatcher(options) {}

  // Adds a server whose work takes `factor` times the usual time.
  void AddServer(const std::string& zone, double factor, bool plain,
                 int streams) {
    ServerSpec spec;
    spec.id = ServerId("server-" + std::to_string(specs.size()));
    spec.zone = ZoneId(zone);
    spec.max_streams = streams;
    if (!plain) {
      spec.models = {ModelId("model")};
      spec.prefill_tokens_per_second = kPrefillSpeed;
      spec.decode_tokens_per_second = 1 / kStepSeconds;
      spec.speeds_estimated = true;
      spec.kv_tokens = 518180;
    }
    factors_[spec.id] = factor;
    specs.push_back(spec);
  }

  void Configure() { Deliver(ServersConfigured{specs}); }

  // Sends requests of `kinds` for `span`. `zone_of` draws a request's zone.
  void Run(absl::Duration span, const std::vector<Kind>& kinds,
           const std::function<std::string(absl::Time)>& zone_of) {
    const absl::Time end = now + span;
    for (const Kind& kind : kinds) {
      std::exponential_distribution<double> gap(kind.per_second);
      for (absl::Time at = now + absl::Seconds(gap(random)); at < end;
           at += absl::Seconds(gap(random))) {
        Schedule(at, [this, kind, zone_of] { Send(kind, zone_of(now)); });
      }
    }
    while (!agenda_.empty() && agenda_.begin()->first <= end) RunNext();
    now = end;
  }

  // Returns the results since the last call.
  Served TakeServed() {
    Served result = served_;
    const int finished = std::max(1, finished_);
    result.first_seconds /= finished;
    result.finish_seconds /= finished;
    served_ = {};
    finished_ = 0;
    return result;
  }

  Dispatcher dispatcher;
  absl::Time now = absl::FromUnixSeconds(1000);
  std::mt19937 random{7};
  std::vector<ServerSpec> specs;
  // Returns how slow a server's machine is at a time.
  std::function<double(const ServerId&, absl::Time)> slowdown =
      [](const ServerId&, absl::Time) { return 1.0; };
  bool states_slowdown = false;  // Whether responses state it.

 private:
  static constexpr double kPrefillSpeed = 112000;
  static constexpr double kStepSeconds = 0.00323;

  struct Attempt {
    Kind kind;
    Request request;
    absl::Time first_at;
  };

  void Schedule(absl::Time at, std::function<void()> action) {
    agenda_.emplace(at, std::move(action));
  }

  void RunNext() {
    const auto next = agenda_.begin();
    now = next->first;
    const std::function<void()> action = next->second;
    agenda_.erase(next);
    action();
  }

  void Send(const Kind& kind, const std::string& zone) {
    Attempt attempt;
    attempt.kind = kind;
    Request& request = attempt.request;
    request.id = RequestId("r" + std::to_string(next_id_++));
    request.host = EntryHostId("host-" + zone);
    request.zone = ZoneId(zone);
    request.workspace = WorkspaceId("w");
    if (kind.prompt > 0) request.model = ModelId("model");
    request.arrival = now;
    request.deadline = now + kind.deadline;
    request.prompt_tokens = kind.prompt;
    request.expected_output_tokens = kind.output;
    if (kind.prompt > 0) request.first_token_due = now + kind.objective;
    attempts_[request.id] = attempt;
    Deliver(RequestArrived{attempt.request});
  }

  void Deliver(const Event& event) {
    std::vector<Decision> decisions;
    dispatcher.Handle(event, now, &decisions);
    for (const Decision& decision : decisions) {
      if (const auto* grant = std::get_if<Grant>(&decision)) Start(*grant);
      if (std::holds_alternative<Refuse>(decision)) ++served_.refused;
    }
    const absl::Time wakeup = dispatcher.NextWakeup();
    if (wakeup >= next_wakeup_ && next_wakeup_ > now) return;
    if (wakeup == absl::InfiniteFuture()) return;
    next_wakeup_ = std::max(wakeup, now + absl::Milliseconds(1));
    Schedule(next_wakeup_, [this] { Deliver(TimePassed{}); });
  }

  void Start(const Grant& grant) {
    Attempt& attempt = attempts_.at(grant.id);
    const auto spec = std::find_if(
        specs.begin(), specs.end(),
        [&](const ServerSpec& server) { return server.id == grant.server; });
    ++served_.granted;
    served_.crossed += spec->zone != attempt.request.zone ? 1 : 0;
    const double factor = factors_.at(grant.server);
    const double slow = factor * slowdown(grant.server, now);
    if (attempt.kind.prompt == 0) {
      attempt.first_at = now + absl::Seconds(attempt.kind.call_seconds * slow);
      return Schedule(attempt.first_at, [this, grant] { Finish(grant); });
    }
    absl::Time& prompt_done = prompt_done_[grant.server];
    prompt_done = std::max(now, prompt_done) +
                  absl::Seconds(slow * attempt.kind.prompt / kPrefillSpeed);
    attempt.first_at = prompt_done + absl::Seconds(slow * kStepSeconds);
    Schedule(attempt.first_at, [this, grant] {
      Deliver(TokensStreamed{.id = grant.id,
                             .output_tokens = 1,
                             .machine_slowdown = Stated(grant.server)});
    });
    Schedule(attempt.first_at +
                 absl::Seconds(slow * kStepSeconds * (attempt.kind.output - 1)),
             [this, grant] { Finish(grant); });
  }

  std::optional<double> Stated(const ServerId& server) const {
    if (!states_slowdown) return std::nullopt;
    return slowdown(server, now);
  }

  void Finish(const Grant& grant) {
    const Attempt attempt = attempts_.at(grant.id);
    attempts_.erase(grant.id);
    ++finished_;
    const absl::Duration first = attempt.first_at - attempt.request.arrival;
    served_.in_time += first <= attempt.kind.objective ? 1 : 0;
    served_.first_seconds += absl::ToDoubleSeconds(first);
    served_.finish_seconds +=
        absl::ToDoubleSeconds(now - attempt.request.arrival);
    Deliver(RequestFinished{.id = grant.id,
                            .output_tokens = attempt.kind.output,
                            .machine_slowdown = Stated(grant.server)});
  }

  std::multimap<absl::Time, std::function<void()>> agenda_;
  std::map<ServerId, double> factors_;
  std::map<ServerId, absl::Time> prompt_done_;
  std::map<RequestId, Attempt> attempts_;
  Served served_;
  int finished_ = 0;
  int next_id_ = 0;
  absl::Time next_wakeup_ = absl::InfinitePast();
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_TIMED_SITE_TEST_H_
