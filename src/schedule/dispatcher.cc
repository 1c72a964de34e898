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

// Short against the half second in which a request is urgent.
constexpr absl::Duration kUrgentRetry = absl::Milliseconds(100);

// Takes a change of the servers into every module that keeps one by one.
void ConfigureServers(State& state, const std::vector<ServerSpec>& specs) {
  state.servers.Configure(specs, state.now);
  for (ServerIndex i = 0; i < state.servers.size(); ++i) {
    const Server& server = state.servers.at(i);
    state.power.SetServer(i, server.spec, server.configured);
    state.cache.SetServer(i, server.spec);
  }
  state.drains.resize(state.servers.pools());
  state.changes.all = true;
  RefuseUnserved(state);
}

void ChangeHealth(State& state, const ServerHealthChanged& event) {
  const ServerIndex server = state.servers.Find(event.server);
  if (server == kNoIndex) return;
  const ServerHealth before = state.servers.at(server).health;
  if (before == event.health) return;
  // What comes back from the dead was started anew, with an empty cache.
  if (before == ServerHealth::kDead) state.cache.Clear(server, state.now);
  state.servers.SetHealth(server, event.health, state.now);
  state.changes.all = true;
  RefuseUnserved(state);
}

void LeaveCaller(State& state, const CallerGone& event) {
  const auto waits = state.waiting_by_id.find(event.id);
  if (waits != state.waiting_by_id.end()) {
    RefuseWaiting(state, waits->second, Code::kCallerGone,
                  absl::ZeroDuration());
    return;
  }
  const RunIndex index = state.running.Find(event.id);
  if (index == kNoIndex) return;
  const RunningRequest& running = state.running.Get(index);
  // A begun call of a plain service can't be stopped; it runs to its end.
  if (running.cancel_cause || running.demand.plain) return;
  CancelRunning(state, index, WasteCause::kCallerDisconnected);
}

// News of one server's load, told to it by `Learn`.
template <auto Learn, typename Event>
void LearnLoad(State& state, const Event& event) {
  const ServerIndex server = state.servers.Find(event.server);
  if (server == kNoIndex) return;
  (state.servers.at(server).*Learn)(event, state.now);
  RoomOn(state, server);
}

void LearnPace(State& state, const PaceElsewhere& event) {
  const ServerIndex server = state.servers.Find(event.server);
  if (server == kNoIndex) return;
  state.servers.at(server).speed.Seed(event.prefill, event.decode);
  state.servers.Reindex(server, state.now);
}

struct EventHandler {
  State& state;

  void operator()(const RequestArrived& event) { Arrive(state, event.request); }
  void operator()(const CallerGone& event) { LeaveCaller(state, event); }
  void operator()(const RequestRunning& event) { TakeOver(state, event); }
  void operator()(const TokensStreamed& event) { Streamed(state, event); }
  void operator()(const RequestEnded& event) { Ended(state, event); }
  void operator()(const LoadReported& event) {
    LearnLoad<&Server::OnLoadReport>(state, event);
  }
  void operator()(const LoadAnswered& event) {
    LearnLoad<&Server::OnResponseLoad>(state, event);
  }
  void operator()(const LoadElsewhere& event) {
    LearnLoad<&Server::OnPeerLoad>(state, event);
  }
  void operator()(const PaceElsewhere& event) { LearnPace(state, event); }
  void operator()(const CacheChanged& event) {
    const ServerIndex server = state.servers.Find(event.server);
    if (server != kNoIndex) state.cache.OnCacheEvent(server, event, state.now);
  }
  void operator()(const ServerHealthChanged& event) {
    ChangeHealth(state, event);
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

// When something that waits becomes urgent. What is urgent already is looked at
// again after a while, as somebody may have begun who could give way.
absl::Time NextUrgent(const State& state) {
  const WaitIndex first = state.queue.FirstExpiring();
  if (first == kNoIndex) return absl::InfiniteFuture();
  const absl::Time urgent = state.queue.Get(first).urgent_at;
  return urgent > state.now ? urgent : state.now + kUrgentRetry;
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
  state.out = decisions;
  ++state.counters.events;

  std::visit(EventHandler{state}, event);

  // What the time alone brings about.
  NoticeSilence(state);
  state.changes.all |= state.servers.RecheckDue(state.now);
  state.changes.all |= state.now >= state.urgent_at;
  EnforceShare(state);
  CancelLate(state);

  GrantWaiting(state);
  // Whoever could not be granted at the last moment is told at once.
  ExpireWaiting(state);
  if (state.urgent_at <= state.now || state.urgent_at > NextUrgent(state)) {
    state.urgent_at = NextUrgent(state);
  }
  state.out = nullptr;
}

absl::Time Dispatcher::NextWakeup() const {
  const State& state = *state_;
  const absl::Time silence = state.running.NextOverdueTime();
  if (state.queue.empty()) return silence;
  absl::Time next = std::min(silence, state.queue.FirstExpiry());
  next = std::min(next, state.servers.NextRecheckTime());
  next = std::min(next, state.urgent_at);
  const RunIndex late = state.running.EarliestDeadline();
  if (late == kNoIndex) return next;
  return std::min(next, state.running.Get(late).origin.request.deadline);
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
    if (server.IsOpen(state_->now)) free += server.FreeStreams(state_->now);
  }
  return free;
}

std::size_t Dispatcher::waiting() const { return state_->queue.size(); }
std::size_t Dispatcher::running() const { return state_->running.size(); }

std::optional<PaceElsewhere> Dispatcher::PaceOf(const ServerId& server) const {
  const ServerIndex index = state_->servers.Find(server);
  if (index == kNoIndex) return std::nullopt;
  const SpeedEstimator& speed = state_->servers.at(index).speed;
  if (!speed.learnt()) return std::nullopt;
  return PaceElsewhere{server, speed.prefill_slowdown(),
                       speed.decode_slowdown()};
}

int Dispatcher::window(const ServerId& server) const {
  const ServerIndex index = state_->servers.Find(server);
  return index == kNoIndex ? 0 : state_->servers.at(index).window.streams();
}

}  // namespace gentianlb::schedule
