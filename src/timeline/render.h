// A merged time line to look at: lines of text, or a page with a picture.

#ifndef GENTIANLB_TIMELINE_RENDER_H_
#define GENTIANLB_TIMELINE_RENDER_H_

#include <string>
#include <vector>

#include "timeline/event.h"

namespace gentianlb::timeline {

// One event a line: time of day, host, kind, subject, detail.
std::string RenderText(const std::vector<Event>& events);

// A page that needs nothing else: a lane per host, time to the right, colours
// by group of kinds, lines between events of one subject on different hosts,
// the table of events below. Texts of callers are escaped.
std::string RenderHtml(const std::vector<Event>& events);

}  // namespace gentianlb::timeline

#endif  // GENTIANLB_TIMELINE_RENDER_H_
