// An HTTP/1.1 client over libcurl that runs on an event loop. It keeps idle
// connections for reuse.

#ifndef GENTIANLB_HTTP_LOOP_CLIENT_H_
#define GENTIANLB_HTTP_LOOP_CLIENT_H_

#include <curl/curl.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "http/client.h"
#include "http/transfer.h"
#include "loop/event_loop.h"

namespace gentianlb::http {

// Numbers of responses by a short word for what was wrong with them.
using InvalidResponses = std::map<std::string_view, std::uint64_t>;

// Not thread-safe: used by the loop's thread only.
class LoopClient {
 public:
  // Keeps up to `max_idle_connections`. `loop` must outlive the client.
  LoopClient(loop::EventLoop* loop, int max_idle_connections);
  ~LoopClient();  // Ends running transfers without calling their sinks.
  LoopClient(const LoopClient&) = delete;
  LoopClient& operator=(const LoopClient&) = delete;

  // The sink is never called before this returns.
  TransferId Start(ClientRequest request, TransferSink sink);

  // Ends a transfer without calling its sink and closes its connection, so that
  // the server stops. Does nothing if the transfer has ended. May be called
  // from a sink; no sink of the transfer is called after that.
  void Cancel(TransferId id);

  std::size_t running() const { return transfers_.size(); }
  // Number of connections made so far.
  std::uint64_t connections_made() const { return connections_made_; }
  // Returns how many transfers ended as kInvalid so far, by what was wrong.
  const InvalidResponses& invalid_responses() const {
    return invalid_responses_;
  }

 private:
  static int OnSocketChange(CURL* handle, curl_socket_t socket, int what,
                            void* closure, void* socket_closure);
  static int OnTimerChange(CURLM* multi, long milliseconds,  // NOLINT
                           void* closure);
  void SetTimer(std::int64_t milliseconds);
  void RunSocketAction(curl_socket_t socket, int events);
  void CollectFinished();
  void EndTransfer(TransferId id, CURLcode code);
  void Destroy(std::shared_ptr<Transfer> transfer);
  void RunOutsideCallbacks(std::function<void()> closure);

  loop::EventLoop* const loop_;
  CURLM* const multi_;
  TransferId next_id_ = 1;
  TimerId timer_ = 0;
  bool in_callback_ = false;  // True while libcurl calls back.
  ConnectionSockets sockets_;
  absl::flat_hash_map<TransferId, std::shared_ptr<Transfer>> transfers_;
  std::uint64_t connections_made_ = 0;
  InvalidResponses invalid_responses_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_LOOP_CLIENT_H_
