// Distinct identifier types, so that a workspace can't be passed where a
// backend server is expected. All are immutable values.

#ifndef GENTIANLB_BASE_IDS_H_
#define GENTIANLB_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace gentianlb {

// A string identifier. `Tag` makes each kind of identifier a distinct type.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text_(std::move(text)) {}

  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }

  auto operator<=>(const Id&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const Id& id) {
    return H::combine(std::move(state), id.text_);
  }
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.text_;
  }

 private:
  std::string text_;
};

using EntryHostId = Id<struct EntryHostTag>;
using ZoneId = Id<struct ZoneTag>;
using WorkspaceId = Id<struct WorkspaceTag>;
using ServerId = Id<struct ServerTag>;
using ServiceId = Id<struct ServiceTag>;
using ModelId = Id<struct ModelTag>;

// Identifies a request within the system. Unique for each attempt of a caller;
// created by the entry host that accepts the request.
using RequestId = Id<struct RequestTag>;

// The caller's Idempotency-Key within its workspace; empty when none was sent.
using IdempotencyKey = Id<struct IdempotencyKeyTag>;

// Identifies one start of an entry host; a restarted host has a higher value.
// Wall clock time of the start in microseconds since the epoch, so that no disk
// is needed.
using Incarnation = std::int64_t;

// A service tier. Rank 0 has the highest priority; a higher rank has a lower
// priority.
struct Tier {
  int rank = 0;
  auto operator<=>(const Tier&) const = default;
};

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_IDS_H_
