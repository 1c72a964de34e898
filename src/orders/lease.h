// The lease that allows one entry host to send orders to backend servers. This
// module uses no network, thread or clock: `now` is always the monotonic time
// of this process.
//
// The lease guards against a paused holder that continues after another host
// has taken over. The holder counts its lease from the sending of its last
// write that took effect, and checks IsHeld() right before each action. Other
// hosts count from the time they first see that write, which is later, and add
// a margin. So the holder's lease expires before another host can acquire it.

#ifndef GENTIANLB_ORDERS_LEASE_H_
#define GENTIANLB_ORDERS_LEASE_H_

#include <optional>
#include <variant>
#include <vector>

#include "absl/time/time.h"
#include "orders/rows.h"
#include "store/messages.h"

namespace gentianlb::orders {

struct LeaseOptions {
  // Orders take minutes, so a takeover may take seconds. The holder keeps the
  // lease when two renewals in a row fail.
  absl::Duration lease_duration = absl::Seconds(15);
  absl::Duration renew_period = absl::Seconds(4);
  absl::Duration read_period = absl::Seconds(3);
  absl::Duration retry_delay = absl::Seconds(1);
  // Covers the time from the check to the last byte sent, and clocks that run
  // at different rates. The holder gives up this much earlier, and other hosts
  // wait this much longer.
  absl::Duration margin = absl::Seconds(2);
  bool operator==(const LeaseOptions&) const = default;
};

struct ReadLease {
  bool operator==(const ReadLease&) const = default;
};

using LeaseCall = std::variant<ReadLease, store::Transaction>;

// Acquires and renews the lease for one entry host. Returns the table calls to
// make and takes their results.
class Lease {
 public:
  Lease(LeaseOptions options, EntryHostId self, Incarnation incarnation);

  // Returns the table call to make now, if any. Only one call is pending at a
  // time.
  std::optional<LeaseCall> NextCall(absl::Time now);
  // Returns when NextCall() may return a call; infinite while one is pending.
  absl::Time NextDue(absl::Time now) const;

  // Handles the result of ReadLease: the row, or nothing if there is none.
  void OnRead(const store::ReadResult& result, absl::Time now);
  // Handles the result of a transaction that NextCall() returned.
  void OnCommitted(const store::CommitResult& result, absl::Time now);

  // Returns whether this host holds the lease. Check right before each action.
  bool IsHeld(absl::Time now) const {
    return now < expires_at_ - options_.margin;
  }
  Fence fence() const { return fence_; }
  // Returns when this host last acquired the lease. Renewals don't change it.
  absl::Time acquired_at() const { return acquired_at_; }

  // Gives up the lease, because an engine has seen a higher fencing number.
  void Drop() {
    expires_at_ = absl::InfinitePast();
    known_ = false;
    sent_row_ = LeaseRow();  // A later read must not restore the lease.
  }

 private:
  store::Transaction MakeWrite(Fence fence, absl::Time now);
  void OnRow(const store::Row& row, absl::Time now);
  // Records that the last write of this host took effect.
  void ApplyOwnWrite(store::RowVersion version);
  bool IsFree(absl::Time now) const;
  // Returns whether this host wrote the row with its current fencing number.
  bool IsOwnRow(const LeaseRow& row) const;

  LeaseOptions options_;
  EntryHostId self_;
  Incarnation incarnation_;

  bool known_ = false;  // row_ matches the last read or write.
  bool corrupt_ = false;
  std::optional<LeaseRow> row_;
  store::RowVersion row_version_ = 0;
  absl::Time version_seen_at_ = absl::InfiniteFuture();
  absl::Time read_at_ = absl::InfinitePast();

  bool call_pending_ = false;
  absl::Time not_before_ = absl::InfinitePast();
  std::int64_t serial_ = 0;
  LeaseRow sent_row_;
  absl::Time sent_at_ = absl::InfinitePast();

  Fence fence_ = 0;
  absl::Time expires_at_ = absl::InfinitePast();
  absl::Time renew_at_ = absl::InfinitePast();
  absl::Time acquired_at_ = absl::InfinitePast();
};

}  // namespace gentianlb::orders

#endif  // GENTIANLB_ORDERS_LEASE_H_
