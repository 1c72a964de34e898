// Coverage leases: which entry hosts may have run keys without a row in the
// table. No network, thread or clock.
//
// A host that has lost the table may run first attempts without a row, but only
// after its lease has lapsed; it renews the lease only when all it ran so has
// its row. So whoever finds no row for a key, and sees another host's lease
// current, knows that this host hasn't run the key and won't without a row.

#ifndef GENTIANLB_CLAIM_COVERAGE_H_
#define GENTIANLB_CLAIM_COVERAGE_H_

#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "claim/rows.h"
#include "store/messages.h"

namespace gentianlb::claim {

struct CoverageOptions {
  // A host that loses the table refuses keyed work until its lease lapses, so
  // this is short; three renewals may fail before it lapses for no reason.
  absl::Duration lease = absl::Seconds(15);
  absl::Duration renew_interval = absl::Seconds(4);
  // Bound of the difference of any two hosts' or callers' clocks. Kept by any
  // time service; a larger one could let two hosts run one key.
  absl::Duration clock_skew = absl::Seconds(1);
  // All sendings of a key come within this time after the first.
  absl::Duration key_window = absl::Minutes(10);
  bool operator==(const CoverageOptions&) const = default;
};

// Who may have run a key without a row.
struct Suspects {
  std::vector<EntryHostId> to_query;
  bool lost_run = false;  // Someone may have, who is gone with its memory.
  bool operator==(const Suspects&) const = default;
};

class Coverage {
 public:
  Coverage(CoverageOptions options, EntryHostId self, Incarnation incarnation,
           absl::Time started);

  // Takes a scan of all leases that was sent at `sent`.
  void OnScan(const std::vector<store::Row>& rows, absl::Time sent,
              absl::Time now);

  // The commit that takes or renews this host's lease. Only right after a scan,
  // and only when all keys run without a row have theirs.
  store::Transaction Renew(absl::Time now);
  void OnRenewed(const store::CommitResult& result, absl::Time now);

  bool registered() const { return registered_; }
  // Another incarnation has taken this host's name: run no key any more.
  bool superseded() const { return superseded_; }
  bool HasLapsed(absl::Time now) const;
  // When Lapsed() becomes true unless renewed.
  absl::Time LapseTime() const { return until_ + options_.clock_skew; }
  absl::Time until() const { return until_; }

  // Whether the last scan is fresh enough for FindSuspects().
  bool IsScanFresh(absl::Time now) const;

  // Who may have run, without a row, a key whose own row was sent at
  // `row_sent`. The key was never sent before `first_sent`.
  Suspects FindSuspects(absl::Time row_sent, absl::Time first_sent,
                        absl::Time now) const;

  // Whether a memory that begins at `knows_since` covers the whole life of a
  // key that was never sent before `first_sent`.
  bool SpansKey(absl::Time memory_start, absl::Time first_sent) const;

  // Whether some host is gone that may have run the key without a row.
  bool AnyLostRun(absl::Time first_sent) const;

  // Hosts that may not have seen this host's name yet. One of them that loses
  // the table would not know to ask us before it runs a key.
  std::vector<EntryHostId> UnawareHosts() const;

  // Whether one of them may have run the key so, and is gone.
  bool AnyLostRunUnaware(absl::Time first_sent) const;

  // The hosts with a lease row, without this one.
  std::vector<EntryHostId> LeasedPeers() const;
  // The incarnation that holds `host`'s lease row; 0 when there is none.
  Incarnation IncarnationOf(const EntryHostId& host) const;

  // Nothing that this host forgot when it started can matter to the key: the
  // key is younger, or everyone was covered then.
  bool HasFullMemory(absl::Time first_sent) const;

  std::string Describe() const;

 private:
  bool IsCovered(const LeaseRow& lease, absl::Time row_sent,
                 absl::Time now) const;
  bool MayHaveLostRun(const LeaseRow& lease, absl::Time first_sent) const;
  void OnOwnRow(const LeaseRow& row, store::RowVersion version, absl::Time now);
  void Register(absl::Time now);
  // Whether a host whose lease ended at `until` had scanned our name by then.
  bool IsAware(absl::Time until) const;

  CoverageOptions options_;
  EntryHostId self_;
  Incarnation incarnation_;
  absl::Time started_;
  std::map<EntryHostId, LeaseRow> peers_;
  absl::Time scan_sent_ = absl::InfinitePast();
  bool scanned_once_ = false;
  bool all_covered_at_start_ = false;
  bool registered_ = false;
  bool superseded_ = false;
  store::RowVersion version_ = 0;
  absl::Time since_ = absl::InfinitePast();
  absl::Time until_ = absl::InfinitePast();  // The latest ever sent.
  absl::Time lost_from_ = absl::UnixEpoch();
  absl::Time lost_until_ = absl::UnixEpoch();
  absl::Time registered_by_ = absl::InfiniteFuture();
  bool registering_ =
      false;  // The row that first takes the name is on its way.
};

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_COVERAGE_H_
