#include "replay/fairness.h"

#include <algorithm>
#include <numeric>

namespace gentianlb::replay {
namespace {

struct Claim {
  double weight = 1;
  double demanded = 0;
  double served = 0;
};

double WeightOf(const WorkspaceId& id,
                const std::vector<WorkspaceLoad>& workspaces) {
  for (const WorkspaceLoad& workspace : workspaces) {
    if (workspace.spec.id == id) return workspace.spec.weight;
  }
  return 1;
}

// The claims by how little they demand for their weight.
std::vector<Claim> SortedClaims(
    const absl::btree_map<WorkspaceId, WorkspaceWork>& work,
    const std::vector<WorkspaceLoad>& workspaces) {
  std::vector<Claim> claims;
  for (const auto& [id, row] : work) {
    if (row.demanded <= 0) continue;
    claims.push_back({WeightOf(id, workspaces), row.demanded, row.served});
  }
  std::sort(claims.begin(), claims.end(), [](const Claim& a, const Claim& b) {
    return a.demanded / a.weight < b.demanded / b.weight;
  });
  return claims;
}

}  // namespace

double Fairness(const absl::btree_map<WorkspaceId, WorkspaceWork>& work,
                const std::vector<WorkspaceLoad>& workspaces) {
  const std::vector<Claim> claims = SortedClaims(work, workspaces);
  double left = 0;
  double weights = 0;
  for (const Claim& claim : claims) {
    left += claim.served;
    weights += claim.weight;
  }
  if (left <= 0) return 1;
  double sum = 0;
  double squares = 0;
  // Who demands least for its weight is filled first; the rest share the rest.
  for (const Claim& claim : claims) {
    double share = std::min(claim.demanded, left * claim.weight / weights);
    left -= share;
    weights -= claim.weight;
    double satisfied = share > 0 ? claim.served / share : 1;
    sum += satisfied;
    squares += satisfied * satisfied;
  }
  return sum * sum / (static_cast<double>(claims.size()) * squares);
}

}  // namespace gentianlb::replay
