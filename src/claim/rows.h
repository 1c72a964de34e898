// Rows of claims and leases in the platform's table, and their encoding.

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
  kDispatched,  // `server` received the request or is about to.
  kDone,        // The request has finished.
};

struct ClaimRow {
  EntryHostId owner;
  Incarnation incarnation = 0;
  RowState state = RowState::kClaimed;
  std::string body_digest;
  std::string token;  // Unique per claim.
  ServerId server;
  // If set, the owner writes kDispatched before it sends the first byte. That
  // write fails if another host has replaced the row while it was kClaimed.
  bool fenced = false;
  absl::Time written;
  bool operator==(const ClaimRow&) const = default;
};

// Lease of a host: until `until` it runs no key without a row in the table.
struct LeaseRow {
  EntryHostId host;
  Incarnation incarnation = 0;
  // All keys that the host ran without a row before `since` have rows now.
  absl::Time since;
  absl::Time until;
  // An earlier incarnation, whose lease lapsed at `lost_from`, may have run
  // keys without rows until `lost_until`.
  absl::Time lost_from = absl::UnixEpoch();
  absl::Time lost_until = absl::UnixEpoch();
  // The host's first lease row was committed by this time.
  absl::Time registered_by = absl::UnixEpoch();
  bool operator==(const LeaseRow&) const = default;
};

inline constexpr std::string_view kLeasePrefix = "lease/";

// Returns the table key of the claim's or the host's row.
std::string RowKey(const ClaimKey& key);
std::string LeaseKey(const EntryHostId& host);

std::string Encode(const ClaimRow& row);
std::string Encode(const LeaseRow& row);

// Return nothing if `value` is not a row of that type.
std::optional<ClaimRow> DecodeClaim(std::string_view value);
std::optional<LeaseRow> DecodeLease(std::string_view value);

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_ROWS_H_
