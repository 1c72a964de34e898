#include "store/wire.h"

#include <json/json.h>

#include <memory>

namespace gentianlb::store {
namespace {

constexpr int kScanLimit = 1000;  // Maximum page size of the service.
constexpr int kOk = 200;

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Result<Json::Value> ParseObject(std::string_view body) {
  Json::CharReaderBuilder builder;
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problem;
  bool parsed =
      reader->parse(body.data(), body.data() + body.size(), &value, &problem);
  if (!parsed) return Fail(Code::kBadPlatformAnswer, problem);
  if (!value.isObject()) return Fail(Code::kBadPlatformAnswer, "no object");
  return value;
}

// Returns the array `name`, or an error if it is missing or not an array.
Result<Json::Value> ArrayOf(const Json::Value& object, const char* name) {
  const Json::Value& array = object[name];
  if (!array.isArray()) return Fail(Code::kBadPlatformAnswer, name);
  return array;
}

Result<Row> DecodeRow(const Json::Value& json) {
  bool valid =
      json.isObject() && json["key"].isString() && json["version"].isUInt64();
  if (!valid) return Fail(Code::kBadPlatformAnswer, "row");
  Row row{json["key"].asString(), "", json["version"].asUInt64()};
  if (json["value"].isString()) row.value = json["value"].asString();
  return row;
}

Result<std::vector<Row>> DecodeRowArray(const Json::Value& object,
                                        const char* name) {
  BOOST_LEAF_AUTO(array, ArrayOf(object, name));
  std::vector<Row> rows;
  for (const Json::Value& json : array) {
    BOOST_LEAF_AUTO(row, DecodeRow(json));
    rows.push_back(std::move(row));
  }
  return rows;
}

Result<CommitResult> DecodeConflict(const Json::Value& object) {
  BOOST_LEAF_AUTO(array, ArrayOf(object, "conflicts"));
  CommitResult result{CommitState::kConflict, {}, {}};
  for (const Json::Value& key : array) {
    if (!key.isString()) return Fail(Code::kBadPlatformAnswer, "conflicts");
    result.conflicts.push_back(key.asString());
  }
  return result;
}

Result<ListedHost> DecodeHost(const Json::Value& json) {
  bool valid = json.isObject() && json["id"].isString() &&
               json["kind"].isString() && json["zone"].isString() &&
               json["address"].isString() && json["state"].isString();
  if (!valid) return Fail(Code::kBadPlatformAnswer, "host");
  return ListedHost{json["id"].asString(), json["kind"].asString() == "entry",
                    ZoneId(json["zone"].asString()), json["address"].asString(),
                    json["state"].asString() == "leaving"};
}

}  // namespace

std::string EncodeCommit(const Transaction& transaction) {
  Json::Value body(Json::objectValue);
  body["token"] = transaction.token;
  body["conditions"] = Json::Value(Json::arrayValue);
  for (const Condition& condition : transaction.conditions) {
    Json::Value json;
    json["key"] = condition.key;
    json["version"] = Json::UInt64{condition.version};
    body["conditions"].append(std::move(json));
  }
  body["writes"] = Json::Value(Json::arrayValue);
  for (const Write& write : transaction.writes) {
    Json::Value json;
    json["key"] = write.key;
    json["value"] = write.value ? Json::Value(*write.value) : Json::Value();
    body["writes"].append(std::move(json));
  }
  return ToText(body);
}

std::string EncodeRead(const std::vector<std::string>& keys) {
  Json::Value body(Json::objectValue);
  body["keys"] = Json::Value(Json::arrayValue);
  for (const std::string& key : keys) body["keys"].append(key);
  return ToText(body);
}

std::string EncodeScan(std::string_view prefix, std::string_view after) {
  Json::Value body(Json::objectValue);
  body["prefix"] = std::string(prefix);
  body["after"] = std::string(after);
  body["limit"] = kScanLimit;
  return ToText(body);
}

Result<CommitResult> DecodeCommit(int status, std::string_view body) {
  BOOST_LEAF_AUTO(object, ParseObject(body));
  if (status != kOk) return DecodeConflict(object);
  if (object["committed"] != Json::Value(true)) {
    return Fail(Code::kBadPlatformAnswer, "committed");
  }
  BOOST_LEAF_AUTO(versions, DecodeRowArray(object, "versions"));
  return CommitResult{CommitState::kCommitted, {}, std::move(versions)};
}

Result<ScanPage> DecodeRows(std::string_view body) {
  BOOST_LEAF_AUTO(object, ParseObject(body));
  BOOST_LEAF_AUTO(rows, DecodeRowArray(object, "rows"));
  bool more = object["more"].isBool() && object["more"].asBool();
  return ScanPage{std::move(rows), more};
}

Result<std::vector<ListedHost>> DecodeHosts(std::string_view body) {
  BOOST_LEAF_AUTO(object, ParseObject(body));
  BOOST_LEAF_AUTO(array, ArrayOf(object, "hosts"));
  std::vector<ListedHost> hosts;
  for (const Json::Value& json : array) {
    BOOST_LEAF_AUTO(host, DecodeHost(json));
    hosts.push_back(std::move(host));
  }
  return hosts;
}

}  // namespace gentianlb::store
