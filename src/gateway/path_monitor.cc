#include "gateway/path_monitor.h"

#include <unistd.h>

#include <utility>

namespace gentianlb::gateway {
namespace {

constexpr absl::Duration kProbeInterval = absl::Milliseconds(250);
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(250);

}  // namespace

PathMonitor::PathMonitor(loop::EventLoop* loop, const Directory* directory,
                         const ServerCooldowns* cooldowns, ServerPaths* paths)
    : loop_(loop),
      directory_(directory),
      cooldowns_(cooldowns),
      paths_(paths) {}

PathMonitor::~PathMonitor() { loop_->timers().Cancel(probe_timer_); }

Outcome<std::unique_ptr<PathMonitor>> PathMonitor::Start(
    const settings::Endpoint& address, loop::EventLoop* loop,
    const Directory* directory, const ServerCooldowns* cooldowns,
    ServerPaths* paths, tunnel::ConfirmEndOf confirm_end_of) {
  std::unique_ptr<PathMonitor> monitor(
      new PathMonitor(loop, directory, cooldowns, paths));
  PathMonitor* self = monitor.get();
  auto tunnels = tunnel::TunnelServer::Start(
      loop, address,
      {.is_allowed =
           [self](const settings::Endpoint& server) {
             return self->MayTunnel(server);
           },
       .on_connect =
           [self](const settings::Endpoint& server, bool connected) {
             self->RecordConnect(server, connected);
           },
       .confirm_end_of = std::move(confirm_end_of)});
  if (!tunnels.ok()) return tunnels.error();
  self->tunnels_ = std::move(tunnels.value());
  self->probe_timer_ =
      loop->timers().Every(loop->now() + kProbeInterval, kProbeInterval,
                           [self](absl::Time now) { self->StartProbes(now); });
  return monitor;
}

bool PathMonitor::MayTunnel(const settings::Endpoint& address) const {
  const ServerEntry* server = directory_->FindByAddress(address);
  if (server == nullptr || !paths_->IsDirectOpen(server->id)) return false;
  // The request would reach the server from this host.
  return cooldowns_->Left(server->id, loop_->now()) <= absl::ZeroDuration();
}

void PathMonitor::RecordConnect(const settings::Endpoint& address,
                                bool connected) {
  const ServerEntry* server = directory_->FindByAddress(address);
  if (server == nullptr) return;
  const absl::Time now = loop_->now();
  if (connected) return paths_->OnReached(server->id, ServerPath{}, now, now);
  paths_->OnUnreachable(server->id, ServerPath{}, now);
}

void PathMonitor::StartProbes(absl::Time now) {
  for (const ServerId& id : paths_->TakeDueProbes(now)) {
    const ServerEntry* server = directory_->Find(id);
    if (server != nullptr && !probes_.contains(id)) Probe(*server, now);
  }
}

void PathMonitor::Probe(const ServerEntry& server, absl::Time now) {
  probes_[server.id] = std::make_unique<tunnel::Connector>(
      loop_, server.address, kProbeTimeout,
      [this, id = server.id, now](int socket, tunnel::ConnectResult) {
        if (socket >= 0) close(socket);
        RecordProbe(id, now, socket >= 0);
      });
}

void PathMonitor::RecordProbe(const ServerId& server, absl::Time started,
                              bool connected) {
  probes_.erase(server);
  const absl::Time now = loop_->now();
  if (connected) {
    return paths_->OnReached(server, ServerPath{}, started, now);
  }
  paths_->OnUnreachable(server, ServerPath{}, now);
}

}  // namespace gentianlb::gateway
