// The platform's services as the system sees them; the wire form stands in
// docs/PROTOCOLS.md.

#ifndef GENTIANLB_STORE_MESSAGES_H_
#define GENTIANLB_STORE_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"

namespace gentianlb::store {

// Counts the changes of one row; 0 means that there is no such row.
using RowVersion = std::uint64_t;

struct Row {
  std::string key;
  std::string value;
  RowVersion version = 0;
  bool operator==(const Row&) const = default;
};

// Holds when the row's version is exactly this one.
struct Condition {
  std::string key;
  RowVersion version = 0;
  bool operator==(const Condition&) const = default;
};

// Sets a row, or deletes it when `value` is empty.
struct Write {
  std::string key;
  std::optional<std::string> value;
  bool operator==(const Write&) const = default;
};

// All conditions hold and all writes take effect, or nothing does. The platform
// remembers `token`: the same transaction sent again takes effect once and gets
// the first answer.
struct Transaction {
  std::string token;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  bool operator==(const Transaction&) const = default;
};

enum class CommitState {
  kCommitted,
  kConflict,    // A condition did not hold; nothing was written.
  kNotApplied,  // Certain: refused before it took effect (rate, outage).
  kUnknown,     // The answer was lost; it may have taken effect.
};

struct CommitResult {
  CommitState state = CommitState::kUnknown;
  std::vector<std::string> conflicts;  // The rows whose conditions failed.
  std::vector<Row> versions;           // Of the written rows, values empty.
  bool operator==(const CommitResult&) const = default;
};

// Rows that exist, in the order of their keys.
using ReadResult = Outcome<std::vector<Row>>;

// What the decision modules need of the table service; fulfilled by Client and
// by the tests' fakes. Each call answers once, later, on the control thread.
template <typename T>
concept TableService = requires(T table, Transaction transaction,
                                std::vector<std::string> keys,
                                std::string prefix,
                                std::function<void(CommitResult)> committed,
                                std::function<void(ReadResult)> read) {
  table.Commit(transaction, committed);
  table.Read(keys, read);
  table.Scan(prefix, read);
};

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_MESSAGES_H_
