#include "http/request_parser.h"

#include <cstdint>
#include <string>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace gentianlb::http {
namespace {

namespace beast = boost::beast;

// What a line has beside its name and value: a colon, a blank and its end.
constexpr std::size_t kLineOverhead = 4;

// Of a request line beside its target: method, version, blanks and end.
constexpr std::size_t kRequestLineOverhead = 64;

std::string_view ToView(beast::string_view text) {
  return {text.data(), text.size()};
}

int HexDigit(char c) {
  if (absl::ascii_isdigit(c)) return c - '0';
  return absl::ascii_tolower(c) - 'a' + 10;
}

// Returns `path` with each %XX replaced by the byte that it stands for.
std::string DecodePath(std::string_view path) {
  std::string decoded;
  decoded.reserve(path.size());
  for (std::size_t i = 0; i < path.size(); ++i) {
    const bool is_escape = path[i] == '%' && i + 2 < path.size() &&
                           absl::ascii_isxdigit(path[i + 1]) &&
                           absl::ascii_isxdigit(path[i + 2]);
    if (!is_escape) {
      decoded += path[i];
      continue;
    }
    decoded +=
        static_cast<char>(HexDigit(path[i + 1]) << 4 | HexDigit(path[i + 2]));
    i += 2;
  }
  return decoded;
}

}  // namespace

RequestParser::RequestParser(const ServerLimits& limits,
                             std::function<void(std::string_view)> on_body)
    : max_header_bytes_(limits.max_header_bytes),
      max_header_lines_(limits.max_header_lines),
      on_body_(std::move(on_body)) {
  eager(true);
  body_limit(boost::none);
  // Lines may have more blanks than are counted.
  header_limit(
      static_cast<std::uint32_t>(2 * max_header_bytes_ + kRequestLineOverhead));
}

std::size_t RequestParser::Read(std::string_view bytes) {
  ErrorCode error;
  const std::size_t read =
      put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
  const bool waits = !error || error == beast::http::error::need_more;
  if (!waits && !problem_) problem_ = ProblemOf(error);
  // The head has a limit of its own; this is for the lines between chunks, and
  // for the trailer.
  const bool is_endless =
      has_head_ && !complete_ && bytes.size() - read > max_header_bytes_;
  if (is_endless && !problem_) {
    problem_ =
        Error{Code::kMalformedRequest, "a line between chunks has no end"};
  }
  return read;
}

Error RequestParser::ProblemOf(const ErrorCode& error) const {
  if (error == beast::http::error::header_limit) {
    return {Code::kHeaderTooLarge,
            absl::StrCat("at most ", max_header_bytes_, " bytes are taken")};
  }
  return {Code::kMalformedRequest, error.message()};
}

bool RequestParser::expects_continue() const {
  return accepts_chunks_ && SameName(request_.header("Expect"), "100-continue");
}

void RequestParser::RefuseHead(const char* what, std::size_t most,
                               ErrorCode& error) {
  problem_ = Error{Code::kHeaderTooLarge,
                   absl::StrCat("at most ", most, " ", what, " are taken")};
  error = beast::http::error::header_limit;
}

void RequestParser::on_request_impl(beast::http::verb /*verb*/, View method,
                                    View target, int version,
                                    ErrorCode& error) {
  constexpr int kHttp11 = 11;
  if (method.size() + target.size() >
      max_header_bytes_ + kRequestLineOverhead) {
    return RefuseHead("bytes of a request line", max_header_bytes_, error);
  }
  accepts_chunks_ = version >= kHttp11;
  request_.method = std::string(ToView(method));
  request_.target = std::string(ToView(target));
  const std::string_view whole = request_.target;
  const std::size_t question_mark = whole.find('?');
  request_.path = DecodePath(whole.substr(0, question_mark));
  if (question_mark == std::string_view::npos) return;
  request_.query = std::string(whole.substr(question_mark + 1));
}

void RequestParser::on_response_impl(int /*status*/, View /*reason*/,
                                     int /*version*/, ErrorCode& /*error*/) {}

void RequestParser::on_field_impl(beast::http::field /*field*/, View name,
                                  View value, ErrorCode& error) {
  if (has_head_) return;  // Lines of trailers are dropped.
  header_bytes_ += name.size() + value.size() + kLineOverhead;
  if (header_bytes_ > max_header_bytes_) {
    return RefuseHead("bytes of headers", max_header_bytes_, error);
  }
  if (request_.headers.size() == max_header_lines_) {
    return RefuseHead("header lines", max_header_lines_, error);
  }
  request_.headers.push_back(
      {std::string(ToView(name)), std::string(ToView(value))});
}

void RequestParser::on_header_impl(ErrorCode& /*error*/) { has_head_ = true; }

void RequestParser::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*length*/, ErrorCode& /*error*/) {}

std::size_t RequestParser::on_body_impl(View body, ErrorCode& /*error*/) {
  on_body_(ToView(body));
  return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*size*/,
                                         View /*extensions*/,
                                         ErrorCode& /*error*/) {}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*rest*/, View body,
                                              ErrorCode& /*error*/) {
  on_body_(ToView(body));
  return body.size();
}

void RequestParser::on_finish_impl(ErrorCode& /*error*/) { complete_ = true; }

}  // namespace gentianlb::http
