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

void Join(const Transaction& member, Transaction* whole) {
  whole->conditions.insert(whole->conditions.end(), member.conditions.begin(),
                           member.conditions.end());
  whole->writes.insert(whole->writes.end(), member.writes.begin(),
                       member.writes.end());
}

// The part of a batch's answer that concerns one member.
CommitResult PartOf(const CommitResult& result, const Transaction& member) {
  std::vector<std::string> keys = KeysOf(member);
  auto ours = [&](const std::string& key) {
    return std::find(keys.begin(), keys.end(), key) != keys.end();
  };
  CommitResult part{result.state, {}, {}};
  std::copy_if(result.conflicts.begin(), result.conflicts.end(),
               std::back_inserter(part.conflicts), ours);
  std::copy_if(result.versions.begin(), result.versions.end(),
               std::back_inserter(part.versions),
               [&](const Row& row) { return ours(row.key); });
  return part;
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

std::optional<Batch> TransactionGroup::Take(absl::Time now) {
  if (waiting_.empty() || now < NextDue()) return std::nullopt;
  Batch batch;
  absl::flat_hash_set<std::string> taken;
  std::deque<GroupMember> left;
  for (GroupMember& member : waiting_) {
    std::vector<std::string> keys = KeysOf(member.transaction);
    bool fits =
        batch.members.empty() ||
        batch.transaction.writes.size() + member.transaction.writes.size() <=
            options_.max_rows;
    // Two writes of one row in one transaction have no order; the later waits.
    bool free = !Overlaps(keys, taken);
    taken.insert(keys.begin(), keys.end());
    if (!fits || !free) {
      left.push_back(std::move(member));
      continue;
    }
    Join(member.transaction, &batch.transaction);
    batch.members.push_back(std::move(member));
  }
  waiting_ = std::move(left);
  return batch;
}

std::vector<Settled> TransactionGroup::OnResult(Batch batch,
                                                const CommitResult& result) {
  std::vector<Settled> settled;
  std::vector<GroupMember> again;
  for (GroupMember& member : batch.members) {
    CommitResult part = PartOf(result, member.transaction);
    bool innocent =
        result.state == CommitState::kConflict && part.conflicts.empty();
    // A conflict that names no row of the batch blames everybody; without this
    // the same batch would go round for ever.
    if (innocent && !result.conflicts.empty()) {
      again.push_back(std::move(member));
    } else {
      settled.push_back({member.id, std::move(part)});
    }
  }
  if (settled.empty()) {
    for (GroupMember& member : again) {
      settled.push_back({member.id, {CommitState::kConflict, {}, {}}});
    }
    return settled;
  }
  waiting_.insert(waiting_.begin(), std::make_move_iterator(again.begin()),
                  std::make_move_iterator(again.end()));
  return settled;
}

}  // namespace gentianlb::store
