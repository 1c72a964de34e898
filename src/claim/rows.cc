#include "claim/rows.h"

#include <json/json.h>

#include "base/json_text.h"

namespace gentianlb::claim {
namespace {

constexpr std::string_view kClaimPrefix = "claim/";

Json::Value Micros(absl::Time time) {
  return Json::Int64{absl::ToUnixMicros(time)};
}

absl::Time ToTime(const Json::Value& json) {
  return absl::FromUnixMicros(json.asInt64());
}

}  // namespace

std::string RowKey(const ClaimKey& key) {
  return std::string(kClaimPrefix) + key.str();
}

std::string LeaseKey(const EntryHostId& host) {
  return std::string(kLeasePrefix) + host.str();
}

std::string Encode(const ClaimRow& row) {
  Json::Value json;
  json["owner"] = row.owner.str();
  json["incarnation"] = Json::Int64{row.incarnation};
  json["state"] = static_cast<int>(row.state);
  json["body"] = row.body_digest;
  json["token"] = row.token;
  json["server"] = row.server.str();
  json["fenced"] = row.fenced;
  json["written"] = Micros(row.written);
  return ToText(json);
}

std::string Encode(const LeaseRow& row) {
  Json::Value json;
  json["host"] = row.host.str();
  json["incarnation"] = Json::Int64{row.incarnation};
  json["since"] = Micros(row.since);
  json["until"] = Micros(row.until);
  json["lost_from"] = Micros(row.lost_from);
  json["lost_until"] = Micros(row.lost_until);
  json["named"] = Micros(row.registered_by);
  return ToText(json);
}

std::optional<ClaimRow> DecodeClaim(std::string_view value) {
  std::optional<Json::Value> json = ParseObject(value);
  if (!json) return std::nullopt;
  bool valid = AllStrings(*json, {"owner", "body", "token", "server"}) &&
               AllIntegers(*json, {"incarnation", "state", "written"}) &&
               (*json)["fenced"].isBool();
  if (!valid) return std::nullopt;
  int state = (*json)["state"].asInt();
  if (state < 0 || state > static_cast<int>(RowState::kDone)) {
    return std::nullopt;
  }
  return ClaimRow{EntryHostId((*json)["owner"].asString()),
                  (*json)["incarnation"].asInt64(),
                  static_cast<RowState>(state),
                  (*json)["body"].asString(),
                  (*json)["token"].asString(),
                  ServerId((*json)["server"].asString()),
                  (*json)["fenced"].asBool(),
                  ToTime((*json)["written"])};
}

std::optional<LeaseRow> DecodeLease(std::string_view value) {
  std::optional<Json::Value> json = ParseObject(value);
  if (!json) return std::nullopt;
  bool valid = AllStrings(*json, {"host"}) &&
               AllIntegers(*json, {"incarnation", "since", "until", "lost_from",
                                   "lost_until", "named"});
  if (!valid) return std::nullopt;
  LeaseRow row;
  row.host = EntryHostId((*json)["host"].asString());
  row.incarnation = (*json)["incarnation"].asInt64();
  row.since = ToTime((*json)["since"]);
  row.until = ToTime((*json)["until"]);
  row.lost_from = ToTime((*json)["lost_from"]);
  row.lost_until = ToTime((*json)["lost_until"]);
  row.registered_by = ToTime((*json)["named"]);
  return row;
}

}  // namespace gentianlb::claim
