// An HTTP/1.1 server over libmicrohttpd. The handler gets complete requests and
// may respond later, from another thread, with a complete body or a stream.

#ifndef GENTIANLB_HTTP_SERVER_H_
#define GENTIANLB_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "base/result.h"
#include "loop/event_loop.h"

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

struct Request {
  std::string method;
  std::string path;    // Decoded, without the query.
  std::string query;   // As sent, without the question mark.
  std::string target;  // Path and query, byte for byte as sent.
  std::vector<Header> headers;
  std::string body;

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
};

// Limits of the server. A message that exceeds one gets a numbered error.
struct ServerLimits {
  std::size_t max_body_bytes = 8 << 20;
  std::size_t max_header_bytes = 32 << 10;
  absl::Duration idle_timeout = absl::Seconds(30);
  unsigned max_connections = 4096;
  unsigned threads = 2;  // Without an event loop.
};

struct ServerSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: the kernel chooses a port.
  ServerLimits limits;
  std::string certificate_pem;  // TLS when both are set.
  std::string private_key_pem;
  // When set, the server runs on this loop, which must outlive it, and also
  // detects callers that disconnect while their response is pending.
  loop::EventLoop* loop = nullptr;
};

// Returns the `application/problem+json` body of a refusal.
std::string ProblemBody(const Error& error);

// Responds with a refusal. A positive `retry_after` is sent in whole seconds,
// rounded up.
void RespondProblem(Responder& responder, const Error& error,
                    absl::Duration retry_after = absl::ZeroDuration());

class Server {
 public:
  using Handler = std::function<void(Request request,
                                     std::shared_ptr<Responder> responder)>;

  // `handler` runs on a server thread and must not block.
  static Outcome<std::unique_ptr<Server>> Start(const ServerSettings& settings,
                                                Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const;

  // Stops accepting connections; open connections continue.
  void StopAccepting();

  // Sets the time after which an idle connection is closed, also for open
  // connections. Requires an event loop.
  void SetIdleTimeout(absl::Duration timeout);

  // Returns the number of requests whose response has not been sent whole. Safe
  // on any thread.
  std::size_t open_responses() const;

  // Returns the number of open connections. Requires an event loop; 0 without.
  std::size_t open_connections() const;

  struct Impl;  // Defined in server.cc.

 private:
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_SERVER_H_
