// What a host has read of a table, to answer others that can't read it.

#ifndef GENTIANLB_GATEWAY_TABLE_COPY_H_
#define GENTIANLB_GATEWAY_TABLE_COPY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/table_page.h"

namespace gentianlb::gateway {

class TableCopy {
 public:
  // The rows are the whole table as of `version`.
  void Replace(const std::vector<TableRow>& rows, std::uint64_t version);
  // Of all changes after the last version, up to this one.
  void Change(const std::vector<TableRow>& rows, std::uint64_t version);

  // All changes after this version are in the copy, removals too.
  std::uint64_t since() const { return since_; }
  // What changed after `since`, removals too; 0: all rows that there are.
  // Otherwise not before the copy's own.
  std::vector<TableRow> RowsSince(std::uint64_t since) const;

 private:
  void Keep(const TableRow& row);
  void ForgetRemoved(std::uint64_t version);

  std::map<std::string, TableRow> rows_;
  std::size_t removed_ = 0;  // Of the rows.
  std::uint64_t since_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_COPY_H_
