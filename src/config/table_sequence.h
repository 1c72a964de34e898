// Transactions sent one after the other, and what became of them.

#ifndef GENTIANLB_CONFIG_TABLE_SEQUENCE_H_
#define GENTIANLB_CONFIG_TABLE_SEQUENCE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/messages.h"

namespace gentianlb::config {

// Bounds of one transaction, a little under the table's own.
inline constexpr std::size_t kMaxTransactionBytes = 900 << 10;
inline constexpr std::size_t kMaxTransactionRows = 480;

// How often a transaction whose answer was lost is sent again. The token makes
// that safe: it takes effect once.
inline constexpr int kMaxResends = 3;

// The error that stands for a result other than kCommitted.
inline Error ErrorOf(const platform::CommitResult& result) {
  switch (result.state) {
    case platform::CommitState::kConflict:
      return {Code::kPlatformConflict, "a row was changed meanwhile"};
    case platform::CommitState::kNotApplied:
      return {Code::kPlatformUnavailable, "the platform took no write"};
    default:
      return {Code::kPlatformUnknown, "the platform's answer was lost"};
  }
}

// Sends `transaction` again while its answer is lost. Once one sending may have
// taken effect, a later one that certainly did not proves nothing: the result
// stays kUnknown then, or an operator would be told that a change failed which
// is in force.
template <platform::TableService Table>
void CommitSurely(Table& table, platform::Transaction transaction,
                  std::function<void(platform::CommitResult)> done,
                  int resends = kMaxResends) {
  auto again = [&table, transaction, done,
                resends](platform::CommitResult result) {
    using platform::CommitState;
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
template <platform::TableService Table>
void CommitAll(Table& table,
               std::shared_ptr<std::vector<platform::Transaction>> all,
               std::function<void(platform::CommitResult)> done,
               std::size_t next = 0) {
  if (next == all->size()) {
    return done({platform::CommitState::kCommitted, {}, {}});
  }
  auto go_on = [&table, all, done, next](platform::CommitResult result) {
    bool committed = result.state == platform::CommitState::kCommitted;
    if (!committed) return done(std::move(result));
    CommitAll(table, all, done, next + 1);
  };
  CommitSurely(table, (*all)[next], std::move(go_on));
}

// Cuts `writes` into transactions within the table's bounds. Only for writes
// that may take effect one by one.
inline std::vector<platform::Transaction> CutWrites(
    std::vector<platform::Write> writes, const std::string& token) {
  std::vector<platform::Transaction> all;
  std::size_t bytes = 0;
  for (platform::Write& write : writes) {
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
