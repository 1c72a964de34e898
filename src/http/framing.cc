#include "http/framing.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <system_error>

#include "absl/strings/ascii.h"
#include "http/head_grammar.h"

namespace gentianlb::http {
namespace {

constexpr int kNoContentStatus = 204;
constexpr int kNotModifiedStatus = 304;

bool IsNumber(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return absl::ascii_isdigit(c);
  });
}

// Readers hold lengths in 64 bits with a sign, and may ignore one that is
// larger.
bool FitsReaders(std::string_view length) {
  std::int64_t bytes = 0;
  const char* const end = length.data() + length.size();
  return std::from_chars(length.data(), end, bytes).ec == std::errc();
}

bool HasName(const Header& header, std::string_view name) {
  return SameName(header.name, name);
}

}  // namespace

std::string_view FramingProblem(const std::vector<Header>& headers) {
  int lengths = 0;
  int encodings = 0;
  int hosts = 0;
  for (const Header& header : headers) {
    if (!IsHeaderName(header.name)) {
      return "a header name holds a character that none may";
    }
    if (HasName(header, "host")) ++hosts;
    if (HasName(header, "content-length")) {
      ++lengths;
      if (!IsNumber(header.value)) return "the length is not a number";
    }
    if (HasName(header, "transfer-encoding")) {
      ++encodings;
      if (!SameName(header.value, "chunked")) {
        return "the only transfer encoding taken is chunked";
      }
    }
  }
  if (lengths + encodings > 1) return "the length is given more than once";
  if (hosts > 1) return "the host is given more than once";
  return {};
}

std::string_view TrimBlanks(std::string_view text) {
  while (!text.empty() && absl::ascii_isspace(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && absl::ascii_isspace(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

std::string_view HeaderValue(std::string_view rest_of_line) {
  constexpr std::string_view kBlanks = " \t";
  std::string_view value = rest_of_line;
  if (value.ends_with('\n')) value.remove_suffix(1);
  if (value.ends_with('\r')) value.remove_suffix(1);
  value.remove_prefix(std::min(value.find_first_not_of(kBlanks), value.size()));
  return value.substr(0, value.find_last_not_of(kBlanks) + 1);
}

std::string_view ResponseFramingProblem(const std::vector<Header>& headers) {
  std::optional<std::string_view> length;
  bool has_encoding = false;
  for (const Header& header : headers) {
    // Readers disagree on a name with blanks around it.
    const std::string_view name = TrimBlanks(header.name);
    const bool is_length = SameName(name, "content-length");
    const bool is_encoding = SameName(name, "transfer-encoding");
    if (!is_length && !is_encoding) continue;
    if (name != header.name) return "a blank stands beside a header name";
    if (is_encoding) {
      if (has_encoding || !SameName(header.value, "chunked")) {
        return "the only transfer encoding taken is chunked";
      }
      has_encoding = true;
      continue;
    }
    if (!IsNumber(header.value)) return "the length is not a number";
    if (!FitsReaders(header.value)) return "the length is too large";
    if (length && *length != header.value) return "there are two lengths";
    length = header.value;
  }
  if (length && has_encoding) return "there are both a length and chunks";
  return {};
}

std::string_view InterimFramingProblem(const std::vector<Header>& headers) {
  const bool states_framing =
      std::any_of(headers.begin(), headers.end(), [](const Header& header) {
        const std::string_view name = TrimBlanks(header.name);
        return SameName(name, "content-length") ||
               SameName(name, "transfer-encoding");
      });
  return states_framing ? "an interim head states a length" : "";
}

bool EndsWithConnection(std::string_view method, int status,
                        const std::vector<Header>& headers) {
  const bool has_body = method != "HEAD" && status != kNoContentStatus &&
                        status != kNotModifiedStatus;
  return has_body && FindHeader(headers, "Content-Length").empty() &&
         FindHeader(headers, "Transfer-Encoding").empty();
}

}  // namespace gentianlb::http
