// Rows of a table of the platform's table service.

#ifndef GENTIANLB_GATEWAY_TABLE_PAGE_H_
#define GENTIANLB_GATEWAY_TABLE_PAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace gentianlb::gateway {

struct TableRow {
  std::string key;
  std::string value;
  bool removed = false;
  std::uint64_t version = 0;  // Version of the last change; 0: unknown.
  bool operator==(const TableRow&) const = default;
};

// A range of rows, read at one version.
struct TablePage {
  std::vector<TableRow> rows;
  std::uint64_t version = 0;  // Version of the whole table service at the read.
  bool more = false;          // The table has rows after the last one.
  std::int64_t now_ms = 0;    // The table service's steady clock; 0: unknown.
  bool operator==(const TablePage&) const = default;
};

// Rows that one transaction sets and drops, all or none.
struct RowChanges {
  std::vector<std::pair<std::string, std::string>> writes;  // Key and value.
  std::vector<std::string> drops;
};

struct TransactionResult {
  bool done = false;        // False means that it may have failed.
  std::int64_t now_ms = 0;  // As in TablePage.
};

// The part of a table's history that a host has: all changes after `since` up
// to `version`; the last of them is `newest_change`. The host may lack removals
// up to `since`: it read the whole table at that version or has dropped old
// removals.
struct TableHistory {
  std::uint64_t newest_change = 0;
  std::uint64_t since = 0;
  std::uint64_t version = 0;
  auto operator<=>(const TableHistory&) const = default;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_PAGE_H_
