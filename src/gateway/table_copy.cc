#include "gateway/table_copy.h"

#include <algorithm>

namespace gentianlb::gateway {
namespace {

// Bounds the copy: servers come and go as long as a host runs.
constexpr std::size_t kMaxRemovedRows = 256;

}  // namespace

void TableCopy::Replace(const std::vector<TableRow>& rows,
                        std::uint64_t version) {
  rows_.clear();
  removed_ = 0;
  since_ = version;
  for (const TableRow& row : rows) Store(row);
}

void TableCopy::Apply(const std::vector<TableRow>& rows,
                      std::uint64_t version) {
  for (const TableRow& row : rows) Store(row);
  if (removed_ > kMaxRemovedRows) DropRemoved(version);
}

void TableCopy::Store(const TableRow& row) {
  TableRow& stored = rows_[row.key];
  if (stored.removed) --removed_;
  stored = row;
  if (stored.removed) ++removed_;
}

void TableCopy::DropRemoved(std::uint64_t version) {
  std::erase_if(rows_, [](const auto& item) { return item.second.removed; });
  removed_ = 0;
  since_ = version;
}

std::vector<TableRow> TableCopy::RowsSince(std::uint64_t since) const {
  std::vector<TableRow> rows;
  for (const auto& [key, row] : rows_) {
    const bool changed = row.version == 0 || row.version > since;
    if (since == 0 ? !row.removed : changed) rows.push_back(row);
  }
  return rows;
}

}  // namespace gentianlb::gateway
