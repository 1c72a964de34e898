// Tracks the callers' connections of a server on an event loop, detects callers
// that disconnect, and evicts connections as their limit comes near.
//
// libmicrohttpd doesn't check a connection whose response is pending, so a
// backend server would compute for a disconnected caller until sending the
// first byte of the response fails. At its limit libmicrohttpd accepts no
// connection, so callers that never complete a request would shut out others.

#ifndef GENTIANLB_HTTP_LOOP_CONNECTIONS_H_
#define GENTIANLB_HTTP_LOOP_CONNECTIONS_H_

#include <microhttpd.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "http/pending_response.h"
#include "loop/event_loop.h"

namespace gentianlb::http {

class LoopConnections {
 public:
  // A connection of which the server has waited for so long for the rest of a
  // message, or for a next one, may be evicted.
  static constexpr absl::Duration kMinWait = absl::Seconds(1);

  // The server accepts up to `max_connections`.
  LoopConnections(loop::EventLoop* loop, absl::Duration idle_timeout,
                  std::size_t max_connections)
      : loop_(loop),
        keep_alive_timeout_(idle_timeout),
        stall_timeout_(idle_timeout),
        evicts_above_(max_connections -
                      std::max<std::size_t>(1, max_connections / kSparePart)) {}

  void OnOpened(MHD_Connection* connection);
  void OnClosed(MHD_Connection* connection);

  // Sets the response that is pending on `connection`. Returns false if the
  // caller has already disconnected.
  bool SetPendingResponse(MHD_Connection* connection,
                          const std::shared_ptr<PendingResponse>& response);

  // Records that the whole request has been read, or that the response has
  // ended.
  void SetResponding(MHD_Connection* connection, bool responding);

  // Sets the time without progress after which a connection is closed. Applies
  // to open connections and to new ones.
  void SetIdleTimeout(absl::Duration timeout);
  // Sets it only for connections without a response in progress: a caller that
  // reads slowly must not lose the rest of its response.
  void SetKeepAliveTimeout(absl::Duration timeout);

  // Evicts connections until there is room for some more, those first for whose
  // message the server has waited longest. Never one whose response is pending.
  // An evicted connection ends at the server's next run.
  void Relieve();
  // Returns whether the connection was evicted: its message must not go on.
  bool IsEvicted(MHD_Connection* connection) const;

  std::size_t size() const { return connections_.size(); }
  // Returns the number of evicted connections that are still open.
  std::size_t evicting() const { return evicting_; }
  // Returns the number of connections evicted so far.
  std::uint64_t evicted() const { return evicted_; }

 private:
  // Of the connections that are accepted, one in so many is kept free.
  static constexpr std::size_t kSparePart = 32;

  struct Connection {
    int descriptor = -1;
    absl::Time waits_since;  // For the end of a message.
    bool caller_disconnected = false;
    bool responding = false;
    bool evicted = false;
    std::weak_ptr<PendingResponse> response;
  };

  void ApplyTimeouts() const;
  void ApplyTimeout(MHD_Connection* connection, const Connection& state) const;
  void OnCallerDisconnect(MHD_Connection* connection);
  // Returns null if none may be evicted.
  Connection* FindLongestWaiting();

  loop::EventLoop* const loop_;
  absl::Duration keep_alive_timeout_;
  absl::Duration stall_timeout_;  // While a response is in progress.
  const std::size_t evicts_above_;
  std::size_t evicting_ = 0;  // Evicted and still open.
  std::uint64_t evicted_ = 0;
  absl::flat_hash_map<MHD_Connection*, Connection> connections_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_LOOP_CONNECTIONS_H_
