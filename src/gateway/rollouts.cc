#include "gateway/rollouts.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {
namespace {

// How long a status stays valid after it was known to be the newest one.
constexpr absl::Duration kStatusValidity = absl::Seconds(1);

// Older reports of the hosts don't count.
constexpr absl::Duration kReportValidity = absl::Seconds(1);

// Time for an own or a peer's write to arrive here as a row.
constexpr absl::Duration kWriteInterval = absl::Milliseconds(500);

// The table service may serve other hosts while it is silent to all
// aggregators. Hosts then write one after the other, as each attempt is a call.
constexpr absl::Duration kTakeoverAfter = absl::Milliseconds(600);
constexpr absl::Duration kTakeoverSpread = absl::Seconds(1);

// Returns the sums of all routes of one version.
RouteEvidence TotalOf(const std::vector<RouteEvidence>& evidence, bool is_new) {
  RouteEvidence total;
  for (const RouteEvidence& item : evidence) {
    if (item.is_new == is_new) total += item;
  }
  return total;
}

}  // namespace

Rollouts::Rollouts(double max_exposure, RolloutHooks hooks)
    : max_exposure_(max_exposure), hooks_(std::move(hooks)) {}

Rollouts::~Rollouts() = default;

bool Rollouts::has_orders() const {
  return std::any_of(services_.begin(), services_.end(), [](const auto& item) {
    return item.second.order.has_value();
  });
}

void Rollouts::SetOrder(const ServiceId& service,
                        const std::optional<RolloutOrder>& order,
                        absl::Time now) {
  ServiceState& state = services_[service];
  if (state.order == order) return;
  const std::string previous = state.order ? state.order->target : "";
  const bool completed = state.order && IsOf(state.status, *state.order) &&
                         state.status->state == RolloutState::kCompleted;
  if (completed && (!order || order->target != previous)) {
    state.known.Replace(previous);
  }
  state.order = order;
  state.order_at = now;
  state.evidence.clear();
  state.merged = RolloutReport();
  state.merged_at = absl::InfinitePast();
  state.judge = RolloutJudge();
  if (order) state.targets.insert(order->target);
  LOG(INFO) << "event=rollout-order service=" << service
            << " target=" << (order ? order->target : "-") << " duration_ms="
            << (order ? absl::ToInt64Milliseconds(order->duration) : 0)
            << " revision=" << (order ? order->revision : 0);
  UpdateStages(now);
  hooks_.on_pools();
}

void Rollouts::SetStatus(const ServiceId& service,
                         const std::optional<RolloutStatus>& status,
                         std::uint64_t version, absl::Time now) {
  ServiceState& state = services_[service];
  if (version != 0 && version < state.status_version) return;
  state.status = status;
  state.status_version = version;
  state.status_at = now;
  state.write_from = now;
  if (status) {
    LOG(INFO) << "event=rollout-status service=" << service
              << " target=" << status->target
              << " state=" << NameOf(status->state)
              << " stage=" << NameOf(status->stage)
              << " order=" << status->order << " version=" << version;
  }
  UpdateStages(now);
}

std::vector<ServiceId> Rollouts::ServicesWithStatus() const {
  std::vector<ServiceId> services;
  for (const auto& [service, state] : services_) {
    if (state.status) services.push_back(service);
  }
  return services;
}

// --- Where requests go -------------------------------------------------------

bool Rollouts::IsRunning(const ServiceState& state) const {
  if (!state.order) return false;
  return !IsOf(state.status, *state.order) ||
         state.status->state == RolloutState::kRunning;
}

RolloutStage Rollouts::StageOf(const ServiceState& state) const {
  if (!state.order || state.new_servers == 0) return RolloutStage::kNone;
  const bool decided = IsOf(state.status, *state.order);
  if (decided && state.status->state == RolloutState::kRolledBack) {
    return RolloutStage::kNone;
  }
  if (state.judge.verdict() == VersionVerdict::kBad) return RolloutStage::kNone;
  // The old servers stop when the roll-out is completed, which hosts may learn
  // before they read the status.
  if (state.old_servers == 0) return RolloutStage::kAll;
  if (!decided) return RolloutStage::kNone;
  if (state.status->state == RolloutState::kCompleted) {
    return RolloutStage::kAll;
  }
  if (now_ - current_at_ > kStatusValidity) return RolloutStage::kNone;
  return state.status->stage;
}

void Rollouts::UpdateStages(absl::Time now) {
  now_ = std::max(now_, now);
  bool changed = false;
  for (auto& [service, state] : services_) {
    const RolloutStage stage = StageOf(state);
    if (stage == state.stage) continue;
    LOG(INFO) << "event=rollout-stage service=" << service
              << " target=" << state.order.value_or(RolloutOrder()).target
              << " stage=" << NameOf(stage) << " before=" << NameOf(state.stage)
              << " verdict=" << NameOf(state.judge.verdict())
              << " status_age_ms="
              << absl::ToInt64Milliseconds(now_ - current_at_)
              << " old_servers=" << state.old_servers
              << " new_servers=" << state.new_servers;
    state.stage = stage;
    changed = true;
  }
  if (changed) hooks_.on_pools();
}

std::vector<ServerPool> Rollouts::PoolsOf(
    const ServiceId& service, const std::vector<ServerEntry>& servers,
    absl::Time now) {
  ServiceState& state = services_[service];
  if (allows_all_versions_) state.known.AllowAll();
  const std::string target = state.order ? state.order->target : "";
  VersionSplit split = state.known.Split(servers, target);
  state.old_servers = static_cast<int>(split.old_servers.size());
  state.new_servers = static_cast<int>(split.new_servers.size());
  state.stage = StageOf(state);
  for (const ServerEntry& server : split.new_servers) {
    state.warm_at.try_emplace(server.id, now + server.cold_left);
  }
  std::vector<ServerPool> pools = {{service, std::move(split.old_servers)}};
  for (const std::string& version : state.targets) {
    ServerPool pool = {NewPoolId(service, version), {}};
    if (version == target) {
      pool.servers = SelectServers(std::move(split.new_servers),
                                   ShareOf(state.stage, max_exposure_));
      SetSelected(pool.servers, &state, now);
    }
    pools.push_back(std::move(pool));
  }
  return pools;
}

void Rollouts::SetSelected(const std::vector<ServerEntry>& servers,
                           ServiceState* state, absl::Time now) {
  std::set<ServerId> selected;
  for (const ServerEntry& server : servers) selected.insert(server.id);
  if (selected == state->selected) return;
  state->selected = std::move(selected);
  state->judge.OnServersChanged(now);
}

ServiceId Rollouts::ChoosePool(const ServiceId& service,
                               const RequestId& id) const {
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.order) return service;
  const ServiceState& state = found->second;
  const double share = ShareOf(state.stage, max_exposure_);
  return FractionOf(id.str()) < share ? NewPoolId(service, state.order->target)
                                      : service;
}

ServiceId Rollouts::PoolOfVersion(const ServiceId& service,
                                  const std::string& version) const {
  const auto found = services_.find(service);
  const bool is_target = found != services_.end() && found->second.order &&
                         found->second.order->target == version;
  return is_target ? NewPoolId(service, version) : service;
}

ServiceId Rollouts::ChooseOtherPool(const ServiceId& service,
                                    const ServiceId& pool,
                                    const RequestId& id) const {
  const auto found = services_.find(service);
  const bool to_old = pool != service && found != services_.end() &&
                      found->second.stage != RolloutStage::kAll;
  return to_old ? service : ChoosePool(service, id);
}

bool Rollouts::MaySend(const ServiceId& service, const ServiceId& pool) const {
  if (pool == service) return true;
  const auto found = services_.find(service);
  if (found == services_.end() || !found->second.order) return false;
  const ServiceState& state = found->second;
  return state.stage != RolloutStage::kNone &&
         pool == NewPoolId(service, state.order->target);
}

// --- What is known of the version --------------------------------------------

void Rollouts::RecordAnswer(const ServerEntry& server, const std::string& route,
                            const ServerAnswer& answer, absl::Time now) {
  const auto found = services_.find(server.service);
  if (found == services_.end() || !IsRunning(found->second)) return;
  ServiceState& state = found->second;
  RouteEvidence item;
  item.route = HashName(route);
  item.is_new = server.version == state.order->target;
  using Kind = ServerAnswer::Kind;
  item.answered = answer.kind == Kind::kAnswered ? 1 : 0;
  item.failed = answer.kind == Kind::kFailed ? 1 : 0;
  item.broken = answer.kind == Kind::kBroken ? 1 : 0;
  const auto warm_at = state.warm_at.find(server.id);
  const bool cold = warm_at != state.warm_at.end() && now < warm_at->second;
  if (answer.first && !cold) item.first.Add(*answer.first);
  if (answer.pace && !cold) item.pace.Add(*answer.pace);
  AddEvidence(item, &state.evidence);
}

std::vector<RolloutReport> Rollouts::Reports() const {
  std::vector<RolloutReport> reports;
  for (const auto& [service, state] : services_) {
    if (!IsRunning(state)) continue;
    reports.push_back({HashName(service.str()), state.order->revision, 1,
                       state.stage, hooks_.open_requests(service),
                       state.evidence});
  }
  return reports;
}

void Rollouts::OnReports(const std::vector<RolloutReport>& merged,
                         absl::Time now) {
  for (auto& [service, state] : services_) {
    if (!IsRunning(state)) continue;
    for (const RolloutReport& report : merged) {
      const bool matches = report.service == HashName(service.str()) &&
                           report.order == state.order->revision;
      if (!matches) continue;
      state.merged = report;
      state.merged_at = now;
      const VersionVerdict before = state.judge.verdict();
      state.judge.Update(report.evidence, now);
      if (state.judge.verdict() == before) continue;
      const Finding& finding = state.judge.finding();
      LOG(INFO) << "event=rollout-verdict service=" << service
                << " target=" << state.order->target
                << " verdict=" << NameOf(state.judge.verdict())
                << " finding=" << finding.kind << " route=" << finding.route
                << " strength=" << finding.strength;
    }
  }
  UpdateStages(now);
}

// --- Leading -----------------------------------------------------------------

void Rollouts::Tick(const RolloutContext& context, absl::Time now) {
  if (context.status_is_current) current_at_ = now;
  UpdateStages(now);
  if (!context.status_is_current) return;
  for (auto& [service, state] : services_) Lead(service, &state, context, now);
}

void Rollouts::Lead(const ServiceId& service, ServiceState* state,
                    const RolloutContext& context, absl::Time now) {
  if (!state->order || state->writing || now < state->write_from) return;
  RolloutInputs inputs;
  inputs.order = *state->order;
  inputs.status = state->status;
  inputs.elapsed = now - state->order_at;
  if (IsOf(state->status, *state->order)) {
    inputs.elapsed = std::max(
        inputs.elapsed, state->status->elapsed + (now - state->status_at));
  }
  inputs.verdict = state->judge.verdict();
  inputs.new_servers = state->new_servers;
  const bool current = now - state->merged_at <= kReportValidity;
  inputs.hosts = {context.all_reachable && current, context.hosts,
                  state->merged.hosts, state->merged.stage,
                  state->merged.open_old};
  const auto decision = NextStatus(inputs);
  if (!decision) state->due_at = absl::InfiniteFuture();
  if (!decision || !IsTurn(state, context, now)) return;
  Write(service, state, *decision, inputs, now);
}

bool Rollouts::IsTurn(ServiceState* state, const RolloutContext& context,
                      absl::Time now) {
  if (state->due_version != state->status_version) {
    state->due_at = absl::InfiniteFuture();
  }
  state->due_version = state->status_version;
  state->due_at = std::min(state->due_at, now);
  return context.is_aggregator ||
         now >= state->due_at + kTakeoverAfter + context.turn * kTakeoverSpread;
}

void Rollouts::Write(const ServiceId& service, ServiceState* state,
                     const RolloutDecision& decision,
                     const RolloutInputs& inputs, absl::Time now) {
  const RouteEvidence old_total = TotalOf(state->merged.evidence, false);
  const RouteEvidence new_total = TotalOf(state->merged.evidence, true);
  const Finding& finding = state->judge.finding();
  LOG(INFO) << "event=rollout-decided service=" << service
            << " target=" << decision.status.target
            << " state=" << NameOf(decision.status.state)
            << " stage=" << NameOf(decision.status.stage) << " cause=\""
            << decision.reason << "\" order=" << decision.status.order
            << " expected=" << state->status_version
            << " elapsed_ms=" << absl::ToInt64Milliseconds(inputs.elapsed)
            << " verdict=" << NameOf(inputs.verdict)
            << " finding=" << finding.kind << " route=" << finding.route
            << " strength=" << finding.strength
            << " old_answered=" << old_total.answered
            << " old_failed=" << old_total.failed
            << " old_broken=" << old_total.broken
            << " new_answered=" << new_total.answered
            << " new_failed=" << new_total.failed
            << " new_broken=" << new_total.broken << " counts_age_ms="
            << absl::ToInt64Milliseconds(now - state->merged_at)
            << " hosts=" << inputs.hosts.hosts
            << " following=" << inputs.hosts.following
            << " open_old=" << inputs.hosts.open_old
            << " new_servers=" << inputs.new_servers;
  state->writing = true;
  hooks_.write(service, decision.status, state->status_version,
               [this, service, alive = std::weak_ptr<int>(alive_)](bool done) {
                 if (alive.expired()) return;
                 ServiceState& written = services_[service];
                 written.writing = false;
                 written.write_from = now_ + kWriteInterval;
                 LOG(INFO) << "event=rollout-written service=" << service
                           << " done=" << done;
               });
}

std::vector<RolloutView> Rollouts::Views() const {
  std::vector<RolloutView> views;
  for (const auto& [service, state] : services_) {
    if (!state.order) continue;
    RolloutView view;
    view.service = service;
    view.target = state.order->target;
    if (IsOf(state.status, *state.order)) view.state = state.status->state;
    view.stage = state.stage;
    view.verdict = state.judge.verdict();
    view.share = ShareOf(state.stage, max_exposure_);
    views.push_back(std::move(view));
  }
  return views;
}

}  // namespace gentianlb::gateway
