#include "schedule/power.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace gentianlb::schedule {
namespace {

// Rounded up: the bound holds to the last milliwatt.
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
  constexpr double kMax = 1e15;  // No bound; far from overflow.
  share_ = static_cast<std::int64_t>(
      std::floor(std::clamp(watts, 0.0, kMax) * kMilli));
}

void PowerLedger::Begin(ServerIndex server, bool prefilling) {
  Update(server, [&](Draw& draw) {
    ++draw.streams;
    if (prefilling) ++draw.prefilling;
  });
}

void PowerLedger::FirstToken(ServerIndex server, bool cancelling) {
  Update(server, [&](Draw& draw) {
    --draw.prefilling;
    if (cancelling) --draw.cancelling_prefill;
  });
}

void PowerLedger::Cancelling(ServerIndex server, bool prefilling) {
  Update(server, [&](Draw& draw) {
    ++draw.cancelling;
    if (prefilling) ++draw.cancelling_prefill;
  });
}

void PowerLedger::End(ServerIndex server, bool prefilling, bool cancelling) {
  Update(server, [&](Draw& draw) {
    --draw.streams;
    if (prefilling) --draw.prefilling;
    if (cancelling) --draw.cancelling;
    if (cancelling && prefilling) --draw.cancelling_prefill;
  });
}

bool PowerLedger::Fits(ServerIndex server, double reserve) const {
  const Draw& draw = draws_[server];
  Draw more = draw;
  ++more.streams;
  ++more.prefilling;
  const std::int64_t extra = Worst(more) - Worst(draw);
  const std::int64_t above_idle = std::max<std::int64_t>(0, share_ - idle_);
  // With nothing running the reserve is void, or a small share would never let
  // the lower tiers have anything.
  const auto kept = streams_ == 0
                        ? 0
                        : static_cast<std::int64_t>(
                              static_cast<double>(above_idle) * reserve);
  // A server that draws nothing more needs no room.
  return extra == 0 || worst_ + extra <= share_ - kept;
}

std::int64_t PowerLedger::Worst(const Draw& draw) {
  const bool on = draw.on || draw.streams > 0;
  return (on ? draw.idle : 0) + draw.streams * draw.stream +
         (draw.prefilling > 0 ? draw.prefill : 0);
}

std::int64_t PowerLedger::Settled(const Draw& draw) {
  Draw settled = draw;
  settled.streams -= draw.cancelling;
  settled.prefilling -= draw.cancelling_prefill;
  return Worst(settled);
}

template <typename Change>
void PowerLedger::Update(ServerIndex server, Change change) {
  Draw& draw = draws_[server];
  worst_ -= Worst(draw);
  settled_ -= Settled(draw);
  idle_ -= draw.on ? draw.idle : 0;
  streams_ -= draw.streams - draw.cancelling;
  change(draw);
  worst_ += Worst(draw);
  settled_ += Settled(draw);
  idle_ += draw.on ? draw.idle : 0;
  streams_ += draw.streams - draw.cancelling;
}

}  // namespace gentianlb::schedule
