#include "gateway/event_splitter.h"

#include <charconv>
#include <optional>

namespace gentianlb::gateway {
namespace {

constexpr std::string_view kBoundary = "\n\n";
constexpr std::string_view kNumberField = "id:";

// The number in the event's "id" line, if it has one.
std::optional<std::int64_t> NumberOf(std::string_view event) {
  std::size_t start = 0;
  while (start < event.size()) {
    std::size_t end = event.find('\n', start);
    if (end == std::string_view::npos) end = event.size();
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kNumberField)) continue;
    line.remove_prefix(kNumberField.size());
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
  // The boundary may lie across two blocks.
  const std::size_t searched = rest_.empty() ? 0 : rest_.size() - 1;
  rest_.append(bytes);
  std::string whole;
  std::size_t start = 0;
  std::size_t end = rest_.find(kBoundary, searched);
  while (end != std::string::npos) {
    const std::size_t next = end + kBoundary.size();
    const std::string_view event(rest_.data() + start, next - start);
    if (Take(event)) whole.append(event);
    start = next;
    end = rest_.find(kBoundary, start);
  }
  rest_.erase(0, start);
  return whole;
}

bool EventSplitter::Take(std::string_view event) {
  const std::optional<std::int64_t> number = NumberOf(event);
  if (number && *number <= last_event_) return false;
  if (number) last_event_ = *number;
  ++events_;
  return true;
}

}  // namespace gentianlb::gateway
