// An HTTP/1.1 client over libcurl's multi interface. One thread runs any number
// of transfers and passes on responses as they stream in.

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

// Identifies a transfer within its client.
using TransferId = std::uint64_t;

// How a transfer ended.
enum class TransferEnd {
  kComplete,   // The whole response arrived.
  kNotSent,    // No byte of the request left this host.
  kWithdrawn,  // The same, since `may_send` said so.
  kBroken,     // The connection broke after it was made.
  kInvalid,    // The server wrote what is no response, or ended it before it
               // had the request, and lived to do so.
  kTimedOut,   // `timeout` or `inactivity_timeout` passed.
  kCancelled,  // Cancel() was called.
};

// The connection that a request is sent on, and whether libcurl may resend it
// when a reused connection turns out to be dead.
enum class SendPolicy {
  kAllowResend,      // On a kept connection; libcurl may resend.
  kNoResend,         // On a kept connection; ends as kBroken if that is dead.
  kFreshConnection,  // On a new connection that is closed afterwards.
};

// What to do after the head of a response.
enum class ReadAction {
  kContinue,           // Read the body and keep the connection.
  kContinueThenClose,  // Read the body, then close the connection.
  kStop,               // End the transfer as kBroken and close the connection.
};

struct ClientRequest {
  std::string method = "GET";
  std::string url;  // http://IP:PORT/path
  // Sent in place of the path and query of `url`, byte for byte, when set.
  std::string target;
  std::vector<Header> headers;
  std::string body;
  absl::Duration connect_timeout = absl::Seconds(1);
  absl::Duration timeout = absl::InfiniteDuration();  // For the whole transfer.
  // Maximum time without any received byte.
  absl::Duration inactivity_timeout = absl::InfiniteDuration();

  // The id by which the response names this request. A connection carries an id
  // once. Empty: responses name no request.
  std::string id;
  SendPolicy send_policy = SendPolicy::kAllowResend;
  // Kept connections that were idle for longer are not reused.
  absl::Duration max_connection_idle = absl::InfiniteDuration();

  // IP:PORT of a peer that tunnels the connection; empty: a direct connection.
  // A tunnel carries one request.
  std::string tunnel;

  // Asked once the connection is made, which may take a while, just before the
  // request is sent. Not set: it is sent. Must not call the client.
  std::function<bool()> may_send;

  std::string ca_file;  // For https: verifies the server's certificate.
};

// The head of a response.
struct ReceivedHead {
  int status = 0;
  std::vector<Header> headers;
  // The connection has carried other responses before.
  bool kept_connection = false;
  // The connection's port on this host, which identifies it among those to one
  // address; 0: not known.
  int local_port = 0;
};

// Callbacks for a response, called in this order from the client's thread. They
// must not block.
struct TransferSink {
  std::function<ReadAction(ReceivedHead head)> on_head;
  std::function<void(std::string_view bytes)> on_data;
  std::function<void(TransferEnd end, std::string detail)> on_end;
  // The first line of the head arrived. Comes before the others.
  std::function<void()> on_first_byte;
};

// A buffered response, for callers that don't stream.
struct Reply {
  TransferEnd end = TransferEnd::kNotSent;
  int status = 0;
  std::vector<Header> headers;
  std::string body;
  std::string detail;
};

// Returns a sink that buffers the response and calls `done` when the transfer
// ends.
TransferSink CollectReply(std::function<void(Reply)> done);

class Client {
 public:
  Client();
  ~Client();  // Calls Stop().
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // Ends all transfers as kCancelled and joins the thread. Later transfers
  // never start. Must be called before anything that the sinks refer to is
  // destroyed.
  void Stop();

  // Thread-safe.
  TransferId Start(ClientRequest request, TransferSink sink);
  // Ends a transfer as kCancelled, unless it ends before, and closes its
  // connection. Thread-safe. Called from a sink, the transfer delivers nothing
  // more but its end.
  void Cancel(TransferId id);

  // Buffers the response and calls `done` from the client's thread.
  TransferId Fetch(ClientRequest request, std::function<void(Reply)> done);

  // Blocks until the response is complete; for command-line tools and tests
  // only.
  Reply FetchAndWait(ClientRequest request);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_CLIENT_H_
