#include "gateway/confirmed_servers.h"

#include <algorithm>
#include <utility>

namespace gentianlb::gateway {
namespace {

// By then a transfer has a connection, or has ended for want of one.
constexpr absl::Duration kMaxConnectTime = absl::Milliseconds(500);

constexpr int kNoContentStatus = 204;
constexpr int kNotModifiedStatus = 304;

// Returns whether the response has a body of which only the end of its
// connection marks the end, and which may be relayed.
bool NeedsConfirmation(const CallerRequest& request, const ResponseHead& head) {
  const bool has_body = request.method != "HEAD" &&
                        head.status != kNoContentStatus &&
                        head.status != kNotModifiedStatus;
  return head.ends_with_connection && has_body && head.matches_request &&
         !head.not_run;
}

// Only a server is known to be lost whose address refuses connections or has
// passed to another one.
http::TransferEnd EndOf(const EndReport& report) {
  if (report.complete) return http::TransferEnd::kComplete;
  const bool lost = report.last_probe == ServerProbe::kRefused ||
                    report.last_probe == ServerProbe::kOther;
  return lost ? http::TransferEnd::kBroken : http::TransferEnd::kTimedOut;
}

}  // namespace

ConfirmedServers::ConfirmedServers(ServerPort servers,
                                   std::function<absl::Time()> clock,
                                   EndConfirmations* confirmations)
    : servers_(std::move(servers)),
      clock_(std::move(clock)),
      confirmations_(confirmations) {}

ServerPort ConfirmedServers::Port() {
  return {.send =
              [this](ServerCall call, CallSink sink) {
                return Send(std::move(call), std::move(sink));
              },
          .cancel = [this](http::TransferId id) { Cancel(id); }};
}

int ConfirmedServers::OpenTransfers(const ServerEntry& server,
                                    absl::Time since) const {
  return static_cast<int>(std::count_if(
      transfers_.begin(), transfers_.end(),
      [&](const auto& item) { return WasOpen(*item.second, server, since); }));
}

bool ConfirmedServers::WasOpen(const Transfer& transfer,
                               const ServerEntry& server, absl::Time since) {
  if (!transfer.direct || transfer.server.id != server.id) return false;
  if (transfer.confirmation != 0) return false;
  return transfer.began_at < since ||
         transfer.sent_at + kMaxConnectTime < since;
}

http::TransferId ConfirmedServers::Send(ServerCall call, CallSink sink) {
  auto transfer = std::make_shared<Transfer>();
  transfer->request = call.request;
  transfer->server = call.server;
  transfer->direct = call.path.direct();
  transfer->sink = std::move(sink);
  transfer->sent_at = clock_();
  // The sink is not called before the transfer has its id.
  transfer->id = servers_.send(std::move(call), MakeSink(transfer));
  transfers_.emplace(transfer->id, transfer);
  return transfer->id;
}

void ConfirmedServers::Cancel(http::TransferId id) {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) return servers_.cancel(id);
  const std::uint64_t confirmation = found->second->confirmation;
  transfers_.erase(found);
  if (confirmation != 0) return confirmations_->Cancel(confirmation);
  servers_.cancel(id);
}

CallSink ConfirmedServers::MakeSink(const std::shared_ptr<Transfer>& transfer) {
  CallSink sink;
  sink.on_first_byte = [this, transfer] {
    transfer->began_at = clock_();
    transfer->sink.on_first_byte();
  };
  sink.on_head = [this, transfer](ResponseHead head) {
    OnHead(*transfer, head);
    return transfer->sink.on_head(std::move(head));
  };
  sink.on_data = [transfer](std::string_view bytes) {
    transfer->body_bytes += bytes.size();
    transfer->sink.on_data(bytes);
  };
  sink.on_end = [this, transfer](http::TransferEnd end, std::string detail) {
    OnEnd(transfer, end, std::move(detail));
  };
  return sink;
}

void ConfirmedServers::OnHead(Transfer& transfer, const ResponseHead& head) {
  transfer.needs_confirmation =
      transfer.direct && NeedsConfirmation(*transfer.request, head);
  // Only the server with the expected id answers so.
  if (!head.names_request || head.wrong_server) return;
  confirmations_->OnAnswered(transfer.server, transfer.sent_at);
}

void ConfirmedServers::OnEnd(const std::shared_ptr<Transfer>& transfer,
                             http::TransferEnd end, std::string detail) {
  const bool waits = end == http::TransferEnd::kComplete &&
                     transfer->needs_confirmation &&
                     transfers_.contains(transfer->id);
  if (!waits) {
    transfers_.erase(transfer->id);
    return transfer->sink.on_end(end, std::move(detail));
  }
  transfer->confirmation = confirmations_->Start(
      {.request = transfer->request->id.str(),
       .server = transfer->server,
       .bytes = transfer->body_bytes},
      [this, transfer](const EndReport& report) {
        transfers_.erase(transfer->id);
        transfer->sink.on_end(EndOf(report), report.detail);
      });
}

}  // namespace gentianlb::gateway
