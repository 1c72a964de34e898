// Deletes the rows of claims that nobody can ask for any more. Without it the
// table grows with every keyed request, and its operators notice by its size
// and by scans that become slow.
//
// The rows are named by digests, so their first two digits cut the table into
// 256 slices of about one size. Each slice is swept by one living host, by
// rank; two that sweep the same one do no harm, since a row is deleted by its
// version.

#ifndef GENTIANLB_CLAIM_SWEEPER_H_
#define GENTIANLB_CLAIM_SWEEPER_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "claim/rows.h"
#include "store/messages.h"

namespace gentianlb::claim {

struct SweepOptions {
  // Beyond the longest deadline of 48 h, so that no row goes while its request
  // still waits, and far beyond the key window of ten minutes: who sends a
  // permit check again days later is still told that it was run.
  absl::Duration retention = absl::Hours(72);
  // One slice of this host or another's; all of them in six hours.
  absl::Duration slice_interval = absl::Seconds(84);
  // Below the table's 500 rows a transaction.
  std::size_t deletes_per_commit = 200;
  bool operator==(const SweepOptions&) const = default;
};

inline constexpr int kSliceCount = 256;

// The prefix of the rows of one slice.
std::string SlicePrefix(int slice);

// Whether `self` sweeps the slice, among itself and `others`.
bool SweepsSlice(int slice, const EntryHostId& self,
                 const std::vector<EntryHostId>& peers);

// The conditional deletes of those rows that are older than the retention, cut
// into transactions. What does not decode is left for people to look at.
std::vector<store::Transaction> BuildDeletes(
    const std::vector<store::Row>& rows, const SweepOptions& options,
    absl::Time now);

// Owned by the control thread. The table outlives it.
template <store::TableService Table>
class Sweeper {
 public:
  Sweeper(SweepOptions options, EntryHostId self, Table* table)
      : options_(options), self_(std::move(self)), table_(table) {}

  void SetPeers(std::vector<EntryHostId> live_hosts) {
    peers_ = std::move(live_hosts);
  }

  // Sweeps the next slice when it is due and this host's.
  void Tick(absl::Time now) {
    if (now < next_due_) return;
    next_due_ = now + options_.slice_interval;
    int slice = next_slice_;
    next_slice_ = (next_slice_ + 1) % kSliceCount;
    if (!SweepsSlice(slice, self_, peers_)) return;
    table_->Scan(SlicePrefix(slice), [this, now](store::ReadResult rows) {
      // An outage: the slice's turn comes again.
      if (rows.ok()) Delete(rows.value(), now);
    });
  }

  absl::Time NextDue() const { return next_due_; }
  std::uint64_t deleted() const { return deleted_; }

 private:
  void Delete(const std::vector<store::Row>& rows, absl::Time now) {
    for (store::Transaction& transaction : BuildDeletes(rows, options_, now)) {
      std::size_t count = transaction.writes.size();
      table_->Commit(std::move(transaction),
                     [this, count](const store::CommitResult& result) {
                       bool committed =
                           result.state == store::CommitState::kCommitted;
                       if (committed) deleted_ += count;
                     });
    }
  }

  const SweepOptions options_;
  const EntryHostId self_;
  Table* const table_;
  std::vector<EntryHostId> peers_;
  absl::Time next_due_ = absl::InfinitePast();
  int next_slice_ = 0;
  std::uint64_t deleted_ = 0;
};

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_SWEEPER_H_
