#include "config/stored_plan.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "config/codec.h"
#include "config/rows.h"

namespace gentianlb::config {
namespace {

// Far below the table's 1 MiB for a transaction.
constexpr std::size_t kChunkBytes = 512 << 10;

Json::Value ChangesToJson(const Changes& changes) {
  Json::Value list(Json::arrayValue);
  for (const Change& change : changes) {
    Json::Value one;
    one["kind"] = static_cast<int>(change.kind);
    one["name"] = change.name;
    one["before"] = change.before;
    one["after"] = change.after;
    list.append(std::move(one));
  }
  return list;
}

Changes ChangesFromJson(const Json::Value& list) {
  Changes changes;
  for (const Json::Value& one : list) {
    changes.push_back({static_cast<PartKind>(one["kind"].asInt()),
                       one["name"].asString(), one["before"].asString(),
                       one["after"].asString()});
  }
  return changes;
}

}  // namespace

StoredPlan ToStored(const Plan& plan, std::string who) {
  return {plan.id,        plan.base,    plan.expiry,
          std::move(who), plan.changes, plan.obstacles.empty()};
}

std::string PlanKey(const std::string& id) { return kPlanPrefix + id; }

std::string PlanChunkKey(const std::string& id, std::size_t chunk) {
  return absl::StrCat(kPlanPrefix, id, "/", chunk);
}

PlanRows EncodePlan(const StoredPlan& plan) {
  PlanRows rows;
  std::string text = WriteJson(ChangesToJson(plan.changes));
  for (std::size_t at = 0; at < text.size(); at += kChunkBytes) {
    rows.chunks.push_back(text.substr(at, kChunkBytes));
  }
  Json::Value head;
  head["id"] = plan.id;
  head["base"] = static_cast<Json::Int64>(plan.base);
  head["expiry_us"] = static_cast<Json::Int64>(absl::ToUnixMicros(plan.expiry));
  head["who"] = plan.who;
  head["feasible"] = plan.feasible;
  head["chunks"] = static_cast<Json::UInt64>(rows.chunks.size());
  head["digest"] = Digest(text);
  rows.head = WriteJson(head);
  return rows;
}

Outcome<PlanHead> DecodePlanHead(const std::string& head) {
  auto json = ReadJson(head);
  if (!json.ok()) return json.error();
  const Json::Value& fields = json.value();
  try {
    return PlanHead{fields["id"].asString(),
                    absl::FromUnixMicros(fields["expiry_us"].asInt64()),
                    static_cast<std::size_t>(fields["chunks"].asUInt64())};
  } catch (const Json::Exception& error) {
    return Error{Code::kBadPlatformAnswer, error.what()};
  }
}

std::optional<PlanHead> ExpiredPlan(const store::Row& row, absl::Time now) {
  auto head = DecodePlanHead(row.value);
  // A chunk is no head, whatever it holds.
  bool is_head = head.ok() && row.key == PlanKey(head.value().id);
  if (!is_head || head.value().expiry > now) return std::nullopt;
  return head.value();
}

Outcome<StoredPlan> DecodePlan(const PlanRows& rows) {
  std::string text;
  for (const std::string& chunk : rows.chunks) text += chunk;
  auto head = ReadJson(rows.head);
  auto changes = ReadJson(text);
  if (!head.ok()) return head.error();
  if (!changes.ok()) return changes.error();
  const Json::Value& json = head.value();
  try {
    if (json["digest"].asString() != Digest(text)) {
      return Error{Code::kBadPlatformAnswer, "a plan's digest does not fit"};
    }
    return StoredPlan{json["id"].asString(),
                      json["base"].asInt64(),
                      absl::FromUnixMicros(json["expiry_us"].asInt64()),
                      json["who"].asString(),
                      ChangesFromJson(changes.value()),
                      json["feasible"].asBool()};
  } catch (const Json::Exception& error) {
    return Error{Code::kBadPlatformAnswer, error.what()};
  }
}

}  // namespace gentianlb::config
