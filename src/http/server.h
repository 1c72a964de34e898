// An HTTP/1.1 server over libmicrohttpd. A request is handed over whole; its
// answer may come later, from another thread, whole or as a stream.

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

// Header names are compared without case.
struct Header {
  std::string name;
  std::string value;
  auto operator<=>(const Header&) const = default;
};

// Whether two header names are the same.
bool SameName(std::string_view a, std::string_view b);

// The value of the first header called `name`, or empty.
std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name);

struct Request {
  std::string method;
  std::string path;    // Decoded, without the query.
  std::string query;   // As it was sent, without the question mark.
  std::string target;  // Path and query byte for byte as they were sent.
  std::vector<Header> headers;
  std::string body;

  std::string_view header(std::string_view name) const {
    return FindHeader(headers, name);
  }
  // The value of the query's argument `name` as it was sent, or empty.
  std::string_view argument(std::string_view name) const;
  bool operator==(const Request&) const = default;
};

// `path` with all but the characters that a path may hold percent-encoded.
std::string EncodePath(std::string_view path);

// `value` so that it may stand as the value of a query's argument.
std::string EncodeArgument(std::string_view value);

// Takes the answer to one request. Thread-safe. Dropping the last reference
// before Finish() breaks the connection, so that a caller never takes a cut
// answer for a whole one.
class Responder {
 public:
  virtual ~Responder() = default;

  // Answers whole. Nothing else may be called before or after.
  virtual void Respond(int status, std::vector<Header> headers,
                       std::string body) = 0;

  // Answers as a stream: Begin() once, Write() any number of times, then
  // Finish(), or Abort() which breaks the connection visibly.
  virtual void Begin(int status, std::vector<Header> headers) = 0;
  virtual void Write(std::string_view bytes) = 0;
  virtual void Finish() = 0;
  virtual void Abort() = 0;

  // Calls `callback` once, from a server thread, when the caller closes the
  // connection before the answer is complete.
  virtual void OnDisconnect(std::function<void()> callback) = 0;

  // Bytes written and not yet taken by the caller's connection.
  virtual std::size_t Backlog() const = 0;
};

// Limits of every connection. A message beyond one gets a numbered error.
struct ServerLimits {
  std::size_t max_body_bytes = 8 << 20;
  std::size_t max_header_bytes = 32 << 10;
  absl::Duration idle_timeout = absl::Seconds(30);
  unsigned max_connections = 4096;
  unsigned threads = 2;  // Without an event loop.
};

struct ServerSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: the kernel picks one.
  ServerLimits limits;
  std::string certificate_pem;  // TLS when both are set.
  std::string private_key_pem;
  // When set, everything runs on this loop, which outlives the server, and a
  // caller that leaves is noticed also while its answer is awaited.
  loop::EventLoop* loop = nullptr;
};

// `application/problem+json` for a refusal: code, title, detail, run.
std::string ProblemBody(const Error& error);

// Answers with a refusal; `retry_after` in whole seconds, rounded up, is sent
// when positive.
void RespondProblem(Responder& responder, const Error& error,
                    absl::Duration retry_after = absl::ZeroDuration());

class Server {
 public:
  using Handler =
      std::function<void(Request request, std::shared_ptr<Responder> answer)>;

  // `handler` runs on a server thread and must not block.
  static Outcome<std::unique_ptr<Server>> Start(const ServerSettings& settings,
                                                Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const;

  // Takes no new connection; those that are open go on.
  void StopAccepting();

  // From now on a connection without a request is closed after this long.
  // With an event loop only.
  void SetIdleTimeout(absl::Duration timeout);

  // Connections of callers that are open. With an event loop only.
  std::size_t open_connections() const;

  struct Impl;  // Defined in server.cc.

 private:
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_SERVER_H_
