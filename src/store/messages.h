// Types of the platform's table service. docs/PROTOCOLS.md describes their wire
// format.

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

// Number of changes of one row; 0 means that the row does not exist.
using RowVersion = std::uint64_t;

struct Row {
  std::string key;
  std::string value;
  RowVersion version = 0;
  bool operator==(const Row&) const = default;
};

// Holds when the row's version equals `version`.
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

// If all conditions hold, all writes take effect; otherwise none does. The
// platform remembers `token`: a transaction that is sent again takes effect
// only once and gets the first answer again.
struct Transaction {
  std::string token;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
  bool operator==(const Transaction&) const = default;
};

enum class CommitState {
  kCommitted,
  kConflict,    // A condition did not hold; nothing was written.
  kNotApplied,  // Certainly took no effect (rate limit, outage).
  kUnknown,     // The answer was lost; it may have taken effect.
};

struct CommitResult {
  CommitState state = CommitState::kUnknown;
  std::vector<std::string> conflicts;  // Keys of the failed conditions.
  std::vector<Row> versions;           // Written rows, without values.
  bool operator==(const CommitResult&) const = default;
};

// The rows that exist, ordered by key.
using ReadResult = Outcome<std::vector<Row>>;

// Interface of the table service; implemented by Client and by the tests'
// fakes. Each call calls back once, later, on the control thread.
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
