// Reads the bytes of one request. Without network or clock.

#ifndef GENTIANLB_HTTP_REQUEST_PARSER_H_
#define GENTIANLB_HTTP_REQUEST_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

#include "base/result.h"
#include "http/messages.h"
#include "http/server_limits.h"

namespace gentianlb::http {

class RequestParser : private boost::beast::http::basic_parser<true> {
 public:
  // `on_body` gets the bytes of the body, in order.
  RequestParser(const ServerLimits& limits,
                std::function<void(std::string_view)> on_body);

  // Reads from the front of `bytes` and returns how many were read. The others
  // must come again, followed by those that arrive next. None may come once the
  // request is complete or invalid.
  std::size_t Read(std::string_view bytes);

  bool has_head() const { return has_head_; }
  bool complete() const { return complete_; }
  // Returns why the request is invalid, or exceeds a limit; none: it may go on.
  const std::optional<Error>& problem() const { return problem_; }

  // Without the body. Complete once has_head(); may be moved from.
  Request& request() { return request_; }
  // Returns whether the version of the caller's protocol has chunked bodies and
  // interim responses.
  bool accepts_chunks() const { return accepts_chunks_; }
  // Returns whether the caller keeps the connection. Requires has_head().
  bool keeps_connection() const { return keep_alive(); }
  // Returns whether the caller waits for an interim response before it sends
  // the body.
  bool expects_continue() const;

 private:
  using View = boost::beast::string_view;
  using ErrorCode = boost::beast::error_code;

  void on_request_impl(boost::beast::http::verb verb, View method, View target,
                       int version, ErrorCode& error) override;
  void on_response_impl(int status, View reason, int version,
                        ErrorCode& error) override;
  void on_field_impl(boost::beast::http::field field, View name, View value,
                     ErrorCode& error) override;
  void on_header_impl(ErrorCode& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         ErrorCode& error) override;
  std::size_t on_body_impl(View body, ErrorCode& error) override;
  void on_chunk_header_impl(std::uint64_t size, View extensions,
                            ErrorCode& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t rest, View body,
                                 ErrorCode& error) override;
  void on_finish_impl(ErrorCode& error) override;

  // Ends the reading.
  void RefuseHead(const char* what, std::size_t most, ErrorCode& error);
  Error ProblemOf(const ErrorCode& error) const;

  const std::size_t max_header_bytes_;
  const std::size_t max_header_lines_;
  const std::function<void(std::string_view)> on_body_;
  Request request_;
  std::size_t header_bytes_ = 0;
  bool accepts_chunks_ = false;
  bool has_head_ = false;
  bool complete_ = false;
  std::optional<Error> problem_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_REQUEST_PARSER_H_
