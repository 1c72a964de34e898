// The rows that a confirmed plan writes and drops, worked out without I/O.

#ifndef GENTIANLB_CONFIG_NEXT_VERSION_H_
#define GENTIANLB_CONFIG_NEXT_VERSION_H_

#include <string>
#include <vector>

#include "config/in_force.h"
#include "config/rows.h"
#include "config/stored_plan.h"
#include "store/messages.h"

namespace gentianlb::config {

// Who confirms, when, and the token that tells this confirm from another's.
struct ConfirmRequest {
  std::string who;
  absl::Time now;
  std::string token;
  bool operator==(const ConfirmRequest&) const = default;
};

// Whole versions kept for `gentianctl show`, and for hosts that are reading one
// while the next is confirmed. At 5,800 changes a day it is some five minutes.
inline constexpr Version kVersionsKept = 20;

// Entries kept of who confirmed what, when.
inline constexpr Version kHistoryKept = 1000;

struct NextVersion {
  HistoryEntry entry;
  // Shards that must stand before `final` is sent: only when all does not fit
  // into one transaction. Nobody sees them before the head names them.
  std::vector<store::Write> staged;
  std::vector<store::Write> final;
  bool operator==(const NextVersion&) const = default;
};

// `recent` holds the last kVersionsKept entries of the history, in any order.
// Shards that only versions older than these use are deleted on the way, within
// the one conditional transaction: a deletion of its own could take a row that
// another confirm has just begun to rely on.
Outcome<NextVersion> MakeNextVersion(const InForce& base,
                                     const StoredPlan& plan,
                                     const ConfirmRequest& request,
                                     const std::vector<HistoryEntry>& recent);

}  // namespace gentianlb::config

#endif  // GENTIANLB_CONFIG_NEXT_VERSION_H_
