// The grammar of the lines of a response's head and trailer (RFC 9112, sections
// 4 and 5; RFC 9110, sections 5.1, 5.5 and 5.6.2).
//
// Readers disagree on a line outside the grammar. One passes it on, one drops
// it, and one reads it as another header, such as a length. A caller then takes
// other bytes for the body than the server wrote. So such a line is refused.

#ifndef GENTIANLB_HTTP_HEAD_GRAMMAR_H_
#define GENTIANLB_HTTP_HEAD_GRAMMAR_H_

#include <compare>
#include <cstddef>
#include <optional>
#include <string_view>

namespace gentianlb::http {

// What is wrong with a response that no reader may take for one.
enum class ResponseFault {
  kStatusLine,  // It doesn't begin with a status line of HTTP/1.
  kStatus,      // The status is outside 100 to 599, or switches the protocol.
  kFoldedLine,  // A line begins with a blank.
  kNoColon,     // A line has no colon.
  kName,        // A header name is empty or holds a byte that none may.
  kValue,       // A header value holds a control byte.
  kLineEnd,     // The lines of a head end differently.
  kFraming,     // It isn't certain where the response ends.
  kTooLong,     // The head or the trailer is.
};

// Returns a short word for metrics.
std::string_view Name(ResponseFault fault);

// Returns a description for log lines.
std::string_view Describe(ResponseFault fault);

// Where a line leaves the grammar.
struct LineProblem {
  ResponseFault fault = ResponseFault::kStatusLine;
  std::size_t at = 0;  // Bytes of the line before the first that is wrong.
  auto operator<=>(const LineProblem&) const = default;
};

// Returns the line without its end, which is CRLF or a line feed alone: readers
// may take that too (RFC 9112, section 2.2).
std::string_view WithoutLineEnd(std::string_view line);

// Returns whether `text` is a header name: a token.
bool IsHeaderName(std::string_view text);

// Bytes of a valid status line before its status.
inline constexpr std::size_t kStatusOffset = 9;

// Returns the status of a line in which CheckStatusLine() finds nothing wrong.
int ReadStatus(std::string_view line);

// Return what is wrong with a line, which has no end, or nullopt. In a status
// line, the blank before a reason that is left out may be missing (RFC 9112,
// section 4).
std::optional<LineProblem> CheckStatusLine(std::string_view line);
std::optional<LineProblem> CheckHeaderLine(std::string_view line);

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_HEAD_GRAMMAR_H_
