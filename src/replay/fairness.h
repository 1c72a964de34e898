// Whether the workspaces of one tier get their fair shares: Jain's index over
// what each was served against its weighted max-min fair share of all that was
// served. Measured against the share and not against the demand, so that a hot
// workspace that is held back does not count as wronged.

#ifndef GENTIANLB_REPLAY_FAIRNESS_H_
#define GENTIANLB_REPLAY_FAIRNESS_H_

#include <vector>

#include "absl/container/btree_map.h"
#include "base/ids.h"
#include "replay/deployment.h"

namespace gentianlb::replay {

// Tokens of one workspace in one tier.
struct WorkspaceWork {
  double demanded = 0;
  double served = 0;
  auto operator<=>(const WorkspaceWork&) const = default;
};

// 1 when all are served alike; 1/n when one of n gets all.
double Fairness(const absl::btree_map<WorkspaceId, WorkspaceWork>& work,
                const std::vector<WorkspaceLoad>& workspaces);

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_FAIRNESS_H_
