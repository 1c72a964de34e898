// The rows of claims and leases in the platform's table.

#ifndef GENTIANLB_CLAIM_ROWS_H_
#define GENTIANLB_CLAIM_ROWS_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "base/ids.h"
#include "claim/messages.h"

namespace gentianlb::claim {

enum class RowState {
  kClaimed,     // The owner may dispatch it; see `fenced`.
  kDispatched,  // `server` has got it, or is about to.
  kDone,        // Ran to its end.
};

struct ClaimRow {
  EntryHostId owner;
  Incarnation incarnation = 0;
  RowState state = RowState::kClaimed;
  std::string body_digest;
  std::string token;  // Unique per claim: tells an own row from another's.
  ServerId server;
  // The owner writes kDispatched before the first byte leaves. Whoever replaces
  // such a row while it is kClaimed makes that write fail.
  bool fenced = false;
  absl::Time written;
  bool operator==(const ClaimRow&) const = default;
};

// Until `until` the host runs no key without a row in the table.
struct LeaseRow {
  EntryHostId host;
  Incarnation incarnation = 0;
  absl::Time since;  // All it ran without a row before this has its row now.
  absl::Time until;
  // An earlier incarnation, whose lease lapsed at the first time, may have run
  // keys without rows up to the second.
  absl::Time lost_from = absl::UnixEpoch();
  absl::Time lost_until = absl::UnixEpoch();
  absl::Time registered_by =
      absl::UnixEpoch();  // When the name was first taken.
  bool operator==(const LeaseRow&) const = default;
};

inline constexpr std::string_view kLeasePrefix = "lease/";

std::string RowKey(const ClaimKey& key);
std::string LeaseKey(const EntryHostId& host);

std::string Encode(const ClaimRow& row);
std::string Encode(const LeaseRow& row);

// Nothing when the value isn't such a row.
std::optional<ClaimRow> DecodeClaim(std::string_view value);
std::optional<LeaseRow> DecodeLease(std::string_view value);

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_ROWS_H_
