#include "schedule/dispatcher.h"

#include <algorithm>
#include <variant>

#include "schedule/answers.h"
#include "schedule/grant.h"
#include "schedule/intake.h"
#include "schedule/preempt.h"
#include "schedule/state.h"

namespace gentianlb::schedule {
namespace {

// Short compared to the half second for which a request is urgent.
constexpr absl::Duration kUrgentRecheckInterval = absl::Milliseconds(100);

// Applies a new server configuration to every module that keeps per-server
// state.
void ConfigureServers(State& state, const std::vector<ServerSpec>& specs) {
  state.servers.Configure(specs, state.now);
  for (ServerIndex i = 0; i < state.servers.size(); ++i) {
    const Server& server = state.servers.at(i);
    state.power.SetServer(i, server.spec, server.configured);
    state.cache.SetServer(i, server.spec);
    if (!server.configured) state.pauses.Forget(i);
  }
  state.pool_drains.resize(state.servers.pools());
  state.pool_mean_work.resize(state.servers.pools(), 0);
  state.changes.all = true;
  RefuseUnserved(state);
}

void UpdateHealth(State& state, const ServerHealthChanged& event) {
  const ServerIndex server = state.servers.Find(event.server);
  if (server == kNoIndex) return;
  const ServerHealth before = state.servers.at(server).health;
  if (before == event.health) return;
  // A server that was dead has restarted, with an empty cache and no limit.
  if (before == ServerHealth::kDead) {
    state.cache.Clear(server, state.now);
    state.pauses.Forget(server);
    state.servers.at(server).limit.OnRestart();
    state.servers.at(server).slowdown.Clear();
    state.cooldowns.Forget(server);
    state.servers.CountLimited();
  }
  state.servers.SetHealth(server, event.health, state.now);
  state.changes.all = true;
  RefuseUnserved(state);
}

void OnCallerDisconnected(State& state, const CallerDisconnected& event) {
  const auto waits = state.waiting_by_id.find(event.id);
  if (waits != state.waiting_by_id.end()) {
    RefuseWaiting(state, waits->second, Code::kCallerGone,
                  absl::ZeroDuration());
    return;
  }
  const RunIndex index = state.running.Find(event.id);
  if (index == kNoIndex) return;
  const RunningRequest& running = state.running.Get(index);
  // A running call of a plain service can't be stopped.
  if (running.cancel_cause || running.demand.plain) return;
  CancelRunning(state, index, WasteCause::kCallerDisconnected);
}

// Passes a load event to the method `Update` of its server.
template <auto Update, typename Event>
void UpdateLoad(State& state, const Event& event) {
  const ServerIndex server = state.servers.Find(event.server);
  if (server == kNoIndex) return;
  (state.servers.at(server).*Update)(event, state.now);
  OnCapacityFreed(state, server);
}

// Seeds the speed of a server with the slowdown that peers measured.
void SeedSpeed(State& state, const PeerSlowdownReported& event) {
  const ServerIndex server = state.servers.Find(event.server);
  if (server == kNoIndex) return;
  state.servers.at(server).speed.Seed(event.prefill, event.decode);
  state.servers.Reindex(server, state.now);
}

struct EventVisitor {
  State& state;

  void operator()(const RequestArrived& event) {
    OnRequestArrived(state, event.request);
  }
  void operator()(const CallerDisconnected& event) {
    OnCallerDisconnected(state, event);
  }
  void operator()(const RequestRunning& event) { AdoptRunning(state, event); }
  void operator()(const RequestDelayed& event) {
    OnRequestDelayed(state, event);
  }
  void operator()(const TokensStreamed& event) {
    OnTokensStreamed(state, event);
  }
  void operator()(const RequestFinished& event) {
    OnRequestFinished(state, event);
  }
  void operator()(const LoadReported& event) {
    UpdateLoad<&Server::OnLoadReport>(state, event);
  }
  void operator()(const ResponseLoadReported& event) {
    UpdateLoad<&Server::OnResponseLoad>(state, event);
  }
  void operator()(const PeerLoadReported& event) {
    UpdateLoad<&Server::OnPeerLoad>(state, event);
  }
  void operator()(const PeerSlowdownReported& event) {
    SeedSpeed(state, event);
  }
  void operator()(const PeerLimitReported& event) {
    OnPeerLimitReported(state, event);
  }
  void operator()(const CacheChanged& event) {
    const ServerIndex server = state.servers.Find(event.server);
    if (server != kNoIndex) state.cache.OnCacheEvent(server, event, state.now);
  }
  void operator()(const ServerHealthChanged& event) {
    UpdateHealth(state, event);
  }
  void operator()(const ServersConfigured& event) {
    ConfigureServers(state, event.servers);
  }
  void operator()(const WorkspacesConfigured& event) {
    state.limits.Configure(event.workspaces, state.now);
  }
  void operator()(const PowerShareChanged& event) {
    state.power.SetShare(event.watts);
    state.changes.all = true;
  }
  void operator()(const TimePassed&) {}
};

// Returns when a waiting request becomes urgent. One that is already urgent is
// checked again after a short interval, as a request that can be preempted may
// have started.
absl::Time NextUrgentCheck(const State& state) {
  const WaitIndex first = state.queue.NextToExpire();
  if (first == kNoIndex) return absl::InfiniteFuture();
  const absl::Time urgent = state.queue.Get(first).urgent_at;
  return urgent > state.now ? urgent : state.now + kUrgentRecheckInterval;
}

}  // namespace

Dispatcher::Dispatcher(const DispatcherOptions& options)
    : state_(std::make_unique<State>(options)) {}
Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher&&) noexcept = default;
Dispatcher& Dispatcher::operator=(Dispatcher&&) noexcept = default;

void Dispatcher::Handle(const Event& event, absl::Time now,
                        std::vector<Decision>* decisions) {
  State& state = *state_;
  state.now = std::max(state.now, now);
  state.decisions = decisions;
  ++state.counters.events;

  std::visit(EventVisitor{state}, event);

  // Applies what depends on the time alone.
  PenalizeOverdueServers(state);
  state.changes.all |= state.servers.RecheckDue(state.now);
  state.changes.all |= state.now >= state.next_urgent_check;
  state.changes.all |= state.pauses.TakeEndedHolds(state.now);
  state.changes.all |= state.cooldowns.TakeEnded(state.now);
  EnforcePowerShare(state);
  CancelExpired(state);

  GrantWaiting(state);
  // Refuses requests at once that could not be granted by their latest start.
  RefuseExpired(state);
  if (state.next_urgent_check <= state.now ||
      state.next_urgent_check > NextUrgentCheck(state)) {
    state.next_urgent_check = NextUrgentCheck(state);
  }
  state.decisions = nullptr;
}

absl::Time Dispatcher::NextWakeup() const {
  const State& state = *state_;
  const absl::Time next_overdue = state.running.NextOverdueTime();
  if (state.queue.empty()) return next_overdue;
  absl::Time next = std::min(next_overdue, state.queue.NextExpiryTime());
  next = std::min(next, state.servers.NextRecheckTime());
  next = std::min(next, state.next_urgent_check);
  next = std::min(next, state.pauses.next_hold_end());
  next = std::min(next, state.cooldowns.NextEnd());
  const RunIndex earliest = state.running.EarliestDeadline();
  if (earliest == kNoIndex) return next;
  return std::min(next, state.running.Get(earliest).origin.request.deadline);
}

const Counters& Dispatcher::counters() const { return state_->counters; }

std::uint64_t Dispatcher::signature() const {
  return state_->signature.value();
}

double Dispatcher::worst_watts() const {
  return state_->power.worst_case_watts();
}
double Dispatcher::share_watts() const { return state_->power.share_watts(); }

int Dispatcher::FreeStreams() const {
  int free = 0;
  for (ServerIndex i = 0; i < state_->servers.size(); ++i) {
    const Server& server = state_->servers.at(i);
    if (!server.IsOpen(state_->now)) continue;
    const double allowed = server.limit.Available(state_->now);
    const int streams = server.FreeStreams(state_->now);
    free += allowed < streams ? static_cast<int>(allowed) : streams;
  }
  return free;
}

Dispatcher::ServerCounts Dispatcher::CountServers() const {
  ServerCounts counts;
  for (ServerIndex i = 0; i < state_->servers.size(); ++i) {
    const Server& server = state_->servers.at(i);
    if (!server.configured || server.health != ServerHealth::kAlive) continue;
    ++counts.usable;
    if (server.window.IsOpen(state_->now)) ++counts.open;
    if (server.limit.limited()) ++counts.limited;
    if (server.slowdown.IsInEffect(state_->now)) ++counts.slowed;
  }
  return counts;
}

std::size_t Dispatcher::waiting() const { return state_->queue.size(); }
std::size_t Dispatcher::running() const { return state_->running.size(); }

std::optional<PeerSlowdownReported> Dispatcher::MeasuredSlowdown(
    const ServerId& server) const {
  const ServerIndex index = state_->servers.Find(server);
  if (index == kNoIndex) return std::nullopt;
  const SpeedEstimator& speed = state_->servers.at(index).speed;
  if (!speed.learnt()) return std::nullopt;
  return PeerSlowdownReported{server, speed.prefill_slowdown(),
                              speed.decode_slowdown()};
}

std::optional<double> Dispatcher::ObservedLimit(const ServerId& server) const {
  const ServerIndex index = state_->servers.Find(server);
  if (index == kNoIndex) return std::nullopt;
  return state_->servers.at(index).limit.Observed(state_->now);
}

double Dispatcher::request_limit(const ServerId& server) const {
  const ServerIndex index = state_->servers.Find(server);
  if (index == kNoIndex) return kNoRequestLimit;
  return state_->servers.at(index).limit.per_second();
}

int Dispatcher::window(const ServerId& server) const {
  const ServerIndex index = state_->servers.Find(server);
  return index == kNoIndex ? 0 : state_->servers.at(index).window.streams();
}

}  // namespace gentianlb::schedule
