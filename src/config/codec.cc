#include "config/codec.h"

#include <xxhash.h>

#include <array>
#include <cstdio>
#include <memory>
#include <vector>

namespace gentianlb::config {
namespace {

template <typename T>
Json::Value IdsToJson(const std::vector<T>& ids) {
  Json::Value list(Json::arrayValue);
  for (const T& id : ids) list.append(id.str());
  return list;
}

template <typename T>
std::vector<T> IdsFromJson(const Json::Value& list) {
  std::vector<T> ids;
  for (const Json::Value& id : list) ids.emplace_back(id.asString());
  return ids;
}

template <typename T>
T IdFromJson(const Json::Value& json, const char* name) {
  return T(json[name].asString());
}

Json::Value PowerToJson(const schedule::PowerModel& power) {
  Json::Value json;
  json["idle_watts"] = power.idle_watts;
  json["watts_per_stream"] = power.watts_per_stream;
  json["joules_per_prefill_token"] = power.joules_per_prefill_token;
  return json;
}

schedule::PowerModel PowerFromJson(const Json::Value& json) {
  return {json["idle_watts"].asDouble(), json["watts_per_stream"].asDouble(),
          json["joules_per_prefill_token"].asDouble()};
}

}  // namespace

SiteConfig SiteOf(const Configuration& configuration) {
  return {configuration.site, configuration.power_cap_watts,
          configuration.weights};
}

Json::Value ToJson(const SiteConfig& site) {
  Json::Value json;
  json["name"] = site.name;
  json["power_cap_watts"] = site.power_cap_watts;
  json["goodput_weight"] = site.weights.goodput;
  json["wasted_prefill_weight"] = site.weights.wasted_prefill;
  return json;
}

void FromJson(const Json::Value& json, SiteConfig* site) {
  site->name = json["name"].asString();
  site->power_cap_watts = json["power_cap_watts"].asDouble();
  site->weights.goodput = json["goodput_weight"].asDouble();
  site->weights.wasted_prefill = json["wasted_prefill_weight"].asDouble();
}

Json::Value ToJson(const ZonePowerConfig& zone) {
  Json::Value json;
  json["zone"] = zone.zone.str();
  json["floor_watts"] = zone.floor_watts;
  return json;
}

void FromJson(const Json::Value& json, ZonePowerConfig* zone) {
  zone->zone = IdFromJson<ZoneId>(json, "zone");
  zone->floor_watts = json["floor_watts"].asDouble();
}

Json::Value ToJson(const TierConfig& tier) {
  Json::Value json;
  json["name"] = tier.name;
  json["rank"] = tier.tier.rank;
  json["deadline_us"] =
      static_cast<Json::Int64>(absl::ToInt64Microseconds(tier.deadline));
  json["services"] = IdsToJson(tier.services);
  return json;
}

void FromJson(const Json::Value& json, TierConfig* tier) {
  tier->name = json["name"].asString();
  tier->tier.rank = json["rank"].asInt();
  tier->deadline = absl::Microseconds(json["deadline_us"].asInt64());
  tier->services = IdsFromJson<ServiceId>(json["services"]);
}

Json::Value ToJson(const ServiceConfig& service) {
  Json::Value json;
  json["id"] = service.id.str();
  json["kind"] = service.kind == ServiceKind::kModel ? "model" : "plain";
  json["path_prefix"] = service.path_prefix;
  json["non_idempotent"] = Json::Value(Json::arrayValue);
  for (const std::string& call : service.non_idempotent) {
    json["non_idempotent"].append(call);
  }
  return json;
}

void FromJson(const Json::Value& json, ServiceConfig* service) {
  service->id = IdFromJson<ServiceId>(json, "id");
  service->kind = json["kind"].asString() == "plain" ? ServiceKind::kPlain
                                                     : ServiceKind::kModel;
  service->path_prefix = json["path_prefix"].asString();
  for (const Json::Value& call : json["non_idempotent"]) {
    service->non_idempotent.push_back(call.asString());
  }
}

Json::Value ToJson(const ModelConfig& model) {
  Json::Value json;
  json["id"] = model.id.str();
  json["service"] = model.service.str();
  json["zones"] = IdsToJson(model.zones);
  json["min_servers"] = model.min_servers;
  return json;
}

void FromJson(const Json::Value& json, ModelConfig* model) {
  model->id = IdFromJson<ModelId>(json, "id");
  model->service = IdFromJson<ServiceId>(json, "service");
  model->zones = IdsFromJson<ZoneId>(json["zones"]);
  model->min_servers = json["min_servers"].asInt();
}

Json::Value ToJson(const WorkspaceConfig& workspace) {
  const schedule::WorkspaceSpec& limits = workspace.limits;
  Json::Value json;
  json["id"] = limits.id.str();
  json["token"] = workspace.token;
  json["tier"] = workspace.tier;
  json["services"] = IdsToJson(workspace.services);
  json["models"] = IdsToJson(workspace.models);
  json["keys_carry_time"] = workspace.keys_carry_time;
  json["weight"] = limits.weight;
  json["max_waiting"] = limits.max_waiting;
  json["max_waiting_bytes"] =
      static_cast<Json::Int64>(limits.max_waiting_bytes);
  json["tokens_per_second"] = limits.tokens_per_second;
  json["max_concurrent"] = limits.max_concurrent;
  return json;
}

void FromJson(const Json::Value& json, WorkspaceConfig* workspace) {
  schedule::WorkspaceSpec& limits = workspace->limits;
  limits.id = IdFromJson<WorkspaceId>(json, "id");
  workspace->token = json["token"].asString();
  workspace->tier = json["tier"].asString();
  workspace->services = IdsFromJson<ServiceId>(json["services"]);
  workspace->models = IdsFromJson<ModelId>(json["models"]);
  workspace->keys_carry_time = json["keys_carry_time"].asBool();
  limits.weight = json["weight"].asDouble();
  limits.max_waiting = json["max_waiting"].asInt();
  limits.max_waiting_bytes = json["max_waiting_bytes"].asInt64();
  limits.tokens_per_second = json["tokens_per_second"].asDouble();
  limits.max_concurrent = json["max_concurrent"].asInt();
}

Json::Value ToJson(const ServerConfig& server) {
  const schedule::ServerSpec& spec = server.spec;
  Json::Value json;
  json["id"] = spec.id.str();
  json["service"] = server.service.str();
  json["zone"] = server.zone.str();
  json["address"] = server.address;
  json["checks_fence"] = server.fencing == Fencing::kChecks;
  json["generation"] = spec.generation;
  json["role"] = static_cast<int>(spec.role);
  json["models"] = IdsToJson(spec.models);
  json["prefill_tokens_per_second"] = spec.prefill_tokens_per_second;
  json["decode_tokens_per_second"] = spec.decode_tokens_per_second;
  json["max_streams"] = spec.max_streams;
  json["kv_tokens"] = static_cast<Json::Int64>(spec.kv_tokens);
  json["cache_tokens"] = static_cast<Json::Int64>(spec.cache_tokens);
  json["power"] = PowerToJson(spec.power);
  return json;
}

void FromJson(const Json::Value& json, ServerConfig* server) {
  schedule::ServerSpec& spec = server->spec;
  spec.id = IdFromJson<ServerId>(json, "id");
  server->service = IdFromJson<ServiceId>(json, "service");
  server->zone = IdFromJson<ZoneId>(json, "zone");
  server->address = json["address"].asString();
  bool checks = json["checks_fence"].asBool();
  server->fencing = checks ? Fencing::kChecks : Fencing::kIgnores;
  spec.generation = json["generation"].asInt();
  spec.role = static_cast<schedule::ServerRole>(json["role"].asInt());
  spec.models = IdsFromJson<ModelId>(json["models"]);
  spec.prefill_tokens_per_second = json["prefill_tokens_per_second"].asDouble();
  spec.decode_tokens_per_second = json["decode_tokens_per_second"].asDouble();
  spec.max_streams = json["max_streams"].asInt();
  spec.kv_tokens = json["kv_tokens"].asInt64();
  spec.cache_tokens = json["cache_tokens"].asInt64();
  spec.power = PowerFromJson(json["power"]);
}

std::string WriteJson(const Json::Value& value) {
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder compact;
    compact["indentation"] = "";
    compact["precision"] = 17;
    return compact;
  }();
  return Json::writeString(builder, value);
}

Outcome<Json::Value> ReadJson(std::string_view text) {
  static const Json::CharReaderBuilder builder = [] {
    Json::CharReaderBuilder strict;
    Json::CharReaderBuilder::strictMode(&strict.settings_);
    return strict;
  }();
  std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problem;
  bool read = false;
  try {
    read =
        reader->parse(text.data(), text.data() + text.size(), &value, &problem);
  } catch (const Json::Exception& error) {
    problem = error.what();  // Nested too deeply.
  }
  if (!read) return Error{Code::kBadPlatformAnswer, "not JSON: " + problem};
  return value;
}

std::string Digest(std::string_view text) {
  XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
  std::array<char, 33> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),  // NOLINT
                static_cast<unsigned long long>(hash.low64));  // NOLINT
  return digits.data();
}

}  // namespace gentianlb::config
