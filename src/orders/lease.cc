#include "orders/lease.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::orders {

Lease::Lease(LeaseOptions options, EntryHostId self, Incarnation incarnation)
    : options_(options), self_(std::move(self)), incarnation_(incarnation) {}

std::optional<LeaseCall> Lease::NextCall(absl::Time now) {
  if (call_pending_ || now < not_before_) return std::nullopt;
  if (known_ && IsHeld(now)) {
    if (now < renew_at_) return std::nullopt;
    call_pending_ = true;
    return MakeWrite(fence_, now);
  }
  if (known_ && IsFree(now)) {
    call_pending_ = true;
    return MakeWrite(row_ ? row_->fence + 1 : 1, now);
  }
  if (known_ && now < read_at_ + options_.read_period) return std::nullopt;
  call_pending_ = true;
  return ReadLease{};
}

absl::Time Lease::NextDue(absl::Time now) const {
  if (call_pending_) return absl::InfiniteFuture();
  absl::Time due = absl::InfinitePast();
  if (known_) due = IsHeld(now) ? renew_at_ : read_at_ + options_.read_period;
  return std::max(due, not_before_);
}

void Lease::OnRead(const store::ReadResult& result, absl::Time now) {
  call_pending_ = false;
  if (!result.ok()) {
    not_before_ = now + options_.retry_delay;
    return;
  }
  known_ = true;
  read_at_ = now;
  if (!result.value().empty()) return OnRow(result.value().front(), now);
  row_.reset();
  corrupt_ = false;
  row_version_ = 0;
  expires_at_ = absl::InfinitePast();
}

void Lease::OnRow(const store::Row& row, absl::Time now) {
  // The lease of a new version runs from the time it is first seen.
  if (row.version != row_version_ ||
      version_seen_at_ == absl::InfiniteFuture()) {
    version_seen_at_ = now;
  }
  row_version_ = row.version;
  row_ = DecodeLease(row.value);
  corrupt_ = !row_.has_value();
  // A write whose answer was lost took effect.
  if (row_ && *row_ == sent_row_) return ApplyOwnWrite(row.version);
  // An earlier write of this host was applied late. The expiry of the lease
  // stays as it is.
  if (row_ && IsOwnRow(*row_)) return;
  expires_at_ = absl::InfinitePast();
}

void Lease::OnCommitted(const store::CommitResult& result, absl::Time now) {
  call_pending_ = false;
  bool committed = result.state == store::CommitState::kCommitted;
  if (committed && !result.versions.empty()) {
    version_seen_at_ = now;
    row_ = sent_row_;
    return ApplyOwnWrite(result.versions.front().version);
  }
  not_before_ = now + options_.retry_delay;
  // The row has not changed, so the copy of it is still valid.
  if (result.state == store::CommitState::kNotApplied) return;
  // Only the row shows which host holds the lease now.
  known_ = false;
}

void Lease::ApplyOwnWrite(store::RowVersion version) {
  known_ = true;
  row_version_ = version;
  if (sent_row_.fence != fence_) acquired_at_ = sent_at_;
  fence_ = sent_row_.fence;
  // The lease counts from the sending of the write, which is earlier than any
  // other host can see it.
  expires_at_ = sent_at_ + options_.lease_duration;
  renew_at_ = sent_at_ + options_.renew_period;
}

bool Lease::IsFree(absl::Time now) const {
  // A corrupt row shows no fencing number, so no higher one can be chosen. The
  // row must be repaired.
  if (corrupt_) return false;
  if (!row_) return true;
  return now >= version_seen_at_ + row_->lease_duration + options_.margin;
}

bool Lease::IsOwnRow(const LeaseRow& row) const {
  return row.holder == self_ && row.incarnation == incarnation_ &&
         row.fence == fence_;
}

store::Transaction Lease::MakeWrite(Fence fence, absl::Time now) {
  sent_row_ =
      LeaseRow{self_, incarnation_, fence, options_.lease_duration, ++serial_};
  sent_at_ = now;
  return {absl::StrCat(kLeaseKey, "/", self_.str(), "/", incarnation_, "/",
                       serial_),
          {{kLeaseKey, row_version_}},
          {{kLeaseKey, Encode(sent_row_)}}};
}

}  // namespace gentianlb::orders
