// Transactions sent one after the other, and what became of them.

#ifndef GENTIANLB_CONFIG_TABLE_SEQUENCE_H_
#define GENTIANLB_CONFIG_TABLE_SEQUENCE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "store/messages.h"

namespace gentianlb::config {

// Bounds of one transaction, a little under the table's own.
inline constexpr std::size_t kMaxTransactionBytes = 900 << 10;
inline constexpr std::size_t kMaxTransactionRows = 480;

// How often a transaction whose answer was lost is sent again. The token makes
// that safe: it takes effect once.
inline constexpr int kMaxResends = 3;

// The error that stands for a result other than kCommitted.
inline Error ErrorOf(const store::CommitResult& result) {
  switch (result.state) {
    case store::CommitState::kConflict:
      return {Code::kPlatformConflict, "a row was changed meanwhile"};
    case store::CommitState::kNotApplied:
      return {Code::kPlatformUnavailable, "the platform took no write"};
    default:
      return {Code::kPlatformUnknown, "the platform's answer was lost"};
  }
}

// Sends `transaction` again while its answer is lost. Once one sending may have
// taken effect, a later one that certainly did not proves nothing: the result
// stays kUnknown then, or an operator would be told that a change failed which
// is in force.
template <store::TableService Table>
void CommitSurely(Table& table, store::Transaction transaction,
                  std::function<void(store::CommitResult)> done,
                  int resends = kMaxResends) {
  auto again = [&table, transaction, done,
                resends](store::CommitResult result) {
    using store::CommitState;
    bool resent = resends < kMaxResends;
    if (resent && result.state == CommitState::kNotApplied) {
      result.state = CommitState::kUnknown;
    }
    bool lost = result.state == CommitState::kUnknown;
    if (!lost || resends == 0) return done(std::move(result));
    CommitSurely(table, transaction, done, resends - 1);
  };
  table.Commit(transaction, std::move(again));
}

// Sends all in order and stops at the first that is not committed. `done` gets
// the last result.
template <store::TableService Table>
void CommitAll(Table& table,
               std::shared_ptr<std::vector<store::Transaction>> all,
               std::function<void(store::CommitResult)> done,
               std::size_t next = 0) {
  if (next == all->size()) {
    return done({store::CommitState::kCommitted, {}, {}});
  }
  auto go_on = [&table, all, done, next](store::CommitResult result) {
    bool committed = result.state == store::CommitState::kCommitted;
    if (!committed) return done(std::move(result));
    CommitAll(table, all, done, next + 1);
  };
  CommitSurely(table, (*all)[next], std::move(go_on));
}

// Cuts `writes` into transactions within the table's bounds. Only for writes
// that may take effect one by one.
inline std::vector<store::Transaction> CutWrites(
    std::vector<store::Write> writes, const std::string& token) {
  std::vector<store::Transaction> all;
  std::size_t bytes = 0;
  for (store::Write& write : writes) {
    std::size_t size =
        write.key.size() + (write.value ? write.value->size() : 0);
    bool full = all.empty() || bytes + size > kMaxTransactionBytes ||
                all.back().writes.size() == kMaxTransactionRows;
    if (full) {
      all.push_back({token + "/" + std::to_string(all.size()), {}, {}});
      bytes = 0;
    }
    bytes += size;
    all.back().writes.push_back(std::move(write));
  }
  return all;
}

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_TABLE_SEQUENCE_H_
