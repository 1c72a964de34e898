// An HTTP/1.1 server on an event loop. The handler gets complete requests and
// may respond later, on the same thread, with a complete body or a stream.
//
// At its limit a server accepts no connection, so that callers who never
// complete a request would shut out others. As the limit comes near, it evicts
// the connections for whose message it has waited longest.

#ifndef GENTIANLB_HTTP_LOOP_SERVER_H_
#define GENTIANLB_HTTP_LOOP_SERVER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/byte_budget.h"
#include "base/result.h"
#include "http/loop_connection.h"
#include "http/server_limits.h"
#include "loop/event_loop.h"

namespace gentianlb::http {

struct LoopServerSettings {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: the kernel chooses a port.
  ServerLimits limits;
  // Counts requests, heads too, and what callers have yet to read. Null: they
  // are not counted.
  std::shared_ptr<ByteBudget> budget;
};

// Not thread-safe.
class LoopServer {
 public:
  // A connection of which the server has waited for so long for the rest of a
  // message, or for a next one, may be evicted.
  static constexpr absl::Duration kMinWait = absl::Seconds(1);

  // `loop` must outlive the server. `handler` must not block.
  static Outcome<std::unique_ptr<LoopServer>> Start(
      loop::EventLoop* loop, const LoopServerSettings& settings,
      RequestHandler handler);
  // Closes all connections.
  ~LoopServer();
  LoopServer(const LoopServer&) = delete;
  LoopServer& operator=(const LoopServer&) = delete;

  std::uint16_t port() const { return port_; }

  // Stops accepting connections; open connections continue. New ones are
  // refused at once: an open socket would keep queueing callers that are never
  // accepted.
  void StopAccepting();

  // Sets the time without progress after which a connection is closed, also for
  // open ones.
  void SetIdleTimeout(absl::Duration timeout);
  // The same for connections without a response in progress alone: a caller
  // that reads slowly must not lose the rest of its response.
  void SetKeepAliveTimeout(absl::Duration timeout);
  // Sets the limit of the heads of requests that begin from now on.
  void SetMaxHeaderBytes(std::size_t bytes);

  // Returns the number of requests whose response has not been sent whole.
  std::size_t open_responses() const { return state_.open_responses; }
  std::size_t open_connections() const { return connections_.size(); }
  // Returns the number of connections that were closed, as others came while
  // their messages weren't complete.
  std::uint64_t evicted_connections() const { return evicted_; }

 private:
  LoopServer(loop::EventLoop* loop, const LoopServerSettings& settings,
             RequestHandler handler);

  // Returns false if the address can't be listened on.
  bool Listen(const LoopServerSettings& settings);
  void WatchListener();
  void UnwatchListener();
  void Accept();
  void OnClosed(LoopConnection* connection);
  void Sweep();
  // Evicts connections until there is room for some more.
  void Relieve();
  std::shared_ptr<LoopConnection> FindLongestWaiting() const;
  // Returns the connections that count against the limit.
  std::size_t places_taken() const {
    return connections_.size() - state_.lingering;
  }

  // Of the connections that are accepted, one in so many is kept free.
  static constexpr std::size_t kSparePart = 32;

  LoopServerState state_;
  const std::size_t max_connections_;
  const std::size_t evicts_above_;
  absl::Duration keep_alive_timeout_;
  absl::Duration stall_timeout_;  // While a response is in progress.
  int listener_ = -1;
  bool listener_watched_ = false;
  std::uint16_t port_ = 0;
  TimerId sweep_timer_ = 0;
  std::uint64_t evicted_ = 0;
  absl::flat_hash_map<LoopConnection*, std::shared_ptr<LoopConnection>>
      connections_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_LOOP_SERVER_H_
