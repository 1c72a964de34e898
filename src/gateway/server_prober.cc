#include "gateway/server_prober.h"

#include <unistd.h>

#include <utility>

namespace gentianlb::gateway {
namespace {

// Shorter than TCP's first retransmission: waiting longer shows nothing more.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(150);

ServerProbe ProbeOf(tunnel::ConnectResult result) {
  switch (result) {
    case tunnel::ConnectResult::kConnected:
      return ServerProbe::kConnected;
    case tunnel::ConnectResult::kRefused:
      return ServerProbe::kRefused;
    case tunnel::ConnectResult::kUnanswered:
      return ServerProbe::kUnanswered;
  }
  return ServerProbe::kUnanswered;
}

}  // namespace

std::uint64_t ServerProber::Probe(const settings::Endpoint& server,
                                  std::function<void(ServerProbe)> done) {
  const std::uint64_t id = next_id_++;
  connectors_[id] = std::make_unique<tunnel::Connector>(
      loop_, server, kProbeTimeout,
      [this, id, done = std::move(done)](int socket,
                                         tunnel::ConnectResult result) {
        if (socket >= 0) close(socket);
        connectors_.erase(id);
        done(ProbeOf(result));
      });
  return id;
}

}  // namespace gentianlb::gateway
