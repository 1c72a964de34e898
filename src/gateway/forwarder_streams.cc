// The part of the forwarder that keeps a stream at the software version that
// began it.

#include <glog/logging.h>

#include <algorithm>

#include "gateway/forwarder.h"
#include "gateway/forwarder_internal.h"

namespace gentianlb::gateway {

void Forwarder::RecordVersion(Exchange& exchange) {
  if (streams_ == nullptr || !exchange.safe_to_retry()) return;
  if (exchange.stream_version.empty()) {
    exchange.stream_version = exchange.attempt.server->version;
  }
  if (exchange.stream_version.empty()) return;
  const absl::Duration life =
      std::min(exchange.request->time_left, kMaxStreamLife);
  streams_->OnBegin(exchange.service->id, exchange.stream(),
                    exchange.stream_version, exchange.arrival + life);
}

void Forwarder::FindVersion(Exchange& exchange) {
  exchange.finds_version = true;
  streams_->Find(exchange.service->id, exchange.stream(), kMaxStreamLife,
                 [this, id = exchange.id](const auto& version) {
                   Exchange* found = Find(id);
                   if (found != nullptr) OnVersionFound(*found, version);
                 });
}

void Forwarder::OnVersionFound(Exchange& exchange,
                               const std::optional<std::string>& version) {
  exchange.finds_version = false;
  if (!version) return RefuseStream(exchange);
  exchange.stream_version = *version;
  if (rollouts_ != nullptr) {
    exchange.pool = rollouts_->PoolOfVersion(exchange.service->id, *version);
    const bool may_send =
        rollouts_->MaySend(exchange.service->id, exchange.pool);
    if (!may_send) return RefuseStream(exchange);
  }
  if (!HasServerOfVersion(exchange)) return RefuseStream(exchange);
  Enqueue(exchange, ServerId());
}

bool Forwarder::HasServerOfVersion(Exchange& exchange) {
  const std::vector<ServerEntry>& servers = QueueOf(exchange.pool).servers();
  return std::any_of(servers.begin(), servers.end(),
                     [&](const ServerEntry& server) {
                       return !server.draining && exchange.Fits(server);
                     });
}

void Forwarder::RefuseStream(Exchange& exchange) {
  const std::string version = exchange.stream_version.empty()
                                  ? "an unknown version"
                                  : exchange.stream_version;
  Refuse(exchange, {Code::kNoServerOfVersion, "the stream began at " + version},
         exchange.deadline - clock_());
}

}  // namespace gentianlb::gateway
