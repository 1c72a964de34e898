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

void CutWindow(State& state, Server& server) {
  if (server.window.Slow(state.now)) ++state.counters.window_cuts;
}

// Grows or cuts the window by one response and by the server's recent speed.
// `running` is the number of streams on the server when the response arrived,
// including its own. Without its own, the window of a plain service, whose
// calls report nothing before their end, would never look full and never grow
// again.
void UpdateWindow(State& state, Server& server, int running, bool slow) {
  if (slow || server.pace.straggling()) return CutWindow(state, server);
  server.window.Good(state.now, running >= server.window.streams());
}

// A time between the two expectations means that the cache was misjudged, not
// the server's speed, and gives no sample.
void LearnFirstToken(Server& server, const Running& running, double seconds) {
  if (seconds <= server.pace.Seconds(running.expected_first)) {
    server.pace.AddFirstToken(seconds, running.expected_first);
  } else if (seconds >= server.pace.Seconds(running.expected_uncached)) {
    server.pace.AddFirstToken(seconds, running.expected_uncached);
  }
}

void OnFirstToken(State& state, RunIndex index) {
  const Running& running = state.running.Get(index);
  Server& server = state.fleet.at(running.server);
  const double seconds = absl::ToDoubleSeconds(state.now - running.granted);
  bool slow = false;
  if (!running.taken_over) {
    LearnFirstToken(server, running, seconds);
    slow = seconds > kSlowFactor * running.predicted_first + kSlowSeconds;
  }
  // The prompt is computed: frees its prefill capacity and power.
  server.FirstToken(running.demand, state.now);
  state.power.FirstToken(running.server, running.cancelled.has_value());
  state.running.SetFirstToken(index);
  UpdateWindow(state, server, server.running(), slow);
}

void OnMoreTokens(State& state, RunIndex index, int tokens) {
  const Running& running = state.running.Get(index);
  Server& server = state.fleet.at(running.server);
  const int new_tokens = tokens - running.output_tokens;
  if (new_tokens <= 0) return;  // An older report arrived late.
  const double seconds = absl::ToDoubleSeconds(state.now - running.reported);
  server.pace.AddTokens(seconds / new_tokens, server.running());
  UpdateWindow(state, server, server.running(), /*slow=*/false);
}

// Reserves more memory for an answer that exceeds its estimate.
void GrowMemoryReservation(State& state, RunIndex index, int tokens) {
  const Running& running = state.running.Get(index);
  if (tokens < running.origin.output.high || running.demand.plain) return;
  const Request& request = running.origin.request;
  const OutputEstimate output =
      Corrected(running.origin.output, tokens, request.max_output_tokens);
  const std::int64_t needed = request.prompt_tokens + output.high;
  if (needed <= running.demand.kv_tokens) return;
  state.fleet.at(running.server).AddMemory(needed - running.demand.kv_tokens);
  Demand demand = running.demand;
  demand.kv_tokens = needed;
  state.running.SetDemand(index, demand);
}

// Frees the capacity of a finished request, whatever its outcome.
void Release(State& state, const Running& running) {
  Server& server = state.fleet.at(running.server);
  server.End(running.demand, running.first_token, state.now);
  state.power.End(running.server, !running.first_token,
                  running.cancelled.has_value());
  state.limits.RunsNoMore(running.origin.workspace);
  if (running.cancelled == WasteCause::kPreempted) --state.pending_preemptions;
}

void LearnFromResponse(State& state, const Running& running,
                       const RequestFinished& event) {
  const WaitingRequest& origin = running.origin;
  Server& server = state.fleet.at(running.server);
  state.retries.OnCall();
  if (running.demand.plain) {
    if (running.taken_over) return;
    server.pace.AddCall(absl::ToDoubleSeconds(state.now - running.granted));
    return UpdateWindow(state, server, server.running() + 1, /*slow=*/false);
  }
  // Tokens since the last report; nearly all of them if reports are rare.
  const int new_tokens = event.output_tokens - running.output_tokens;
  if (running.first_token && new_tokens > 0) {
    const double seconds = absl::ToDoubleSeconds(state.now - running.reported);
    server.pace.AddTokens(seconds / new_tokens, server.running() + 1);
    UpdateWindow(state, server, server.running() + 1, /*slow=*/false);
  }
  state.estimator.Learn(origin.request, origin.workspace, event.output_tokens);
  // Engines that don't report cached tokens send 0.
  if (event.cached_prompt_tokens > 0) {
    state.cache.Reported(running.server, running.cached_tokens,
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

double PrefillTokens(const Running& run, const RequestFinished& event,
                     absl::Time now) {
  if (event.kind != RequestOutcome::kComplete) return ComputedPrefill(run, now);
  if (event.cached_prompt_tokens <= 0) return run.demand.prefill_tokens;
  return std::max(
      0, run.origin.request.prompt_tokens - event.cached_prompt_tokens);
}

void CountPrefill(State& state, const Running& running,
                  const RequestFinished& event) {
  const double prefill = PrefillTokens(running, event, state.now);
  state.counters.prefill_computed += prefill;
  if (event.kind == RequestOutcome::kComplete) return;
  const WasteCause default_cause = event.kind == RequestOutcome::kFailed
                                       ? WasteCause::kServerBroke
                                       : WasteCause::kCallerGone;
  const WasteCause cause = running.cancelled.value_or(default_cause);
  state.counters.prefill_wasted[static_cast<std::size_t>(cause)] += prefill;
}

}  // namespace

void AdoptRunning(State& state, const RequestRunning& event) {
  const Request& request = event.request;
  const ServerIndex server = state.fleet.Find(event.server);
  if (server == kNoIndex) return;
  if (state.running.Find(request.id) != kNoIndex) return;
  // The report that it is running may arrive while it still waits here.
  const auto waits = state.waiting_by_id.find(request.id);
  if (waits != state.waiting_by_id.end()) {
    RemoveWaiting(state, waits->second);
    state.changes.all = true;
  }
  const PoolIndex pool = state.fleet.FindPool(request.model);
  if (pool == kNoIndex) return;
  const WorkspaceIndex workspace = state.limits.Number(request.workspace);

  WaitingRequest origin = MakeWaitingRequest(state, request, workspace, pool);
  const double cached = std::min<double>(
      request.prompt_tokens,
      state.cache.Find(origin.marks).CachedTokens(server, state.now));
  Demand demand;
  demand.plain = request.model.empty();
  demand.output_tokens = origin.output.median;
  demand.kv_tokens = request.prompt_tokens + origin.output.high;
  demand.prefill_tokens =
      event.just_sent ? request.prompt_tokens - cached : request.prompt_tokens;
  Running running =
      MakeRunning(state, std::move(origin), server, demand, cached);
  running.first_token = event.output_tokens > 0;
  running.output_tokens = event.output_tokens;
  running.taken_over = !event.just_sent;
  if (running.taken_over) running.overdue = absl::InfiniteFuture();

  Server& target = state.fleet.at(server);
  target.Begin(running.demand, state.now);
  state.power.Begin(server, /*prefilling=*/true);
  if (running.first_token) {
    target.FirstToken(running.demand, state.now);
    state.power.FirstToken(server, /*cancelling=*/false);
  }
  state.limits.Runs(workspace);
  state.cache.Granted(server, running.origin.marks, 0, state.now);
  state.running.Add(std::move(running));
  state.fleet.Reindex(server, state.now);
}

void OnTokensStreamed(State& state, const TokensStreamed& event) {
  const RunIndex index = state.running.Find(event.id);
  if (index == kNoIndex) return;
  const Running& running = state.running.Get(index);
  const ServerIndex server = running.server;
  const int window = state.fleet.at(server).window.streams();
  const bool first = !running.first_token;
  if (first) {
    OnFirstToken(state, index);
  } else {
    OnMoreTokens(state, index, event.output_tokens);
  }
  GrowMemoryReservation(state, index, event.output_tokens);
  const int tokens = std::max(running.output_tokens, event.output_tokens);
  state.running.SetStreamed(index, tokens, state.now);
  // Prefill capacity and power became free, or the window grew.
  if (first || state.fleet.at(server).window.streams() > window) {
    OnCapacityFreed(state, server);
  } else {
    state.fleet.Reindex(server, state.now);
  }
}

void OnRequestFinished(State& state, const RequestFinished& event) {
  const RunIndex index = state.running.Find(event.id);
  if (index == kNoIndex) return;
  Running running = state.running.Remove(index);
  const ServerIndex server_index = running.server;
  Server& server = state.fleet.at(server_index);
  Release(state, running);
  switch (event.kind) {
    case RequestOutcome::kComplete:
      ++state.counters.completed;
      server.CountEnd(/*failed=*/false);
      CountPrefill(state, running, event);
      LearnFromResponse(state, running, event);
      break;
    case RequestOutcome::kFailed:
      CountPrefill(state, running, event);
      // A server that fails every request at once looks idle and would attract
      // all work.
      server.CountEnd(/*failed=*/true);
      if (running.first_token) {
        CutWindow(state, server);
      } else {
        server.window.Failed(state.now);
      }
      break;
    case RequestOutcome::kCancelled:
      ++state.counters.cancelled;
      CountPrefill(state, running, event);
      break;
    case RequestOutcome::kShed:
      ++state.counters.shed_by_server;
      server.CountEnd(/*failed=*/true);
      CutWindow(state, server);
      break;
    case RequestOutcome::kNotSent:
      server.window.Unreachable(state.now);
      // A Cancel already was the final decision on the request.
      if (!running.cancelled) {
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
    const RunIndex index = state.running.Overdue(state.now);
    if (index == kNoIndex) return;
    const Running& running = state.running.Get(index);
    Server& server = state.fleet.at(running.server);
    ++state.counters.silences;
    // The first token takes at least this long.
    const absl::Duration waited = state.now - running.granted;
    const double seconds = absl::ToDoubleSeconds(waited);
    if (!running.demand.plain) {
      server.pace.AddFirstToken(seconds, running.expected_uncached);
    }
    CutWindow(state, server);
    // Overdue again after twice the time.
    state.running.SetOverdue(index, state.now + waited);
    state.fleet.Reindex(running.server, state.now);
  }
}

}  // namespace gentianlb::schedule
