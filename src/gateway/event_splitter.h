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
  void DiscardPartial() { partial_.clear(); }

  // What is left after the last whole event, once the stream has ended.
  const std::string& partial() const { return partial_; }

  // The highest number seen.
  std::int64_t last_event() const { return last_event_; }
  // Whole events passed on.
  int event_count() const { return event_count_; }

 private:
  // Whether the event is new; notes its number.
  bool RecordIfNew(std::string_view event);

  std::string partial_;
  std::int64_t last_event_;
  int event_count_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_EVENT_SPLITTER_H_
