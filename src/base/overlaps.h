// Finds spans of time that overlap for longer than they may.

#ifndef GENTIANLB_BASE_OVERLAPS_H_
#define GENTIANLB_BASE_OVERLAPS_H_

#include <cstddef>
#include <vector>

#include "absl/time/time.h"

namespace gentianlb {

struct Span {
  absl::Time begin;
  absl::Time end;
  bool operator==(const Span&) const = default;
};

// Two spans, by their index; `first` began no later than `second`.
struct Overlap {
  std::size_t first = 0;
  std::size_t second = 0;
  absl::Duration length;
  bool operator==(const Overlap&) const = default;
};

// Returns all pairs that overlap for longer than `max`, in order of their
// beginnings. Takes quadratic time.
std::vector<Overlap> FindOverlaps(const std::vector<Span>& spans,
                                  absl::Duration max);

}  // namespace gentianlb

#endif  // GENTIANLB_BASE_OVERLAPS_H_
