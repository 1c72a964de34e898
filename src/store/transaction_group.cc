#include "store/transaction_group.h"

#include <algorithm>
#include <utility>

namespace gentianlb::store {
namespace {

std::vector<std::string> KeysOf(const Transaction& transaction) {
  std::vector<std::string> keys;
  for (const Condition& condition : transaction.conditions) {
    keys.push_back(condition.key);
  }
  for (const Write& write : transaction.writes) keys.push_back(write.key);
  return keys;
}

bool Overlaps(const std::vector<std::string>& keys,
              const absl::flat_hash_set<std::string>& taken) {
  return std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
    return taken.contains(key);
  });
}

void Append(const Transaction& member, Transaction* merged) {
  merged->conditions.insert(merged->conditions.end(), member.conditions.begin(),
                            member.conditions.end());
  merged->writes.insert(merged->writes.end(), member.writes.begin(),
                        member.writes.end());
}

// Returns the part of a batch's result that concerns `member`.
CommitResult ResultFor(const CommitResult& result, const Transaction& member) {
  std::vector<std::string> keys = KeysOf(member);
  auto is_member_key = [&](const std::string& key) {
    return std::find(keys.begin(), keys.end(), key) != keys.end();
  };
  CommitResult own_result{result.state, {}, {}};
  std::copy_if(result.conflicts.begin(), result.conflicts.end(),
               std::back_inserter(own_result.conflicts), is_member_key);
  std::copy_if(result.versions.begin(), result.versions.end(),
               std::back_inserter(own_result.versions),
               [&](const Row& row) { return is_member_key(row.key); });
  return own_result;
}

}  // namespace

void TransactionGroup::Add(MemberId id, Transaction transaction,
                           absl::Time now) {
  waiting_.push_back({id, std::move(transaction), now});
}

absl::Time TransactionGroup::NextDue() const {
  if (waiting_.empty()) return absl::InfiniteFuture();
  if (waiting_.size() >= options_.max_rows) return absl::InfinitePast();
  return waiting_.front().added + options_.window;
}

std::optional<Batch> TransactionGroup::TakeBatch(absl::Time now) {
  if (waiting_.empty() || now < NextDue()) return std::nullopt;
  Batch batch;
  absl::flat_hash_set<std::string> taken;
  std::deque<GroupMember> remaining;
  for (GroupMember& member : waiting_) {
    std::vector<std::string> keys = KeysOf(member.transaction);
    bool fits =
        batch.members.empty() ||
        batch.transaction.writes.size() + member.transaction.writes.size() <=
            options_.max_rows;
    // Writes of one row within a transaction have no order, so a later member
    // with the same row waits for the next batch.
    bool disjoint = !Overlaps(keys, taken);
    taken.insert(keys.begin(), keys.end());
    if (!fits || !disjoint) {
      remaining.push_back(std::move(member));
      continue;
    }
    Append(member.transaction, &batch.transaction);
    batch.members.push_back(std::move(member));
  }
  waiting_ = std::move(remaining);
  return batch;
}

std::vector<MemberResult> TransactionGroup::OnResult(
    Batch batch, const CommitResult& result) {
  std::vector<MemberResult> finished;
  std::vector<GroupMember> retried;
  for (GroupMember& member : batch.members) {
    CommitResult own_result = ResultFor(result, member.transaction);
    bool unaffected =
        result.state == CommitState::kConflict && own_result.conflicts.empty();
    // A conflict that names no row of the batch applies to all members, since a
    // retry would repeat the same batch forever.
    if (unaffected && !result.conflicts.empty()) {
      retried.push_back(std::move(member));
    } else {
      finished.push_back({member.id, std::move(own_result)});
    }
  }
  if (finished.empty()) {
    for (GroupMember& member : retried) {
      finished.push_back({member.id, {CommitState::kConflict, {}, {}}});
    }
    return finished;
  }
  waiting_.insert(waiting_.begin(), std::make_move_iterator(retried.begin()),
                  std::make_move_iterator(retried.end()));
  return finished;
}

}  // namespace gentianlb::store
