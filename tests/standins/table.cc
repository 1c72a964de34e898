#include "standins/table.h"

#include <utility>

namespace gentianlb::standins {
namespace {

using store::CommitResult;
using store::CommitState;
using store::Row;

// Far more than any test sends; keeps a long demo's memory bounded.
constexpr std::size_t kMaxTokens = 200'000;

}  // namespace

CommitResult Table::Commit(const store::Transaction& transaction) {
  auto seen = answers_.find(transaction.token);
  if (!transaction.token.empty() && seen != answers_.end()) return seen->second;

  CommitResult result;
  for (const store::Condition& condition : transaction.conditions) {
    if (VersionOf(condition.key) == condition.version) continue;
    result.conflicts.push_back(condition.key);
  }
  result.state = CommitState::kConflict;
  if (result.conflicts.empty()) {
    result.state = CommitState::kCommitted;
    ++last_version_;
    for (const store::Write& write : transaction.writes) {
      store::RowVersion version = 0;
      if (write.value.has_value()) {
        version = last_version_;
        rows_[write.key] = {write.key, *write.value, version};
      } else {
        rows_.erase(write.key);
      }
      result.versions.push_back({write.key, "", version});
    }
  }
  Remember(transaction.token, result);
  return result;
}

std::vector<Row> Table::Read(const std::vector<std::string>& keys) const {
  std::vector<Row> found;
  for (const std::string& key : keys) {
    auto row = rows_.find(key);
    if (row != rows_.end()) found.push_back(row->second);
  }
  return found;
}

std::vector<Row> Table::Scan(const std::string& prefix,
                             const std::string& after,
                             std::size_t limit) const {
  std::vector<Row> found;
  auto row =
      after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
  while (row != rows_.end() && row->first.starts_with(prefix) &&
         found.size() < limit) {
    found.push_back(row->second);
    ++row;
  }
  return found;
}

store::RowVersion Table::VersionOf(const std::string& key) const {
  auto row = rows_.find(key);
  return row == rows_.end() ? 0 : row->second.version;
}

void Table::Remember(const std::string& token, const CommitResult& result) {
  if (token.empty()) return;
  answers_[token] = result;
  tokens_.push_back(token);
  if (tokens_.size() <= kMaxTokens) return;
  answers_.erase(tokens_.front());
  tokens_.pop_front();
}

}  // namespace gentianlb::standins
