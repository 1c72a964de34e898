#include "timeline/merge.h"

#include <algorithm>

namespace gentianlb::timeline {

bool Keeps(const Filter& filter, const Event& event) {
  bool host = filter.host.empty() || event.host.str() == filter.host;
  bool kind = KindName(event.kind).starts_with(filter.kind);
  bool key = event.subject.find(filter.key) != std::string::npos ||
             event.detail.find(filter.key) != std::string::npos;
  return host && kind && key;
}

std::vector<Event> Merge(const std::vector<std::vector<Event>>& sources,
                         const Filter& filter) {
  std::vector<Event> merged;
  for (const std::vector<Event>& source : sources) {
    for (const Event& event : source) {
      if (Keeps(filter, event)) merged.push_back(event);
    }
  }
  // The stamp is the first field; the others part events that share one.
  std::sort(merged.begin(), merged.end());
  merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
  return merged;
}

}  // namespace gentianlb::timeline
