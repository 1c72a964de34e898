#include "gateway/table_copy.h"

#include <algorithm>

namespace gentianlb::gateway {
namespace {

// Removals that are kept; servers come and go for as long as a host lives.
constexpr std::size_t kMostRemoved = 256;

}  // namespace

void TableCopy::Replace(const std::vector<TableRow>& rows,
                        std::uint64_t version) {
  rows_.clear();
  removed_ = 0;
  since_ = version;
  for (const TableRow& row : rows) Keep(row);
}

void TableCopy::Change(const std::vector<TableRow>& rows,
                       std::uint64_t version) {
  for (const TableRow& row : rows) Keep(row);
  if (removed_ > kMostRemoved) ForgetRemoved(version);
}

void TableCopy::Keep(const TableRow& row) {
  TableRow& kept = rows_[row.key];
  if (kept.removed) --removed_;
  kept = row;
  if (kept.removed) ++removed_;
}

void TableCopy::ForgetRemoved(std::uint64_t version) {
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
