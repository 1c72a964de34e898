#include "gateway/fleet_messages.h"

#include <xxhash.h>

#include <sstream>

#include "gateway/wire_lists.h"

namespace gentianlb::gateway {

namespace {

// Begin each message, and tell its form from others.
constexpr std::string_view kNewsMark = "GN5";
constexpr std::string_view kChangesMark = "GT1";
constexpr std::string_view kQuestionMark = "GQ1";

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

void WriteDetails(WireWriter& writer, const FleetNews& news) {
  WriteList(writer, news.servers, [&](const ServerUse& use) {
    writer(use.server, use.running, use.alone, use.prefill, use.decode);
  });
  WriteHosts(writer, news.dispatchers);
  WriteHosts(writer, news.neighbours);
}

void ReadDetails(WireReader& reader, FleetNews* news) {
  ReadList(reader, &news->servers, [&](ServerUse& use) {
    reader(use.server, use.running, use.alone, use.prefill, use.decode);
  });
  ReadHosts(reader, &news->dispatchers);
  ReadHosts(reader, &news->neighbours);
}

NewsScope ReadScope(WireReader& reader) {
  std::uint8_t scope = 0;
  reader(scope);
  if (scope > static_cast<std::uint8_t>(NewsScope::kNone)) {
    throw std::out_of_range("an unknown scope");
  }
  return static_cast<NewsScope>(scope);
}

void ReadNews(WireReader& reader, FleetNews* news) {
  news->scope = ReadScope(reader);
  Read(reader, news->sender);
  reader(news->incarnation, news->sequence, news->period_ms, news->age_ms,
         news->hosts, news->complete, news->draining);
  ReadList(reader, &news->workspaces, [&](WorkspaceUse& use) {
    reader(use.workspace, use.tokens_per_second, use.let_through,
           use.given_back, use.part, use.parts, use.unheard);
  });
  ReadList(reader, &news->tables, [&](TableNews& table) {
    reader(table.table, table.known.newest_change, table.known.since,
           table.known.version, table.up, table.returned_ms);
  });
  Read(reader, news->aggregator);
  reader(news->settled, news->detailed);
  if (news->detailed) ReadDetails(reader, news);
}

void ReadChanges(WireReader& reader, TableChanges* changes) {
  reader(changes->table, changes->since, changes->page.version);
  ReadList(reader, &changes->page.rows, [&](TableRow& row) {
    ReadText(reader, &row.key);
    ReadBytes(reader, kMostChangeBytes, &row.value);
    reader(row.removed, row.version);
  });
}

void ReadQuestion(WireReader& reader, TableQuestion* question) {
  ReadText(reader, &question->asker);
  reader(question->table, question->since);
}

// None when `read` finds the bytes cut or foreign.
template <typename Message, typename ReadMessage>
std::optional<Message> Decode(std::string_view mark, std::string_view bytes,
                              ReadMessage read) {
  if (!bytes.starts_with(mark)) return std::nullopt;
  bytes.remove_prefix(mark.size());
  std::istringstream in{std::string(bytes)};
  Message message;
  try {
    WireReader reader(in);
    read(reader, &message);
  } catch (const std::exception&) {
    return std::nullopt;  // Whoever takes messages in counts these.
  }
  return message;
}

}  // namespace

NameHash HashName(std::string_view name) {
  return XXH32(name.data(), name.size(), /*seed=*/0);
}

bool RanksBelow(const HostEntry& a, const HostEntry& b) {
  if (a.processor != b.processor) return a.processor < b.processor;
  const NameHash hash_a = HashName(a.host);
  const NameHash hash_b = HashName(b.host);
  return hash_a != hash_b ? hash_a < hash_b : a.host < b.host;
}

std::string Encode(const FleetNews& news) {
  std::ostringstream out;
  out << kNewsMark;
  WireWriter writer(out);
  writer(static_cast<std::uint8_t>(news.scope));
  Write(writer, news.sender);
  writer(news.incarnation, news.sequence, news.period_ms, news.age_ms,
         news.hosts, news.complete, news.draining);
  WriteList(writer, news.workspaces, [&](const WorkspaceUse& use) {
    writer(use.workspace, use.tokens_per_second, use.let_through,
           use.given_back, use.part, use.parts, use.unheard);
  });
  WriteList(writer, news.tables, [&](const TableNews& table) {
    writer(table.table, table.known.newest_change, table.known.since,
           table.known.version, table.up, table.returned_ms);
  });
  Write(writer, news.aggregator);
  writer(news.settled, news.detailed);
  if (news.detailed) WriteDetails(writer, news);
  return out.str();
}

bool IsFleetNews(std::string_view bytes) {
  return bytes.starts_with(kNewsMark);
}

std::optional<FleetNews> DecodeFleetNews(std::string_view bytes) {
  return Decode<FleetNews>(kNewsMark, bytes, ReadNews);
}

std::optional<std::string> Encode(const TableChanges& changes) {
  std::ostringstream out;
  out << kChangesMark;
  WireWriter writer(out);
  writer(changes.table, changes.since, changes.page.version);
  WriteList(writer, changes.page.rows, [&](const TableRow& row) {
    WriteText(writer, row.key);
    WriteBytes(writer, row.value);
    writer(row.removed, row.version);
  });
  std::string bytes = out.str();
  if (bytes.size() > kMostChangeBytes) return std::nullopt;
  return bytes;
}

bool IsTableChanges(std::string_view bytes) {
  return bytes.starts_with(kChangesMark);
}

std::optional<TableChanges> DecodeTableChanges(std::string_view bytes) {
  return Decode<TableChanges>(kChangesMark, bytes, ReadChanges);
}

std::string Encode(const TableQuestion& question) {
  std::ostringstream out;
  out << kQuestionMark;
  WireWriter writer(out);
  WriteText(writer, question.asker);
  writer(question.table, question.since);
  return out.str();
}

bool IsTableQuestion(std::string_view bytes) {
  return bytes.starts_with(kQuestionMark);
}

std::optional<TableQuestion> DecodeTableQuestion(std::string_view bytes) {
  return Decode<TableQuestion>(kQuestionMark, bytes, ReadQuestion);
}

}  // namespace gentianlb::gateway
