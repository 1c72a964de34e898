#include "explain/log_line.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace gentianlb::explain {
namespace {

// Takes the first `key=value` off `rest`; a value with spaces stands in quotes.
std::optional<std::pair<std::string, std::string>> TakeField(
    absl::string_view* rest) {
  const std::size_t equals = rest->find('=');
  if (equals == absl::string_view::npos) return std::nullopt;
  std::string key(absl::StripAsciiWhitespace(rest->substr(0, equals)));
  rest->remove_prefix(equals + 1);
  char end = ' ';
  if (absl::ConsumePrefix(rest, "\"")) end = '"';
  const std::size_t size = rest->find(end);
  std::string value(rest->substr(0, size));
  rest->remove_prefix(size == absl::string_view::npos ? rest->size()
                                                      : size + 1);
  return std::pair(std::move(key), std::move(value));
}

// The time of day is the last word but one before `host=`.
bool TakeTime(absl::string_view prefix, absl::Time* time) {
  for (const absl::string_view word :
       absl::StrSplit(prefix, ' ', absl::SkipEmpty())) {
    std::string error;
    if (absl::ParseTime(absl::RFC3339_full, word, time, &error)) return true;
  }
  return false;
}

}  // namespace

absl::string_view LogLine::Text(absl::string_view field) const {
  const auto found = fields.find(field);
  return found == fields.end() ? absl::string_view() : found->second;
}

double LogLine::Number(absl::string_view field) const {
  double number = 0;
  return absl::SimpleAtod(Text(field), &number) ? number : 0;
}

std::optional<LogLine> ParseLogLine(absl::string_view text) {
  const std::size_t host = text.find("host=");
  const std::size_t event = text.find(" event=");
  if (host == absl::string_view::npos || event == absl::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  if (host > event || !TakeTime(text.substr(0, host), &line.time)) {
    return std::nullopt;
  }
  absl::string_view rest = text.substr(host);
  const auto named = TakeField(&rest);
  const auto happened = TakeField(&rest);
  if (!named || !happened || happened->second.empty()) return std::nullopt;
  line.host = named->second;
  line.event = happened->second;
  while (auto field = TakeField(&rest)) line.fields.insert(std::move(*field));
  return line;
}

}  // namespace gentianlb::explain
