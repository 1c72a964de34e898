// An HTTP/1.1 server over libmicrohttpd. The handler gets complete requests and
// may respond later, from another thread, with a complete body or a stream.

#ifndef GENTIANLB_HTTP_SERVER_H_
#define GENTIANLB_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "base/byte_budget.h"
#include "base/result.h"
#include "http/messages.h"
#include "loop/event_loop.h"

namespace gentianlb::http {

// Limits of the server. A message that exceeds one gets a numbered error.
struct ServerLimits {
  std::size_t max_body_bytes = 8 << 20;
  std::size_t max_header_bytes = 32 << 10;
  absl::Duration idle_timeout = absl::Seconds(30);
  unsigned max_connections = 4096;
  // What the kernel takes of a caller's bytes before the server reads them; 0:
  // as the kernel chooses.
  int receive_buffer_bytes = 0;
  unsigned threads = 2;  // Without an event loop.
};

struct ServerSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: the kernel chooses a port.
  ServerLimits limits;
  std::string certificate_pem;  // TLS when both are set.
  std::string private_key_pem;
  // Counts the bodies of requests and what callers have yet to read; requires a
  // loop. Null: they are not counted.
  std::shared_ptr<ByteBudget> budget;
  // When set, the server runs on this loop, which must outlive it, and also
  // detects callers that disconnect while their response is pending.
  loop::EventLoop* loop = nullptr;
};

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
  // The same for connections without a response in progress alone.
  void SetKeepAliveTimeout(absl::Duration timeout);

  // Returns the number of requests whose response has not been sent whole. Safe
  // on any thread.
  std::size_t open_responses() const;

  // Returns the number of connections that were closed, as others came while
  // their messages weren't complete. Requires an event loop; 0 without.
  std::uint64_t evicted_connections() const;

  // Returns the number of open connections. Requires an event loop; 0 without.
  std::size_t open_connections() const;

  struct Impl;  // Defined in server.cc.

 private:
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_SERVER_H_
