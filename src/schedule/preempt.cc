#include "schedule/preempt.h"

#include <algorithm>
#include <limits>

#include "schedule/work.h"

namespace gentianlb::schedule {
namespace {

// A cancel frees its room a few milliseconds later. Two at a time keep up with
// hundreds of urgent requests a second and never empty the engines at a blow.
constexpr int kMaxPreempting = 2;

// How many that could give way are looked at.
constexpr int kPreemptTried = 32;

// The gain, in tokens of work done in time, against prompt work thrown away.
bool WorthIt(const Weights& weights, double gained_work, double thrown) {
  return weights.goodput * gained_work >=
         weights.wasted_prefill * kPromptTokenWork * thrown;
}

bool DrawsPower(const Server& server) {
  const PowerModel& power = server.spec.power;
  return power.watts_per_stream > 0 || power.joules_per_prefill_token > 0;
}

bool InPool(const Server& server, PoolIndex pool) {
  return std::find(server.pools.begin(), server.pools.end(), pool) !=
         server.pools.end();
}

}  // namespace

void EnforceShare(State& state) {
  constexpr int kAll = std::numeric_limits<int>::max();
  while (state.power.MustCancel()) {
    const RunIndex victim = state.running.FirstVictim(
        /*above=*/-1, kAll, [&](const RunningRequest& running) {
          return DrawsPower(state.servers.at(running.server));
        });
    if (victim == kNoIndex) return;
    CancelRunning(state, victim, WasteCause::kPowerShare);
  }
}

void CancelLate(State& state) {
  while (!state.queue.empty()) {
    const RunIndex index = state.running.EarliestDeadline();
    if (index == kNoIndex) return;
    const RunningRequest& running = state.running.Get(index);
    const Request& request = running.origin.request;
    if (request.deadline > state.now) return;
    // What is nearly done costs others little and throws nothing away.
    const OutputEstimate output =
        CorrectEstimate(running.origin.output, running.output_tokens,
                        request.max_output_tokens);
    const double remaining = output.median - running.output_tokens;
    const double thrown = ComputedPrefill(running, state.now);
    if (WorthIt(state.options.weights, remaining, thrown)) {
      CancelRunning(state, index, WasteCause::kDeadlineMissed);
    } else {
      state.running.IgnoreDeadline(index);
    }
  }
}

void Preempt(State& state, WaitIndex index, bool for_power) {
  const Waiting& waiting = state.queue.Get(index);
  if (!state.options.allow_preemption || state.now < waiting.urgent_at) return;
  if (state.preempting >= kMaxPreempting) return;
  const RunIndex victim = state.running.FirstVictim(
      waiting.request.tier.rank, kPreemptTried,
      [&](const RunningRequest& running) {
        const Server& server = state.servers.at(running.server);
        const bool helps = for_power
                               ? DrawsPower(server)
                               : server.configured &&
                                     server.health == ServerHealth::kAlive &&
                                     InPool(server, waiting.pool);
        return helps && WorthIt(state.options.weights, waiting.work,
                                ComputedPrefill(running, state.now));
      });
  if (victim != kNoIndex) {
    CancelRunning(state, victim, WasteCause::kPreempted);
  }
}

}  // namespace gentianlb::schedule
