// The HTTP/1.1 client of a host that does everything on one event loop. It
// keeps connections for later requests and the handles of ended transfers.

#ifndef GENTIANLB_HTTP_LOOP_CLIENT_H_
#define GENTIANLB_HTTP_LOOP_CLIENT_H_

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "http/client.h"
#include "http/transfer.h"
#include "loop/event_loop.h"

namespace gentianlb::http {

// Not thread-safe: owned by the loop's thread.
class LoopClient {
 public:
  // Keeps up to `kept_connections` idle ones. `loop` outlives the client.
  LoopClient(loop::EventLoop* loop, int kept_connections);
  ~LoopClient();  // Transfers that still run end without a word.
  LoopClient(const LoopClient&) = delete;
  LoopClient& operator=(const LoopClient&) = delete;

  // The sink is never called before this returns.
  TransferId Start(ClientRequest request, TransferSink sink);

  // Ends a transfer without calling its sink. Its connection is closed, which
  // tells the other side to stop. A no-op when it has ended.
  void Cancel(TransferId id);

  std::size_t running() const { return transfers_.size(); }
  // Connections made so far.
  std::uint64_t connections() const { return connections_; }

 private:
  static int OnSocketChange(CURL* handle, curl_socket_t socket, int what,
                            void* closure, void* socket_closure);
  static int OnTimerChange(CURLM* multi, long milliseconds,  // NOLINT
                           void* closure);
  void SetTimer(std::int64_t milliseconds);
  void Act(curl_socket_t socket, int events);
  void CollectEnded();
  void End(TransferId id, CURLcode code);
  void Recycle(std::shared_ptr<Transfer> transfer);
  void OutsideCallbacks(std::function<void()> change);
  CURL* NewHandle();

  loop::EventLoop* const loop_;
  CURLM* const multi_;
  TransferId next_id_ = 1;
  TimerId timer_ = 0;
  bool inside_ = false;  // libcurl is calling back.
  absl::flat_hash_map<TransferId, std::shared_ptr<Transfer>> transfers_;
  std::vector<CURL*> spare_handles_;
  std::uint64_t connections_ = 0;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_LOOP_CLIENT_H_
