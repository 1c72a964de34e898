// Finds out whether the process of a backend server lives: asks who listens at
// its address, and if there is no answer, whether connections are refused.

#ifndef GENTIANLB_GATEWAY_SERVER_PROBER_H_
#define GENTIANLB_GATEWAY_SERVER_PROBER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "gateway/server_probe.h"
#include "loop/event_loop.h"
#include "tunnel/connector.h"

namespace gentianlb::gateway {

// Not thread-safe: used by the event loop's thread only.
class ServerProber {
 public:
  // `loop` must outlive this object.
  ServerProber(loop::EventLoop* loop, IdentityPort identities);
  ~ServerProber();  // Gives up without calls.
  ServerProber(const ServerProber&) = delete;
  ServerProber& operator=(const ServerProber&) = delete;

  // `service`: as in IdentityPort. Never calls `done` before it returns.
  // Returns an id.
  std::uint64_t Probe(const ServerEntry& server, const Service* service,
                      std::function<void(ServerProbe)> done);
  // Gives up without a call.
  void Cancel(std::uint64_t id);

 private:
  struct Running {
    settings::Endpoint address;
    std::function<void(ServerProbe)> done;
    std::uint64_t question = 0;
    std::unique_ptr<tunnel::Connector> connector;  // After no answer.
  };

  void OnAnswer(std::uint64_t id, ServerProbe probe);
  void OnConnected(std::uint64_t id, int socket, tunnel::ConnectResult result);
  void Finish(std::uint64_t id, ServerProbe probe);

  loop::EventLoop* const loop_;
  const IdentityPort identities_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, Running> running_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SERVER_PROBER_H_
