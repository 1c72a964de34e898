#include "settings/gateway_settings.h"

#include <utility>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "settings/field_reader.h"

namespace gentianlb::settings {
namespace {

constexpr Range<absl::Duration> kGraceRange = {absl::Seconds(1),
                                               absl::Hours(1)};
constexpr Range<absl::Duration> kCrossingCostRange = {absl::ZeroDuration(),
                                                      absl::Seconds(10)};
constexpr Range<absl::Duration> kDrainTimeRange = {absl::ZeroDuration(),
                                                   absl::Minutes(1)};
constexpr Range<double> kBurstRange = {0, 1e6};
constexpr Range<double> kRatioRange = {0, 10};
constexpr Range<std::int64_t> kMemoryRange = {std::int64_t{32} << 20,
                                              std::int64_t{1} << 40};
constexpr Range<double> kExposureRange = {0, 0.5};
constexpr Range<double> kProcessorRange = {0.001, 1024};

void ReadSection(const std::string& kind, FieldReader& reader,
                 GatewaySettings* settings) {
  if (kind == "host") {
    std::string id;
    std::string zone;
    reader.Name("id", &id, Need::kRequired);
    reader.Name("zone", &zone, Need::kRequired);
    settings->id = EntryHostId(id);
    settings->zone = ZoneId(zone);
    reader.Duration("grace", kGraceRange, &settings->grace, Need::kRequired);
    reader.Size("memory", kMemoryRange, &settings->memory);
    reader.Number("processor", kProcessorRange, &settings->processor);
  } else if (kind == "callers") {
    reader.Address("address", &settings->callers, Need::kRequired);
  } else if (kind == "ready") {
    reader.Address("address", &settings->ready, Need::kRequired);
    reader.Text("path", &settings->ready_path, Need::kRequired);
  } else if (kind == "metrics") {
    reader.Address("address", &settings->metrics, Need::kRequired);
  } else if (kind == "peers") {
    reader.Address("address", &settings->peers, Need::kRequired);
  } else if (kind == "table") {
    reader.Address("address", &settings->table, Need::kRequired);
  } else if (kind == "servers") {
    reader.Duration("zone_crossing_cost", kCrossingCostRange,
                    &settings->zone_crossing_cost);
    reader.Duration("drain_time", kDrainTimeRange, &settings->drain_time);
  } else if (kind == "limits") {
    reader.Number("tolerance_tokens", kNonNegative,
                  &settings->limit_tolerance_tokens);
  } else if (kind == "rollouts") {
    settings->has_rollouts = true;
    reader.Number("max_exposure", kExposureRange,
                  &settings->max_rollout_exposure);
  } else if (kind == "retries") {
    reader.Number("per_request", kRatioRange, &settings->retries_per_request);
    reader.Number("burst", kBurstRange, &settings->retry_burst);
  }
}

}  // namespace

GatewaySettings ReadGatewaySettings(const Document& document,
                                    Problems* problems) {
  constexpr const char* kRequired[] = {"host",    "callers", "ready",
                                       "metrics", "peers",   "table"};
  const absl::flat_hash_set<std::string> known_sections = {
      "host",  "callers", "ready",  "metrics",  "peers",
      "table", "retries", "limits", "rollouts", "servers"};
  GatewaySettings settings;
  absl::flat_hash_set<std::string> seen_sections;
  auto add_problem = [&](int line, Code code, std::string text) {
    problems->push_back({document.file, line, code, std::move(text)});
  };
  for (const Section& section : document.sections) {
    if (!known_sections.contains(section.kind) || !section.name.empty()) {
      add_problem(
          section.line, Code::kUnknownSection,
          absl::StrCat("[", section.kind, "] is not a section of settings"));
      continue;
    }
    seen_sections.insert(section.kind);
    FieldReader reader(document, section, problems);
    ReadSection(section.kind, reader, &settings);
    reader.ReportUnknownKeys();
  }
  for (const char* kind : kRequired) {
    if (seen_sections.contains(kind)) continue;
    add_problem(0, Code::kMissingSetting,
                absl::StrCat("[", kind, "] is missing"));
  }
  if (!settings.ready_path.empty() && settings.ready_path[0] != '/') {
    add_problem(0, Code::kOutOfRange, "[ready] path must begin with a slash");
  }
  return settings;
}

Outcome<GatewaySettings> LoadGatewaySettings(const std::string& path) {
  auto text = ReadFile(path);
  if (!text.ok()) return text.error();
  Problems problems;
  const Document document = ParseDocument(path, text.value(), &problems);
  GatewaySettings settings = ReadGatewaySettings(document, &problems);
  if (!problems.empty()) return ToError(std::move(problems));
  return settings;
}

}  // namespace gentianlb::settings
