#include "gateway/forwarder.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/content_hash.h"
#include "gateway/forwarder_internal.h"

namespace gentianlb::gateway {
namespace {

using schedule::RequestOutcome;

// Fraction of the objective within which the server must send the first event.
// The rest covers transit to the caller and prediction errors.
constexpr double kServerObjectiveShare = 0.9;

// Fraction of a workspace's burst that is reserved for higher priorities when
// all of its demand has a higher priority; otherwise less in proportion. A
// limit alone has no order: cheap and long requests would be admitted as they
// arrive while urgent ones are refused. Half a burst is more than a second of a
// workspace's usual use.
constexpr double kReservedForHigherPriority = 0.5;

ForwarderOptions WithSuspects(ForwarderOptions options) {
  options.queue = gateway::WithSuspects(std::move(options.queue));
  return options;
}

}  // namespace

Forwarder::Forwarder(ForwarderOptions options, ServerPort servers,
                     TimerService* timers, std::function<absl::Time()> clock,
                     const Directory* directory, Demand* demand,
                     metrics::Metrics* metrics)
    : options_(WithSuspects(std::move(options))),
      servers_(std::move(servers)),
      timers_(timers),
      clock_(std::move(clock)),
      directory_(directory),
      demand_(demand),
      metrics_(metrics),
      quotas_(options_.limit_tolerance_tokens),
      // Ids must differ from those before a restart, which dispatchers on other
      // hosts may still know.
      next_dispatch_id_(
          static_cast<std::uint64_t>(absl::ToUnixMicros(clock_()))) {}

Forwarder::~Forwarder() {
  for (auto& [id, exchange] : exchanges_) {
    timers_->Cancel(exchange->deadline_timer);
    timers_->Cancel(exchange->caller_check_timer);
    timers_->Cancel(exchange->attempt.unidentified_timer);
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
  OnServersChanged();
}

void Forwarder::OnServersChanged() {
  cooldowns_.ForgetRestarted(*directory_);
  if (index_ == nullptr) return;
  for (const Service& service : index_->configuration().services) {
    for (const ServerPool& pool : PoolsOf(service.id)) SetPool(service, pool);
  }
  if (rollouts_ != nullptr) LeaveForbiddenPools();
}

void Forwarder::LeaveForbiddenPools() {
  std::vector<ExchangeId> waiting;
  for (const auto& [id, exchange] : exchanges_) {
    if (exchange->service == nullptr || exchange->sends.open()) continue;
    if (exchange->finds_version) continue;
    if (!rollouts_->MaySend(exchange->service->id, exchange->pool)) {
      waiting.push_back(id);
    }
  }
  // A decision on one of them may finish others.
  for (const ExchangeId id : waiting) {
    if (Exchange* exchange = Find(id)) MoveToOldServers(*exchange);
  }
}

std::vector<ServerPool> Forwarder::PoolsOf(const ServiceId& service) {
  std::vector<ServerEntry> servers = directory_->ServersOf(service);
  if (rollouts_ != nullptr) {
    return rollouts_->PoolsOf(service, servers, clock_());
  }
  return {{service, std::move(servers)}};
}

void Forwarder::SetPool(const Service& service, const ServerPool& pool) {
  Service pool_service = service;
  pool_service.id = pool.id;
  ServiceQueue& queue = QueueOf(pool.id);
  queue.retries().SetMaxSavedRetries(options_.retry_burst / demand_->hosts());
  std::vector<schedule::Decision> decisions;
  const int hosts = demand_->hosts();
  queue.SetServers(pool_service, pool.servers,
                   {.hosts = hosts,
                    .limit_share = LimitShare(static_cast<std::size_t>(hosts))},
                   clock_(), &decisions);
  ApplyDecisions(decisions);
  ArmWakeup(pool.id, queue);
  if (groups_ != nullptr) groups_->SetServers(pool_service, pool.servers);
}

std::uint32_t Forwarder::OpenRequestsOf(const ServiceId& pool) const {
  return static_cast<std::uint32_t>(std::count_if(
      exchanges_.begin(), exchanges_.end(),
      [&](const auto& item) { return item.second->pool == pool; }));
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
  exchange.splitter = EventSplitter(exchange.request->last_event);
  if (index_ != nullptr) {
    exchange.route =
        index_->FindRoute(exchange.request->host, exchange.request->path);
    exchange.workspace = index_->FindWorkspace(exchange.request->key);
  }
  if (exchange.route != nullptr) {
    exchange.deadline = exchange.arrival + std::min(exchange.request->time_left,
                                                    exchange.route->timeout);
  }
  exchange.held = std::make_unique<HeldBytes>(
      options_.budget, HeldKind::kAnswer, [this, id] {
        Exchange* largest = Find(id);
        if (largest == nullptr) return;
        BreakOffAnswer(*largest, "this host holds as much as it may");
      });
  exchanges_.emplace(id, std::move(owned));
  if (const auto error = Check(exchange)) {
    return Refuse(exchange, *error, kShortRetryAfter);
  }
  exchange.tier = TierOf(*exchange.route, exchange.workspace);
  exchange.content = HashContent(
      *exchange.request,
      exchange.workspace == nullptr ? WorkspaceId() : exchange.workspace->id);
  if (!TakeQuota(exchange)) {
    return Refuse(exchange, {Code::kRateLimited, "over the workspace's tokens"},
                  exchange.over_limit->retry_after);
  }
  // All hosts choose alike, so that a stream is taken up where it began.
  const ServiceId& service = ChooseService(*exchange.route, exchange.stream());
  exchange.service = index_->FindService(service);
  if (exchange.service == nullptr) {
    return Refuse(exchange, {Code::kNoServer, "the service is not configured"},
                  kShortRetryAfter);
  }
  if (exchange.service->engine && exchange.request->prompt) {
    exchange.parts = PartsAt(service, *exchange.request->prompt);
  }
  metrics_->CountAccepted(exchange.tier);
  QueueOf(service).retries().OnCall();
  exchange.deadline_timer =
      timers_->At(exchange.deadline, [this, id](absl::Time) {
        if (Exchange* expired = Find(id)) OnDeadlinePassed(*expired);
      });
  if (exchange.is_stream()) {
    ScheduleCallerCheck(exchange,
                        exchange.arrival + CallerEventTimeout(*exchange.route));
  }
  const auto kept_responder = exchange.responder;
  RequestId request_id = exchange.request->id;
  std::string route = exchange.route->name;
  exchange.pool = rollouts_ == nullptr
                      ? service
                      : rollouts_->ChoosePool(service, exchange.request->id);
  if (streams_ != nullptr && exchange.request->takes_up_stream()) {
    FindVersion(exchange);
  } else {
    Enqueue(exchange, ServerId());
  }
  // Last, because it calls back at once if the caller has disconnected already.
  kept_responder->OnDisconnect(
      [this, id, request = std::move(request_id), route = std::move(route)] {
        if (Exchange* disconnected = Find(id)) {
          return OnCallerDisconnected(*disconnected);
        }
        OnUndelivered(request, route);
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
  if (!drain_.Accepts(exchange.arrival, exchange.deadline)) {
    return Error{
        Code::kDraining,
        absl::StrCat("this host stops in ",
                     Milliseconds(drain_.answer_all - exchange.arrival),
                     " ms, the request may take ",
                     Milliseconds(exchange.deadline - exchange.arrival))};
  }
  return std::nullopt;
}

bool Forwarder::TakeQuota(Exchange& exchange) {
  if (exchange.workspace == nullptr) return true;
  const auto& prompt = exchange.request->prompt;
  const int tokens = prompt ? prompt->prompt_tokens + prompt->max_output_tokens
                            : exchange.workspace->quota.tokens_without_count;
  const NameHash workspace = HashName(exchange.workspace->id.str());
  demand_->RecordRequest(workspace, exchange.tier.rank, tokens, clock_());
  const double reserve =
      kReservedForHigherPriority *
      demand_->HigherPriorityShare(workspace, exchange.tier.rank, clock_());
  exchange.over_limit = quotas_.Take(workspace, tokens, reserve, clock_());
  if (exchange.over_limit) return false;
  demand_->RecordAdmitted(workspace, tokens);
  exchange.quota_tokens = tokens;
  return true;
}

void Forwarder::RefundQuota(Exchange& exchange) {
  if (exchange.quota_tokens <= 0) return;
  const NameHash workspace = HashName(exchange.workspace->id.str());
  quotas_.Refund(workspace, exchange.quota_tokens, clock_());
  demand_->RecordRefund(workspace, exchange.quota_tokens);
  exchange.quota_tokens = 0;
}

schedule::Request Forwarder::MakeDispatchRequest(const Exchange& exchange,
                                                 const ServerId& avoid) const {
  schedule::Request request;
  request.id = exchange.attempt.dispatch_id;
  request.host = options_.host;
  request.zone = options_.zone;
  if (exchange.workspace != nullptr) {
    request.workspace = exchange.workspace->id;
  }
  request.tier = exchange.tier;
  request.arrival = exchange.arrival;
  request.deadline = exchange.deadline;
  request.body_bytes = static_cast<std::int64_t>(exchange.request->body.size());
  request.avoid = avoid;
  request.content = exchange.content;
  request.version = exchange.stream_version;
  // After the objective has passed or the first event was sent, only the
  // deadline counts.
  const absl::Time due =
      exchange.arrival + kServerObjectiveShare * exchange.route->objective;
  if (!exchange.responding && due > clock_()) request.first_token_due = due;
  if (exchange.is_stream()) request.max_pause = exchange.route->max_pause;
  const auto& prompt = exchange.request->prompt;
  if (!exchange.service->engine || !prompt) return request;
  request.model = prompt->model;
  request.prompt_tokens = prompt->prompt_tokens;
  request.max_output_tokens = prompt->max_output_tokens;
  request.expected_output_tokens = prompt->expected_output_tokens;
  request.parts = exchange.parts;
  return request;
}

void Forwarder::Enqueue(Exchange& exchange, const ServerId& avoid) {
  exchange.attempt = {};
  exchange.attempt.dispatch_id = RequestId(absl::StrCat(next_dispatch_id_++));
  Deallocate(exchange.body);
  exchange.splitter.DiscardPartial();
  CountHeldBytes(exchange);
  exchange_by_dispatch_id_[exchange.attempt.dispatch_id] = exchange.id;
  schedule::Request request = MakeDispatchRequest(exchange, avoid);
  if (exchange.service->engine && request.model.empty()) {
    request.model = QueueOf(exchange.pool).default_model();
  }
  NotifyDispatcher(exchange.pool, schedule::RequestArrived{std::move(request)});
}

// --- Decisions ---------------------------------------------------------------

void Forwarder::NotifyDispatcher(const ServiceId& service,
                                 const schedule::Event& event) {
  if (groups_ != nullptr && groups_->OnEvent(service, event)) return;
  NotifyLocalDispatcher(service, event);
}

void Forwarder::ApplyDecision(const schedule::Decision& decision) {
  std::visit([this](const auto& item) { Apply(item); }, decision);
}

void Forwarder::NotifyLocalDispatcher(const ServiceId& service,
                                      const schedule::Event& event) {
  ServiceQueue& queue = QueueOf(service);
  std::vector<schedule::Decision> decisions;
  queue.Handle(event, clock_(), &decisions);
  ApplyDecisions(decisions);
  ArmWakeup(service, queue);
}

void Forwarder::ApplyDecisions(
    const std::vector<schedule::Decision>& decisions) {
  for (const schedule::Decision& decision : decisions) ApplyDecision(decision);
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
    NotifyDispatcher(service, schedule::TimePassed{});
  });
}

void Forwarder::Apply(const schedule::Grant& grant) {
  const auto found = exchange_by_dispatch_id_.find(grant.id);
  if (found == exchange_by_dispatch_id_.end()) return;
  Exchange* exchange = Find(found->second);
  if (exchange == nullptr) return;
  if (!exchange->sends.MayBegin(exchange->safe_to_retry())) {
    return LogIgnored(*exchange, "grant");
  }
  if (rollouts_ != nullptr &&
      !rollouts_->MaySend(exchange->service->id, exchange->pool)) {
    return MoveToOldServers(*exchange);
  }
  LogPauses(grant);
  exchange->attempt.failed_paths = 0;
  if (IsWithheld(grant.server)) return Withhold(*exchange, grant.server);
  const ServerEntry* server = FindGranted(*exchange, grant.server);
  if (server != nullptr && SendOnBestPath(*exchange, *server)) return;
  NotifyDispatcher(
      exchange->pool,
      schedule::RequestFinished{grant.id, RequestOutcome::kNotSent, 0, 0});
}

void Forwarder::MoveToOldServers(Exchange& exchange) {
  if (!exchange.stream_version.empty()) return RefuseStream(exchange);
  LOG(INFO) << "event=pool-left request=" << exchange.request->id
            << " pool=" << exchange.pool;
  CancelAttempt(exchange);
  exchange.pool = exchange.service->id;
  Enqueue(exchange, ServerId());
}

void Forwarder::Apply(const schedule::Refuse& refusal) {
  const auto found = exchange_by_dispatch_id_.find(refusal.id);
  if (found == exchange_by_dispatch_id_.end()) return;
  Exchange* exchange = Find(found->second);
  // The dispatcher must still learn of the end of the send.
  if (exchange != nullptr && exchange->sends.open()) {
    return LogIgnored(*exchange, "refusal");
  }
  exchange_by_dispatch_id_.erase(found);
  if (exchange == nullptr) return;
  exchange->attempt.dispatch_id = RequestId();
  if (refusal.code == Code::kNoServer && !exchange->stream_version.empty()) {
    return RefuseStream(*exchange);
  }
  // A few new servers may be full while the old ones have room.
  const bool any_version = exchange->stream_version.empty();
  if (any_version && rollouts_ != nullptr &&
      refusal.code != Code::kEndsServers) {
    const ServiceId other = rollouts_->ChooseOtherPool(
        exchange->service->id, exchange->pool, exchange->request->id);
    if (other != exchange->pool) return MoveToOldServers(*exchange);
  }
  if (refusal.code == Code::kServersCoolingDown) RefundRetry(*exchange);
  Refuse(*exchange, {refusal.code, "by the dispatcher"}, refusal.retry_after);
}

void Forwarder::Apply(const schedule::Cancel& cancel) {
  const auto found = exchange_by_dispatch_id_.find(cancel.id);
  if (found == exchange_by_dispatch_id_.end()) return;
  if (Exchange* exchange = Find(found->second)) {
    FailRequest(*exchange, {Code::kCancelledRunning, "by the dispatcher"});
  }
}

void Forwarder::LogIgnored(const Exchange& exchange, std::string_view kind) {
  LOG(ERROR) << "event=decision-ignored request=" << exchange.request->id
             << " kind=" << kind << " open=" << exchange.sends.open()
             << " may_have_run=" << exchange.sends.may_have_run()
             << " sending=" << exchange.attempts << " server="
             << (exchange.attempt.server ? exchange.attempt.server->id.str()
                                         : "-");
  metrics_->CountIgnoredDecision(kind);
}

void Forwarder::Drain(const DrainPlan& plan) {
  draining_ = true;
  drain_ = plan;
}

void Forwarder::AnswerAll() {
  LOG(INFO) << "event=answering-all open=" << exchanges_.size();
  // Those that wait come first: what ends at a server makes room for them.
  std::vector<ExchangeId> waiting;
  std::vector<ExchangeId> at_servers;
  for (const auto& [id, exchange] : exchanges_) {
    (exchange->sends.open() ? at_servers : waiting).push_back(id);
  }
  for (const std::vector<ExchangeId>* open : {&waiting, &at_servers}) {
    for (const ExchangeId id : *open) {
      Exchange* exchange = Find(id);
      if (exchange != nullptr && !exchange->responding) EndForExit(*exchange);
    }
  }
}

void Forwarder::EndForExit(Exchange& exchange) {
  if (!exchange.sends.MayPromiseNotRun()) {
    return FailRequest(exchange, {Code::kCancelledRunning, "this host stops"});
  }
  Refuse(exchange, {Code::kDraining, "this host stops"}, kShortRetryAfter);
}

}  // namespace gentianlb::gateway
