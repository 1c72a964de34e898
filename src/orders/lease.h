// The lease that lets one entry host give orders. No network, thread or clock:
// `now` is always this process's monotonic time.
//
// What goes wrong without it: a holder is paused, another takes over, the first
// wakes and goes on. It notices because it counts its lease from when it sent
// the last write that took effect, and asks Held() right before each action;
// the others count from when they first saw that write, which is later, and add
// a margin. So it is out, in its own eyes, before another is in.

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
  // Orders take minutes, so a takeover may take seconds; two renewals may fail
  // before the lease is lost for no reason.
  absl::Duration lease = absl::Seconds(15);
  absl::Duration renew_every = absl::Seconds(4);
  absl::Duration read_every = absl::Seconds(3);
  absl::Duration retry_after = absl::Seconds(1);
  // For the time between the check and the last byte sent, and for clocks that
  // run at unlike rates. The holder gives up so much earlier, and others wait
  // so much longer.
  absl::Duration margin = absl::Seconds(2);
  bool operator==(const LeaseOptions&) const = default;
};

struct ReadLease {
  bool operator==(const ReadLease&) const = default;
};

using LeaseCall = std::variant<ReadLease, store::Transaction>;

class Lease {
 public:
  Lease(LeaseOptions options, EntryHostId self, Incarnation incarnation);

  // What to ask of the table now, if anything; one call at a time.
  std::optional<LeaseCall> Next(absl::Time now);
  absl::Time NextDue(absl::Time now) const;

  // The answer to ReadLease: the row or none. An error: no answer.
  void OnRead(const store::ReadResult& result, absl::Time now);
  void OnCommitted(const store::CommitResult& result, absl::Time now);

  // Ask right before each action.
  bool Held(absl::Time now) const { return now < until_ - options_.margin; }
  Fence fence() const { return fence_; }
  // When this host last took the lease; renewals don't change it.
  absl::Time acquired_at() const { return acquired_at_; }

  // An engine has seen a later holder, so this one is out.
  void Drop() {
    until_ = absl::InfinitePast();
    known_ = false;
    sent_ = LeaseRow();  // Never taken up again by reading it back.
  }

 private:
  store::Transaction Write(Fence fence, absl::Time now);
  void OnRow(const store::Row& row, absl::Time now);
  void Take(store::RowVersion version);
  bool Free(absl::Time now) const;
  // Own writes of one holding, whichever of them took effect last.
  bool Ours(const LeaseRow& row) const;

  LeaseOptions options_;
  EntryHostId self_;
  Incarnation incarnation_;

  bool known_ = false;  // The fields of the row are as last read.
  bool corrupt_ = false;
  std::optional<LeaseRow> row_;
  store::RowVersion version_ = 0;
  absl::Time seen_since_ = absl::InfiniteFuture();
  absl::Time read_at_ = absl::InfinitePast();

  bool busy_ = false;
  absl::Time not_before_ = absl::InfinitePast();
  std::int64_t serial_ = 0;
  LeaseRow sent_;
  absl::Time sent_at_ = absl::InfinitePast();

  Fence fence_ = 0;
  absl::Time until_ = absl::InfinitePast();
  absl::Time renew_at_ = absl::InfinitePast();
  absl::Time acquired_at_ = absl::InfinitePast();
};

}  // namespace gentianlb::orders

#endif  // GENTIANLB_ORDERS_LEASE_H_
