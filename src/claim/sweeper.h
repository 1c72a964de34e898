// Deletes the rows of expired claims. Without it the table grows with every
// keyed request and its scans become slow.
//
// Row keys are digests, so their first two hexadecimal digits split the table
// into 256 slices of about equal size. The live host with the highest rank for
// a slice sweeps it. Two hosts may sweep the same slice without harm, since a
// delete is conditional on the row's version.

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
  // Longer than the maximum deadline of 48 h, so that no row is deleted while
  // its request still waits, and much longer than the key window of ten
  // minutes: a caller that re-sends a permit check days later still learns that
  // it ran.
  absl::Duration retention = absl::Hours(72);
  // Time between two slices, including those of other hosts. All slices take
  // six hours.
  absl::Duration slice_interval = absl::Seconds(84);
  // The table accepts 500 rows per transaction.
  std::size_t deletes_per_commit = 200;
  bool operator==(const SweepOptions&) const = default;
};

inline constexpr int kSliceCount = 256;

// Returns the key prefix of the rows of one slice.
std::string SlicePrefix(int slice);

// Returns whether `self` sweeps the slice, among itself and `peers`.
bool SweepsSlice(int slice, const EntryHostId& self,
                 const std::vector<EntryHostId>& peers);

// Returns transactions with conditional deletes of the rows that are older than
// the retention. Rows that cannot be decoded are kept for inspection.
std::vector<store::Transaction> BuildDeletes(
    const std::vector<store::Row>& rows, const SweepOptions& options,
    absl::Time now);

// Sweeps this host's slices in turn. Owned by the control thread; the table
// outlives it.
template <store::TableService Table>
class Sweeper {
 public:
  Sweeper(SweepOptions options, EntryHostId self, Table* table)
      : options_(options), self_(std::move(self)), table_(table) {}

  void SetPeers(std::vector<EntryHostId> live_hosts) {
    peers_ = std::move(live_hosts);
  }

  // Advances to the next slice when it is due, and sweeps it if it is this
  // host's.
  void Tick(absl::Time now) {
    if (now < next_due_) return;
    next_due_ = now + options_.slice_interval;
    int slice = next_slice_;
    next_slice_ = (next_slice_ + 1) % kSliceCount;
    if (!SweepsSlice(slice, self_, peers_)) return;
    table_->Scan(SlicePrefix(slice), [this, now](store::ReadResult rows) {
      // During an outage the slice is skipped until the next round.
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
