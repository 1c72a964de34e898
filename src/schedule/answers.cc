#include "schedule/answers.h"

#include <algorithm>
#include <utility>

#include "schedule/grant.h"
#include "schedule/intake.h"
#include "schedule/work.h"

namespace gentianlb::schedule {
namespace {

// A first token is slow beyond this many times its prediction and a quarter of
// a second, which covers the jitter of a network and of a batch step.
constexpr double kSlowFactor = 3;
constexpr double kSlowSeconds = 0.25;

void CutWindow(State& state, Server& server) {
  if (server.window.OnSlowResponse(state.now)) ++state.counters.window_cuts;
}

// Good or slow, by one answer and by what the server's answers are together.
// `running` is what ran there when the answer came, itself included: counted
// without it, a window of a plain service, whose calls show nothing before
// their end, never seems full and never grows again.
void Judge(State& state, Server& server, int running, bool slow) {
  if (slow || server.speed.straggling()) return CutWindow(state, server);
  server.window.OnGoodResponse(state.now, running >= server.window.streams());
}

// Between the two expectations, it is the cache that was misjudged, not the
// server.
void SampleFirstToken(Server& server, const RunningRequest& running,
                      double seconds) {
  if (seconds <= server.speed.TotalSeconds(running.expected_first_token)) {
    server.speed.AddFirstTokenSample(seconds, running.expected_first_token);
  } else if (seconds >=
             server.speed.TotalSeconds(running.expected_first_token_uncached)) {
    server.speed.AddFirstTokenSample(seconds,
                                     running.expected_first_token_uncached);
  }
}

void FirstToken(State& state, RunIndex index) {
  const RunningRequest& running = state.running.Get(index);
  Server& server = state.servers.at(running.server);
  const double seconds = absl::ToDoubleSeconds(state.now - running.granted_at);
  bool slow = false;
  if (!running.taken_over) {
    SampleFirstToken(server, running, seconds);
    slow = seconds >
           kSlowFactor * running.predicted_first_token_seconds + kSlowSeconds;
  }
  // Its prompt is computed: prompt room and watts are free for others.
  server.OnFirstToken(running.demand, state.now);
  state.power.OnFirstToken(running.server, running.cancel_cause.has_value());
  state.running.SetFirstToken(index);
  Judge(state, server, server.running(), slow);
}

void MoreTokens(State& state, RunIndex index, int tokens) {
  const RunningRequest& running = state.running.Get(index);
  Server& server = state.servers.at(running.server);
  const int more = tokens - running.output_tokens;
  if (more <= 0) return;  // Overtaken on the way.
  const double seconds =
      absl::ToDoubleSeconds(state.now - running.last_report_at);
  server.speed.AddDecodeSample(seconds / more, server.running());
  Judge(state, server, server.running(), /*slow=*/false);
}

// An answer that outgrows its estimate needs more memory than was reserved.
void CorrectMemory(State& state, RunIndex index, int tokens) {
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

// Frees what `running` held, whatever its end.
void Release(State& state, const RunningRequest& running) {
  Server& server = state.servers.at(running.server);
  server.OnFinish(running.demand, running.first_token, state.now);
  state.power.RemoveStream(running.server, !running.first_token,
                           running.cancel_cause.has_value());
  state.limits.RemoveRunning(running.origin.workspace);
  if (running.cancel_cause == WasteCause::kPreempted) --state.preempting;
}

void LearnFromAnswer(State& state, const RunningRequest& running,
                     const RequestEnded& event) {
  const Waiting& origin = running.origin;
  Server& server = state.servers.at(running.server);
  state.retries.OnCall();
  if (running.demand.plain) {
    if (running.taken_over) return;
    server.speed.AddCallSample(
        absl::ToDoubleSeconds(state.now - running.granted_at));
    return Judge(state, server, server.running() + 1, /*slow=*/false);
  }
  // The last stretch of the stream, or all of it where reports are few.
  const int more = event.output_tokens - running.output_tokens;
  if (running.first_token && more > 0) {
    const double seconds =
        absl::ToDoubleSeconds(state.now - running.last_report_at);
    server.speed.AddDecodeSample(seconds / more, server.running() + 1);
    Judge(state, server, server.running() + 1, /*slow=*/false);
  }
  state.estimator.Learn(origin.request, origin.workspace, event.output_tokens);
  // Engines that don't report cached tokens say 0: nothing to learn from.
  if (event.cached_prompt_tokens > 0) {
    state.cache.OnCachedTokensReported(running.server, running.cached_tokens,
                                       event.cached_prompt_tokens);
  }
  // The workspace pays for what it got, not for what was expected.
  const double actual =
      WorkOf(origin.request.prompt_tokens, event.output_tokens);
  state.queue.Correct({origin.request.tier, origin.pool}, origin.workspace,
                      origin.weight, actual - origin.work);
  state.limits.Charge(origin.workspace,
                      event.output_tokens - origin.output.median);
}

double PrefillOf(const RunningRequest& running, const RequestEnded& event,
                 absl::Time now) {
  if (event.kind != EndKind::kComplete) return ComputedPrefill(running, now);
  if (event.cached_prompt_tokens <= 0) return running.demand.prefill_tokens;
  return std::max(
      0, running.origin.request.prompt_tokens - event.cached_prompt_tokens);
}

void CountPrefill(State& state, const RunningRequest& running,
                  const RequestEnded& event) {
  const double prefill = PrefillOf(running, event, state.now);
  state.counters.prefill_computed += prefill;
  if (event.kind == EndKind::kComplete) return;
  const WasteCause unasked = event.kind == EndKind::kBroken
                                 ? WasteCause::kServerBroke
                                 : WasteCause::kCallerDisconnected;
  const WasteCause cause = running.cancel_cause.value_or(unasked);
  state.counters.prefill_wasted[static_cast<std::size_t>(cause)] += prefill;
}

}  // namespace

void TakeOver(State& state, const RequestRunning& event) {
  const Request& request = event.request;
  const ServerIndex server = state.servers.Find(event.server);
  if (server == kNoIndex) return;
  if (state.running.Find(request.id) != kNoIndex) return;
  // It was granted before this dispatcher heard of it as waiting.
  const auto waits = state.waiting_by_id.find(request.id);
  if (waits != state.waiting_by_id.end()) {
    RemoveWaiting(state, waits->second);
    state.changes.all = true;
  }
  const PoolIndex pool = state.servers.FindPool(request.model);
  if (pool == kNoIndex) return;
  const WorkspaceIndex workspace = state.limits.IndexOf(request.workspace);

  Waiting origin = Describe(state, request, workspace, pool);
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
      BeginOn(state, std::move(origin), server, demand, cached);
  running.first_token = event.output_tokens > 0;
  running.output_tokens = event.output_tokens;
  running.taken_over = !event.just_sent;
  if (running.taken_over) running.overdue_at = absl::InfiniteFuture();

  Server& target = state.servers.at(server);
  target.OnGrant(running.demand, state.now);
  state.power.AddStream(server, /*prefilling=*/true);
  if (running.first_token) {
    target.OnFirstToken(running.demand, state.now);
    state.power.OnFirstToken(server, /*cancelling=*/false);
  }
  state.limits.AddRunning(workspace);
  state.cache.OnGrant(server, running.origin.marks, 0, state.now);
  state.running.Add(std::move(running));
  state.servers.Reindex(server, state.now);
}

void Streamed(State& state, const TokensStreamed& event) {
  const RunIndex index = state.running.Find(event.id);
  if (index == kNoIndex) return;
  const RunningRequest& running = state.running.Get(index);
  const ServerIndex server = running.server;
  const int window = state.servers.at(server).window.streams();
  const bool first = !running.first_token;
  if (first) {
    FirstToken(state, index);
  } else {
    MoreTokens(state, index, event.output_tokens);
  }
  CorrectMemory(state, index, event.output_tokens);
  const int tokens = std::max(running.output_tokens, event.output_tokens);
  state.running.SetOutputTokens(index, tokens, state.now);
  // Prompt room and watts, or a larger window.
  if (first || state.servers.at(server).window.streams() > window) {
    RoomOn(state, server);
  } else {
    state.servers.Reindex(server, state.now);
  }
}

void Ended(State& state, const RequestEnded& event) {
  const RunIndex index = state.running.Find(event.id);
  if (index == kNoIndex) return;
  RunningRequest running = state.running.Remove(index);
  const ServerIndex index_of_server = running.server;
  Server& server = state.servers.at(index_of_server);
  Release(state, running);
  switch (event.kind) {
    case EndKind::kComplete:
      ++state.counters.completed;
      server.RecordOutcome(/*failed=*/false);
      CountPrefill(state, running, event);
      LearnFromAnswer(state, running, event);
      break;
    case EndKind::kBroken:
      CountPrefill(state, running, event);
      // A server that breaks everything at once looks idle and would draw all
      // work to itself.
      server.RecordOutcome(/*failed=*/true);
      if (running.first_token) {
        CutWindow(state, server);
      } else {
        server.window.OnFailure(state.now);
      }
      break;
    case EndKind::kCancelled:
      ++state.counters.cancelled;
      CountPrefill(state, running, event);
      break;
    case EndKind::kShed:
      ++state.counters.shed_by_server;
      server.RecordOutcome(/*failed=*/true);
      CutWindow(state, server);
      break;
    case EndKind::kNotSent:
      server.window.OnUnreachable(state.now);
      // A cancel was its final answer already.
      if (!running.cancel_cause) {
        Retry(state, std::move(running.origin), index_of_server);
      } else {
        ++state.counters.cancelled;
      }
      break;
  }
  RoomOn(state, index_of_server);
}

void NoticeSilence(State& state) {
  while (true) {
    const RunIndex index = state.running.FirstOverdue(state.now);
    if (index == kNoIndex) return;
    const RunningRequest& running = state.running.Get(index);
    Server& server = state.servers.at(running.server);
    ++state.counters.overdue_first_tokens;
    // It has taken at least this long.
    const absl::Duration silent = state.now - running.granted_at;
    const double seconds = absl::ToDoubleSeconds(silent);
    if (!running.demand.plain) {
      server.speed.AddFirstTokenSample(seconds,
                                       running.expected_first_token_uncached);
    }
    CutWindow(state, server);
    // Noticed again when it has been silent for twice as long.
    state.running.SetOverdueTime(index, state.now + silent);
    state.servers.Reindex(running.server, state.now);
  }
}

}  // namespace gentianlb::schedule
