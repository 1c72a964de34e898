#include "store/call_gate.h"

namespace gentianlb::store {

CallGate::CallGate(GateOptions options)
    : options_(options),
      breaker_(options.breaker),
      reads_(options.reads_per_second, options.burst),
      writes_(options.writes_per_second, options.burst),
      budget_(options.retry) {}

void CallGate::SetHosts(int hosts) {
  reads_.SetHosts(hosts);
  writes_.SetHosts(hosts);
}

GateState CallGate::TryStart(CallKind kind, absl::Time now) {
  if (in_flight_ >= options_.max_in_flight) return GateState::kWait;
  if (ShareFor(kind).NextAt(now) > now) return GateState::kWait;
  // Last check, since the breaker registers each call that it admits.
  if (!breaker_.Allow(now)) return GateState::kDown;
  ShareFor(kind).TryTake(now);
  ++in_flight_;
  ++counters_.sent;
  return GateState::kOpen;
}

absl::Time CallGate::NextAt(CallKind kind, absl::Time now) const {
  if (in_flight_ >= options_.max_in_flight) return absl::InfiniteFuture();
  return (kind == CallKind::kRead ? reads_ : writes_).NextAt(now);
}

std::optional<absl::Time> CallGate::OnAnswer(AnswerKind answer, int retries,
                                             absl::Time now, double random) {
  --in_flight_;
  switch (answer) {
    case AnswerKind::kAnswered:
      breaker_.OnSuccess();
      budget_.OnCall();
      return std::nullopt;
    case AnswerKind::kRateLimited:
      // Some host exceeds its share, but the service is up.
      breaker_.OnInconclusive();
      ++counters_.rate_limited;
      break;
    case AnswerKind::kNotApplied:
      breaker_.OnFailure(now);
      ++counters_.not_applied;
      break;
    case AnswerKind::kLost:
      breaker_.OnFailure(now);
      ++counters_.lost;
      break;
  }
  if (!budget_.Take()) return std::nullopt;
  ++counters_.retried;
  return now + RetryDelay(options_.retry, retries, random);
}

}  // namespace gentianlb::store
