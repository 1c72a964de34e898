#include "gateway/forwarder.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/forwarding.h"

namespace gentianlb::gateway {
namespace {

using schedule::EndKind;

// The part of the objective by which the first event is asked of a server; the
// rest is for the way back and for what predictions miss.
constexpr double kObjectivePart = 0.9;

// Of what a workspace may use at once, the part that is kept for more urgent
// requests when all that it asks for is more urgent; else in proportion. A
// limit has no order of its own: under it cheap and long kinds would be let in
// as they come while urgent ones are refused. Half is more than a second of a
// workspace's usual use.
constexpr double kKeptForUrgent = 0.5;

}  // namespace

Forwarder::Forwarder(ForwarderOptions options, ServerPort servers,
                     TimerService* timers, std::function<absl::Time()> clock,
                     const Directory* directory, Demand* demand,
                     metrics::Metrics* metrics)
    : options_(std::move(options)),
      servers_(std::move(servers)),
      timers_(timers),
      clock_(std::move(clock)),
      directory_(directory),
      demand_(demand),
      metrics_(metrics),
      quotas_(options_.limit_tolerance_tokens),
      // Names of one start differ from those of the start before, which
      // dispatchers on other hosts may still know.
      next_dispatch_(static_cast<std::uint64_t>(absl::ToUnixMicros(clock_()))) {
}

Forwarder::~Forwarder() {
  for (auto& [id, exchange] : exchanges_) {
    timers_->Cancel(exchange->deadline_timer);
  }
  for (auto& [service, queue] : queues_) timers_->Cancel(queue.wakeup);
}

std::int64_t Forwarder::version() const {
  return index_ == nullptr ? 0 : index_->configuration().version;
}

void Forwarder::SetConfiguration(Configuration configuration) {
  if (index_ != nullptr && configuration.version <= version()) {
    LOG(INFO) << "event=configuration-old version=" << configuration.version
              << " in_force=" << version();
    return;
  }
  LOG(INFO) << "event=configuration-in-force version=" << configuration.version
            << " before=" << version()
            << " routes=" << configuration.routes.size();
  index_ = std::make_shared<const RouteIndex>(std::move(configuration));
  quotas_.Configure(index_->configuration().workspaces, clock_());
  ServersChanged();
}

void Forwarder::ServersChanged() {
  if (index_ == nullptr) return;
  for (const Service& service : index_->configuration().services) {
    ServiceQueue& queue = QueueOf(service.id);
    queue.retries().SetMaxSavedRetries(options_.retry_burst / demand_->hosts());
    std::vector<schedule::Decision> decisions;
    queue.SetServers(service, directory_->ServersOf(service.id),
                     demand_->hosts(), clock_(), &decisions);
    CarryOut(decisions);
    ArmWakeup(service.id, queue);
    if (groups_ != nullptr) {
      groups_->SetServers(service, directory_->ServersOf(service.id));
    }
  }
}

ServiceQueue& Forwarder::QueueOf(const ServiceId& service) {
  return queues_.try_emplace(service, options_.queue).first->second;
}

Exchange* Forwarder::Find(ExchangeId id) {
  const auto found = exchanges_.find(id);
  return found == exchanges_.end() ? nullptr : found->second.get();
}

// --- Arrival -----------------------------------------------------------------

void Forwarder::Accept(CallerRequest request,
                       std::shared_ptr<http::Responder> responder) {
  const ExchangeId id = next_id_++;
  auto owned = std::make_unique<Exchange>();
  Exchange& exchange = *owned;
  exchange.id = id;
  exchange.arrival = clock_();
  exchange.index = index_;
  exchange.request = std::make_shared<const CallerRequest>(std::move(request));
  exchange.responder = std::move(responder);
  exchange.events = EventSplitter(exchange.request->last_event);
  if (index_ != nullptr) {
    exchange.route =
        index_->FindRoute(exchange.request->host, exchange.request->path);
    exchange.workspace = index_->FindWorkspace(exchange.request->key);
  }
  exchanges_.emplace(id, std::move(owned));
  if (const auto error = Check(exchange)) {
    return Refuse(exchange, *error, kComeBackSoon);
  }
  exchange.tier = TierOf(*exchange.route, exchange.workspace);
  const absl::Duration time_left =
      std::min(exchange.request->time_left, exchange.route->timeout);
  exchange.deadline = exchange.arrival + time_left;
  if (const auto wait = TakeQuota(exchange)) {
    return Refuse(exchange, {Code::kRateLimited, "over the workspace's tokens"},
                  *wait);
  }
  const ServiceId& service =
      ChooseService(*exchange.route, absl::HashOf(exchange.request->id.str()));
  exchange.service = index_->FindService(service);
  if (exchange.service == nullptr) {
    return Refuse(exchange, {Code::kNoServer, "the service is not configured"},
                  kComeBackSoon);
  }
  metrics_->CountAccepted(exchange.tier);
  QueueOf(service).retries().OnCall();
  exchange.deadline_timer =
      timers_->At(exchange.deadline, [this, id](absl::Time) {
        if (Exchange* late = Find(id)) DeadlinePassed(*late);
      });
  const auto answer = exchange.responder;
  Enqueue(exchange, ServerId());
  // Last, since a caller that has left already is told of at once.
  answer->OnDisconnect([this, id] {
    if (Exchange* left = Find(id)) CallerGone(*left);
  });
}

std::optional<Error> Forwarder::Check(const Exchange& exchange) const {
  if (index_ == nullptr) {
    return Error{Code::kNotReady, "no configuration is known yet"};
  }
  if (exchange.request->id.empty()) {
    return Error{Code::kMalformedRequest, "the request has no id"};
  }
  if (exchange.route == nullptr) {
    return Error{Code::kUnknownPath, "no route begins this path"};
  }
  const bool has_keys = !index_->configuration().workspaces.empty();
  if (exchange.route->needs_key && has_keys && exchange.workspace == nullptr) {
    return Error{Code::kBadToken, "the key is not known"};
  }
  if (exchange.route->services.empty()) {
    return Error{Code::kNoServer, "the route names no service"};
  }
  const absl::Time until =
      exchange.is_stream() ? drain_.no_streams_from : drain_.no_requests_from;
  if (clock_() >= until) {
    return Error{Code::kDraining, "this host is about to stop"};
  }
  return std::nullopt;
}

std::optional<absl::Duration> Forwarder::TakeQuota(Exchange& exchange) {
  if (exchange.workspace == nullptr) return std::nullopt;
  const auto& prompt = exchange.request->prompt;
  const int tokens = prompt ? prompt->prompt_tokens + prompt->max_output_tokens
                            : exchange.workspace->quota.tokens_without_count;
  const NameHash workspace = HashName(exchange.workspace->id.str());
  demand_->Asked(workspace, exchange.tier.rank, tokens, clock_());
  const double kept =
      kKeptForUrgent *
      demand_->PartAbove(workspace, exchange.tier.rank, clock_());
  const auto wait = quotas_.Take(workspace, tokens, kept, clock_());
  if (!wait) {
    demand_->LetThrough(workspace, tokens);
    exchange.tokens_taken = tokens;
  }
  return wait;
}

void Forwarder::GiveBackQuota(Exchange& exchange) {
  if (exchange.tokens_taken <= 0) return;
  const NameHash workspace = HashName(exchange.workspace->id.str());
  quotas_.GiveBack(workspace, exchange.tokens_taken, clock_());
  demand_->GivenBack(workspace, exchange.tokens_taken);
  exchange.tokens_taken = 0;
}

schedule::Request Forwarder::Describe(const Exchange& exchange,
                                      const ServerId& avoid) const {
  schedule::Request described;
  described.id = exchange.attempt.dispatch_id;
  described.host = options_.host;
  if (exchange.workspace != nullptr) {
    described.workspace = exchange.workspace->id;
  }
  described.tier = exchange.tier;
  described.arrival = exchange.arrival;
  described.deadline = exchange.deadline;
  described.body_bytes =
      static_cast<std::int64_t>(exchange.request->body.size());
  described.avoid = avoid;
  // Once it is missed, or the first event is out, only the deadline counts.
  const absl::Time due =
      exchange.arrival + kObjectivePart * exchange.route->objective;
  if (!exchange.answering && due > clock_()) described.first_token_due = due;
  const auto& prompt = exchange.request->prompt;
  if (!exchange.service->engine || !prompt) return described;
  described.model = prompt->model;
  described.prompt_tokens = prompt->prompt_tokens;
  described.max_output_tokens = prompt->max_output_tokens;
  described.expected_output_tokens = prompt->expected_output_tokens;
  described.parts = prompt->parts;
  return described;
}

void Forwarder::Enqueue(Exchange& exchange, const ServerId& avoid) {
  exchange.attempt = {};
  exchange.attempt.dispatch_id = RequestId(absl::StrCat(next_dispatch_++));
  exchange.body.clear();
  exchange.events.Restart();
  by_dispatch_[exchange.attempt.dispatch_id] = exchange.id;
  schedule::Request described = Describe(exchange, avoid);
  if (exchange.service->engine && described.model.empty()) {
    described.model = QueueOf(exchange.service->id).default_model();
  }
  Tell(exchange.service->id, schedule::RequestArrived{std::move(described)});
}

// --- Decisions ---------------------------------------------------------------

void Forwarder::Tell(const ServiceId& service, const schedule::Event& event) {
  if (groups_ != nullptr && groups_->Tell(service, event)) return;
  TellOwn(service, event);
}

void Forwarder::Decide(const schedule::Decision& decision) {
  std::visit([this](const auto& one) { On(one); }, decision);
}

void Forwarder::TellOwn(const ServiceId& service,
                        const schedule::Event& event) {
  ServiceQueue& queue = QueueOf(service);
  std::vector<schedule::Decision> decisions;
  queue.Handle(event, clock_(), &decisions);
  CarryOut(decisions);
  ArmWakeup(service, queue);
}

void Forwarder::CarryOut(const std::vector<schedule::Decision>& decisions) {
  for (const schedule::Decision& decision : decisions) Decide(decision);
}

void Forwarder::ArmWakeup(const ServiceId& service, ServiceQueue& queue) {
  const absl::Time next = queue.dispatcher().NextWakeup();
  if (next == queue.wakeup_at) return;
  timers_->Cancel(queue.wakeup);
  queue.wakeup = 0;
  queue.wakeup_at = next;
  if (next == absl::InfiniteFuture()) return;
  queue.wakeup = timers_->At(next, [this, service](absl::Time) {
    QueueOf(service).wakeup_at = absl::InfinitePast();
    Tell(service, schedule::TimePassed{});
  });
}

void Forwarder::On(const schedule::Grant& grant) {
  const auto found = by_dispatch_.find(grant.id);
  if (found == by_dispatch_.end()) return;
  Exchange* exchange = Find(found->second);
  if (exchange == nullptr) return;
  const ServerEntry* server =
      QueueOf(exchange->service->id).FindServer(grant.server);
  if (server == nullptr || server->draining) {
    // It left between the decision and now, or the dispatcher, on another host,
    // has not heard of it. A server that is about to stop would cut the answer.
    return Tell(exchange->service->id,
                schedule::RequestEnded{grant.id, EndKind::kNotSent, 0, 0});
  }
  Send(*exchange, *server);
}

void Forwarder::On(const schedule::Refuse& refusal) {
  const auto found = by_dispatch_.find(refusal.id);
  if (found == by_dispatch_.end()) return;
  Exchange* exchange = Find(found->second);
  by_dispatch_.erase(found);
  if (exchange == nullptr) return;
  exchange->attempt.dispatch_id = RequestId();
  Refuse(*exchange, {refusal.code, "by the dispatcher"}, refusal.retry_after);
}

void Forwarder::On(const schedule::Cancel& cancel) {
  const auto found = by_dispatch_.find(cancel.id);
  if (found == by_dispatch_.end()) return;
  if (Exchange* exchange = Find(found->second)) {
    GiveUp(*exchange, {Code::kCancelledRunning, "by the dispatcher"});
  }
}

void Forwarder::Drain(const DrainPlan& plan) {
  draining_ = true;
  drain_ = plan;
}

}  // namespace gentianlb::gateway
