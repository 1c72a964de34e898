// Computes how much a sender's token counters have grown between messages.
//
// Messages carry counters, not amounts, so that a lost message loses nothing.

#ifndef GENTIANLB_GATEWAY_USE_COUNTERS_H_
#define GENTIANLB_GATEWAY_USE_COUNTERS_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {

struct UseDelta {
  NameHash workspace = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refunded = 0;
  auto operator<=>(const UseDelta&) const = default;
};

// How the first message of a sender counts. The receiver may know its contents
// from other messages or not at all. In the latter case they must count in
// full, or an overdraft of hosts that could reach no peer would never be paid
// back.
enum class FirstMessage {
  kIgnore,      // It only sets the counters' start values.
  kUnreported,  // Counts use since the host's last update from its peers.
  kAll,
};

class UseCounters {
 public:
  // Returns the growth since the last message. A restarted sender has counted
  // from 0.
  std::vector<UseDelta> Update(std::int64_t incarnation,
                               const std::vector<WorkspaceUse>& uses,
                               FirstMessage counting = FirstMessage::kIgnore) {
    const bool first = incarnation_ == 0;
    if (incarnation != incarnation_) last_reported_.clear();
    incarnation_ = incarnation;
    std::vector<UseDelta> deltas;
    for (const WorkspaceUse& use : uses) {
      WorkspaceUse& previous = last_reported_[use.workspace];
      UseDelta delta{use.workspace, Increase(previous.admitted, use.admitted),
                     Increase(previous.refunded, use.refunded)};
      previous = use;
      if (first) delta = CountFirst(delta, use, counting);
      const bool unchanged = delta.admitted == 0 && delta.refunded == 0;
      if (!unchanged) deltas.push_back(delta);
    }
    return deltas;
  }

 private:
  static UseDelta CountFirst(const UseDelta& increase, const WorkspaceUse& use,
                             FirstMessage counting) {
    if (counting == FirstMessage::kAll) return increase;
    if (counting == FirstMessage::kIgnore) return {use.workspace};
    return {use.workspace, static_cast<std::uint64_t>(use.unreported)};
  }

  static std::uint64_t Increase(std::uint64_t previous, std::uint64_t current) {
    return current - std::min(current, previous);
  }

  std::int64_t incarnation_ = 0;
  absl::flat_hash_map<NameHash, WorkspaceUse> last_reported_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_USE_COUNTERS_H_
