// The events of many processes as one time line.

#ifndef GENTIANLB_TIMELINE_MERGE_H_
#define GENTIANLB_TIMELINE_MERGE_H_

#include <string>
#include <vector>

#include "timeline/event.h"

namespace gentianlb::timeline {

// What to keep; an empty text keeps all.
struct Filter {
  std::string key;   // Part of the subject or of the detail.
  std::string kind;  // Start of the kind's name, as in `request`.
  std::string host;
  bool operator==(const Filter&) const = default;
};

bool Keeps(const Filter& filter, const Event& event);

// In the order of their stamps; events that two hosts hand on appear once.
std::vector<Event> Merge(const std::vector<std::vector<Event>>& sources,
                         const Filter& filter);

}  // namespace gentianlb::timeline

#endif  // GENTIANLB_TIMELINE_MERGE_H_
