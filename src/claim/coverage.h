// Coverage leases show which entry hosts may have run keys without a row in the
// table. This module uses no network, thread or clock.
//
// A host that has lost the table may run first attempts without a row, but only
// after its lease has lapsed. It renews the lease only when all these keys have
// their rows. So if a key has no row and another host's lease is current, that
// host has not run the key and will not run it without a row.

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
  // Short, because a host that loses the table holds back keyed requests until
  // its lease lapses. Three renewals may fail before the lease lapses.
  absl::Duration lease = absl::Seconds(15);
  absl::Duration renew_interval = absl::Seconds(4);
  // Maximum clock difference between any two hosts or callers. Any time service
  // keeps it. With a larger difference two hosts could run one key.
  absl::Duration clock_skew = absl::Seconds(1);
  // Callers re-send a key only within this time after the first request.
  absl::Duration key_window = absl::Minutes(10);
  bool operator==(const CoverageOptions&) const = default;
};

// Hosts that may have run a key without a row.
struct Suspects {
  std::vector<EntryHostId> to_query;
  bool lost_run = false;  // A host that may have run it has restarted since.
  bool operator==(const Suspects&) const = default;
};

class Coverage {
 public:
  Coverage(CoverageOptions options, EntryHostId self, Incarnation incarnation,
           absl::Time started);

  // Updates the peers' leases from a scan of all leases sent at `sent`.
  void OnScan(const std::vector<store::Row>& rows, absl::Time sent,
              absl::Time now);

  // Returns the commit that takes or renews this host's lease. Call it only
  // right after a scan, when all keys that ran without a row have their rows.
  store::Transaction Renew(absl::Time now);
  void OnRenewed(const store::CommitResult& result, absl::Time now);

  bool registered() const { return registered_; }
  // Another incarnation uses this host's name: this one must run no keys.
  bool superseded() const { return superseded_; }
  bool HasLapsed(absl::Time now) const;
  // Returns when HasLapsed() becomes true without a renewal.
  absl::Time LapseTime() const { return until_ + options_.clock_skew; }
  absl::Time until() const { return until_; }

  // Returns whether the last scan is recent enough for FindSuspects().
  bool IsScanFresh(absl::Time now) const;

  // Returns the hosts that may have run a key without a row, given that this
  // host's row was sent at `row_sent` and the key not before `first_sent`.
  Suspects FindSuspects(absl::Time row_sent, absl::Time first_sent,
                        absl::Time now) const;

  // Returns whether a memory that starts at `memory_start` covers the whole
  // life of a key that was not sent before `first_sent`.
  bool SpansKey(absl::Time memory_start, absl::Time first_sent) const;

  // Returns whether some host may have run the key without a row and restarted
  // since.
  bool AnyLostRun(absl::Time first_sent) const;

  // Returns the hosts that may not have seen this host's lease row yet. If one
  // of them loses the table, it does not query this host before it runs a key.
  std::vector<EntryHostId> UnawareHosts() const;

  // Returns whether such a host may have run the key and restarted since.
  bool AnyLostRunUnaware(absl::Time first_sent) const;

  // Returns the other hosts that have a lease row.
  std::vector<EntryHostId> LeasedPeers() const;
  // Returns the incarnation in the lease row of `host`, or 0 without a row.
  Incarnation IncarnationOf(const EntryHostId& host) const;

  // Returns whether nothing that this host forgot at its start can concern the
  // key: the key is newer, or all hosts were covered then.
  bool HasFullMemory(absl::Time first_sent) const;

  std::string Describe() const;

 private:
  bool IsCovered(const LeaseRow& lease, absl::Time row_sent,
                 absl::Time now) const;
  bool MayHaveLostRun(const LeaseRow& lease, absl::Time first_sent) const;
  void OnOwnRow(const LeaseRow& row, store::RowVersion version, absl::Time now);
  void Register(absl::Time now);
  // Returns whether a host whose lease ended at `until` had scanned this host's
  // lease row by then.
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
  absl::Time until_ = absl::InfinitePast();  // Latest value sent.
  absl::Time lost_from_ = absl::UnixEpoch();
  absl::Time lost_until_ = absl::UnixEpoch();
  absl::Time registered_by_ = absl::InfiniteFuture();
  bool registering_ = false;  // The write of the first lease row is in flight.
};

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_COVERAGE_H_
