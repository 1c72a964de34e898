#include "schedule/answers.h"

#include <algorithm>
#include <utility>

#include "schedule/grant.h"
#include "schedule/intake.h"
#include "schedule/work.h"

namespace gentianlb::schedule {
namespace {

// A first token is slow if it takes longer than this factor times the
// prediction plus a margin. The margin covers the jitter of the network and of
// a batch step.
constexpr double kSlowFactor = 3;
constexpr double kSlowSeconds = 0.25;

void ReduceWindow(State& state, Server& server) {
  if (server.window.OnSlowResponse(state.now)) ++state.counters.windows_reduced;
}

// Grows or reduces the window after a response, depending on whether it was
// slow and on the server's recent speed. `running` is the number of streams on
// the server when the response arrived, including its own. Without its own, the
// window of a plain service, whose calls report nothing before their end, would
// never look full and never grow again.
void UpdateWindow(State& state, Server& server, int running, bool slow) {
  if (slow || server.speed.straggling()) return ReduceWindow(state, server);
  server.window.OnGoodResponse(state.now, running >= server.window.streams());
}

// Records how slow the machine of the server of `running` is.
void RecordSlowdown(State& state, const RunningRequest& running,
                    std::optional<double> stated) {
  if (!stated) return;
  state.servers.at(running.server).slowdown.OnStated(*stated, state.now);
}

// Returns `seconds`, measured until the response that stated `slowdown`, at the
// usual speed of the server's machine. Without this, predictions would count
// the slowdown twice.
double UsualSeconds(double seconds, std::optional<double> slowdown) {
  return slowdown ? seconds / MachineSlowdown::Limited(*slowdown) : seconds;
}

// Returns the seconds per token since the last report at the usual speed of the
// server's machine. Reports after the first token state no slowdown, so the one
// expected in the middle of the time counts.
double UsualTokenSeconds(const State& state, const RunningRequest& running,
                         int new_tokens) {
  const absl::Duration span = state.now - running.last_report_at;
  const double slowdown = state.servers.at(running.server)
                              .slowdown.At(running.last_report_at + span / 2);
  return absl::ToDoubleSeconds(span) / slowdown / new_tokens;
}

// A time between the two expectations means that the cache was misjudged, not
// the server's speed, and gives no sample.
void LearnFirstToken(Server& server, const RunningRequest& running,
                     double seconds) {
  if (seconds <= server.speed.TotalSeconds(running.expected_first_token)) {
    server.speed.AddFirstTokenSample(seconds, running.expected_first_token);
  } else if (seconds >=
             server.speed.TotalSeconds(running.expected_first_token_uncached)) {
    server.speed.AddFirstTokenSample(seconds,
                                     running.expected_first_token_uncached);
  }
}

void OnFirstToken(State& state, RunIndex index,
                  std::optional<double> slowdown) {
  const RunningRequest& running = state.running.Get(index);
  Server& server = state.servers.at(running.server);
  const double seconds = absl::ToDoubleSeconds(state.now - running.granted_at);
  bool slow = false;
  if (!running.times_unknown) {
    server.RecordServedGrant(running.granted_at);
    LearnFirstToken(server, running, UsualSeconds(seconds, slowdown));
    slow = seconds >
           kSlowFactor * running.predicted_first_token_seconds + kSlowSeconds;
  }
  // The prompt is computed: frees its prefill capacity and power.
  server.OnFirstToken(running.demand, state.now);
  state.pauses.OnFirstToken(running.server, index,
                            server.PromptLoadAt(state.now), state.now);
  state.power.OnFirstToken(running.server, running.cancel_cause.has_value());
  state.running.SetFirstToken(index);
  UpdateWindow(state, server, server.running(), slow);
}

void OnMoreTokens(State& state, RunIndex index, int tokens) {
  const RunningRequest& running = state.running.Get(index);
  Server& server = state.servers.at(running.server);
  const int new_tokens = tokens - running.output_tokens;
  if (new_tokens <= 0) return;  // An older report arrived late.
  server.speed.AddDecodeSample(UsualTokenSeconds(state, running, new_tokens),
                               server.running());
  UpdateWindow(state, server, server.running(), /*slow=*/false);
}

// Reserves more memory for an output that exceeds its estimate.
void GrowMemoryReservation(State& state, RunIndex index, int tokens) {
  const RunningRequest& running = state.running.Get(index);
  if (tokens < running.origin.output.p90 || running.demand.plain) return;
  const Request& request = running.origin.request;
  const OutputEstimate output =
      CorrectEstimate(running.origin.output, tokens, request.max_output_tokens);
  const std::int64_t needed = request.prompt_tokens + output.p90;
  if (needed <= running.demand.kv_tokens) return;
  state.servers.at(running.server)
      .ReserveMemory(needed - running.demand.kv_tokens);
  Demand demand = running.demand;
  demand.kv_tokens = needed;
  state.running.SetDemand(index, demand);
}

// Frees the capacity of a finished request, whatever its outcome.
void Release(State& state, const RunningRequest& run) {
  Server& server = state.servers.at(run.server);
  server.OnFinish(run.demand, run.first_token, state.now);
  state.power.RemoveStream(run.server, !run.first_token,
                           run.cancel_cause.has_value());
  state.limits.RemoveRunning(run.origin.workspace);
  if (run.cancel_cause == WasteCause::kPreempted) --state.pending_preemptions;
}

void LearnFromResponse(State& state, const RunningRequest& running,
                       const RequestFinished& event) {
  const WaitingRequest& origin = running.origin;
  Server& server = state.servers.at(running.server);
  state.retries.OnCall();
  if (running.demand.plain) {
    if (running.times_unknown) return;
    server.speed.AddCallSample(
        UsualSeconds(absl::ToDoubleSeconds(state.now - running.granted_at),
                     event.machine_slowdown));
    return UpdateWindow(state, server, server.running() + 1, /*slow=*/false);
  }
  // Tokens since the last report; nearly all of them if reports are rare.
  const int new_tokens = event.output_tokens - running.output_tokens;
  if (running.first_token && new_tokens > 0) {
    server.speed.AddDecodeSample(UsualTokenSeconds(state, running, new_tokens),
                                 server.running() + 1);
    UpdateWindow(state, server, server.running() + 1, /*slow=*/false);
  }
  state.estimator.Learn(origin.request, origin.workspace, event.output_tokens);
  // Engines that don't report cached tokens send 0.
  if (event.cached_prompt_tokens > 0) {
    state.cache.OnCachedTokensReported(running.server, running.cached_tokens,
                                       event.cached_prompt_tokens);
  }
  // Charges the workspace for the actual work instead of the estimate.
  const double actual =
      RequestWork(origin.request.prompt_tokens, event.output_tokens);
  state.queue.CorrectCharge({origin.request.tier, origin.pool},
                            origin.workspace, origin.weight,
                            actual - origin.work);
  state.limits.Charge(origin.workspace,
                      event.output_tokens - origin.output.median);
}

// Handles a connection that could not be made. If another host has received a
// response since the request was granted, the server works and only the path
// from this host is lost, so the server stays open.
void OnUnreachable(State& state, Server& server,
                   const RunningRequest& running) {
  if (server.last_reached() < running.granted_at) {
    return server.window.OnUnreachable(state.now);
  }
  ++state.counters.lost_paths;
  state.lost_paths.OnUnreachable(running.origin.request.host, running.server,
                                 state.now);
}

// Records that a part of a response to `running` has arrived.
void RecordReached(State& state, const RunningRequest& running) {
  Server& server = state.servers.at(running.server);
  server.OnReached(state.now);
  if (!running.times_unknown) {
    state.suspects().OnResponse(server.spec.id, running.granted_at);
    state.suspect_parts().OnResponse(server.spec.id, running.granted_at);
  }
  state.lost_paths.OnReached(running.origin.request.host, running.server);
  state.cooldowns.OnReached(running.origin.request.host, running.server,
                            running.granted_at);
}

// Records for which servers the host of `running` sends nothing for now.
void RecordCooldowns(State& state, const RunningRequest& running,
                     const std::vector<ServerCooldown>& cooldowns) {
  for (const ServerCooldown& cooldown : cooldowns) {
    const ServerIndex server = state.servers.Find(cooldown.server);
    if (server == kNoIndex) continue;
    state.cooldowns.OnAsked(running.origin.request.host, server, cooldown.left,
                            state.now);
  }
}

// Handles a possible change of a server's limit; `before`: whether it had one.
void OnLimitChanged(State& state, ServerIndex server, bool before) {
  if (state.servers.at(server).limit.limited() != before) {
    state.servers.CountLimited();
    ResetDrainRates(state);
  }
  OnCapacityFreed(state, server);
}

void LearnPauses(State& state, RunIndex index, const RunningRequest& running,
                 const EventPauses& pauses) {
  const Server& server = state.servers.at(running.server);
  state.pauses.OnPauses(running.server, index, pauses,
                        server.PromptLoadAt(state.now), state.now);
}

// Records the limit that the response to `running` named, if it is known.
void RecordLimit(State& state, const RunningRequest& running,
                 std::optional<double> per_second) {
  if (!per_second) return;
  // When the request was sent is unknown, so its response may be an old one.
  if (running.times_unknown && *per_second == kNoRequestLimit) return;
  RequestLimit& limit = state.servers.at(running.server).limit;
  const bool before = limit.limited();
  limit.OnResponse(*per_second, running.granted_at, state.now);
  if (before || limit.limited()) OnLimitChanged(state, running.server, before);
}

double PrefillTokens(const RunningRequest& run, const RequestFinished& event,
                     absl::Time now) {
  if (event.kind != RequestOutcome::kComplete) return ComputedPrefill(run, now);
  if (event.cached_prompt_tokens <= 0) return run.demand.prefill_tokens;
  return std::max(
      0, run.origin.request.prompt_tokens - event.cached_prompt_tokens);
}

void CountPrefill(State& state, const RunningRequest& running,
                  const RequestFinished& event) {
  const double prefill = PrefillTokens(running, event, state.now);
  state.counters.prefill_computed += prefill;
  if (event.kind == RequestOutcome::kComplete) return;
  const bool broke = event.kind == RequestOutcome::kFailed ||
                     event.kind == RequestOutcome::kConnectionLost;
  const WasteCause default_cause =
      broke ? WasteCause::kServerBroke : WasteCause::kCallerDisconnected;
  const WasteCause cause = running.cancel_cause.value_or(default_cause);
  state.counters.prefill_wasted[static_cast<std::size_t>(cause)] += prefill;
}

}  // namespace

void AdoptRunning(State& state, const RequestRunning& event) {
  const Request& request = event.request;
  const ServerIndex server = state.servers.Find(event.server);
  if (server == kNoIndex) return;
  if (state.running.Find(request.id) != kNoIndex) return;
  // The report that it is running may arrive while it still waits here.
  const auto waits = state.waiting_by_id.find(request.id);
  if (waits != state.waiting_by_id.end()) {
    RemoveWaiting(state, waits->second);
    state.changes.all = true;
  }
  const PoolIndex pool = PoolFor(state, request);
  if (pool == kNoIndex) return;
  const WorkspaceIndex workspace = state.limits.IndexOf(request.workspace);

  WaitingRequest origin = MakeWaitingRequest(state, request, workspace, pool);
  const double cached = std::min<double>(
      request.prompt_tokens,
      state.cache.Find(origin.marks).CachedTokens(server, state.now));
  Demand demand;
  demand.plain = request.model.empty();
  demand.output_tokens = origin.output.median;
  demand.kv_tokens = request.prompt_tokens + origin.output.p90;
  demand.prefill_tokens =
      event.just_sent ? request.prompt_tokens - cached : request.prompt_tokens;
  RunningRequest running =
      MakeRunning(state, std::move(origin), server, demand, cached);
  running.first_token = event.output_tokens > 0;
  running.output_tokens = event.output_tokens;
  running.times_unknown = !event.just_sent;
  if (running.times_unknown) running.overdue_at = absl::InfiniteFuture();

  Server& target = state.servers.at(server);
  target.OnGrant(running.demand, state.now);
  state.power.AddStream(server, /*prefilling=*/true);
  if (running.first_token) {
    target.OnFirstToken(running.demand, state.now);
    state.power.OnFirstToken(server, /*cancelling=*/false);
  }
  state.limits.AddRunning(workspace);
  state.cache.OnGrant(server, running.origin.marks, 0, state.now);
  const RunIndex run = state.running.Add(std::move(running));
  const PromptLoad load = target.PromptLoadAt(state.now);
  state.pauses.OnGrant(server, run, request, load, state.now);
  if (event.output_tokens > 0) {
    state.pauses.OnFirstToken(server, run, load, state.now);
  }
  state.servers.Reindex(server, state.now);
}

void OnPeerLimitReported(State& state, const PeerLimitReported& event) {
  const ServerIndex server = state.servers.Find(event.server);
  if (server == kNoIndex) return;
  RequestLimit& limit = state.servers.at(server).limit;
  const bool before = limit.limited();
  limit.OnPeerReport(event.per_second, state.now);
  if (limit.limited()) OnLimitChanged(state, server, before);
}

void OnRequestDelayed(State& state, const RequestDelayed& event) {
  const RunIndex index = state.running.Find(event.id);
  if (index != kNoIndex) state.running.IgnoreTimes(index);
}

void OnTokensStreamed(State& state, const TokensStreamed& event) {
  const RunIndex index = state.running.Find(event.id);
  if (index == kNoIndex) return;
  const RunningRequest& running = state.running.Get(index);
  const ServerIndex server = running.server;
  RecordReached(state, running);
  RecordLimit(state, running, event.request_limit);
  const int window = state.servers.at(server).window.streams();
  const bool first = !running.first_token;
  if (first) {
    RecordSlowdown(state, running, event.machine_slowdown);
    OnFirstToken(state, index, event.machine_slowdown);
  } else {
    OnMoreTokens(state, index, event.output_tokens);
    state.suspect_parts().OnWritten(running.origin.request.parts);
  }
  LearnPauses(state, index, running, event.pauses);
  GrowMemoryReservation(state, index, event.output_tokens);
  const int tokens = std::max(running.output_tokens, event.output_tokens);
  state.running.SetOutputTokens(index, tokens, state.now);
  // Prefill capacity and power became free, or the window grew.
  if (first || state.servers.at(server).window.streams() > window) {
    OnCapacityFreed(state, server);
  } else {
    state.servers.Reindex(server, state.now);
  }
}

void OnRequestFinished(State& state, const RequestFinished& event) {
  const RunIndex index = state.running.Find(event.id);
  if (index == kNoIndex) return;
  LearnPauses(state, index, state.running.Get(index), event.pauses);
  RunningRequest running = state.running.Remove(index);
  const ServerIndex server_index = running.server;
  state.pauses.OnFinish(server_index, index);
  Server& server = state.servers.at(server_index);
  Release(state, running);
  const bool reached = event.kind == RequestOutcome::kComplete ||
                       event.kind == RequestOutcome::kShed;
  if (reached) RecordReached(state, running);
  RecordCooldowns(state, running, event.cooldowns);
  RecordLimit(state, running, event.request_limit);
  // The head of a stream came with its first token, so its value is old now.
  if (running.demand.plain) {
    RecordSlowdown(state, running, event.machine_slowdown);
  }
  switch (event.kind) {
    case RequestOutcome::kComplete:
      ++state.counters.completed;
      server.RecordOutcome(/*failed=*/false);
      state.suspects().OnServed(running.origin.request.content);
      state.suspect_parts().OnWritten(running.origin.request.parts);
      CountPrefill(state, running, event);
      LearnFromResponse(state, running, event);
      break;
    case RequestOutcome::kConnectionLost:
      state.suspects().OnServerLost(running.origin.request.content,
                                    server.spec.id, state.now);
      state.suspect_parts().OnServerLost(running.origin.request.parts,
                                         server.spec.id, event.progress,
                                         state.now);
      [[fallthrough]];
    case RequestOutcome::kFailed:
      CountPrefill(state, running, event);
      // A server that fails every request at once looks idle and would attract
      // all work.
      server.RecordOutcome(/*failed=*/true);
      if (running.first_token) {
        ReduceWindow(state, server);
      } else {
        server.window.OnFailure(state.now);
      }
      break;
    case RequestOutcome::kCancelled:
      ++state.counters.cancelled;
      CountPrefill(state, running, event);
      break;
    case RequestOutcome::kShed:
      ++state.counters.shed_by_server;
      // The cooldown excludes this host for the stated time. A smaller window
      // would exclude all hosts for a guessed one.
      if (!event.cooldowns.empty()) break;
      server.RecordOutcome(/*failed=*/true);
      ReduceWindow(state, server);
      break;
    case RequestOutcome::kWithheld:
      ++state.counters.withheld;
      server.limit.Refund();
      if (!running.cancel_cause) QueueAgain(state, std::move(running.origin));
      break;
    case RequestOutcome::kNotSent:
      server.limit.Refund();
      OnUnreachable(state, server, running);
      // A Cancel already was the final decision on the request.
      if (!running.cancel_cause) {
        RetryOrRefuse(state, std::move(running.origin), server_index);
      } else {
        ++state.counters.cancelled;
      }
      break;
  }
  OnCapacityFreed(state, server_index);
}

void PenalizeOverdueServers(State& state) {
  while (true) {
    const RunIndex index = state.running.FirstOverdue(state.now);
    if (index == kNoIndex) return;
    const RunningRequest& running = state.running.Get(index);
    Server& server = state.servers.at(running.server);
    if (server.IsOvertaken(running.granted_at)) {
      state.running.IgnoreTimes(index);
      continue;
    }
    ++state.counters.overdue_first_tokens;
    // The first token takes at least this long.
    const absl::Duration waited = state.now - running.granted_at;
    const double seconds = absl::ToDoubleSeconds(waited);
    if (!running.demand.plain) {
      server.speed.AddFirstTokenSample(seconds,
                                       running.expected_first_token_uncached);
    }
    ReduceWindow(state, server);
    // Overdue again after twice the time.
    state.running.SetOverdueTime(index, state.now + waited);
    state.servers.Reindex(running.server, state.now);
  }
}

}  // namespace gentianlb::schedule
