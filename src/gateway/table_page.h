// Rows of a table of the platform's table service.

#ifndef GENTIANLB_GATEWAY_TABLE_PAGE_H_
#define GENTIANLB_GATEWAY_TABLE_PAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace gentianlb::gateway {

struct TableRow {
  std::string key;
  std::string value;
  bool removed = false;
  std::uint64_t version = 0;  // Of its last change; 0: not told.
  bool operator==(const TableRow&) const = default;
};

// Some rows, as of one moment.
struct TablePage {
  std::vector<TableRow> rows;
  std::uint64_t version = 0;  // Of the whole service; changes come after it.
  bool more = false;          // There are rows after the last one.
  bool operator==(const TablePage&) const = default;
};

// What a host knows of a table's history: all changes after `since` up to
// `version`, of which `newest_change` is the last. It has read the table as of
// `since`, and can't tell what was removed before.
struct TableKnowledge {
  std::uint64_t newest_change = 0;
  std::uint64_t since = 0;
  std::uint64_t version = 0;
  auto operator<=>(const TableKnowledge&) const = default;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_PAGE_H_
