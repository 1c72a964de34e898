// Sends requests to backend servers, and reports an unframed response as
// complete only once its end is confirmed.

#ifndef GENTIANLB_GATEWAY_CONFIRMED_SERVERS_H_
#define GENTIANLB_GATEWAY_CONFIRMED_SERVERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/end_confirmation.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

// Not thread-safe: used by the event loop's thread only.
class ConfirmedServers {
 public:
  // `confirmations` must outlive this object.
  ConfirmedServers(ServerPort servers, std::function<absl::Time()> clock,
                   EndConfirmations* confirmations);
  ConfirmedServers(const ConfirmedServers&) = delete;
  ConfirmedServers& operator=(const ConfirmedServers&) = delete;

  // The end of a transfer on a direct path waits for its confirmation; all
  // bytes are passed on as they come. A tunnelled one is confirmed by the peer.
  // This object must outlive the port.
  ServerPort Port();

  // Returns the number of transfers on direct paths to `server` that were open
  // at `since` and have not ended.
  int OpenTransfers(const ServerEntry& server, absl::Time since) const;

 private:
  struct Transfer {
    http::TransferId id = 0;
    std::shared_ptr<const CallerRequest> request;
    ServerEntry server;
    bool direct = true;
    CallSink sink;
    absl::Time sent_at;
    absl::Time began_at = absl::InfiniteFuture();  // The response did.
    bool needs_confirmation = false;
    std::uint64_t body_bytes = 0;
    std::uint64_t confirmation = 0;  // In progress; 0: none.
  };

  static bool WasOpen(const Transfer& transfer, const ServerEntry& server,
                      absl::Time since);
  http::TransferId Send(ServerCall call, CallSink sink);
  void Cancel(http::TransferId id);
  CallSink MakeSink(const std::shared_ptr<Transfer>& transfer);
  void OnHead(Transfer& transfer, const ResponseHead& head);
  void OnEnd(const std::shared_ptr<Transfer>& transfer, http::TransferEnd end,
             std::string detail);

  const ServerPort servers_;
  const std::function<absl::Time()> clock_;
  EndConfirmations* const confirmations_;
  absl::flat_hash_map<http::TransferId, std::shared_ptr<Transfer>> transfers_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_CONFIRMED_SERVERS_H_
