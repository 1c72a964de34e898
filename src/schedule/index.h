// Small numbers in place of names inside the decision modules. Names are
// resolved once at the edge; orders by these numbers are the same on each run,
// which orders of a seeded hash are not.

#ifndef GENTIANLB_SCHEDULE_INDEX_H_
#define GENTIANLB_SCHEDULE_INDEX_H_

#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"

namespace gentianlb::schedule {

using ServerIndex = std::uint32_t;
using WorkspaceIndex = std::uint32_t;
using PoolIndex = std::uint32_t;  // The servers that hold one model.
using WaitIndex = std::uint32_t;
using RunIndex = std::uint32_t;

inline constexpr std::uint32_t kNoIndex =
    std::numeric_limits<std::uint32_t>::max();

// Numbers names in the order in which they are first seen.
template <typename Name>
class Numbering {
 public:
  std::uint32_t Number(const Name& name) {
    const auto next = static_cast<std::uint32_t>(numbers_.size());
    return numbers_.try_emplace(name, next).first->second;
  }
  // kNoIndex when `name` was never numbered.
  std::uint32_t Find(const Name& name) const {
    const auto found = numbers_.find(name);
    return found == numbers_.end() ? kNoIndex : found->second;
  }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(numbers_.size());
  }

 private:
  absl::flat_hash_map<Name, std::uint32_t> numbers_;
};

// Records under numbers that are used again after removal.
template <typename T>
class Slab {
 public:
  std::uint32_t Add(T value) {
    if (free_.empty()) {
      items_.push_back(std::move(value));
      return static_cast<std::uint32_t>(items_.size() - 1);
    }
    const std::uint32_t index = free_.back();
    free_.pop_back();
    items_[index] = std::move(value);
    return index;
  }
  T Remove(std::uint32_t index) {
    free_.push_back(index);
    return std::exchange(items_[index], T());
  }
  T& operator[](std::uint32_t index) { return items_[index]; }
  const T& operator[](std::uint32_t index) const { return items_[index]; }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(items_.size() - free_.size());
  }

 private:
  std::vector<T> items_;
  std::vector<std::uint32_t> free_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_INDEX_H_
