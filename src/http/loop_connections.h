// Connections of callers on an event loop: which are open, and whose caller has
// gone. libmicrohttpd doesn't look at a connection while its answer is awaited,
// so without this a server would go on computing for nobody until the answer's
// first byte fails to be sent.

#ifndef GENTIANLB_HTTP_LOOP_CONNECTIONS_H_
#define GENTIANLB_HTTP_LOOP_CONNECTIONS_H_

#include <microhttpd.h>

#include <memory>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "http/answer.h"
#include "loop/event_loop.h"

namespace gentianlb::http {

class LoopConnections {
 public:
  LoopConnections(loop::EventLoop* loop, absl::Duration idle_timeout)
      : loop_(loop), idle_timeout_(idle_timeout) {}

  void Opened(MHD_Connection* connection);
  void Closed(MHD_Connection* connection);

  // The answer that is awaited on the connection now. False when its caller has
  // left already.
  bool Awaits(MHD_Connection* connection,
              const std::shared_ptr<Answer>& answer);

  // Also for those that are open already.
  void SetIdleTimeout(absl::Duration timeout);

  std::size_t size() const { return links_.size(); }

 private:
  struct Link {
    int descriptor = -1;
    bool caller_left = false;
    std::weak_ptr<Answer> answer;
  };

  void ApplyTimeout(MHD_Connection* connection) const;
  void CallerLeft(MHD_Connection* connection);

  loop::EventLoop* const loop_;
  absl::Duration idle_timeout_;
  absl::flat_hash_map<MHD_Connection*, Link> links_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_LOOP_CONNECTIONS_H_
