// Combines small independent transactions into one, and splits its result into
// the results of its members.

#ifndef GENTIANLB_STORE_TRANSACTION_GROUP_H_
#define GENTIANLB_STORE_TRANSACTION_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "store/messages.h"

namespace gentianlb::store {

// Identifies one transaction of a group.
using MemberId = std::uint64_t;

struct GroupOptions {
  // Short compared with the time to a first token (hundreds of milliseconds),
  // but long enough to combine the transactions of a burst.
  absl::Duration window = absl::Milliseconds(3);
  // The table accepts 500 rows. The margin leaves space for a member with
  // several rows.
  std::size_t max_rows = 400;
  bool operator==(const GroupOptions&) const = default;
};

struct GroupMember {
  MemberId id = 0;
  Transaction transaction;
  absl::Time added;
  bool operator==(const GroupMember&) const = default;
};

// Members that are committed together. Their rows are disjoint.
struct Batch {
  std::vector<GroupMember> members;
  Transaction transaction;  // The sender sets its token.
};

// Final result of one member.
struct MemberResult {
  MemberId id = 0;
  CommitResult result;
  bool operator==(const MemberResult&) const = default;
};

// Groups the waiting transactions of one host into batches. The table accepts
// several hundred transactions a second from all hosts together. A burst with
// one transaction per claim would exceed that, and requests would wait for
// their claims while servers are idle.
class TransactionGroup {
 public:
  explicit TransactionGroup(GroupOptions options) : options_(options) {}

  void Add(MemberId id, Transaction transaction, absl::Time now);

  // Returns the next batch, if it is full or the window of its oldest member is
  // over.
  std::optional<Batch> TakeBatch(absl::Time now);

  // Returns the members with a final result. Members that failed only because
  // of another member's condition go to the front of the queue for the next
  // batch.
  std::vector<MemberResult> OnResult(Batch batch, const CommitResult& result);

  // Returns when TakeBatch() next returns a batch, or InfiniteFuture() when
  // nothing waits.
  absl::Time NextDue() const;
  std::size_t waiting() const { return waiting_.size(); }

 private:
  GroupOptions options_;
  std::deque<GroupMember> waiting_;
};

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_TRANSACTION_GROUP_H_
