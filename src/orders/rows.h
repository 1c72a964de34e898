// The table rows of the lease and of the steps, and their encoding as JSON.

#ifndef GENTIANLB_ORDERS_ROWS_H_
#define GENTIANLB_ORDERS_ROWS_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "orders/messages.h"

namespace gentianlb::orders {

// Not under the prefix "lease/" of the claims, whose scans would read the row
// as the lease of a host.
inline constexpr char kLeaseKey[] = "orders/lease";
inline constexpr char kStepPrefix[] = "orders/step/";

// The row of the lease. It is never deleted, so that the fencing number only
// increases.
struct LeaseRow {
  EntryHostId holder;
  Incarnation incarnation = 0;
  Fence fence = 0;
  // Readers measure this duration with their own monotonic clocks.
  absl::Duration lease_duration;
  std::int64_t serial = 0;  // Distinguishes the writes of one holder.
  bool operator==(const LeaseRow&) const = default;
};

enum class StepState { kOpen, kDone, kFailed };

// The last step at one server. The row is written as open before the order is
// sent, so that the next holder of the lease sees which orders may be running.
struct StepRow {
  std::string order;
  config::OrderKind kind = config::OrderKind::kLoad;
  ModelId model;
  schedule::ServerRole role = schedule::ServerRole::kMixed;
  config::Version version = 0;  // The configuration that requires the step.
  int attempt = 0;
  StepState state = StepState::kOpen;
  Fence fence = 0;  // The fencing number of the host that wrote the row.
  bool operator==(const StepRow&) const = default;
};

// Returns the key of the server's step row.
std::string StepKey(const ServerId& server);

std::string Encode(const LeaseRow& row);
std::string Encode(const StepRow& row);

// Return nothing when the value isn't a valid row.
std::optional<LeaseRow> DecodeLease(std::string_view value);
std::optional<StepRow> DecodeStep(std::string_view value);

}  // namespace gentianlb::orders

#endif  // GENTIANLB_ORDERS_ROWS_H_
