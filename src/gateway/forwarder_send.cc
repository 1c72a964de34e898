// The part of the forwarder that sends requests to servers: it chooses the path
// and starts the transfer.

#include <glog/logging.h>

#include <utility>

#include "absl/strings/str_cat.h"
#include "gateway/forwarder.h"
#include "gateway/forwarder_internal.h"

namespace gentianlb::gateway {
namespace {

// The direct path, and peers in different places. If a third fails, the server
// is probably down.
constexpr int kMaxPaths = 3;

// A dispatcher that doesn't know that a server leaves learns it within a round
// trip; until then this pair of host and server is excluded.
constexpr absl::Duration kLeavingExclusion = absl::Seconds(1);

}  // namespace

// The server may have left after the decision, or a dispatcher on another host
// doesn't know yet. A server that is about to stop would abort the response.
const ServerEntry* Forwarder::FindGranted(const Exchange& exchange,
                                          const ServerId& server) {
  const ServerEntry* entry = QueueOf(exchange.pool).FindServer(server);
  if (entry == nullptr || entry->draining) return nullptr;
  return exchange.Fits(*entry) ? entry : nullptr;
}

bool Forwarder::IsWithheld(const ServerId& server) const {
  return cooldowns_.Left(server, clock_()) > absl::ZeroDuration() ||
         directory_->HasLeft(server);
}

void Forwarder::Withhold(Exchange& exchange, const ServerId& server) {
  const absl::Time now = clock_();
  const bool leaving = directory_->HasLeft(server);
  LOG(INFO) << "event=send-withheld request=" << exchange.request->id
            << " server=" << server
            << " cause=" << (leaving ? "leaving" : "cooldown")
            << " left_ms=" << Milliseconds(cooldowns_.Left(server, now));
  metrics_->CountWithheld();
  schedule::RequestFinished finished{exchange.attempt.dispatch_id,
                                     schedule::RequestOutcome::kWithheld};
  // The granted server comes first; others follow that the dispatcher may not
  // know of either.
  finished.cooldowns = {
      {server, leaving ? kLeavingExclusion : cooldowns_.Left(server, now)}};
  for (schedule::ServerCooldown& other : cooldowns_.Active(now)) {
    if (other.server != server) finished.cooldowns.push_back(std::move(other));
  }
  NotifyDispatcher(exchange.pool, finished);
}

bool Forwarder::SendOnBestPath(Exchange& exchange, const ServerEntry& server) {
  std::optional<ServerPath> path = ServerPath{};
  if (paths_ != nullptr) path = paths_->Choose(server, clock_());
  if (!path) {
    LOG(INFO) << "event=no-path request=" << exchange.request->id
              << " server=" << server.id
              << " failed_paths=" << exchange.attempt.failed_paths
              << " all_direct_lost=" << paths_->all_direct_lost();
    return false;
  }
  exchange.attempt.path = *std::move(path);
  Send(exchange, server);
  return true;
}

bool Forwarder::SendOnOtherPath(Exchange& exchange) {
  if (++exchange.attempt.failed_paths >= kMaxPaths) return false;
  if (exchange.deadline - clock_() < kMinTimeToRetry) return false;
  const bool allowed = rollouts_ == nullptr ||
                       rollouts_->MaySend(exchange.service->id, exchange.pool);
  const ServerEntry* server =
      FindGranted(exchange, exchange.attempt.server->id);
  if (!allowed || server == nullptr || IsWithheld(server->id)) return false;
  NotifyDispatcher(exchange.pool,
                   schedule::RequestDelayed{exchange.attempt.dispatch_id});
  return SendOnBestPath(exchange, *server);
}

std::string Forwarder::PartsText(const Exchange& exchange) {
  std::string text;
  for (const schedule::PromptPart& part : exchange.parts) {
    absl::StrAppend(&text, text.empty() ? "" : ",", absl::Hex(part.hash));
  }
  return text.empty() ? "-" : text;
}

void Forwarder::Send(Exchange& exchange, const ServerEntry& server) {
  // The only place at which a request goes to a server.
  if (!exchange.sends.MayBegin(exchange.safe_to_retry())) {
    return LogIgnored(exchange, "send");
  }
  exchange.sends.Begin();
  const absl::Time now = clock_();
  ++exchange.attempts;
  metrics_->CountSent(exchange.tier,
                      !server.zone.empty() && server.zone != options_.zone);
  exchange.quota_tokens = 0;  // From now on they are not refunded.
  exchange.retry_taken = false;
  exchange.attempt.server = server;
  exchange.attempt.sent_at = now;
  exchange.attempt.events_before = exchange.splitter.event_count();
  const bool new_connection = !connection_reuse_.MayReuse(server, now);
  LOG(INFO) << "event=sent request=" << exchange.request->id
            << " server=" << server.id
            << " address=" << settings::Format(server.address)
            << " zone=" << server.zone
            << " content=" << absl::StrCat(absl::Hex(exchange.content))
            << " parts=" << PartsText(exchange)
            << " peer=" << exchange.attempt.path.peer_name()
            << " sending=" << exchange.attempts
            << " once=" << !exchange.safe_to_retry()
            << " waited_ms=" << Milliseconds(now - exchange.arrival)
            << " left_ms=" << Milliseconds(exchange.deadline - now)
            << " version=" << exchange.index->configuration().version
            << " software=" << server.version
            << " after_event=" << exchange.splitter.last_event()
            << " new_connection=" << new_connection
            << " takes_up=" << exchange.request->first_attempt;
  ServerCall call;
  call.request = exchange.request;
  call.server = server;
  call.path = exchange.attempt.path;
  if (exchange.workspace != nullptr) call.workspace = exchange.workspace->id;
  call.time_left = exchange.deadline - now;
  call.last_event = exchange.splitter.last_event();
  call.new_connection = new_connection;
  call.may_send = [this, id = server.id] { return !IsWithheld(id); };
  const ExchangeId id = exchange.id;
  const SendId send = next_send_++;
  exchange.attempt.send = send;
  // Ignores callbacks of a sending that has ended.
  auto current = [this, id, send]() -> Exchange* {
    Exchange* found = Find(id);
    return found != nullptr && found->attempt.send == send ? found : nullptr;
  };
  CallSink sink;
  sink.on_first_byte = [current] {
    if (Exchange* found = current()) found->attempt.has_begun = true;
  };
  sink.on_head = [this, current](ResponseHead head) {
    Exchange* found = current();
    return found == nullptr ? http::ReadAction::kStop
                            : OnHead(*found, std::move(head));
  };
  sink.on_data = [this, current](std::string_view bytes) {
    if (Exchange* found = current()) OnBytes(*found, bytes);
  };
  sink.on_end = [this, current](http::TransferEnd end, std::string detail) {
    if (Exchange* found = current()) OnTransferEnd(*found, end, detail);
  };
  exchange.attempt.transfer = servers_.send(std::move(call), std::move(sink));
  ++running_[server.id];
}

}  // namespace gentianlb::gateway
