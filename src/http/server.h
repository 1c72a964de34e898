// An HTTP/1.1 server over libmicrohttpd, with threads of its own and TLS. The
// handler gets complete requests and may respond later, from another thread,
// with a complete body or a stream.

#ifndef GENTIANLB_HTTP_SERVER_H_
#define GENTIANLB_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "http/messages.h"
#include "http/server_limits.h"

namespace gentianlb::http {

struct ServerSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: the kernel chooses a port.
  ServerLimits limits;
  unsigned threads = 2;
  std::string certificate_pem;  // TLS when both are set.
  std::string private_key_pem;
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

  // Returns the number of requests whose response has not been sent whole. Safe
  // on any thread.
  std::size_t open_responses() const;

  struct Impl;  // Defined in server.cc.

 private:
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_SERVER_H_
