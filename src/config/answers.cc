#include "config/answers.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "config/codec.h"

namespace gentianlb::config {
namespace {

constexpr std::size_t kDefaultLimit = 20;

Json::Value EntryToJson(const HistoryEntry& entry) {
  Json::Value json;
  json["version"] = static_cast<Json::Int64>(entry.version);
  json["who"] = entry.who;
  json["when_us"] = static_cast<Json::Int64>(absl::ToUnixMicros(entry.when));
  json["plan"] = entry.plan;
  json["summary"] = entry.summary;
  return json;
}

std::string EntryToText(const HistoryEntry& entry) {
  return absl::StrCat("version ", entry.version, " by ", entry.who, " at ",
                      absl::FormatTime("%Y-%m-%d %H:%M:%S UTC", entry.when,
                                       absl::UTCTimeZone()),
                      ", plan ", entry.plan, ": ", entry.summary);
}

template <typename T>
void ShowParts(const char* kind, const std::vector<T>& parts, Json::Value* all,
               std::string* text) {
  Json::Value list(Json::arrayValue);
  for (const T& part : parts) {
    Json::Value json = ToJson(part);
    json.removeMember("token");
    absl::StrAppend(text, kind, " ", WriteJson(json), "\n");
    list.append(std::move(json));
  }
  (*all)[kind] = std::move(list);
}

}  // namespace

std::string TextOf(const Json::Value& params, const char* name) {
  bool there = params.isObject() && params[name].isString();
  return there ? params[name].asString() : "";
}

std::string WhoOf(const Json::Value& params) {
  std::string who = TextOf(params, "who");
  return who.empty() ? "unknown" : who;
}

std::size_t LimitOf(const Json::Value& params) {
  bool there = params.isObject() && params["limit"].isUInt();
  return there ? params["limit"].asUInt() : kDefaultLimit;
}

Version VersionOf(const Json::Value& params) {
  bool there = params.isObject() && params["version"].isInt64();
  return there ? params["version"].asInt64() : 0;
}

Json::Value TextAnswer(const std::string& text) {
  Json::Value answer;
  answer["text"] = text;
  return answer;
}

Json::Value PlanAnswer(const Plan& plan) {
  Json::Value answer = TextAnswer(ToText(plan));
  answer["plan"] = ToJson(plan);
  return answer;
}

Json::Value ConfirmAnswer(const HistoryEntry& entry) {
  Json::Value answer = TextAnswer("confirmed: " + EntryToText(entry));
  answer["entry"] = EntryToJson(entry);
  return answer;
}

Json::Value HistoryAnswer(const std::vector<store::Row>& rows,
                          std::size_t limit) {
  std::string text;
  Json::Value list(Json::arrayValue);
  for (auto row = rows.rbegin(); row != rows.rend(); ++row) {
    if (list.size() >= limit) break;
    auto entry = DecodeHistory(row->value);
    if (!entry.ok()) continue;
    absl::StrAppend(&text, EntryToText(entry.value()), "\n");
    list.append(EntryToJson(entry.value()));
  }
  Json::Value answer = TextAnswer(text);
  answer["history"] = std::move(list);
  return answer;
}

Json::Value ShowAnswer(const Configuration& configuration) {
  Json::Value answer;
  Json::Value parts;
  std::string text = absl::StrCat("version ", configuration.version, "\n");
  std::vector<SiteConfig> sites;
  if (configuration.version > 0) sites.push_back(SiteOf(configuration));
  ShowParts("site", sites, &parts, &text);
  ShowParts("zone", configuration.zones, &parts, &text);
  ShowParts("tier", configuration.tiers, &parts, &text);
  ShowParts("service", configuration.services, &parts, &text);
  ShowParts("model", configuration.models, &parts, &text);
  ShowParts("server", configuration.servers, &parts, &text);
  ShowParts("workspace", configuration.workspaces, &parts, &text);
  answer["version"] = static_cast<Json::Int64>(configuration.version);
  answer["parts"] = std::move(parts);
  answer["text"] = text;
  return answer;
}

Error NoVersion(Version version) {
  return {Code::kUnknownPlan, absl::StrCat("version ", version,
                                           " is not kept any more, or never "
                                           "was")};
}

std::optional<HistoryEntry> FindConfirmed(const std::vector<store::Row>& rows,
                                          const std::string& plan) {
  for (const store::Row& row : rows) {
    auto entry = DecodeHistory(row.value);
    if (!entry.ok()) continue;
    if (entry.value().plan == plan) return entry.value();
  }
  return std::nullopt;
}

}  // namespace gentianlb::config
