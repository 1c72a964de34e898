#include "claim/coverage.h"

#include <algorithm>
#include <utility>

namespace gentianlb::claim {

Coverage::Coverage(CoverageOptions options, EntryHostId self,
                   Incarnation incarnation, absl::Time started)
    : options_(options),
      self_(std::move(self)),
      incarnation_(incarnation),
      started_(started) {}

void Coverage::OnScan(const std::vector<store::Row>& rows, absl::Time sent,
                      absl::Time now) {
  scan_sent_ = sent;
  peers_.clear();
  bool own_row = false;
  for (const store::Row& row : rows) {
    std::optional<LeaseRow> lease = DecodeLease(row.value);
    if (!lease) continue;
    if (lease->host != self_) {
      peers_[lease->host] = *lease;
      continue;
    }
    own_row = true;
    OnOwnRow(*lease, row.version, now);
  }
  if (!own_row) version_ = 0;
  if (scanned_once_) return;
  scanned_once_ = true;
  all_covered_at_start_ =
      std::all_of(peers_.begin(), peers_.end(), [&](auto& entry) {
        return now + options_.clock_skew < entry.second.until &&
               !MayHaveLostRun(entry.second, now - options_.key_window);
      });
}

void Coverage::OnOwnRow(const LeaseRow& row, store::RowVersion version,
                        absl::Time now) {
  version_ = version;
  registered_by_ = row.registered_by;
  if (row.incarnation == incarnation_) {
    Register(now);  // The answer to Renew() may have been lost.
    return;
  }
  // A paused incarnation that wakes after its successor has registered must
  // stop using the host name: peers query the successor.
  superseded_ = registered_ || row.incarnation > incarnation_;
  // The earlier incarnation stopped before this one started. If its lease had
  // lapsed by then, it may have run keys without writing their rows.
  bool lapsed = row.until < started_;
  bool lost_before = row.lost_until > absl::UnixEpoch();
  lost_from_ = lost_before ? row.lost_from : row.until;
  lost_until_ = lapsed ? started_ : row.lost_until;
}

void Coverage::Register(absl::Time now) {
  // The row was committed after its `registered_by` time: write it again.
  if (registering_ && now > registered_by_) return;
  registering_ = false;
  registered_ = true;
}

store::Transaction Coverage::Renew(absl::Time now) {
  bool continuous = registered_ && now < until_;
  if (!continuous) since_ = now;
  // The write may take effect although its answer is lost, so this host is
  // treated as covered until the new time whatever the result. The lease starts
  // at the scan, so that it bounds the age of this host's view of the leases.
  until_ = std::max(until_, scan_sent_ + options_.lease);
  LeaseRow row;
  row.host = self_;
  row.incarnation = incarnation_;
  row.since = since_;
  row.until = until_;
  row.lost_from = lost_from_;
  row.lost_until = lost_until_;
  // Scans after `registered_by` see the row; Register() ensures that it was
  // committed by then.
  registering_ = registering_ || version_ == 0;
  if (registering_) registered_by_ = now + options_.lease;
  row.registered_by = registered_by_;
  std::string key = LeaseKey(self_);
  return {"", {{key, version_}}, {{key, Encode(row)}}};
}

void Coverage::OnRenewed(const store::CommitResult& result, absl::Time now) {
  if (result.state != store::CommitState::kCommitted) return;
  Register(now);
  for (const store::Row& row : result.versions) version_ = row.version;
}

bool Coverage::HasLapsed(absl::Time now) const {
  // Peers see this host's lease only after it is registered. Before that, they
  // would not query this host.
  return registered_ && !superseded_ && now > LapseTime();
}

bool Coverage::IsScanFresh(absl::Time now) const {
  // A host that registered after the scan is covered for a full lease.
  return now + options_.clock_skew < scan_sent_ + options_.lease;
}

bool Coverage::IsCovered(const LeaseRow& lease, absl::Time row_sent,
                         absl::Time now) const {
  bool current = now + options_.clock_skew < lease.until;
  // The host's deferred rows were in the table before our row was sent, so our
  // write would have failed with a conflict.
  bool flushed = lease.since + options_.clock_skew < row_sent;
  return current && flushed;
}

bool Coverage::MayHaveLostRun(const LeaseRow& lease,
                              absl::Time first_sent) const {
  return !SpansKey(lease.lost_until, first_sent);
}

Suspects Coverage::FindSuspects(absl::Time row_sent, absl::Time first_sent,
                                absl::Time now) const {
  Suspects suspects;
  for (const auto& [host, lease] : peers_) {
    if (MayHaveLostRun(lease, first_sent)) suspects.lost_run = true;
    if (IsCovered(lease, row_sent, now)) continue;
    suspects.to_query.push_back(host);
  }
  return suspects;
}

bool Coverage::SpansKey(absl::Time memory_start, absl::Time first_sent) const {
  return first_sent > memory_start + options_.clock_skew;
}

bool Coverage::AnyLostRun(absl::Time first_sent) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    return MayHaveLostRun(entry.second, first_sent);
  });
}

bool Coverage::IsAware(absl::Time until) const {
  absl::Time scanned = until - options_.lease;
  return scanned > registered_by_ + options_.clock_skew;
}

std::vector<EntryHostId> Coverage::UnawareHosts() const {
  std::vector<EntryHostId> unaware;
  for (const auto& [host, lease] : peers_) {
    if (!IsAware(lease.until)) unaware.push_back(host);
  }
  return unaware;
}

bool Coverage::AnyLostRunUnaware(absl::Time first_sent) const {
  return std::any_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const LeaseRow& lease = entry.second;
    return MayHaveLostRun(lease, first_sent) && !IsAware(lease.lost_from);
  });
}

std::vector<EntryHostId> Coverage::LeasedPeers() const {
  std::vector<EntryHostId> members;
  for (const auto& [host, lease] : peers_) members.push_back(host);
  return members;
}

Incarnation Coverage::IncarnationOf(const EntryHostId& host) const {
  auto found = peers_.find(host);
  return found == peers_.end() ? 0 : found->second.incarnation;
}

bool Coverage::HasFullMemory(absl::Time first_sent) const {
  return all_covered_at_start_ || SpansKey(started_, first_sent);
}

}  // namespace gentianlb::claim
