// What is kept of a plan until it is confirmed: the changes, not the whole
// configuration, so that a small change stays small.

#ifndef GENTIANLB_CONFIG_STORED_PLAN_H_
#define GENTIANLB_CONFIG_STORED_PLAN_H_

#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/configuration.h"
#include "config/diff.h"
#include "config/plan.h"
#include "store/messages.h"

namespace gentianlb::config {

struct StoredPlan {
  std::string id;
  Version base = 0;
  absl::Time expiry;
  std::string who;  // Made it.
  Changes changes;
  bool feasible = true;  // It has no obstacles.
  bool operator==(const StoredPlan&) const = default;
};

StoredPlan ToStored(const Plan& plan, std::string who);

// The head row names the number and the digest of the chunks.
struct PlanRows {
  std::string head;
  std::vector<std::string> chunks;
  bool operator==(const PlanRows&) const = default;
};

std::string PlanKey(const std::string& id);
std::string PlanChunkKey(const std::string& id, std::size_t chunk);

PlanRows EncodePlan(const StoredPlan& plan);

// What the head row alone tells.
struct PlanHead {
  std::string id;
  absl::Time expiry;
  std::size_t chunks = 0;
  bool operator==(const PlanHead&) const = default;
};

Outcome<PlanHead> DecodePlanHead(const std::string& head);

// The plan that `row` is the head of, if it has expired.
std::optional<PlanHead> ExpiredPlan(const store::Row& row, absl::Time now);

Outcome<StoredPlan> DecodePlan(const PlanRows& rows);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_STORED_PLAN_H_
