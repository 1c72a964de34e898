#include "config/intent.h"

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"
#include "config/intent_check.h"
#include "settings/field_reader.h"

namespace gentianlb::config {
namespace {

using settings::Document;
using settings::FieldReader;
using settings::Need;
using settings::Problems;
using settings::Range;
using settings::Section;

constexpr Range<std::int64_t> kCount = {0, 1000000000};
constexpr Range<std::int64_t> kAtLeastOne = {1, 1000000};
constexpr Range<double> kPositive = {1e-9, std::numeric_limits<double>::max()};
constexpr Range<absl::Duration> kDeadline = {absl::Milliseconds(100),
                                             absl::Hours(24)};

template <typename T>
std::vector<T> ToIds(const std::vector<std::string>& names) {
  std::vector<T> ids;
  ids.reserve(names.size());
  for (const std::string& name : names) ids.emplace_back(name);
  std::sort(ids.begin(), ids.end());
  return ids;
}

template <typename T>
void ReadIds(FieldReader& reader, std::string_view key, std::vector<T>* out,
             Need need = Need::kOptional) {
  std::vector<std::string> names;
  reader.Names(key, &names, need);
  *out = ToIds<T>(names);
}

template <typename T>
void ReadId(FieldReader& reader, std::string_view key, T* out) {
  std::string name;
  reader.Name(key, &name, Need::kRequired);
  *out = T(name);
}

// Reads all sections of one document, each by a function of its own.
class IntentReader {
 public:
  IntentReader(const Document& document, Problems* problems)
      : document_(document), problems_(problems) {}

  Configuration Read() {
    for (const Section& section : document_.sections) ReadSection(section);
    Sort();
    CheckIntent(document_, configuration_, problems_);
    return std::move(configuration_);
  }

 private:
  using SectionFunction = void (IntentReader::*)(const std::string& name,
                                                 FieldReader&);

  void ReadSection(const Section& section) {
    static const auto& functions =
        *new absl::flat_hash_map<std::string, SectionFunction>{
            {"site", &IntentReader::ReadSite},
            {"zone", &IntentReader::ReadZone},
            {"tier", &IntentReader::ReadTier},
            {"service", &IntentReader::ReadService},
            {"model", &IntentReader::ReadModel},
            {"workspace", &IntentReader::ReadWorkspace},
            {"server", &IntentReader::ReadServer}};
    auto found = functions.find(section.kind);
    if (found == functions.end()) {
      return Note(
          section, Code::kUnknownSection,
          absl::StrCat("[", section.kind, "] is not a section of an intent"));
    }
    // Of all, only [site] is there once and has no name.
    bool named = section.kind != "site";
    if (named == section.name.empty()) {
      return Note(section, Code::kUnknownSection,
                  absl::StrCat("[", section.kind,
                               named ? "] needs a name" : "] takes no name"));
    }
    if (named && !settings::IsName(section.name)) {
      return Note(section, Code::kOutOfRange, section.name + " is no name");
    }
    FieldReader reader(document_, section, problems_);
    (this->*found->second)(section.name, reader);
    reader.ReportUnknownKeys();
  }

  void ReadSite(const std::string& /*name*/, FieldReader& reader) {
    reader.Name("name", &configuration_.site, Need::kRequired);
    reader.Watts("power_cap", kPositive, &configuration_.power_cap_watts,
                 Need::kRequired);
    schedule::Weights& weights = configuration_.weights;
    Range<double> range = {0, 1000};
    reader.Number("goodput_weight", range, &weights.goodput);
    reader.Number("wasted_prefill_weight", range, &weights.wasted_prefill);
    if (weights.goodput > 0 || weights.wasted_prefill > 0) return;
    reader.AddProblem("goodput_weight", Code::kContradiction,
                      "and wasted_prefill_weight are both 0");
  }

  void ReadZone(const std::string& name, FieldReader& reader) {
    ZonePowerConfig zone;
    zone.zone = ZoneId(name);
    reader.Watts("power_floor", settings::kNonNegative, &zone.floor_watts);
    configuration_.zones.push_back(std::move(zone));
  }

  void ReadTier(const std::string& name, FieldReader& reader) {
    TierConfig tier;
    tier.name = name;
    reader.Integer("rank", {0, 15}, &tier.tier.rank, Need::kRequired);
    reader.Duration("deadline", kDeadline, &tier.deadline, Need::kRequired);
    ReadIds(reader, "services", &tier.services);
    configuration_.tiers.push_back(std::move(tier));
  }

  void ReadService(const std::string& name, FieldReader& reader) {
    ServiceConfig service;
    service.id = ServiceId(name);
    reader.Choice<ServiceKind>(
        "kind",
        {{"model", ServiceKind::kModel}, {"plain", ServiceKind::kPlain}},
        &service.kind, Need::kRequired);
    reader.Text("path_prefix", &service.path_prefix);
    reader.List("non_idempotent", &service.non_idempotent);
    std::sort(service.non_idempotent.begin(), service.non_idempotent.end());
    configuration_.services.push_back(std::move(service));
  }

  void ReadModel(const std::string& name, FieldReader& reader) {
    ModelConfig model;
    model.id = ModelId(name);
    ReadId(reader, "service", &model.service);
    ReadIds(reader, "zones", &model.zones);
    reader.Integer("min_servers", {1, 1000}, &model.min_servers);
    configuration_.models.push_back(std::move(model));
  }

  void ReadWorkspace(const std::string& name, FieldReader& reader) {
    WorkspaceConfig workspace;
    schedule::WorkspaceSpec& limits = workspace.limits;
    limits.id = WorkspaceId(name);
    reader.Text("token", &workspace.token, Need::kRequired);
    reader.Name("tier", &workspace.tier, Need::kRequired);
    ReadIds(reader, "services", &workspace.services, Need::kRequired);
    ReadIds(reader, "models", &workspace.models);
    reader.Flag("keys_carry_time", &workspace.keys_carry_time);
    reader.Number("weight", {0.001, 1000}, &limits.weight);
    reader.Integer("max_waiting", {1, 1000000}, &limits.max_waiting);
    reader.Size("max_waiting_size", {1024, std::int64_t{1} << 40},
                &limits.max_waiting_bytes);
    reader.TokenRate("token_rate", settings::kNonNegative,
                     &limits.tokens_per_second);
    reader.Integer("max_concurrent", {0, 1000000}, &limits.max_concurrent);
    configuration_.workspaces.push_back(std::move(workspace));
  }

  void ReadServer(const std::string& name, FieldReader& reader) {
    ServerConfig server;
    schedule::ServerSpec& spec = server.spec;
    spec.id = ServerId(name);
    ReadId(reader, "service", &server.service);
    ReadId(reader, "zone", &server.zone);
    settings::Endpoint address;
    reader.Address("address", &address, Need::kRequired);
    server.address = settings::Format(address);
    reader.Choice<Fencing>(
        "fencing",
        {{"checks", Fencing::kChecks}, {"ignores", Fencing::kIgnores}},
        &server.fencing);
    reader.Integer("generation", {1, 100}, &spec.generation);
    reader.Choice<schedule::ServerRole>(
        "role",
        {{"mixed", schedule::ServerRole::kMixed},
         {"prefill", schedule::ServerRole::kPrefill},
         {"decode", schedule::ServerRole::kDecode}},
        &spec.role);
    ReadIds(reader, "models", &spec.models);
    reader.Integer("max_streams", kAtLeastOne, &spec.max_streams,
                   Need::kRequired);
    ReadEngine(reader, &spec);
    ReadPower(reader, &spec.power);
    configuration_.servers.push_back(std::move(server));
  }

  void ReadEngine(FieldReader& reader, schedule::ServerSpec* spec) {
    reader.TokenRate("prefill_speed", kPositive,
                     &spec->prefill_tokens_per_second);
    reader.TokenRate("decode_speed", kPositive,
                     &spec->decode_tokens_per_second);
    reader.Integer("kv_tokens", kCount, &spec->kv_tokens);
    reader.Integer("cache_tokens", kCount, &spec->cache_tokens);
  }

  void ReadPower(FieldReader& reader, schedule::PowerModel* power) {
    reader.Watts("idle_power", settings::kNonNegative, &power->idle_watts);
    reader.Watts("power_per_stream", settings::kNonNegative,
                 &power->watts_per_stream);
    reader.Joules("energy_per_prefill_token", settings::kNonNegative,
                  &power->joules_per_prefill_token);
  }

  void Sort() {
    auto by = [](auto& list, auto key) {
      std::sort(list.begin(), list.end(),
                [&](const auto& a, const auto& b) { return key(a) < key(b); });
    };
    Configuration& c = configuration_;
    by(c.zones, [](const ZonePowerConfig& z) { return z.zone; });
    by(c.tiers,
       [](const TierConfig& t) { return std::pair(t.tier.rank, t.name); });
    by(c.services, [](const ServiceConfig& s) { return s.id; });
    by(c.models, [](const ModelConfig& m) { return m.id; });
    by(c.workspaces, [](const WorkspaceConfig& w) { return w.limits.id; });
    by(c.servers, [](const ServerConfig& s) { return s.spec.id; });
  }

  void Note(const Section& section, Code code, std::string text) {
    problems_->push_back({document_.file, section.line, code, std::move(text)});
  }

  const Document& document_;
  Problems* problems_;
  Configuration configuration_;
};

}  // namespace

Configuration ReadIntent(const Document& document, Problems* problems) {
  return IntentReader(document, problems).Read();
}

Outcome<Configuration> ParseIntent(std::string_view file,
                                   std::string_view text) {
  Problems problems;
  Document document = settings::ParseDocument(file, text, &problems);
  Configuration configuration = ReadIntent(document, &problems);
  if (!problems.empty()) return settings::ToError(std::move(problems));
  return configuration;
}

}  // namespace gentianlb::config
