#include "orders/rows.h"

#include <json/json.h>

#include "base/json_text.h"

namespace gentianlb::orders {
namespace {

// Returns whether the field holds a value of an enum with three values.
bool IsEnumOfThree(const Json::Value& json) {
  return json.isInt() && json.asInt() >= 0 && json.asInt() < 3;
}

}  // namespace

std::string StepKey(const ServerId& server) {
  return std::string(kStepPrefix) + server.str();
}

std::string Encode(const LeaseRow& row) {
  Json::Value json;
  json["holder"] = row.holder.str();
  json["incarnation"] = Json::Int64{row.incarnation};
  json["fence"] = Json::Int64{row.fence};
  json["lease_ms"] = Json::Int64{absl::ToInt64Milliseconds(row.lease_duration)};
  json["serial"] = Json::Int64{row.serial};
  return ToText(json);
}

std::string Encode(const StepRow& row) {
  Json::Value json;
  json["order"] = row.order;
  json["kind"] = static_cast<int>(row.kind);
  json["model"] = row.model.str();
  json["role"] = static_cast<int>(row.role);
  json["version"] = Json::Int64{row.version};
  json["attempt"] = row.attempt;
  json["state"] = static_cast<int>(row.state);
  json["fence"] = Json::Int64{row.fence};
  return ToText(json);
}

std::optional<LeaseRow> DecodeLease(std::string_view value) {
  std::optional<Json::Value> json = ParseObject(value);
  if (!json) return std::nullopt;
  bool valid =
      AllStrings(*json, {"holder"}) &&
      AllIntegers(*json, {"incarnation", "fence", "lease_ms", "serial"});
  if (!valid) return std::nullopt;
  return LeaseRow{EntryHostId((*json)["holder"].asString()),
                  (*json)["incarnation"].asInt64(), (*json)["fence"].asInt64(),
                  absl::Milliseconds((*json)["lease_ms"].asInt64()),
                  (*json)["serial"].asInt64()};
}

std::optional<StepRow> DecodeStep(std::string_view value) {
  std::optional<Json::Value> json = ParseObject(value);
  if (!json) return std::nullopt;
  bool valid = AllStrings(*json, {"order", "model"}) &&
               AllIntegers(*json, {"version", "fence"}) &&
               (*json)["attempt"].isInt() && IsEnumOfThree((*json)["kind"]) &&
               IsEnumOfThree((*json)["role"]) &&
               IsEnumOfThree((*json)["state"]);
  if (!valid) return std::nullopt;
  StepRow row;
  row.order = (*json)["order"].asString();
  row.kind = static_cast<config::OrderKind>((*json)["kind"].asInt());
  row.model = ModelId((*json)["model"].asString());
  row.role = static_cast<schedule::ServerRole>((*json)["role"].asInt());
  row.version = (*json)["version"].asInt64();
  row.attempt = (*json)["attempt"].asInt();
  row.state = static_cast<StepState>((*json)["state"].asInt());
  row.fence = (*json)["fence"].asInt64();
  return row;
}

}  // namespace gentianlb::orders
