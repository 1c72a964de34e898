// Accepts connections of peers that have lost their paths to backend servers,
// and tunnels them to the servers that this host reaches.

#ifndef GENTIANLB_TUNNEL_TUNNEL_SERVER_H_
#define GENTIANLB_TUNNEL_TUNNEL_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "base/result.h"
#include "loop/event_loop.h"
#include "settings/units.h"
#include "tunnel/tunnel.h"

namespace gentianlb::tunnel {

struct TunnelServerHooks {
  // As in TunnelHooks.
  std::function<bool(const settings::Endpoint& server)> is_allowed;
  std::function<void(const settings::Endpoint& server, bool connected)>
      on_connect;
  ConfirmEndOf confirm_end_of = {};
};

// Not thread-safe: used by the event loop's thread only.
class TunnelServer {
 public:
  // Listens on `address`; port 0 picks one. `loop` must outlive this object.
  static Outcome<std::unique_ptr<TunnelServer>> Start(
      loop::EventLoop* loop, const settings::Endpoint& address,
      TunnelServerHooks hooks);
  ~TunnelServer();
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  // Refuses new connections; tunnels in progress go on.
  void StopAccepting();

  std::uint16_t port() const { return port_; }
  std::size_t open_tunnels() const { return tunnels_.size(); }
  // Number of tunnels opened so far.
  std::uint64_t tunnels_opened() const { return next_id_ - 1; }

 private:
  TunnelServer(loop::EventLoop* loop, int listener, std::uint16_t port,
               TunnelServerHooks hooks);
  void Accept();
  void Open(int peer);

  loop::EventLoop* const loop_;
  int listener_;
  const std::uint16_t port_;
  const TunnelServerHooks hooks_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, std::unique_ptr<Tunnel>> tunnels_;
  // Expires with this object; deferred closures check it.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::tunnel

#endif  // GENTIANLB_TUNNEL_TUNNEL_SERVER_H_
