#include "gateway/fleet_messages.h"

#include <xxhash.h>

#include <sstream>

#include "gateway/wire_lists.h"

namespace gentianlb::gateway {

namespace {

// First bytes of each message; they identify its type and format.
constexpr std::string_view kUpdateMagic = "GNA";
constexpr std::string_view kChangesMagic = "GT2";
constexpr std::string_view kQueryMagic = "GQ1";

void Write(WireWriter& writer, const HostEntry& host) {
  WriteText(writer, host.host);
  WriteText(writer, host.address);
  WriteText(writer, host.zone);
  writer(host.processor);
}

void Read(WireReader& reader, HostEntry& host) {
  ReadText(reader, &host.host);
  ReadText(reader, &host.address);
  ReadText(reader, &host.zone);
  reader(host.processor);
}

void WriteHosts(WireWriter& writer, const std::vector<HostEntry>& hosts) {
  WriteList(writer, hosts, [&](const HostEntry& host) { Write(writer, host); });
}

void ReadHosts(WireReader& reader, std::vector<HostEntry>* hosts) {
  ReadList(reader, hosts, [&](HostEntry& host) { Read(reader, host); });
}

void WriteDetails(WireWriter& writer, const FleetUpdate& update) {
  WriteList(writer, update.servers, [&](const ServerUse& use) {
    writer(use.server, use.running, use.ungranted, use.prefill_slowdown,
           use.decode_slowdown, use.request_limit);
  });
  WriteHosts(writer, update.dispatchers);
  WriteHosts(writer, update.neighbours);
}

void ReadDetails(WireReader& reader, FleetUpdate* update) {
  ReadList(reader, &update->servers, [&](ServerUse& use) {
    reader(use.server, use.running, use.ungranted, use.prefill_slowdown,
           use.decode_slowdown, use.request_limit);
  });
  ReadHosts(reader, &update->dispatchers);
  ReadHosts(reader, &update->neighbours);
}

// Reads or writes the members of `item`, as `Archive` does.
template <typename Archive, typename Evidence>
void Serialize(Archive& archive, Evidence& item) {
  archive(item.route, item.is_new, item.answered, item.failed, item.broken,
          item.first.count, item.first.logs, item.first.squares,
          item.pace.count, item.pace.logs, item.pace.squares);
}

void WriteRollouts(WireWriter& writer,
                   const std::vector<RolloutReport>& rollouts) {
  WriteList(writer, rollouts, [&](const RolloutReport& report) {
    writer(report.service, report.order, report.hosts,
           static_cast<std::uint8_t>(report.stage), report.open_old);
    WriteList(writer, report.evidence,
              [&](const RouteEvidence& item) { Serialize(writer, item); });
  });
}

void ReadRollouts(WireReader& reader, std::vector<RolloutReport>* rollouts) {
  ReadList(reader, rollouts, [&](RolloutReport& report) {
    std::uint8_t stage = 0;
    reader(report.service, report.order, report.hosts, stage, report.open_old);
    if (stage > static_cast<std::uint8_t>(RolloutStage::kAll)) {
      throw std::out_of_range("unknown stage");
    }
    report.stage = static_cast<RolloutStage>(stage);
    ReadList(reader, &report.evidence,
             [&](RouteEvidence& item) { Serialize(reader, item); });
  });
}

UpdateScope ReadScope(WireReader& reader) {
  std::uint8_t scope = 0;
  reader(scope);
  if (scope > static_cast<std::uint8_t>(UpdateScope::kNone)) {
    throw std::out_of_range("unknown scope");
  }
  return static_cast<UpdateScope>(scope);
}

void ReadUpdate(WireReader& reader, FleetUpdate* update) {
  update->scope = ReadScope(reader);
  Read(reader, update->sender);
  reader(update->incarnation, update->sequence, update->period_ms,
         update->age_ms, update->hosts, update->known_hosts, update->complete,
         update->draining);
  ReadList(reader, &update->workspaces, [&](WorkspaceUse& use) {
    reader(use.workspace, use.tokens_per_second, use.admitted, use.refunded,
           use.share, use.shares, use.unsettled, use.unreported, use.level,
           use.levels);
  });
  ReadList(reader, &update->tables, [&](TableState& table) {
    reader(table.table, table.history.newest_change, table.history.since,
           table.history.version, table.up, table.monitored,
           table.answers.first_ms, table.answers.last_ms);
  });
  ReadRollouts(reader, &update->rollouts);
  Read(reader, update->aggregator);
  reader(update->settled, update->detailed);
  if (update->detailed) ReadDetails(reader, update);
}

void ReadChanges(WireReader& reader, TableChanges* changes) {
  reader(changes->table, changes->since, changes->page.version,
         changes->answers.first_ms, changes->answers.last_ms);
  ReadList(reader, &changes->page.rows, [&](TableRow& row) {
    ReadText(reader, &row.key);
    ReadBytes(reader, kMaxChangesBytes, &row.value);
    reader(row.removed, row.version);
  });
}

void ReadQuery(WireReader& reader, TableQuery* query) {
  ReadText(reader, &query->requester);
  reader(query->table, query->since);
}

// Decodes the bytes after `mark` with `read`. Returns nullopt if they are
// truncated or of another type.
template <typename Message, typename ReadMessage>
std::optional<Message> Decode(std::string_view magic, std::string_view bytes,
                              ReadMessage read) {
  if (!bytes.starts_with(magic)) return std::nullopt;
  bytes.remove_prefix(magic.size());
  std::istringstream in{std::string(bytes)};
  Message message;
  try {
    WireReader reader(in);
    read(reader, &message);
  } catch (const std::exception&) {
    return std::nullopt;  // The receiver counts malformed messages.
  }
  return message;
}

}  // namespace

NameHash HashName(std::string_view name) {
  return XXH32(name.data(), name.size(), /*seed=*/0);
}

double FractionOf(std::string_view name) {
  constexpr std::uint32_t kSteps = 1 << 20;
  return static_cast<double>(HashName(name) % kSteps) / kSteps;
}

bool RanksBelow(const HostEntry& a, const HostEntry& b) {
  if (a.processor != b.processor) return a.processor < b.processor;
  const NameHash hash_a = HashName(a.host);
  const NameHash hash_b = HashName(b.host);
  return hash_a != hash_b ? hash_a < hash_b : a.host < b.host;
}

std::string Encode(const FleetUpdate& update) {
  std::ostringstream out;
  out << kUpdateMagic;
  WireWriter writer(out);
  writer(static_cast<std::uint8_t>(update.scope));
  Write(writer, update.sender);
  writer(update.incarnation, update.sequence, update.period_ms, update.age_ms,
         update.hosts, update.known_hosts, update.complete, update.draining);
  WriteList(writer, update.workspaces, [&](const WorkspaceUse& use) {
    writer(use.workspace, use.tokens_per_second, use.admitted, use.refunded,
           use.share, use.shares, use.unsettled, use.unreported, use.level,
           use.levels);
  });
  WriteList(writer, update.tables, [&](const TableState& table) {
    writer(table.table, table.history.newest_change, table.history.since,
           table.history.version, table.up, table.monitored,
           table.answers.first_ms, table.answers.last_ms);
  });
  WriteRollouts(writer, update.rollouts);
  Write(writer, update.aggregator);
  writer(update.settled, update.detailed);
  if (update.detailed) WriteDetails(writer, update);
  return out.str();
}

bool IsFleetUpdate(std::string_view bytes) {
  return bytes.starts_with(kUpdateMagic);
}

std::optional<FleetUpdate> DecodeFleetUpdate(std::string_view bytes) {
  return Decode<FleetUpdate>(kUpdateMagic, bytes, ReadUpdate);
}

std::optional<std::string> Encode(const TableChanges& changes) {
  std::ostringstream out;
  out << kChangesMagic;
  WireWriter writer(out);
  writer(changes.table, changes.since, changes.page.version,
         changes.answers.first_ms, changes.answers.last_ms);
  WriteList(writer, changes.page.rows, [&](const TableRow& row) {
    WriteText(writer, row.key);
    WriteBytes(writer, row.value);
    writer(row.removed, row.version);
  });
  std::string bytes = out.str();
  if (bytes.size() > kMaxChangesBytes) return std::nullopt;
  return bytes;
}

bool IsTableChanges(std::string_view bytes) {
  return bytes.starts_with(kChangesMagic);
}

std::optional<TableChanges> DecodeTableChanges(std::string_view bytes) {
  return Decode<TableChanges>(kChangesMagic, bytes, ReadChanges);
}

std::string Encode(const TableQuery& query) {
  std::ostringstream out;
  out << kQueryMagic;
  WireWriter writer(out);
  WriteText(writer, query.requester);
  writer(query.table, query.since);
  return out.str();
}

bool IsTableQuery(std::string_view bytes) {
  return bytes.starts_with(kQueryMagic);
}

std::optional<TableQuery> DecodeTableQuery(std::string_view bytes) {
  return Decode<TableQuery>(kQueryMagic, bytes, ReadQuery);
}

}  // namespace gentianlb::gateway
