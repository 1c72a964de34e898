// Keeps this host's paths to the backend servers up to date on the network:
// probes lost direct paths, and tunnels connections of peers that lost theirs.

#ifndef GENTIANLB_GATEWAY_PATH_MONITOR_H_
#define GENTIANLB_GATEWAY_PATH_MONITOR_H_

#include <map>
#include <memory>

#include "base/result.h"
#include "gateway/directory.h"
#include "gateway/server_cooldowns.h"
#include "gateway/server_paths.h"
#include "loop/event_loop.h"
#include "settings/units.h"
#include "tunnel/connector.h"
#include "tunnel/tunnel_server.h"

namespace gentianlb::gateway {

// Not thread-safe: used by the event loop's thread only.
class PathMonitor {
 public:
  // Accepts connections of peers on `address`. The pointers must outlive the
  // monitor. `confirm_end_of`: as in tunnel::TunnelHooks.
  static Outcome<std::unique_ptr<PathMonitor>> Start(
      const settings::Endpoint& address, loop::EventLoop* loop,
      const Directory* directory, const ServerCooldowns* cooldowns,
      ServerPaths* paths, tunnel::ConfirmEndOf confirm_end_of = {});
  ~PathMonitor();
  PathMonitor(const PathMonitor&) = delete;
  PathMonitor& operator=(const PathMonitor&) = delete;

  // Accepts no new connections of peers; tunnels in progress go on.
  void Drain() { tunnels_->StopAccepting(); }

  const tunnel::TunnelServer& tunnels() const { return *tunnels_; }

 private:
  PathMonitor(loop::EventLoop* loop, const Directory* directory,
              const ServerCooldowns* cooldowns, ServerPaths* paths);

  bool MayTunnel(const settings::Endpoint& address) const;
  void RecordConnect(const settings::Endpoint& address, bool connected);
  void StartProbes(absl::Time now);
  void Probe(const ServerEntry& server, absl::Time now);
  void RecordProbe(const ServerId& server, absl::Time started, bool connected);

  loop::EventLoop* const loop_;
  const Directory* const directory_;
  const ServerCooldowns* const cooldowns_;
  ServerPaths* const paths_;
  std::unique_ptr<tunnel::TunnelServer> tunnels_;
  std::map<ServerId, std::unique_ptr<tunnel::Connector>> probes_;
  TimerId probe_timer_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_PATH_MONITOR_H_
