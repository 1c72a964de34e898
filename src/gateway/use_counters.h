// What a sender's counters of workspaces' tokens have grown by.
//
// Counters travel in place of amounts, so that a lost message loses nothing.

#ifndef GENTIANLB_GATEWAY_USE_COUNTERS_H_
#define GENTIANLB_GATEWAY_USE_COUNTERS_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {

struct UseGrowth {
  NameHash workspace = 0;
  std::uint64_t let_through = 0;
  std::uint64_t given_back = 0;
  auto operator<=>(const UseGrowth&) const = default;
};

// What the first message of a sender counts for. It may have told others of
// the same, or nobody: then it counts in full, or what hosts overdrew while
// they heard of nobody would never be paid back.
enum class FirstMessage {
  kNothing,  // It only says from where to count.
  kUnheard,  // What the host let through since it heard of the others last.
  kAll,
};

class UseCounters {
 public:
  // What has grown since the last message; a sender that began anew has counted
  // from 0.
  std::vector<UseGrowth> Take(std::int64_t incarnation,
                              const std::vector<WorkspaceUse>& uses,
                              FirstMessage counts = FirstMessage::kNothing) {
    const bool first = incarnation_ == 0;
    if (incarnation != incarnation_) told_.clear();
    incarnation_ = incarnation;
    std::vector<UseGrowth> grown;
    for (const WorkspaceUse& use : uses) {
      WorkspaceUse& before = told_[use.workspace];
      UseGrowth growth{use.workspace, Growth(before.admitted, use.admitted),
                       Growth(before.refunded, use.refunded)};
      before = use;
      if (first) growth = First(growth, use, counts);
      const bool none = growth.let_through == 0 && growth.given_back == 0;
      if (!none) grown.push_back(growth);
    }
    return grown;
  }

 private:
  static UseGrowth First(const UseGrowth& all, const WorkspaceUse& use,
                         FirstMessage counts) {
    if (counts == FirstMessage::kAll) return all;
    if (counts == FirstMessage::kNothing) return {use.workspace};
    return {use.workspace, static_cast<std::uint64_t>(use.unreported)};
  }

  static std::uint64_t Growth(std::uint64_t before, std::uint64_t now) {
    return now - std::min(now, before);
  }

  std::int64_t incarnation_ = 0;
  absl::flat_hash_map<NameHash, WorkspaceUse> told_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_USE_COUNTERS_H_
