// The canonical JSON form of the parts of a configuration: what is stored in
// the table, sent to peers, hashed and compared. Equal values give equal texts,
// and a text read back gives an equal value.

#ifndef GENTIANLB_CONFIG_CODEC_H_
#define GENTIANLB_CONFIG_CODEC_H_

#include <json/json.h>

#include <string>
#include <string_view>

#include "config/configuration.h"

namespace gentianlb::config {

// The few figures that hold for the site as a whole.
struct SiteConfig {
  std::string name;
  double power_cap_watts = 0;
  schedule::Weights weights;
  bool operator==(const SiteConfig&) const = default;
};

SiteConfig SiteOf(const Configuration& configuration);

Json::Value ToJson(const SiteConfig& site);
Json::Value ToJson(const ZonePowerConfig& zone);
Json::Value ToJson(const TierConfig& tier);
Json::Value ToJson(const ServiceConfig& service);
Json::Value ToJson(const ModelConfig& model);
Json::Value ToJson(const WorkspaceConfig& workspace);
Json::Value ToJson(const ServerConfig& server);

// Each throws Json::Exception when a field has the wrong type; Guard() turns
// that into an Error.
void FromJson(const Json::Value& json, SiteConfig* site);
void FromJson(const Json::Value& json, ZonePowerConfig* zone);
void FromJson(const Json::Value& json, TierConfig* tier);
void FromJson(const Json::Value& json, ServiceConfig* service);
void FromJson(const Json::Value& json, ModelConfig* model);
void FromJson(const Json::Value& json, WorkspaceConfig* workspace);
void FromJson(const Json::Value& json, ServerConfig* server);

// The name that tells a part from others of its kind.
inline std::string NameOf(const SiteConfig&) { return ""; }
inline std::string NameOf(const ZonePowerConfig& z) { return z.zone.str(); }
inline std::string NameOf(const TierConfig& tier) { return tier.name; }
inline std::string NameOf(const ServiceConfig& s) { return s.id.str(); }
inline std::string NameOf(const ModelConfig& model) { return model.id.str(); }
inline std::string NameOf(const WorkspaceConfig& w) {
  return w.limits.id.str();
}
inline std::string NameOf(const ServerConfig& s) { return s.spec.id.str(); }

// Compact, object keys sorted, doubles with all their digits.
std::string WriteJson(const Json::Value& value);

// kBadPlatformAnswer when `text` is not JSON.
Outcome<Json::Value> ReadJson(std::string_view text);

// The reverse of ToJson() and WriteJson().
template <typename T>
Outcome<T> ReadPart(std::string_view text) {
  auto json = ReadJson(text);
  if (!json.ok()) return json.error();
  T part;
  try {
    FromJson(json.value(), &part);
  } catch (const Json::Exception& error) {
    return Error{Code::kBadPlatformAnswer, error.what()};
  }
  return part;
}

// 128 bits of XXH3 as hexadecimal digits: enough to find a half-written or
// corrupt text; it is no signature.
std::string Digest(std::string_view text);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_CODEC_H_
