// The platform's transactional table, in memory.

#ifndef GENTIANLB_STANDINS_TABLE_H_
#define GENTIANLB_STANDINS_TABLE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "store/messages.h"

namespace gentianlb::standins {

// Not thread-safe.
class Table {
 public:
  // Writes all or nothing. A token that was seen gets its first answer.
  store::CommitResult Commit(const store::Transaction& transaction);

  // Rows that exist, in the order of `keys`.
  std::vector<store::Row> Read(const std::vector<std::string>& keys) const;

  // At most `limit` rows whose keys begin with `prefix` and follow `after`.
  std::vector<store::Row> Scan(const std::string& prefix,
                               const std::string& after,
                               std::size_t limit) const;

 private:
  store::RowVersion VersionOf(const std::string& key) const;
  void Remember(const std::string& token, const store::CommitResult& result);

  // One counter for all rows, so that a row that was deleted and made again
  // never shows a version it had before.
  store::RowVersion last_version_ = 0;
  std::map<std::string, store::Row> rows_;
  absl::flat_hash_map<std::string, store::CommitResult> answers_;
  std::deque<std::string> tokens_;  // Oldest first.
};

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_TABLE_H_
