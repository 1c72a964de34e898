// Splits the bytes of an event stream into complete events.
//
// A server may fail in the middle of an event. If bytes were relayed as they
// arrive, the caller would hold a partial event that can't be joined to the
// stream of another server: bytes would be missing or duplicated. So only
// complete events are relayed, and the stream resumes after the last one's id.

#ifndef GENTIANLB_GATEWAY_EVENT_SPLITTER_H_
#define GENTIANLB_GATEWAY_EVENT_SPLITTER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianlb::gateway {

class EventSplitter {
 public:
  // Events with an id up to `last_event` are dropped: the caller has them.
  explicit EventSplitter(std::int64_t last_event) : last_event_(last_event) {}

  // Appends bytes. Returns the new events that they complete.
  std::string Feed(std::string_view bytes);

  // Drops a partial event before another server resumes the stream.
  void DiscardPartial() { partial_.clear(); }

  // Returns the bytes after the last complete event.
  const std::string& partial() const { return partial_; }
  // Returns whether these begin an event. Empty lines alone don't.
  bool inside_event() const {
    return partial_.find_first_not_of("\r\n") != std::string::npos;
  }

  // Returns the highest event id received.
  std::int64_t last_event() const { return last_event_; }
  // Returns the number of events returned by Feed().
  int event_count() const { return event_count_; }
  // Returns the number of events dropped because the caller has them.
  int dropped_events() const { return dropped_events_; }
  // Returns how often an event's id was not the one after the last event's.
  int id_gaps() const { return id_gaps_; }

 private:
  // Records the event's id. Returns false if the caller has the event.
  bool RecordIfNew(std::string_view event);

  std::string partial_;
  std::int64_t last_event_;
  int event_count_ = 0;
  int dropped_events_ = 0;
  int id_gaps_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_EVENT_SPLITTER_H_
