// A host's copy of a table, from which it answers peers that can't reach the
// table service.

#ifndef GENTIANLB_GATEWAY_TABLE_COPY_H_
#define GENTIANLB_GATEWAY_TABLE_COPY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/table_page.h"

namespace gentianlb::gateway {

// Holds the rows of a table and a bounded number of removals.
class TableCopy {
 public:
  // Replaces the copy by `rows`, the whole table at `version`.
  void Replace(const std::vector<TableRow>& rows, std::uint64_t version);
  // Applies all changes after the copy's last version up to `version`.
  void Apply(const std::vector<TableRow>& rows, std::uint64_t version);

  // Returns the version after which the copy has all changes, with removals.
  std::uint64_t since() const { return since_; }
  // Returns the rows that changed after `since`, with removed ones, or for 0
  // all present rows. A `since` other than 0 must not be below since().
  std::vector<TableRow> RowsSince(std::uint64_t since) const;

 private:
  void Store(const TableRow& row);
  void DropRemoved(std::uint64_t version);

  std::map<std::string, TableRow> rows_;
  std::size_t removed_ = 0;  // Number of removed rows in rows_.
  std::uint64_t since_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_COPY_H_
