// Reads the lines of one response: its interim heads, its head, and the trailer
// behind its body. A response outside the grammar of HTTP/1.1, or without a
// certain end, is none: nothing of it may be believed or passed on.

#ifndef GENTIANLB_HTTP_RESPONSE_HEAD_H_
#define GENTIANLB_HTTP_RESPONSE_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/head_grammar.h"
#include "http/messages.h"

namespace gentianlb::http {

// Why a response is invalid, and where it shows.
struct ResponseProblem {
  ResponseFault fault = ResponseFault::kStatusLine;
  std::string_view cause;  // For log lines; of static storage.
  std::size_t line = 0;    // Of the response, from 1; 0: no line alone.
  std::size_t at = 0;      // Bytes of the line before the first that is wrong.
  std::optional<unsigned char> byte;  // That one; none: the line ends there.
  bool operator==(const ResponseProblem&) const = default;
};

// Returns the problem as text: the cause, the byte in hexadecimal digits, and
// its place.
std::string ToText(const ResponseProblem& problem);

// Without network, clock or libcurl.
class ResponseHead {
 public:
  // A faulty server may write lines without end. Each short line of a head
  // takes some times its length.
  static constexpr std::size_t kMaxHeadLines = 512;
  static constexpr std::size_t kMaxHeadBytes = 64 << 10;
  static constexpr std::size_t kMaxTrailerBytes = 64 << 10;

  enum class Progress {
    kGoesOn,    // More lines may follow.
    kComplete,  // This line ends the head.
    kInvalid,   // The response is none. No line may follow.
  };

  // Reads the next line, with its end.
  Progress Read(std::string_view line);

  // Returns whether the head is complete.
  bool complete() const { return complete_; }
  // Returns the status once the head is complete.
  int status() const { return status_; }
  // Moves the headers out of the complete head.
  std::vector<Header> TakeHeaders() { return std::move(headers_); }
  // Returns the number of lines read.
  std::size_t lines() const { return lines_; }
  const std::optional<ResponseProblem>& problem() const { return problem_; }

 private:
  // `line` has no end in these.
  Progress ReadStatusLine(std::string_view line);
  Progress ReadHeaderLine(std::string_view line);
  Progress EndHead();
  Progress ReadTrailerLine(std::string_view line);
  Progress Refuse(ResponseFault fault, std::string_view cause);
  Progress Refuse(LineProblem problem, std::string_view line);

  std::vector<Header> headers_;     // Of the current head.
  bool ends_lines_by_crlf_ = true;  // In the current head.
  int status_ = 0;                  // Of the current head; 0: it has not begun.
  std::size_t lines_ = 0;           // Of the response.
  std::size_t head_bytes_ = 0;      // Of all heads of the response.
  std::size_t trailer_bytes_ = 0;
  bool complete_ = false;
  std::optional<ResponseProblem> problem_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_RESPONSE_HEAD_H_
