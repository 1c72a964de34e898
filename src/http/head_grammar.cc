#include "http/head_grammar.h"

#include <algorithm>

#include "absl/strings/ascii.h"

namespace gentianlb::http {
namespace {

// A digit stands for any digit.
constexpr std::string_view kStatusLineShape = "HTTP/1.0 000";
constexpr std::size_t kStatusDigits = 3;
static_assert(kStatusLineShape.size() == kStatusOffset + kStatusDigits);

bool IsNameByte(char c) {
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         kPunctuation.find(c) != std::string_view::npos;
}

// Values and reasons hold visible characters, blanks, tabs and bytes above 7f.
bool IsTextByte(char c) {
  return c == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(c));
}

std::size_t FindOther(std::string_view text, bool (*is_allowed)(char)) {
  const auto* const found =
      std::find_if_not(text.begin(), text.end(), is_allowed);
  return static_cast<std::size_t>(found - text.begin());
}

// Returns how many bytes of `line` have the shape of a status line.
std::size_t MatchStatusLine(std::string_view line) {
  const std::size_t size = std::min(line.size(), kStatusLineShape.size());
  for (std::size_t i = 0; i < size; ++i) {
    const char wanted = kStatusLineShape[i];
    const bool is_digit_wanted = wanted == '0';
    const bool matches =
        is_digit_wanted
            ? absl::ascii_isdigit(static_cast<unsigned char>(line[i]))
            : line[i] == wanted;
    if (!matches) return i;
  }
  if (size < kStatusLineShape.size() || size == line.size()) return size;
  if (line[size] != ' ') return size;
  return size + FindOther(line.substr(size), &IsTextByte);
}

}  // namespace

std::string_view Name(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kStatusLine:
      return "status-line";
    case ResponseFault::kStatus:
      return "status";
    case ResponseFault::kFoldedLine:
      return "folded-line";
    case ResponseFault::kNoColon:
      return "no-colon";
    case ResponseFault::kName:
      return "name";
    case ResponseFault::kValue:
      return "value";
    case ResponseFault::kLineEnd:
      return "line-end";
    case ResponseFault::kFraming:
      return "framing";
    case ResponseFault::kTooLong:
      return "too-long";
  }
  return "";
}

std::string_view Describe(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kStatusLine:
      return "the response begins with no status line";
    case ResponseFault::kStatus:
      return "the status is none that a response may have";
    case ResponseFault::kFoldedLine:
      return "a line begins with a blank";
    case ResponseFault::kNoColon:
      return "a line has no colon";
    case ResponseFault::kName:
      return "a header name is empty or holds a byte that none may";
    case ResponseFault::kValue:
      return "a header value holds a control byte";
    case ResponseFault::kLineEnd:
      return "the lines of the head end differently";
    case ResponseFault::kFraming:
      return "it isn't certain where the response ends";
    case ResponseFault::kTooLong:
      return "the head or the trailer is too long";
  }
  return "";
}

std::string_view WithoutLineEnd(std::string_view line) {
  if (!line.ends_with('\n')) return line;
  line.remove_suffix(1);
  if (line.ends_with('\r')) line.remove_suffix(1);
  return line;
}

bool IsHeaderName(std::string_view text) {
  return !text.empty() && FindOther(text, &IsNameByte) == text.size();
}

int ReadStatus(std::string_view line) {
  int status = 0;
  for (const char digit : line.substr(kStatusOffset, kStatusDigits)) {
    status = 10 * status + (digit - '0');
  }
  return status;
}

std::optional<LineProblem> CheckStatusLine(std::string_view line) {
  const std::size_t matched = MatchStatusLine(line);
  if (matched < std::max(line.size(), kStatusLineShape.size())) {
    return LineProblem{ResponseFault::kStatusLine, matched};
  }
  return std::nullopt;
}

std::optional<LineProblem> CheckHeaderLine(std::string_view line) {
  if (line.starts_with(' ') || line.starts_with('\t')) {
    return LineProblem{ResponseFault::kFoldedLine, 0};
  }
  const std::size_t name_end = FindOther(line, &IsNameByte);
  if (name_end == line.size()) {
    return LineProblem{ResponseFault::kNoColon, name_end};
  }
  if (name_end == 0 || line[name_end] != ':') {
    return LineProblem{ResponseFault::kName, name_end};
  }
  const std::size_t value = name_end + 1;
  const std::size_t value_end =
      value + FindOther(line.substr(value), &IsTextByte);
  if (value_end == line.size()) return std::nullopt;
  return LineProblem{ResponseFault::kValue, value_end};
}

}  // namespace gentianlb::http
