#include "gateway/event_splitter.h"

#include <charconv>
#include <optional>

namespace gentianlb::gateway {
namespace {

constexpr std::string_view kIdField = "id:";

// Returns the length of the first event in `bytes` with the empty line that
// ends it, or npos. The line ends at `from` or later; lines end with LF or
// CRLF.
std::size_t EventLength(std::string_view bytes, std::size_t from) {
  std::size_t end = bytes.find('\n', from);
  while (end != std::string_view::npos) {
    std::string_view before = bytes.substr(0, end);
    if (before.ends_with('\r')) before.remove_suffix(1);
    if (before.ends_with('\n')) return end + 1;
    end = bytes.find('\n', end + 1);
  }
  return end;
}

// Returns the number in the event's "id" line, if it has one.
std::optional<std::int64_t> EventId(std::string_view event) {
  std::size_t start = 0;
  while (start < event.size()) {
    std::size_t end = event.find('\n', start);
    if (end == std::string_view::npos) end = event.size();
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kIdField)) continue;
    line.remove_prefix(kIdField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    std::int64_t number = 0;
    const auto [rest, error] =
        std::from_chars(line.data(), line.data() + line.size(), number);
    if (error == std::errc()) return number;
  }
  return std::nullopt;
}

}  // namespace

std::string EventSplitter::Feed(std::string_view bytes) {
  const std::size_t searched = partial_.size();
  partial_.append(bytes);
  std::string complete;
  std::string_view rest = partial_;
  std::size_t length = EventLength(rest, searched);
  while (length != std::string_view::npos) {
    const std::string_view event = rest.substr(0, length);
    if (RecordIfNew(event)) complete.append(event);
    rest.remove_prefix(length);
    length = EventLength(rest, 0);
  }
  partial_.erase(0, partial_.size() - rest.size());
  return complete;
}

bool EventSplitter::RecordIfNew(std::string_view event) {
  const std::optional<std::int64_t> number = EventId(event);
  if (number && *number <= last_event_) {
    ++dropped_events_;
    return false;
  }
  if (number && *number != last_event_ + 1) ++id_gaps_;
  if (number) last_event_ = *number;
  ++event_count_;
  return true;
}

}  // namespace gentianlb::gateway
