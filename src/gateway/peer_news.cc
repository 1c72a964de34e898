#include "gateway/peer_news.h"

#include <xxhash.h>

#include <sstream>

#include "gateway/wire_lists.h"

namespace gentianlb::gateway {

namespace {

// Begins each message, and tells its form from others.
constexpr std::string_view kMark = "GN3";

}  // namespace

NameHash HashName(std::string_view name) {
  return XXH32(name.data(), name.size(), /*seed=*/0);
}

std::string Encode(const PeerNews& news) {
  std::ostringstream out;
  out << kMark;
  WireWriter writer(out);
  writer(news.incarnation, news.sequence, news.draining, news.processor);
  WriteText(writer, news.host);
  WriteText(writer, news.address);
  WriteList(writer, news.servers, [&](const ServerUse& use) {
    writer(use.server, use.running, use.alone, use.prefill, use.decode);
  });
  WriteList(writer, news.workspaces, [&](const WorkspaceUse& use) {
    writer(use.workspace, use.tokens_per_second, use.let_through,
           use.given_back, use.part);
  });
  WriteList(writer, news.tables, [&](const TableNews& table) {
    writer(table.table, table.newest_change, table.up);
  });
  return out.str();
}

bool IsPeerNews(std::string_view bytes) { return bytes.starts_with(kMark); }

std::optional<PeerNews> DecodePeerNews(std::string_view bytes) {
  if (!IsPeerNews(bytes)) return std::nullopt;
  bytes.remove_prefix(kMark.size());
  std::istringstream in{std::string(bytes)};
  PeerNews news;
  try {
    WireReader reader(in);
    reader(news.incarnation, news.sequence, news.draining, news.processor);
    ReadText(reader, &news.host);
    ReadText(reader, &news.address);
    ReadList(reader, &news.servers, [&](ServerUse& use) {
      reader(use.server, use.running, use.alone, use.prefill, use.decode);
    });
    ReadList(reader, &news.workspaces, [&](WorkspaceUse& use) {
      reader(use.workspace, use.tokens_per_second, use.let_through,
             use.given_back, use.part);
    });
    ReadList(reader, &news.tables, [&](TableNews& table) {
      reader(table.table, table.newest_change, table.up);
    });
  } catch (const std::exception&) {
    return std::nullopt;  // Whoever takes messages in counts these.
  }
  return news;
}

}  // namespace gentianlb::gateway
