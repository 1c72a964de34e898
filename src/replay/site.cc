#include "replay/site.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::replay {
namespace {

using schedule::kPrefixBlockTokens;
using schedule::RequestOutcome;
using schedule::ServerHealth;

// Longer than any answer takes: what is open then was forgotten.
constexpr absl::Duration kForgottenAfter = absl::Hours(1);

// Differences of sums in floating point, not of power.
constexpr double kWattsSlack = 1e-6;

absl::Time LastDeadline(const Trace& trace) {
  absl::Duration last;
  for (const TraceEvent& event : trace.events) {
    const auto* request = std::get_if<TraceRequest>(&event.body);
    if (request != nullptr) last = std::max(last, event.at + request->deadline);
  }
  return Site::Start() + last;
}

// How long a request takes by itself on an idle server, with nothing cached.
double SecondsAlone(const TraceRequest& request,
                    const schedule::ServerSpec& spec) {
  return request.prompt_tokens / spec.prefill_tokens_per_second +
         request.output_tokens / spec.decode_tokens_per_second;
}

}  // namespace

Site::Site(const Deployment& deployment, const ServiceLoad& service,
           const Trace& trace, std::uint64_t seed)
    : deployment_(deployment),
      service_(service),
      trace_(trace),
      ledger_(trace, service, Start()),
      random_(seed),
      now_(Start()),
      horizon_(LastDeadline(trace) + kForgottenAfter),
      cache_sequence_(service.servers.size(), 0),
      metered_(Start()) {
  for (const schedule::ServerSpec& spec : service.servers) {
    server_index_[spec.id] = static_cast<int>(servers_.size());
    servers_.emplace_back(spec, Start());
  }
  cap_watts_ = deployment.power_cap_watts * service.power_fraction;
  lowest_cap_watts_ = cap_watts_;
  PlanNextTraceEvent();
  for (int i = 0; i < static_cast<int>(servers_.size()); ++i) {
    // Servers report at different moments.
    absl::Time first = Start() + absl::Milliseconds(37 * (i + 1));
    Plan(first, Tick{TickKind::kLoad, i});
    Plan(first, Tick{TickKind::kCache, i});
    Plan(first, Tick{TickKind::kProgress, i});
  }
}

absl::Time Site::NextTime() const {
  absl::Time next = plan_.empty() ? absl::InfiniteFuture() : plan_.top().when;
  for (const ServerFake& server : servers_) {
    next = std::min(next, server.NextChange());
  }
  return next;
}

void Site::Advance(absl::Time now, std::vector<schedule::Event>* events) {
  now_ = now;
  events_ = events;
  for (int i = 0; i < static_cast<int>(servers_.size()); ++i) SettleServer(i);
  while (events->empty() && !plan_.empty() && plan_.top().when <= now_) {
    Action action = plan_.top().action;
    plan_.pop();
    std::visit([this](const auto& it) { Do(it); }, action);
  }
  events_ = nullptr;
}

void Site::Apply(const schedule::Decision& decision) {
  std::visit([this](const auto& it) { Carry(it); }, decision);
}

void Site::MeterPower() {
  double watts = 0;
  for (const ServerFake& server : servers_) watts += server.Watts();
  joules_ += watts_ * absl::ToDoubleSeconds(now_ - metered_);
  metered_ = now_;
  watts_ = watts;
  peak_watts_ = std::max(peak_watts_, watts);
  double above = watts - cap_watts_;
  if (above > kWattsSlack) {
    watts_above_cap_ = std::max(watts_above_cap_, above);
  }
}

bool Site::Finished() const {
  return next_trace_event_ >= trace_.events.size() && ledger_.open() == 0;
}

std::vector<schedule::Event> Site::FirstEvents() const {
  schedule::WorkspacesConfigured workspaces;
  for (const WorkspaceLoad& load : deployment_.workspaces) {
    workspaces.workspaces.push_back(load.spec);
  }
  return {workspaces, schedule::ServersConfigured{service_.servers},
          schedule::PowerShareChanged{cap_watts_}};
}

ServiceFigures Site::Figures() const {
  ServiceFigures figures;
  figures.service = service_.id;
  figures.tiers = ledger_.Tiers(deployment_.workspaces);
  figures.prefill = ledger_.Prefill();
  figures.peak_watts = peak_watts_;
  double seconds = absl::ToDoubleSeconds(metered_ - Start());
  figures.mean_watts = seconds > 0 ? joules_ / seconds : 0;
  figures.lowest_cap_watts = lowest_cap_watts_;
  figures.watts_above_cap = watts_above_cap_;
  return figures;
}

// --- Time -------------------------------------------------------------------

void Site::Plan(absl::Time when, Action action) {
  plan_.push({when, next_order_++, std::move(action)});
}

void Site::Tell(schedule::Event event, absl::Duration delay) {
  Plan(now_ + delay, ToPolicy{std::move(event)});
}

void Site::PlanNextTraceEvent() {
  if (next_trace_event_ >= trace_.events.size()) return;
  Plan(Start() + trace_.events[next_trace_event_].at,
       FromTrace{next_trace_event_});
}

void Site::SettleServer(int server) {
  std::vector<StreamChange> changes;
  servers_[server].Advance(now_, &changes);
  for (const StreamChange& change : changes) Changed(server, change);
}

void Site::Changed(int server, const StreamChange& change) {
  const Record& record = ledger_.record(change.index);
  switch (change.kind) {
    case StreamChange::Kind::kPrefillBegins:
      CountRecomputed(server, change);
      return;
    case StreamChange::Kind::kFirstToken:
      if (plain()) return;
      ledger_.FirstToken(change.index, now_ + kHop);
      computed_.insert(record.request.prefix.begin(),
                       record.request.prefix.end());
      Tell(schedule::TokensStreamed{record.trace.id, 1}, kHop);
      return;
    case StreamChange::Kind::kFinished:
      if (plain()) ledger_.FirstToken(change.index, now_ + kHop);
      ledger_.Finished(change.index, now_ + kHop);
      Tell(schedule::RequestFinished{record.trace.id, RequestOutcome::kComplete,
                                     record.trace.output_tokens,
                                     record.cached_tokens},
           kHop);
      return;
  }
}

void Site::CountRecomputed(int server, const StreamChange& change) {
  const auto& chain = ledger_.record(change.index).request.prefix;
  double evicted = 0;
  double misplaced = 0;
  for (std::size_t i = change.cached_blocks; i < chain.size(); ++i) {
    bool elsewhere = false;
    for (int other = 0; other < static_cast<int>(servers_.size()); ++other) {
      elsewhere |= other != server && servers_[other].cache().Holds(chain[i]);
    }
    if (elsewhere) {
      misplaced += kPrefixBlockTokens;
    } else if (computed_.contains(chain[i])) {
      evicted += kPrefixBlockTokens;
    }
  }
  ledger_.PrefillBegan(change.index, change.cached_blocks * kPrefixBlockTokens,
                       evicted, misplaced);
}

// --- What was planned -------------------------------------------------------

void Site::Do(const FromTrace& action) {
  std::visit([this](const auto& body) { Happen(body); },
             trace_.events[action.index].body);
  ++next_trace_event_;
  PlanNextTraceEvent();
}

void Site::Do(const AtServer& action) {
  const Record& record = ledger_.record(action.work.index);
  ServerFake& server = servers_[action.server];
  if (server.alive()) {
    server.Submit(action.work);
    SettleServer(action.server);
    return;
  }
  // The connection was refused: the server certainly did not get it.
  RequestOutcome kind = record.caller_gone ? RequestOutcome::kCancelled
                                           : RequestOutcome::kNotSent;
  ledger_.NotSent(action.work.index);
  Tell(schedule::RequestFinished{record.trace.id, kind}, kHop);
}

void Site::Do(const CancelAtServer& action) {
  auto remains = servers_[action.server].Cancel(action.index);
  if (!remains.has_value()) return;
  EndStopped(*remains, Phase::kCancelled, RequestOutcome::kCancelled);
  SettleServer(action.server);
}

void Site::Do(const ToPolicy& action) { events_->push_back(action.event); }

void Site::Do(const HealthNews& action) {
  const ServerFake& server = servers_[action.server];
  // Old news of a server that has meanwhile died or come back.
  if (server.alive() != (action.health == ServerHealth::kAlive)) return;
  events_->push_back(
      schedule::ServerHealthChanged{server.spec().id, action.health});
}

void Site::Do(const CapInForce& action) { cap_watts_ = action.watts; }

void Site::Do(const Tick& action) {
  ServerFake& server = servers_[action.server];
  absl::Duration period = kLoadPeriod;
  if (action.kind == TickKind::kLoad && server.alive()) {
    Tell(server.Load(now_), kLoadLag);
  }
  if (action.kind == TickKind::kProgress && !plain()) {
    period = kProgressPeriod;
    for (const auto& [index, tokens] : server.Progress()) {
      Tell(schedule::TokensStreamed{ledger_.record(index).trace.id, tokens},
           kHop);
    }
  }
  if (action.kind == TickKind::kCache) {
    period = kCachePeriod;
    schedule::CacheChanged changes{server.spec().id};
    if (server.TakeCacheChanges(&changes)) {
      changes.sequence = ++cache_sequence_[action.server];
      double draw = static_cast<double>(random_()) /
                    static_cast<double>(std::mt19937_64::max());
      if (draw >= kCacheLoss) Tell(std::move(changes), kCacheLag);
    }
  }
  Plan(now_ + period, action);
}

// --- What the trace brings --------------------------------------------------

void Site::Happen(const TraceRequest& request) {
  if (request.service != service_.id) return;
  StreamIndex index = ledger_.Find(request.id);
  ledger_.Arrived(index);
  events_->push_back(schedule::RequestArrived{ledger_.record(index).request});
}

void Site::Happen(const TraceCancel& cancel) {
  StreamIndex index = ledger_.Find(cancel.id);
  if (index < 0) return;  // Of another service.
  Phase phase = ledger_.record(index).phase;
  if (phase != Phase::kWaiting && phase != Phase::kRunning) return;
  ledger_.CallerLeft(index);
  events_->push_back(schedule::CallerDisconnected{cancel.id});
  if (phase == Phase::kRunning) {
    Plan(now_ + kHop, CancelAtServer{ledger_.record(index).server, index});
  }
}

void Site::Happen(const TraceServerSlow& slow) {
  int server = ServerIndex(slow.server);
  if (server >= 0) servers_[server].SetSpeed(slow.speed);
}

void Site::Happen(const TraceServerDead& dead) {
  int server = ServerIndex(dead.server);
  if (server < 0 || !servers_[server].alive()) return;
  for (const StreamRemains& remains : servers_[server].Die()) {
    EndStopped(remains, Phase::kBroken, RequestOutcome::kFailed);
  }
  Plan(now_ + kSuspectAfter, HealthNews{server, ServerHealth::kSuspect});
  Plan(now_ + kDeadAfter, HealthNews{server, ServerHealth::kDead});
}

void Site::Happen(const TraceServerBack& back) {
  int server = ServerIndex(back.server);
  if (server < 0) return;
  servers_[server].Revive();
  Plan(now_ + kAliveAfter, HealthNews{server, ServerHealth::kAlive});
}

void Site::Happen(const TracePowerCap& cap) {
  double share = cap.watts * service_.power_fraction;
  lowest_cap_watts_ = std::min(lowest_cap_watts_, share);
  events_->push_back(schedule::PowerShareChanged{share});
  absl::Duration notice =
      share < cap_watts_ ? kCapNotice : absl::ZeroDuration();
  Plan(now_ + notice, CapInForce{share});
}

// --- What the policy decides ------------------------------------------------

void Site::Carry(const schedule::Grant& grant) {
  StreamIndex index = ledger_.Find(grant.id);
  int server = ServerIndex(grant.server);
  if (index < 0 || server < 0) {
    ledger_.Fault(absl::StrCat("grant of unknown ", grant.id.str(), " on ",
                               grant.server.str()));
    return;
  }
  if (!ledger_.Granted(index, server)) return;
  const Record& record = ledger_.record(index);
  StreamWork work{index, record.trace.prompt_tokens, record.trace.output_tokens,
                  &record.request.prefix};
  Plan(now_ + kHop, AtServer{server, work});
}

void Site::Carry(const schedule::Refuse& refuse) {
  StreamIndex index = ledger_.Find(refuse.id);
  if (index < 0) {
    ledger_.Fault(absl::StrCat("refusal of unknown ", refuse.id.str()));
    return;
  }
  const Record& record = ledger_.record(index);
  absl::Duration alone = absl::Seconds(SecondsOnIdleServer(record));
  bool could_finish = now_ + alone <= record.request.deadline;
  ledger_.Refused(index, refuse.code, could_finish);
}

void Site::Carry(const schedule::Cancel& cancel) {
  StreamIndex index = ledger_.Find(cancel.id);
  if (index < 0) {
    ledger_.Fault(absl::StrCat("cancel of unknown ", cancel.id.str()));
    return;
  }
  if (!ledger_.Cancelled(index, cancel.code)) return;
  Plan(now_ + kHop, CancelAtServer{ledger_.record(index).server, index});
}

void Site::EndStopped(const StreamRemains& remains, Phase phase,
                      RequestOutcome kind) {
  ledger_.Stopped(remains, phase);
  const RequestId& id = ledger_.record(remains.index).trace.id;
  Tell(schedule::RequestFinished{id, kind, remains.output_tokens}, kHop);
}

int Site::ServerIndex(const ServerId& id) const {
  auto found = server_index_.find(id);
  return found == server_index_.end() ? -1 : found->second;
}

double Site::SecondsOnIdleServer(const Record& record) const {
  double best = std::numeric_limits<double>::infinity();
  for (const ServerFake& server : servers_) {
    if (!server.alive()) continue;
    best = std::min(best, SecondsAlone(record.trace, server.spec()));
  }
  return best;
}

}  // namespace gentianlb::replay
