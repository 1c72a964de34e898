#include "entry/peer_link.h"

#include <algorithm>
#include <utility>

namespace gentianlb::entry {
namespace {

// One message stays well below the body limit of the control interface, and
// short enough that its time on the wire does not delay the next grant.
constexpr std::size_t kMaxBatchItems = 256;

// Back-off after failures: quick enough that one lost connection is not felt,
// slow enough that a dead peer costs a message or two a second until membership
// has found it dead.
constexpr absl::Duration kFirstBackoff = absl::Milliseconds(20);
constexpr absl::Duration kLongestBackoff = absl::Milliseconds(640);

}  // namespace

std::optional<PeerBatch> PeerOutbox::Next(absl::Time now) {
  if (sending_ || now < retry_at_) return std::nullopt;
  if (!under_way_.has_value()) {
    if (waiting_.empty()) return std::nullopt;
    PeerBatch batch;
    batch.number = ++last_number_;
    std::size_t count = std::min(waiting_.size(), kMaxBatchItems);
    auto end = waiting_.begin() + static_cast<std::ptrdiff_t>(count);
    batch.items.assign(std::make_move_iterator(waiting_.begin()),
                       std::make_move_iterator(end));
    waiting_.erase(waiting_.begin(), end);
    under_way_ = std::move(batch);
  }
  sending_ = true;
  return under_way_;
}

void PeerOutbox::Taken() {
  sending_ = false;
  under_way_.reset();
  failures_ = 0;
  retry_at_ = absl::InfinitePast();
}

void PeerOutbox::Failed(absl::Time now) {
  sending_ = false;
  absl::Duration backoff = kFirstBackoff * (1 << std::min(failures_, 10));
  ++failures_;
  retry_at_ = now + std::min(backoff, kLongestBackoff);
}

void PeerOutbox::Reset() {
  waiting_.clear();
  under_way_.reset();
  sending_ = false;
  failures_ = 0;
  retry_at_ = absl::InfinitePast();
}

PeerInbox::Verdict PeerInbox::Judge(const EntryHostId& sender,
                                    Incarnation incarnation,
                                    std::uint64_t number) {
  Seen& seen = seen_[sender];
  if (incarnation < seen.incarnation) return Verdict::kStale;
  if (incarnation > seen.incarnation) seen = {incarnation, 0};
  if (number <= seen.number) return Verdict::kRepeated;
  seen.number = number;
  return Verdict::kTake;
}

}  // namespace gentianlb::entry
