#include "config/plan.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "config/codec.h"
#include "config/place.h"

namespace gentianlb::config {
namespace {

// A stream's speed in a full batch against its speed alone. A rough guess that
// errs low; it only scales the estimate of room, no decision rests on it.
constexpr double kFullBatchSpeed = 0.5;

constexpr std::size_t kIdDigits = 12;

// Changes that the text lists one by one; the JSON form has them all.
constexpr std::size_t kShownChanges = 40;

class Planner {
 public:
  Planner(const PlanState& state, Configuration intent)
      : state_(state), intent_(std::move(intent)) {}

  Plan Make() {
    PlaceModels(state_.in_force, &intent_);
    plan_.base = state_.in_force.version;
    plan_.expiry = state_.now + state_.lifetime;
    plan_.changes = Diff(state_.in_force, intent_);
    plan_.id = MakeId();
    PlanOrders();
    PlanShares();
    CountPower();
    CountRooms();
    FindObstacles();
    return std::move(plan_);
  }

 private:
  std::string MakeId() const {
    std::string text = absl::StrCat(plan_.base);
    for (const Change& change : plan_.changes) {
      absl::StrAppend(&text, "\n", std::string(PartName(change.kind)), " ",
                      change.name, "\n", change.before, "\n", change.after);
    }
    return Digest(text).substr(0, kIdDigits);
  }

  // Loads go first and unloads last, so that no tier that was promised a model
  // loses its last server on the way.
  void PlanOrders() {
    absl::flat_hash_map<ServerId, const ServerConfig*> before;
    for (const ServerConfig& server : state_.in_force.servers) {
      before.emplace(server.spec.id, &server);
    }
    std::vector<PlannedOrder> roles;
    std::vector<PlannedOrder> unloads;
    for (const ServerConfig& server : intent_.servers) {
      auto known = before.find(server.spec.id);
      const schedule::ServerSpec none;
      const schedule::ServerSpec& old =
          known == before.end() ? none : known->second->spec;
      PlanModels(OrderKind::kLoad, server.spec, old, &plan_.orders);
      PlanModels(OrderKind::kUnload, old, server.spec, &unloads);
      if (known == before.end() || old.role == server.spec.role) continue;
      roles.push_back({OrderKind::kRole, server.spec.id, ModelId(),
                       server.spec.role, absl::ZeroDuration()});
    }
    plan_.orders.insert(plan_.orders.end(), roles.begin(), roles.end());
    plan_.orders.insert(plan_.orders.end(), unloads.begin(), unloads.end());
    CountOrders();
  }

  // An order for each model that `has` holds and `lacks` doesn't.
  void PlanModels(OrderKind kind, const schedule::ServerSpec& has,
                  const schedule::ServerSpec& lacks,
                  std::vector<PlannedOrder>* orders) {
    for (const ModelId& model : has.models) {
      bool both = std::find(lacks.models.begin(), lacks.models.end(), model) !=
                  lacks.models.end();
      if (both) continue;
      PlannedOrder order;
      order.kind = kind;
      order.server = has.id;
      order.model = model;
      if (kind == OrderKind::kLoad) order.duration = LoadTime(model);
      orders->push_back(std::move(order));
    }
  }

  absl::Duration LoadTime(const ModelId& model) const {
    auto size = state_.weights.bytes.find(model);
    bool known = size != state_.weights.bytes.end() &&
                 state_.weights.bytes_per_second > 0;
    if (!known) return absl::ZeroDuration();
    double seconds =
        static_cast<double>(size->second) / state_.weights.bytes_per_second;
    return absl::Seconds(seconds);
  }

  void CountOrders() {
    absl::flat_hash_set<ServerId> ordered;
    for (const PlannedOrder& order : plan_.orders) {
      plan_.cost.weight_store += order.duration;
      bool unknown = order.kind == OrderKind::kLoad &&
                     order.duration == absl::ZeroDuration();
      if (unknown) ++plan_.cost.unknown_loads;
      if (order.kind == OrderKind::kUnload) continue;
      if (!ordered.insert(order.server).second) continue;
      plan_.cost.out_of_service.push_back(order.server);
    }
  }

  void PlanShares() {
    std::map<ZoneId, PlannedShare> shares;
    for (const ZonePowerConfig& zone : state_.in_force.zones) {
      shares[zone.zone].before_watts = zone.floor_watts;
    }
    for (const ZonePowerConfig& zone : intent_.zones) {
      shares[zone.zone].after_watts = zone.floor_watts;
    }
    for (auto& [zone, share] : shares) {
      share.zone = zone;
      if (share.before_watts == share.after_watts) continue;
      plan_.shares.push_back(share);
    }
  }

  void CountPower() {
    plan_.cost.cap_watts = intent_.power_cap_watts;
    for (const ServerConfig& server : intent_.servers) {
      const schedule::PowerModel& power = server.spec.power;
      plan_.cost.idle_watts += power.idle_watts;
      plan_.cost.full_watts +=
          power.idle_watts + power.watts_per_stream * server.spec.max_streams +
          power.joules_per_prefill_token *
              server.spec.prefill_tokens_per_second;
    }
  }

  void CountRooms() {
    for (const ServiceConfig& service : intent_.services) {
      if (service.kind != ServiceKind::kModel) continue;
      double after = CapacityOf(intent_, service.id);
      double meanwhile = LeastMeanwhile(service.id, after);
      double load = 0;
      for (const TierConfig& tier : intent_.tiers) {
        load += LoadOf(tier.name, service.id);
        plan_.cost.rooms.push_back(
            {tier.name, service.id, load, meanwhile, after});
      }
    }
  }

  // Orders go to one server at a time.
  double LeastMeanwhile(const ServiceId& service, double after) const {
    double least = after;
    for (const ServerId& server : plan_.cost.out_of_service) {
      least = std::min(least, CapacityOf(intent_, service, server));
    }
    return least;
  }

  double LoadOf(const std::string& tier, const ServiceId& service) const {
    double load = 0;
    for (const TierLoad& one : state_.load) {
      bool same = one.tier == tier && one.service == service;
      if (same) load += one.tokens_per_second;
    }
    return load;
  }

  void FindObstacles() {
    // While the platform is out, what it holds is unknown, not missing.
    bool listed = !state_.weights.bytes.empty();
    for (const PlannedOrder& order : plan_.orders) {
      if (order.kind != OrderKind::kLoad || !listed) continue;
      if (state_.weights.bytes.contains(order.model)) continue;
      AddObstacle("model " + order.model.str(),
                  "the weight store does not have it");
    }
    if (plan_.cost.idle_watts > plan_.cost.cap_watts) {
      AddObstacle("site", "its idle servers alone draw more than the cap");
    }
    for (const ModelConfig& model : intent_.models) CheckPlaced(model);
  }

  // Servers with a list of their own may leave a model short.
  void CheckPlaced(const ModelConfig& model) {
    std::map<ZoneId, int> holders;
    std::map<ZoneId, int> servers;
    for (const ServerConfig& server : intent_.servers) {
      if (server.service != model.service) continue;
      ++servers[server.zone];
      const std::vector<ModelId>& models = server.spec.models;
      bool holds =
          std::find(models.begin(), models.end(), model.id) != models.end();
      if (holds) ++holders[server.zone];
    }
    std::vector<ZoneId> zones = model.zones;
    if (zones.empty()) {
      for (const auto& [zone, count] : servers) zones.push_back(zone);
    }
    for (const ZoneId& zone : zones) {
      if (holders[zone] >= model.min_servers) continue;
      AddObstacle(
          "model " + model.id.str(),
          absl::StrCat("zone ", zone.str(), " holds it on ", holders[zone],
                       " servers, wanted are ", model.min_servers));
    }
  }

  void AddObstacle(std::string subject, std::string reason) {
    Obstacle obstacle{std::move(subject), std::move(reason)};
    auto& all = plan_.obstacles;
    bool known = std::find(all.begin(), all.end(), obstacle) != all.end();
    if (!known) all.push_back(std::move(obstacle));
  }

  const PlanState& state_;
  Configuration intent_;
  Plan plan_;
};

std::string_view OrderName(OrderKind kind) {
  switch (kind) {
    case OrderKind::kLoad:
      return "load";
    case OrderKind::kUnload:
      return "unload";
    case OrderKind::kRole:
      return "role";
  }
  return "unknown";
}

std::string_view RoleName(schedule::ServerRole role) {
  switch (role) {
    case schedule::ServerRole::kMixed:
      return "mixed";
    case schedule::ServerRole::kPrefill:
      return "prefill";
    case schedule::ServerRole::kDecode:
      return "decode";
  }
  return "unknown";
}

// The model of a load or unload, the new role of a role change.
std::string ObjectOf(const PlannedOrder& order) {
  if (order.kind != OrderKind::kRole) return order.model.str();
  return std::string(RoleName(order.role));
}

Json::Value CostToJson(const PlanCost& cost) {
  Json::Value json;
  json["weight_store_seconds"] = absl::ToDoubleSeconds(cost.weight_store);
  json["unknown_loads"] = cost.unknown_loads;
  json["out_of_service"] = Json::Value(Json::arrayValue);
  for (const ServerId& server : cost.out_of_service) {
    json["out_of_service"].append(server.str());
  }
  json["cap_watts"] = cost.cap_watts;
  json["idle_watts"] = cost.idle_watts;
  json["full_watts"] = cost.full_watts;
  json["rooms"] = Json::Value(Json::arrayValue);
  for (const TierRoom& room : cost.rooms) {
    Json::Value one;
    one["tier"] = room.tier;
    one["service"] = room.service.str();
    one["load"] = room.load;
    one["capacity_meanwhile"] = room.capacity_meanwhile;
    one["capacity_after"] = room.capacity_after;
    one["loses_goodput"] = room.loses_goodput();
    one["loses_meanwhile"] = room.loses_meanwhile();
    json["rooms"].append(std::move(one));
  }
  return json;
}

std::string CostToText(const PlanCost& cost) {
  std::string text = absl::StrFormat(
      "cost\n  weight store %s, and %d loads of unknown size; %d servers out "
      "of service, one at a time\n"
      "  watts: cap %.0f, idle %.0f, full load %.0f\n",
      absl::FormatDuration(cost.weight_store), cost.unknown_loads,
      cost.out_of_service.size(), cost.cap_watts, cost.idle_watts,
      cost.full_watts);
  for (const TierRoom& room : cost.rooms) {
    absl::StrAppendFormat(
        &text,
        "  tier %s at %s: load %.0f of %.0f tokens/s, %.0f meanwhile%s\n",
        room.tier, room.service.str(), room.load, room.capacity_after,
        room.capacity_meanwhile,
        room.loses_goodput()     ? " - LOSES GOODPUT"
        : room.loses_meanwhile() ? " - loses goodput meanwhile"
                                 : "");
  }
  return text;
}

std::string ChangesToText(const Changes& changes) {
  std::string text = absl::StrCat("changes: ", Summary(changes), "\n");
  std::size_t shown = std::min(changes.size(), kShownChanges);
  for (std::size_t i = 0; i < shown; ++i) {
    absl::StrAppend(&text, "  ", Describe(changes[i]), "\n");
  }
  if (shown < changes.size()) {
    absl::StrAppend(&text, "  and ", changes.size() - shown, " more\n");
  }
  return text;
}

}  // namespace

Plan MakePlan(const PlanState& state, Configuration intent) {
  return Planner(state, std::move(intent)).Make();
}

double CapacityOf(const Configuration& configuration, const ServiceId& service,
                  const ServerId& missing) {
  double idle = 0;
  double streams = 0;
  double speed = 0;
  for (const ServerConfig& server : configuration.servers) {
    const schedule::ServerSpec& spec = server.spec;
    idle += spec.power.idle_watts;
    if (spec.id == missing) continue;
    streams += spec.power.watts_per_stream * spec.max_streams;
    if (server.service != service) continue;
    speed += spec.decode_tokens_per_second * spec.max_streams;
  }
  double left = std::max(0.0, configuration.power_cap_watts - idle);
  double powered = streams > left ? left / streams : 1;
  return speed * kFullBatchSpeed * powered;
}

Json::Value ToJson(const Plan& plan) {
  Json::Value json;
  json["id"] = plan.id;
  json["base"] = static_cast<Json::Int64>(plan.base);
  json["expiry_us"] = static_cast<Json::Int64>(absl::ToUnixMicros(plan.expiry));
  json["changes"] = Json::Value(Json::arrayValue);
  for (const Change& change : plan.changes) {
    json["changes"].append(Describe(change));
  }
  json["orders"] = Json::Value(Json::arrayValue);
  for (const PlannedOrder& order : plan.orders) {
    Json::Value one;
    one["kind"] = std::string(OrderName(order.kind));
    one["server"] = order.server.str();
    one["object"] = ObjectOf(order);
    one["seconds"] = absl::ToDoubleSeconds(order.duration);
    json["orders"].append(std::move(one));
  }
  json["shares"] = Json::Value(Json::arrayValue);
  for (const PlannedShare& share : plan.shares) {
    Json::Value one;
    one["zone"] = share.zone.str();
    one["before_watts"] = share.before_watts;
    one["after_watts"] = share.after_watts;
    json["shares"].append(std::move(one));
  }
  json["cost"] = CostToJson(plan.cost);
  json["obstacles"] = Json::Value(Json::arrayValue);
  for (const Obstacle& obstacle : plan.obstacles) {
    Json::Value one;
    one["subject"] = obstacle.subject;
    one["reason"] = obstacle.reason;
    json["obstacles"].append(std::move(one));
  }
  return json;
}

std::string ToText(const Plan& plan) {
  std::string text = absl::StrFormat(
      "plan %s on version %d, valid until %s\n", plan.id, plan.base,
      absl::FormatTime("%Y-%m-%d %H:%M:%S UTC", plan.expiry,
                       absl::UTCTimeZone()));
  absl::StrAppend(&text, ChangesToText(plan.changes));
  for (const PlannedOrder& order : plan.orders) {
    bool timed = order.duration > absl::ZeroDuration();
    absl::StrAppend(&text, "order: ", std::string(OrderName(order.kind)), " ",
                    ObjectOf(order), " on ", order.server.str(),
                    timed ? ", " + absl::FormatDuration(order.duration) : "",
                    "\n");
  }
  for (const PlannedShare& share : plan.shares) {
    absl::StrAppendFormat(&text, "power: zone %s %.0fW -> %.0fW\n",
                          share.zone.str(), share.before_watts,
                          share.after_watts);
  }
  absl::StrAppend(&text, CostToText(plan.cost));
  for (const Obstacle& obstacle : plan.obstacles) {
    absl::StrAppend(&text, "CAN'T BE DONE: ", obstacle.subject, ": ",
                    obstacle.reason, "\n");
  }
  return text;
}

std::string Summary(const Changes& changes) {
  std::map<PartKind, int> counts;
  for (const Change& change : changes) ++counts[change.kind];
  std::string text = absl::StrCat(changes.size(), " changes");
  const char* separator = ": ";
  for (const auto& [kind, count] : counts) {
    absl::StrAppend(&text, separator, count, " ", std::string(PartName(kind)));
    separator = ", ";
  }
  return text;
}

}  // namespace gentianlb::config
