#include "gateway/peer_news.h"

#include <xxhash.h>

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <stdexcept>

namespace gentianlb::gateway {

namespace {

// Begins each message, and tells its form from others.
constexpr std::string_view kMark = "GN2";

// Lists are written with a short count of their own: cereal's would let a
// stranger's message ask for any amount of memory.
using Count = std::uint16_t;
constexpr std::size_t kMostItems = 4096;

using Writer = cereal::PortableBinaryOutputArchive;
using Reader = cereal::PortableBinaryInputArchive;

template <typename List, typename WriteItem>
void WriteList(Writer& writer, const List& list, WriteItem write_item) {
  const auto count = static_cast<Count>(std::min(list.size(), kMostItems));
  writer(count);
  for (Count i = 0; i < count; ++i) write_item(list[i]);
}

template <typename List, typename ReadItem>
void ReadList(Reader& reader, List* list, ReadItem read_item) {
  Count count = 0;
  reader(count);
  if (count > kMostItems) throw std::length_error("too many items");
  list->resize(count);
  for (auto& item : *list) read_item(item);
}

}  // namespace

NameHash HashName(std::string_view name) {
  return XXH32(name.data(), name.size(), /*seed=*/0);
}

std::string Encode(const PeerNews& news) {
  std::ostringstream out;
  out << kMark;
  Writer writer(out);
  writer(news.incarnation, news.sequence);
  WriteList(writer, news.host, [&](char c) { writer(c); });
  WriteList(writer, news.address, [&](char c) { writer(c); });
  WriteList(writer, news.servers, [&](const ServerUse& use) {
    writer(use.server, use.running, use.prefill, use.decode);
  });
  WriteList(writer, news.workspaces, [&](const WorkspaceUse& use) {
    writer(use.workspace, use.tokens_per_second, use.let_through, use.part);
  });
  WriteList(writer, news.tables, [&](const TableNews& table) {
    writer(table.table, table.newest_change, table.up);
  });
  return out.str();
}

std::optional<PeerNews> DecodePeerNews(std::string_view bytes) {
  if (!bytes.starts_with(kMark)) return std::nullopt;
  bytes.remove_prefix(kMark.size());
  std::istringstream in{std::string(bytes)};
  PeerNews news;
  try {
    Reader reader(in);
    reader(news.incarnation, news.sequence);
    ReadList(reader, &news.host, [&](char& c) { reader(c); });
    ReadList(reader, &news.address, [&](char& c) { reader(c); });
    ReadList(reader, &news.servers, [&](ServerUse& use) {
      reader(use.server, use.running, use.prefill, use.decode);
    });
    ReadList(reader, &news.workspaces, [&](WorkspaceUse& use) {
      reader(use.workspace, use.tokens_per_second, use.let_through, use.part);
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
