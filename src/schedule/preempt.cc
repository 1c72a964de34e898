#include "schedule/preempt.h"

#include <algorithm>
#include <limits>

#include "schedule/work.h"

namespace gentianlb::schedule {
namespace {

// A cancel frees its capacity a few milliseconds later. Two at a time suffice
// for hundreds of urgent requests a second and never empty the engines at once.
constexpr int kMaxPendingPreemptions = 2;

// Maximum number of candidates that are examined for one preemption.
constexpr int kMaxVictimsExamined = 32;

// Returns whether the work that can finish in time outweighs the prompt tokens
// wasted by a cancel, by the deployment's weights.
bool IsWorthCancelling(const Weights& weights, double gained_work,
                       double wasted_tokens) {
  return weights.goodput * gained_work >=
         weights.wasted_prefill * kPromptTokenWork * wasted_tokens;
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

void EnforcePowerShare(State& state) {
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

void CancelExpired(State& state) {
  while (!state.queue.empty()) {
    const RunIndex index = state.running.EarliestDeadline();
    if (index == kNoIndex) return;
    const RunningRequest& running = state.running.Get(index);
    const Request& request = running.origin.request;
    if (request.deadline > state.now) return;
    // A request that is nearly finished occupies little capacity; letting it
    // run wastes nothing.
    const OutputEstimate output =
        CorrectEstimate(running.origin.output, running.output_tokens,
                        request.max_output_tokens);
    const double remaining = output.median - running.output_tokens;
    const double wasted_tokens = ComputedPrefill(running, state.now);
    if (IsWorthCancelling(state.options.weights, remaining, wasted_tokens)) {
      CancelRunning(state, index, WasteCause::kDeadlineMissed);
    } else {
      state.running.IgnoreDeadline(index);
    }
  }
}

void PreemptFor(State& state, WaitIndex index, bool for_power) {
  const WaitingRequest& waiting = state.queue.Get(index);
  if (!state.options.allow_preemption || state.now < waiting.urgent_at) return;
  if (state.pending_preemptions >= kMaxPendingPreemptions) return;
  const RunIndex victim = state.running.FirstVictim(
      waiting.request.tier.rank, kMaxVictimsExamined,
      [&](const RunningRequest& running) {
        const Server& server = state.servers.at(running.server);
        const bool frees_capacity =
            for_power
                ? DrawsPower(server)
                : server.configured && server.health == ServerHealth::kAlive &&
                      InPool(server, waiting.pool);
        return frees_capacity &&
               IsWorthCancelling(state.options.weights, waiting.work,
                                 ComputedPrefill(running, state.now));
      });
  if (victim != kNoIndex) {
    CancelRunning(state, victim, WasteCause::kPreempted);
  }
}

}  // namespace gentianlb::schedule
