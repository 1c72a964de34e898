// The rows of the lease and of the steps in the platform's table.

#ifndef GENTIANLB_ORDERS_ROWS_H_
#define GENTIANLB_ORDERS_ROWS_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "orders/messages.h"

namespace gentianlb::orders {

// Not under claims' "lease/", whose scans would take it for a host's.
inline constexpr char kLeaseKey[] = "orders/lease";
inline constexpr char kStepPrefix[] = "orders/step/";

// Never deleted, so that the fencing number only grows.
struct LeaseRow {
  EntryHostId holder;
  Incarnation incarnation = 0;
  Fence fence = 0;
  // A duration and no time: readers count it by their own monotonic clock.
  absl::Duration lease;
  std::int64_t serial = 0;  // Of the holder's writes: tells them apart.
  bool operator==(const LeaseRow&) const = default;
};

enum class StepState { kOpen, kDone, kFailed };

// The last step at one server. Written as open before its order is sent, so
// that whoever holds the lease next knows what may be under way.
struct StepRow {
  std::string order;
  config::OrderKind kind = config::OrderKind::kLoad;
  ModelId model;
  schedule::ServerRole role = schedule::ServerRole::kMixed;
  config::Version version = 0;  // That wanted it.
  int attempt = 0;
  StepState state = StepState::kOpen;
  Fence fence = 0;  // Of the holder that wrote the row.
  bool operator==(const StepRow&) const = default;
};

std::string StepKey(const ServerId& server);

std::string Encode(const LeaseRow& row);
std::string Encode(const StepRow& row);

// Nothing when the value isn't such a row.
std::optional<LeaseRow> DecodeLease(std::string_view value);
std::optional<StepRow> DecodeStep(std::string_view value);

}  // namespace gentianlb::orders

#endif  // GENTIANLB_ORDERS_ROWS_H_
