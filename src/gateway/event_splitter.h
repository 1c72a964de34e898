// Cuts the bytes of an event stream into whole events.
//
// A server may break off in the middle of an event. Passed on as it comes, the
// caller would hold half an event, and the rest could not be joined to what
// another server sends on: a piece would be missing or stand twice. So only
// whole events go out, and the number of the last one tells where to go on.

#ifndef GENTIANLB_GATEWAY_EVENT_SPLITTER_H_
#define GENTIANLB_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianlb::gateway {

class EventSplitter {
 public:
  // Events up to number `last_event` are known to the caller and left out.
  explicit EventSplitter(std::int64_t last_event) : last_event_(last_event) {}

  // Takes the next bytes; returns the whole events that they complete.
  std::string Feed(std::string_view bytes);

  // Forgets a half event: another server goes on after the last whole one.
  void Restart() { rest_.clear(); }

  // What is left after the last whole event, once the stream has ended.
  const std::string& rest() const { return rest_; }

  // The highest number seen.
  std::int64_t last_event() const { return last_event_; }
  // Whole events passed on.
  int events() const { return events_; }

 private:
  // Whether the event is new; notes its number.
  bool Take(std::string_view event);

  std::string rest_;
  std::int64_t last_event_;
  int events_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_EVENT_SPLITTER_H_
