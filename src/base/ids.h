// Names of things as distinct types, so that a workspace can never be passed
// where a backend server is meant. All are immutable values.

#ifndef GENTIANLB_BASE_IDS_H_
#define GENTIANLB_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <utility>

namespace gentianlb {

// A name with a type of its own. `Tag` only tells the types apart.
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

// Names one request inside the system: unique per try of a caller, made by the
// entry host that accepted it.
using RequestId = Id<struct RequestTag>;

// The caller's Idempotency-Key within its workspace; empty when none was sent.
using IdempotencyKey = Id<struct IdempotencyKeyTag>;

// Counts the starts of one entry host; a restarted host has a higher one. Taken
// from the wall clock at start, in microseconds since the epoch, so that it
// needs no disk.
using Incarnation = std::int64_t;

// A tier of service. Rank 0 is the most urgent; a higher rank gives way first.
struct Tier {
  int rank = 0;
  auto operator<=>(const Tier&) const = default;
};

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_IDS_H_
