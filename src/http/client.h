// An HTTP/1.1 client over libcurl's multi interface: one thread of its own that
// runs any number of transfers; answers arrive as they stream in.

#ifndef GENTIANLB_HTTP_CLIENT_H_
#define GENTIANLB_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "http/server.h"

namespace gentianlb::http {

// Names one transfer of one client.
using TransferId = std::uint64_t;

// How a transfer ended.
enum class TransferEnd {
  kComplete,   // The whole answer arrived.
  kNotSent,    // Certain: no byte of the request left this host.
  kBroken,     // The connection broke after it was made.
  kTimedOut,   // `timeout` or `silence` passed.
  kCancelled,  // Cancel() was called.
};

// On which connection a request goes, and whether libcurl may send it again by
// itself when a reused connection turns out to be dead.
enum class SendPolicy {
  kAllowResend,      // On a kept connection; may be sent again.
  kNoResend,         // On a kept connection; such a transfer ends as kBroken.
  kFreshConnection,  // On a new connection that is closed after it.
};

// What the reader of an answer wants after its head.
enum class ReadAction { kContinue, kStop };

struct ClientRequest {
  std::string method = "GET";
  std::string url;  // http://IP:PORT/path
  // Sent in place of the path and query of `url`, byte for byte, when set.
  std::string target;
  std::vector<Header> headers;
  std::string body;
  absl::Duration connect_timeout = absl::Seconds(1);
  absl::Duration timeout = absl::InfiniteDuration();  // For the whole transfer.
  absl::Duration inactivity_timeout =
      absl::InfiniteDuration();  // Without any byte.

  SendPolicy send_policy = SendPolicy::kAllowResend;
  // A kept connection that was idle for longer is not used again.
  absl::Duration max_connection_idle = absl::InfiniteDuration();

  std::string ca_file;  // Checks the peer's certificate against it, for https.
};

// What comes back; called from the client's thread, in this order. Must not
// block.
struct TransferSink {
  std::function<ReadAction(int status, std::vector<Header> headers)> on_head;
  std::function<void(std::string_view bytes)> on_data;
  std::function<void(TransferEnd end, std::string detail)> on_end;
};

// A whole answer, for callers that need no stream.
struct Reply {
  TransferEnd end = TransferEnd::kNotSent;
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  std::string detail;
};

// Collects an answer and calls `done` at its end.
TransferSink CollectReply(std::function<void(Reply)> done);

class Client {
 public:
  Client();
  ~Client();  // Stops.
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Ends all transfers as kCancelled, and the thread. Later ones never start.
  // Whoever owns what the sinks refer to calls it before that is destroyed.
  void Stop();

  // Thread-safe.
  TransferId Start(ClientRequest request, TransferSink sink);
  void Cancel(TransferId id);

  // Collects the answer and calls `done` from the client's thread.
  TransferId Fetch(ClientRequest request, std::function<void(Reply)> done);

  // Waits for the answer; for command-line tools and tests only.
  Reply FetchAndWait(ClientRequest request);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_CLIENT_H_
