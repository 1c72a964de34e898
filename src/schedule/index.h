// Dense integer indexes that stand for string ids inside the decision modules.
// Ids are resolved once, when an event comes in. Iteration in index order is
// the same on every run, unlike iteration over a hash table with a random seed.

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
using PoolIndex = std::uint32_t;  // Servers that have one model loaded.
using WaitIndex = std::uint32_t;  // A waiting request.
using RunIndex = std::uint32_t;   // A running request.

inline constexpr std::uint32_t kNoIndex =
    std::numeric_limits<std::uint32_t>::max();

// Interns names: gives each distinct name an index, in the order of first use.
template <typename Name>
class Interner {
 public:
  // Returns the index of `name`; adds the name if it is new.
  std::uint32_t Intern(const Name& name) {
    const auto next = static_cast<std::uint32_t>(indexes_.size());
    return indexes_.try_emplace(name, next).first->second;
  }
  // Returns the index of `name`, or kNoIndex if it was never interned.
  std::uint32_t Find(const Name& name) const {
    const auto found = indexes_.find(name);
    return found == indexes_.end() ? kNoIndex : found->second;
  }
  std::uint32_t size() const {
    return static_cast<std::uint32_t>(indexes_.size());
  }

 private:
  absl::flat_hash_map<Name, std::uint32_t> indexes_;
};

// Stores items under stable indexes; indexes of removed items are reused.
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
