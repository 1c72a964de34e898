// Tracks the callers' connections of a server on an event loop and detects
// callers that disconnect. libmicrohttpd doesn't check a connection whose
// response is pending, so a backend server would compute for a disconnected
// caller until sending the first byte of the response fails.

#ifndef GENTIANLB_HTTP_LOOP_CONNECTIONS_H_
#define GENTIANLB_HTTP_LOOP_CONNECTIONS_H_

#include <microhttpd.h>

#include <memory>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "http/pending_response.h"
#include "loop/event_loop.h"

namespace gentianlb::http {

class LoopConnections {
 public:
  LoopConnections(loop::EventLoop* loop, absl::Duration idle_timeout)
      : loop_(loop),
        keep_alive_timeout_(idle_timeout),
        stall_timeout_(idle_timeout) {}

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

  std::size_t size() const { return connections_.size(); }

 private:
  struct Connection {
    int descriptor = -1;
    bool caller_disconnected = false;
    bool responding = false;
    std::weak_ptr<PendingResponse> response;
  };

  void ApplyTimeouts() const;
  void ApplyTimeout(MHD_Connection* connection, const Connection& state) const;
  void OnCallerDisconnect(MHD_Connection* connection);

  loop::EventLoop* const loop_;
  absl::Duration keep_alive_timeout_;
  absl::Duration stall_timeout_;  // While a response is in progress.
  absl::flat_hash_map<MHD_Connection*, Connection> connections_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_LOOP_CONNECTIONS_H_
