// The answer to an intent: what would change, in which order, and at what cost.
// Pure: the same state and intent give the same plan.

#ifndef GENTIANLB_CONFIG_PLAN_H_
#define GENTIANLB_CONFIG_PLAN_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "config/configuration.h"
#include "config/diff.h"

namespace gentianlb::config {

// What the platform says of its weight store.
struct WeightStore {
  std::map<ModelId, std::int64_t> bytes;
  double bytes_per_second = 0;
  bool operator==(const WeightStore&) const = default;
};

// Tokens generated a second of late, for one tier at one service.
struct TierLoad {
  std::string tier;
  ServiceId service;
  double tokens_per_second = 0;
  bool operator==(const TierLoad&) const = default;
};

// What a plan is made from beside the intent.
struct PlanState {
  Configuration in_force;
  WeightStore weights;
  std::vector<TierLoad> load;
  absl::Time now;
  absl::Duration lifetime = absl::Minutes(15);
  bool operator==(const PlanState&) const = default;
};

enum class OrderKind { kLoad, kUnload, kRole };

// An order to one engine.
struct PlannedOrder {
  OrderKind kind = OrderKind::kLoad;
  ServerId server;
  ModelId model;  // Of a load or unload.
  schedule::ServerRole role = schedule::ServerRole::kMixed;  // The new one.
  absl::Duration duration;  // At the weight store, alone.
  bool operator==(const PlannedOrder&) const = default;
};

// What a zone may always draw, before and after.
struct PlannedShare {
  ZoneId zone;
  double before_watts = 0;
  double after_watts = 0;
  bool operator==(const PlannedShare&) const = default;
};

// What is left for a tier at a service after those above it and itself.
struct TierRoom {
  std::string tier;
  ServiceId service;
  double load = 0;                // Tokens a second, with the tiers above.
  double capacity_meanwhile = 0;  // While orders are carried out.
  double capacity_after = 0;
  bool loses_goodput() const { return capacity_after < load; }
  bool loses_meanwhile() const { return capacity_meanwhile < load; }
  bool operator==(const TierRoom&) const = default;
};

struct PlanCost {
  int unknown_loads = 0;        // Whose size the weight store did not tell.
  absl::Duration weight_store;  // All loads, one after the other.
  std::vector<ServerId> out_of_service;  // Each in turn, while it is ordered.
  double cap_watts = 0;
  double idle_watts = 0;  // All servers on, without work.
  double full_watts = 0;  // All at full load; above the cap, some must wait.
  std::vector<TierRoom> rooms;
  bool operator==(const PlanCost&) const = default;
};

// What can't be done and why. A plan with any can't be confirmed.
struct Obstacle {
  std::string subject;
  std::string reason;
  bool operator==(const Obstacle&) const = default;
};

struct Plan {
  std::string id;
  Version base = 0;
  absl::Time expiry;
  Changes changes;
  std::vector<PlannedOrder> orders;
  std::vector<PlannedShare> shares;
  PlanCost cost;
  std::vector<Obstacle> obstacles;
  bool operator==(const Plan&) const = default;
};

// `intent` as ReadIntent() gives it; models of servers that name none are
// placed. The id is a hash of the base version and the changes: load that comes
// and goes does not make it another plan.
Plan MakePlan(const PlanState& state, Configuration intent);

// Tokens a second that `service` can generate under the cap, without `missing`.
double CapacityOf(const Configuration& configuration, const ServiceId& service,
                  const ServerId& missing = ServerId());

// For scripts, without secrets.
Json::Value ToJson(const Plan& plan);

// For people, without secrets.
std::string ToText(const Plan& plan);

// "12 changes: 3 servers, 9 workspaces".
std::string Summary(const Changes& changes);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_PLAN_H_
