// HTTP requests, and how they are answered, without a transport.

#ifndef GENTIANLB_HTTP_MESSAGES_H_
#define GENTIANLB_HTTP_MESSAGES_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/byte_budget.h"
#include "base/result.h"

namespace gentianlb::http {

// Header names are case-insensitive.
struct Header {
  std::string name;
  std::string value;
  auto operator<=>(const Header&) const = default;
};

// Returns whether two header names are equal, ignoring case.
bool SameName(std::string_view a, std::string_view b);

// Returns the value of the first header called `name`, or an empty string.
std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name);

// Returns the bytes that headers have allocated.
std::size_t AllocatedHeaderBytes(const std::vector<Header>& headers);

struct Request {
  std::string method;
  std::string path;    // Decoded, without the query.
  std::string query;   // As sent, without the question mark.
  std::string target;  // Path and query, byte for byte as sent.
  std::vector<Header> headers;
  std::string body;
  // What headers and body take of the server's budget; null: they aren't
  // counted.
  std::shared_ptr<HeldBytes> held;

  std::string_view header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  // Returns the value of the query argument `name` as sent, or an empty string.
  std::string_view argument(std::string_view name) const;
  bool operator==(const Request&) const = default;
};

// Returns `path` with all characters that a path may not contain
// percent-encoded.
std::string EncodePath(std::string_view path);

// Returns `value` percent-encoded for use as the value of a query argument.
std::string EncodeArgument(std::string_view value);

// Sends the response to one request. Thread-safe. Destroying it before the
// response is complete aborts the connection, so that a caller never mistakes a
// truncated response for a complete one.
class Responder {
 public:
  virtual ~Responder() = default;

  // Sends a complete response. Excludes the streaming functions below.
  virtual void Respond(int status, std::vector<Header> headers,
                       std::string body) = 0;

  // Sends a streamed response: Begin() once, Write() any number of times, then
  // Finish(), or Abort(), which closes the connection so that the caller sees
  // the failure.
  virtual void Begin(int status, std::vector<Header> headers) = 0;
  virtual void Write(std::string_view bytes) = 0;
  virtual void Finish() = 0;
  virtual void Abort() = 0;

  // Calls `callback` once, from a server thread, when the caller closes the
  // connection before the response is complete.
  virtual void OnDisconnect(std::function<void()> callback) = 0;

  // Returns the number of bytes written but not yet read by the connection.
  virtual std::size_t Backlog() const = 0;

  // Returns for how long the caller has acknowledged nothing of what the
  // connection has sent. Zero if it has, if nothing waits for it, or if that is
  // not known, as without an event loop.
  virtual absl::Duration UnacknowledgedFor() const = 0;
};

// Returns the `application/problem+json` body of a refusal.
std::string ProblemBody(const Error& error);

// Responds with a refusal. A positive `retry_after` is sent in whole seconds,
// rounded up.
void RespondProblem(Responder& responder, const Error& error,
                    absl::Duration retry_after = absl::ZeroDuration());

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_MESSAGES_H_
