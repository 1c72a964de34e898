#include "gateway/event_splitter.h"

#include <charconv>
#include <optional>

namespace gentianlb::gateway {
namespace {

constexpr std::string_view kEventBoundary = "\n\n";
constexpr std::string_view kIdField = "id:";

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
  // The boundary may span two blocks of bytes.
  const std::size_t searched = partial_.empty() ? 0 : partial_.size() - 1;
  partial_.append(bytes);
  std::string complete;
  std::size_t start = 0;
  std::size_t end = partial_.find(kEventBoundary, searched);
  while (end != std::string::npos) {
    const std::size_t next = end + kEventBoundary.size();
    const std::string_view event(partial_.data() + start, next - start);
    if (RecordIfNew(event)) complete.append(event);
    start = next;
    end = partial_.find(kEventBoundary, start);
  }
  partial_.erase(0, start);
  return complete;
}

bool EventSplitter::RecordIfNew(std::string_view event) {
  const std::optional<std::int64_t> number = EventId(event);
  if (number && *number <= last_event_) return false;
  if (number) last_event_ = *number;
  ++event_count_;
  return true;
}

}  // namespace gentianlb::gateway
