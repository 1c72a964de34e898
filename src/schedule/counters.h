// What a dispatcher has decided and thrown away so far, as plain numbers: for
// the metrics page, the replay and the tests, which judge the policy by them.

#ifndef GENTIANLB_SCHEDULE_COUNTERS_H_
#define GENTIANLB_SCHEDULE_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "base/result.h"

namespace gentianlb::schedule {

// Why computed prompt work was thrown away.
enum class WasteCause {
  kCallerGone,
  kDeadlineMissed,
  kPowerShare,  // The share of watts shrank.
  kPreempted,   // For a request of a higher tier.
  kServerBroke,
};
inline constexpr std::size_t kWasteCauses = 5;

struct Counters {
  std::uint64_t events = 0;
  std::uint64_t decisions = 0;
  std::uint64_t granted = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t retried = 0;  // Granted again after kNotSent.
  // By rank of the tier and code.
  std::map<std::pair<int, Code>, std::uint64_t> refused;
  // Refused for want of room or power while a lower tier waited; stays 0.
  std::uint64_t inversions = 0;
  double prefill_computed = 0;  // Tokens, as predicted or reported.
  std::array<double, kWasteCauses> prefill_wasted{};
  std::uint64_t shed_by_server = 0;  // Sent to a server that had no room.
  std::uint64_t window_cuts = 0;
  std::uint64_t silences = 0;  // First tokens long overdue.
  bool operator==(const Counters&) const = default;

  double Wasted(WasteCause cause) const {
    return prefill_wasted[static_cast<std::size_t>(cause)];
  }
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_COUNTERS_H_
