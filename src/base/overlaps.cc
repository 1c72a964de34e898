#include "base/overlaps.h"

#include <algorithm>
#include <numeric>

namespace gentianlb {

std::vector<Overlap> FindOverlaps(const std::vector<Span>& spans,
                                  absl::Duration max) {
  std::vector<std::size_t> order(spans.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) {
                     return spans[a].begin < spans[b].begin;
                   });
  std::vector<Overlap> found;
  for (std::size_t later = 1; later < order.size(); ++later) {
    const Span& second = spans[order[later]];
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      const Span& first = spans[order[earlier]];
      const absl::Duration length =
          std::min(first.end, second.end) - second.begin;
      if (length <= max) continue;
      found.push_back({order[earlier], order[later], length});
    }
  }
  return found;
}

}  // namespace gentianlb
