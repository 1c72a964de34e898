// Bounds the sum of the bytes that a process holds for others: bodies of
// requests, answers that are not complete yet, and what callers have yet to
// read.
//
// A bound of each of them is no bound of their sum: many faulty servers, or
// many callers, may reach it at once. When the sum exceeds the limit, the
// largest holder gives way. Endless input grows until it is the largest, so
// that ordinary requests beside it go on.

#ifndef GENTIANLB_BASE_BYTE_BUDGET_H_
#define GENTIANLB_BASE_BYTE_BUDGET_H_

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_set.h"

namespace gentianlb {

// What bytes are held.
enum class HeldKind { kRequest, kAnswer, kUnread };
inline constexpr std::size_t kHeldKinds = 3;

// Returns the kind's name for log lines and metrics.
std::string_view NameOf(HeldKind kind);

// Returns the bytes that a string has allocated.
inline std::size_t AllocatedBytes(const std::string& text) {
  const std::size_t in_place = std::string().capacity();
  return text.capacity() > in_place ? text.capacity() : 0;
}

// Empties a string and frees what it has allocated. An empty string that is
// assigned to it, or moved into it, leaves the allocated block to it.
inline void Deallocate(std::string& text) { std::string().swap(text); }

class HeldBytes;

// Not thread-safe.
class ByteBudget {
 public:
  // `limit`: in bytes.
  explicit ByteBudget(std::size_t limit) : limit_(limit) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  // Has the largest holders give way until the sum is within the limit. May
  // end any request: to be called last.
  void Relieve();

  std::size_t limit() const { return limit_; }
  // Returns the bytes that are held, of one kind and of all.
  std::size_t held(HeldKind kind) const {
    return held_[static_cast<std::size_t>(kind)];
  }
  std::size_t held() const;
  // Returns whether that many bytes may be kept, so that room is left for
  // others: what is small may always, and one holder's bytes may be large.
  bool MayKeep(std::size_t bytes) const;
  // Returns how often bytes of a kind have given way.
  int gave_way(HeldKind kind) const {
    return gave_way_[static_cast<std::size_t>(kind)];
  }

 private:
  friend class HeldBytes;

  // Returns the holder of most bytes that can give way; null if none can.
  HeldBytes* FindLargest() const;

  // Part of the limit that is for what doesn't give way.
  static constexpr std::size_t kKeptPart = 2;
  static constexpr std::size_t kSmallBytes = 32 << 10;

  const std::size_t limit_;
  std::array<std::size_t, kHeldKinds> held_ = {};
  std::size_t kept_ = 0;  // Of these bytes, those that don't give way.
  std::array<int, kHeldKinds> gave_way_ = {};
  absl::flat_hash_set<HeldBytes*> holders_;  // Of a byte or more.
  bool relieving_ = false;
};

// The bytes that one request or answer holds, until this object ends.
class HeldBytes {
 public:
  // `give_way`: lets go of the bytes, more than once if more come; may destroy
  // this object. Not set: they can't give way. Without a budget they are not
  // counted.
  HeldBytes(std::shared_ptr<ByteBudget> budget, HeldKind kind,
            std::function<void()> give_way);
  ~HeldBytes() { Set(0); }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;

  void Set(std::size_t bytes);
  // From now on the bytes don't give way. Returns false, and changes nothing,
  // if too much is kept already.
  bool Keep();

 private:
  friend class ByteBudget;

  const std::shared_ptr<ByteBudget> budget_;
  const HeldKind kind_;
  std::function<void()> give_way_;
  std::size_t bytes_ = 0;
  bool kept_ = false;
};

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_BYTE_BUDGET_H_
