// Makes one TCP connection without blocking.

#ifndef GENTIANLB_TUNNEL_CONNECTOR_H_
#define GENTIANLB_TUNNEL_CONNECTOR_H_

#include <functional>

#include "absl/time/time.h"
#include "loop/event_loop.h"
#include "settings/units.h"

namespace gentianlb::tunnel {

// kRefused: the machine answered that nothing listens there. kUnanswered: there
// was no answer in time, or the network has no way to the machine.
enum class ConnectResult { kConnected, kRefused, kUnanswered };

// Not thread-safe: used by the event loop's thread only.
class Connector {
 public:
  // Called once, never from the constructor. `socket` is -1 unless connected,
  // else it belongs to the callee.
  using Done = std::function<void(int socket, ConnectResult result)>;

  // `loop` must outlive this object.
  Connector(loop::EventLoop* loop, const settings::Endpoint& to,
            absl::Duration timeout, Done done);
  ~Connector();  // Gives up without a call.
  Connector(const Connector&) = delete;
  Connector& operator=(const Connector&) = delete;

 private:
  void OnWritable();
  void Finish(ConnectResult result);

  loop::EventLoop* const loop_;
  Done done_;
  int socket_ = -1;
  TimerId timer_ = 0;
};

}  // namespace gentianlb::tunnel

#endif  // GENTIANLB_TUNNEL_CONNECTOR_H_
