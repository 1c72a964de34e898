// Counters of a dispatcher's decisions and of wasted prompt work. The metrics
// page, the replay and the tests read them.

#ifndef GENTIANLB_SCHEDULE_COUNTERS_H_
#define GENTIANLB_SCHEDULE_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "base/result.h"

namespace gentianlb::schedule {

// Why prompt work that was already computed was wasted.
enum class WasteCause {
  kCallerDisconnected,
  kDeadlineMissed,
  kPowerShare,  // The dispatcher's power share was reduced.
  kPreempted,   // Cancelled in favour of a request of a higher tier.
  kServerBroke,
};
inline constexpr std::size_t kNumWasteCauses = 5;

struct Counters {
  std::uint64_t events = 0;
  std::uint64_t decisions = 0;
  std::uint64_t granted = 0;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t retried = 0;   // Queued again after RequestOutcome::kNotSent.
  std::uint64_t withheld = 0;  // Queued again after RequestOutcome::kWithheld.
  // Outcomes kNotSent for servers that another host reached meanwhile.
  std::uint64_t lost_paths = 0;
  // Refused requests by tier rank and result code.
  std::map<std::pair<int, Code>, std::uint64_t> refused;
  // Priority inversions: requests refused for lack of capacity or power while a
  // request of a lower tier was waiting. Expected to stay 0.
  std::uint64_t inversions = 0;
  // Reservations for the retries of refused callers: made, used by a retry, and
  // expired without one.
  std::uint64_t returns_reserved = 0;
  std::uint64_t returns_kept = 0;
  std::uint64_t returns_expired = 0;
  double prefill_computed = 0;  // Tokens, predicted or reported.
  // Prompt tokens, indexed by WasteCause.
  std::array<double, kNumWasteCauses> prefill_wasted{};
  std::uint64_t shed_by_server = 0;        // Rejected by a full server.
  std::uint64_t windows_reduced = 0;       // Reductions of concurrency windows.
  std::uint64_t overdue_first_tokens = 0;  // First tokens found overdue.
  bool operator==(const Counters&) const = default;

  // Returns the prompt tokens wasted for `cause`.
  double WastedPrefill(WasteCause cause) const {
    return prefill_wasted[static_cast<std::size_t>(cause)];
  }
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_COUNTERS_H_
