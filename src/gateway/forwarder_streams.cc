// The part of the forwarder that keeps a stream at the software version that
// began it.

#include <glog/logging.h>

#include <algorithm>

#include "gateway/forwarder.h"
#include "gateway/forwarder_internal.h"

namespace gentianlb::gateway {
namespace {

// Retry-After while the records of streams can't be read: a failed read is
// repeated within some hundred milliseconds.
constexpr absl::Duration kUnreadRetryAfter = absl::Seconds(1);

}  // namespace

void Forwarder::RecordVersion(Exchange& exchange) {
  if (streams_ == nullptr || !exchange.safe_to_retry()) return;
  if (exchange.stream_version.empty()) {
    exchange.stream_version = exchange.attempt.server->version;
  }
  if (exchange.stream_version.empty()) return;
  // A later attempt may have a later deadline.
  streams_->OnBegin(exchange.service->id, exchange.stream(),
                    exchange.stream_version, exchange.arrival + kMaxStreamLife);
}

void Forwarder::FindVersion(Exchange& exchange) {
  exchange.finds_version = true;
  streams_->Find(exchange.service->id, exchange.stream(), kMaxStreamLife,
                 [this, id = exchange.id](const StreamFinding& finding) {
                   Exchange* found = Find(id);
                   if (found != nullptr) OnVersionFound(*found, finding);
                 });
}

void Forwarder::OnVersionFound(Exchange& exchange,
                               const StreamFinding& finding) {
  exchange.finds_version = false;
  if (finding.may_be_recorded) {
    return Refuse(exchange,
                  {Code::kPlatformUnavailable,
                   "the records of streams could not be read"},
                  kUnreadRetryAfter);
  }
  if (!finding.version) return RefuseStream(exchange);
  exchange.stream_version = *finding.version;
  if (rollouts_ != nullptr) {
    exchange.pool =
        rollouts_->PoolOfVersion(exchange.service->id, *finding.version);
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
  const bool version_known = !exchange.stream_version.empty();
  if (version_known && !directory_->IsSettled(clock_())) {
    return Refuse(
        exchange,
        {Code::kNoServer, "servers of its version may not be registered yet"},
        kShortRetryAfter);
  }
  const std::string version =
      version_known ? exchange.stream_version : "an unknown version";
  Refuse(exchange, {Code::kNoServerOfVersion, "the stream began at " + version},
         exchange.deadline - clock_());
}

}  // namespace gentianlb::gateway
