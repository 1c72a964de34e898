// Connects to backend servers to learn whether their processes live. The
// connections are closed without a request.

#ifndef GENTIANLB_GATEWAY_SERVER_PROBER_H_
#define GENTIANLB_GATEWAY_SERVER_PROBER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "gateway/end_confirmation.h"
#include "loop/event_loop.h"
#include "settings/units.h"
#include "tunnel/connector.h"

namespace gentianlb::gateway {

// Not thread-safe: used by the event loop's thread only.
class ServerProber {
 public:
  // `loop` must outlive this object.
  explicit ServerProber(loop::EventLoop* loop) : loop_(loop) {}
  ServerProber(const ServerProber&) = delete;
  ServerProber& operator=(const ServerProber&) = delete;

  // Never calls `done` before it returns. Returns an id.
  std::uint64_t Probe(const settings::Endpoint& server,
                      std::function<void(ServerProbe)> done);
  // Gives up without a call.
  void Cancel(std::uint64_t id) { connectors_.erase(id); }

 private:
  loop::EventLoop* const loop_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, std::unique_ptr<tunnel::Connector>> connectors_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SERVER_PROBER_H_
