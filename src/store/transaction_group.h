// Joins small independent transactions into one, and takes the answer apart
// again.

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

// Names one transaction given to a group.
using MemberId = std::uint64_t;

struct GroupOptions {
  // Short against a first token (hundreds of milliseconds), and long enough to
  // join what a burst brings.
  absl::Duration window = absl::Milliseconds(3);
  // Below the table's 500 rows, so that a member with several rows still fits.
  std::size_t max_rows = 400;
  bool operator==(const GroupOptions&) const = default;
};

struct GroupMember {
  MemberId id = 0;
  Transaction transaction;
  absl::Time added;
  bool operator==(const GroupMember&) const = default;
};

// Members that travel together; their rows are disjoint.
struct Batch {
  std::vector<GroupMember> members;
  Transaction transaction;  // Without a token; the sender gives one.
};

// A member whose outcome is known.
struct MemberResult {
  MemberId id = 0;
  CommitResult result;
  bool operator==(const MemberResult&) const = default;
};

// The table takes several hundred transactions a second from all hosts
// together. A claim per request as a transaction of its own would exceed that
// in a burst, and one would notice requests that wait for their claim while
// servers are idle.
class TransactionGroup {
 public:
  explicit TransactionGroup(GroupOptions options) : options_(options) {}

  void Add(MemberId id, Transaction transaction, absl::Time now);

  // The next batch, when the window of its oldest member is over or it is full.
  std::optional<Batch> TakeBatch(absl::Time now);

  // Who is settled by the answer to `batch`. Members that failed only because
  // they travelled with another whose condition did not hold go into the next
  // batch at once.
  std::vector<MemberResult> OnResult(Batch batch, const CommitResult& result);

  // When Take() has something; InfiniteFuture() when nothing waits.
  absl::Time NextDue() const;
  std::size_t waiting() const { return waiting_.size(); }

 private:
  GroupOptions options_;
  std::deque<GroupMember> waiting_;
};

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_TRANSACTION_GROUP_H_
