// One version of the configuration at several numbers of workspaces, with 1,000
// servers: its rows, what a change of one workspace writes and each host reads,
// and the index that an entry host builds of it.

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "config/rows.h"
#include "config/snapshot_writer.h"
#include "costs.h"
#include "entry/config_index.h"
#include "meter.h"

namespace gentianlb::bench {
namespace {

using config::Configuration;
using config::Snapshot;

constexpr int kZones = 18;
constexpr int kModels = 4;

void AddServers(int servers, Configuration* configuration) {
  for (int i = 0; i < servers; ++i) {
    config::ServerConfig server;
    server.service = ServiceId(absl::StrCat("service-", i % kModels));
    server.zone = ZoneId(absl::StrCat("zone-", i % kZones));
    server.address = absl::StrCat("10.30.", i / 250, ".", i % 250, ":8080");
    server.spec.id = ServerId(absl::StrFormat("server-%04d", i));
    server.spec.models = {ModelId(absl::StrCat("model-", i % kModels))};
    server.spec.prefill_tokens_per_second = 8000;
    server.spec.decode_tokens_per_second = 40;
    server.spec.max_streams = 64;
    server.spec.power = {500, 20, 0.05};
    configuration->servers.push_back(server);
  }
}

Configuration Fleet(int workspaces, int servers) {
  Configuration configuration;
  configuration.version = 1;
  configuration.site = "site";
  configuration.power_cap_watts = 1e7;
  for (int i = 0; i < kModels; ++i) {
    ServiceId service(absl::StrCat("service-", i));
    configuration.services.push_back({service, {}, "", {}});
    configuration.models.push_back(
        {ModelId(absl::StrCat("model-", i)), service, {}, 1});
    configuration.tiers.push_back(
        {absl::StrCat("tier-", i), Tier{i}, absl::Seconds(10), {}});
  }
  for (int i = 0; i < workspaces; ++i) {
    config::WorkspaceConfig workspace;
    workspace.token =
        absl::StrFormat("token-of-workspace-%05d-%016x", i, i * 97);
    workspace.tier = absl::StrCat("tier-", i % kModels);
    workspace.services = {ServiceId(absl::StrCat("service-", i % kModels))};
    workspace.models = {ModelId(absl::StrCat("model-", i % kModels))};
    workspace.limits.id = WorkspaceId(absl::StrFormat("workspace-%05d", i));
    configuration.workspaces.push_back(workspace);
  }
  AddServers(servers, &configuration);
  return configuration;
}

double BytesOf(const Snapshot& snapshot) {
  std::size_t bytes = 0;
  for (const auto& [key, text] : snapshot.rows) {
    bytes += key.size() + text.size();
  }
  return static_cast<double>(bytes);
}

// The rows of `after` that `before` hasn't got: written once, read by everyone.
Snapshot Difference(const Snapshot& before, const Snapshot& after) {
  Snapshot fresh;
  for (const auto& row : after.rows) {
    if (!before.rows.contains(row.first)) fresh.rows.insert(row);
  }
  return fresh;
}

// Milliseconds of processor time that `work` takes.
template <typename Work>
double Milliseconds(Work&& work) {
  double before = ThreadSeconds();
  work();
  return (ThreadSeconds() - before) * 1e3;
}

std::vector<double> Measure(int workspaces, int servers) {
  std::int64_t empty = HeapBytes();
  Configuration fleet = Fleet(workspaces, servers);
  auto value_bytes = static_cast<double>(HeapBytes() - empty);
  Snapshot snapshot;
  double encode =
      Milliseconds([&] { snapshot = config::EncodeSnapshot(fleet, {}); });

  bool ok = false;
  config::Assembler assembler;
  double whole =
      Milliseconds([&] { ok = assembler.Assemble(1, snapshot).ok(); });
  Configuration changed = fleet;
  changed.version = 2;
  changed.workspaces[workspaces / 2].limits.weight = 9;
  Snapshot next = config::EncodeSnapshot(changed, {fleet, snapshot});
  double change =
      Milliseconds([&] { ok = ok && assembler.Assemble(2, next).ok(); });
  Snapshot fresh = Difference(snapshot, next);

  std::unique_ptr<entry::ConfigIndex> index;
  std::int64_t before = HeapBytes();
  double build = Milliseconds(
      [&] { index = std::make_unique<entry::ConfigIndex>(fleet); });
  auto index_bytes = static_cast<double>(HeapBytes() - before);
  return {static_cast<double>(workspaces),
          static_cast<double>(servers),
          static_cast<double>(snapshot.rows.size()),
          BytesOf(snapshot),
          static_cast<double>(fresh.rows.size()),
          BytesOf(fresh),
          value_bytes,
          index_bytes,
          encode,
          whole,
          ok ? change : -1,
          build};
}

}  // namespace

Table MeasureConfiguration(bool quick) {
  Table table{
      "configuration",
      {"workspaces", "servers", "rows", "bytes", "rows of a change",
       "bytes of a change", "heap of the value", "heap of value and index",
       "ms encode", "ms read whole", "ms read a change", "ms index"},
      {}};
  table.rows.push_back(Measure(5, 10));
  table.rows.push_back(Measure(1'000, 100));
  if (!quick) table.rows.push_back(Measure(47'000, 1'000));
  return table;
}

}  // namespace gentianlb::bench
