#include "orders/lease.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::orders {

Lease::Lease(LeaseOptions options, EntryHostId self, Incarnation incarnation)
    : options_(options), self_(std::move(self)), incarnation_(incarnation) {}

std::optional<LeaseCall> Lease::Next(absl::Time now) {
  if (busy_ || now < not_before_) return std::nullopt;
  if (known_ && Held(now)) {
    if (now < renew_at_) return std::nullopt;
    busy_ = true;
    return Write(fence_, now);
  }
  if (known_ && Free(now)) {
    busy_ = true;
    return Write(row_ ? row_->fence + 1 : 1, now);
  }
  if (known_ && now < read_at_ + options_.read_every) return std::nullopt;
  busy_ = true;
  return ReadLease{};
}

absl::Time Lease::NextDue(absl::Time now) const {
  if (busy_) return absl::InfiniteFuture();
  absl::Time due = absl::InfinitePast();
  if (known_) due = Held(now) ? renew_at_ : read_at_ + options_.read_every;
  return std::max(due, not_before_);
}

void Lease::OnRead(const store::ReadResult& result, absl::Time now) {
  busy_ = false;
  if (!result.ok()) {
    not_before_ = now + options_.retry_after;
    return;
  }
  known_ = true;
  read_at_ = now;
  if (!result.value().empty()) return OnRow(result.value().front(), now);
  row_.reset();
  corrupt_ = false;
  version_ = 0;
  until_ = absl::InfinitePast();
}

void Lease::OnRow(const store::Row& row, absl::Time now) {
  // Another version, another life: counted anew from when it is first seen.
  if (row.version != version_ || seen_since_ == absl::InfiniteFuture()) {
    seen_since_ = now;
  }
  version_ = row.version;
  row_ = DecodeLease(row.value);
  corrupt_ = !row_.has_value();
  // The answer to a write was lost, but it took effect.
  if (row_ && *row_ == sent_) return Take(row.version);
  // An earlier write of ours arrived late: the row is ours, the time as it was.
  if (row_ && Ours(*row_)) return;
  until_ = absl::InfinitePast();
}

void Lease::OnCommitted(const store::CommitResult& result, absl::Time now) {
  busy_ = false;
  bool committed = result.state == store::CommitState::kCommitted;
  if (committed && !result.versions.empty()) {
    seen_since_ = now;
    row_ = sent_;
    return Take(result.versions.front().version);
  }
  not_before_ = now + options_.retry_after;
  // Certain that nothing changed: what is known still holds.
  if (result.state == store::CommitState::kNotApplied) return;
  // The row decides who won, or whether the write took effect.
  known_ = false;
}

void Lease::Take(store::RowVersion version) {
  known_ = true;
  version_ = version;
  if (sent_.fence != fence_) acquired_at_ = sent_at_;
  fence_ = sent_.fence;
  // From the sending: others saw the write later than that.
  until_ = sent_at_ + options_.lease;
  renew_at_ = sent_at_ + options_.renew_every;
}

bool Lease::Free(absl::Time now) const {
  // Without its fencing number no higher one can be given; it needs mending.
  if (corrupt_) return false;
  if (!row_) return true;
  return now >= seen_since_ + row_->lease + options_.margin;
}

bool Lease::Ours(const LeaseRow& row) const {
  return row.holder == self_ && row.incarnation == incarnation_ &&
         row.fence == fence_;
}

store::Transaction Lease::Write(Fence fence, absl::Time now) {
  sent_ = LeaseRow{self_, incarnation_, fence, options_.lease, ++serial_};
  sent_at_ = now;
  return {absl::StrCat(kLeaseKey, "/", self_.str(), "/", incarnation_, "/",
                       serial_),
          {{kLeaseKey, version_}},
          {{kLeaseKey, Encode(sent_)}}};
}

}  // namespace gentianlb::orders
