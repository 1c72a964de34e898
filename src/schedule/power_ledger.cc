#include "schedule/power_ledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gentianlb::schedule {
namespace {

// Converts watts to milliwatts, rounded up so that sums never underestimate.
std::int64_t Milliwatts(double watts) {
  return static_cast<std::int64_t>(std::ceil(watts * 1000));
}

}  // namespace

void PowerLedger::SetServer(ServerIndex server, const ServerSpec& spec,
                            bool on) {
  if (server >= draws_.size()) draws_.resize(server + 1);
  const PowerModel& power = spec.power;
  Update(server, [&](Draw& draw) {
    draw.idle = Milliwatts(power.idle_watts);
    draw.stream = Milliwatts(power.watts_per_stream);
    draw.prefill = Milliwatts(power.joules_per_prefill_token *
                              spec.prefill_tokens_per_second);
    draw.on = on;
  });
}

void PowerLedger::SetShare(double watts) {
  constexpr double kMaxWatts = 1e15;  // Effectively unlimited; avoids overflow.
  share_ = static_cast<std::int64_t>(
      std::floor(std::clamp(watts, 0.0, kMaxWatts) * kMilliwattsPerWatt));
}

void PowerLedger::AddStream(ServerIndex server, bool prefilling) {
  Update(server, [&](Draw& draw) {
    ++draw.streams;
    if (prefilling) ++draw.prefilling;
  });
}

void PowerLedger::OnFirstToken(ServerIndex server, bool cancelling) {
  Update(server, [&](Draw& draw) {
    --draw.prefilling;
    if (cancelling) --draw.cancelling_prefill;
  });
}

void PowerLedger::OnCancel(ServerIndex server, bool prefilling) {
  Update(server, [&](Draw& draw) {
    ++draw.cancelling;
    if (prefilling) ++draw.cancelling_prefill;
  });
}

void PowerLedger::RemoveStream(ServerIndex server, bool prefilling,
                               bool cancelling) {
  Update(server, [&](Draw& draw) {
    --draw.streams;
    if (prefilling) --draw.prefilling;
    if (cancelling) --draw.cancelling;
    if (cancelling && prefilling) --draw.cancelling_prefill;
  });
}

bool PowerLedger::Fits(ServerIndex server, double reserve) const {
  const Draw& draw = draws_[server];
  Draw with_request = draw;
  ++with_request.streams;
  ++with_request.prefilling;
  const std::int64_t extra = WorstCase(with_request) - WorstCase(draw);
  const std::int64_t above_idle = std::max<std::int64_t>(0, share_ - idle_);
  // The reserve does not apply while nothing runs; otherwise a small share
  // would never admit a request of a lower tier.
  const auto reserved = streams_ == 0
                            ? 0
                            : static_cast<std::int64_t>(
                                  static_cast<double>(above_idle) * reserve);
  // A request that adds no worst-case power always fits.
  return extra == 0 || worst_case_ + extra <= share_ - reserved;
}

std::int64_t PowerLedger::WorstCase(const Draw& draw) {
  const bool on = draw.on || draw.streams > 0;
  return (on ? draw.idle : 0) + draw.streams * draw.stream +
         (draw.prefilling > 0 ? draw.prefill : 0);
}

std::int64_t PowerLedger::WorstCaseAfterCancels(const Draw& draw) {
  Draw remaining = draw;
  remaining.streams -= draw.cancelling;
  remaining.prefilling -= draw.cancelling_prefill;
  return WorstCase(remaining);
}

template <typename Change>
void PowerLedger::Update(ServerIndex server, Change change) {
  Draw& draw = draws_[server];
  worst_case_ -= WorstCase(draw);
  after_cancels_ -= WorstCaseAfterCancels(draw);
  idle_ -= draw.on ? draw.idle : 0;
  streams_ -= draw.streams - draw.cancelling;
  change(draw);
  worst_case_ += WorstCase(draw);
  after_cancels_ += WorstCaseAfterCancels(draw);
  idle_ += draw.on ? draw.idle : 0;
  streams_ += draw.streams - draw.cancelling;
}

}  // namespace gentianlb::schedule
