// One libcurl transfer: sets up the request on a handle, receives the response
// and classifies the result. Used by Client and LoopClient.

#ifndef GENTIANLB_HTTP_TRANSFER_H_
#define GENTIANLB_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "http/client.h"
#include "http/connection_sockets.h"
#include "http/response_head.h"

namespace gentianlb::http {

// Not copyable: libcurl stores its address.
class Transfer {
 public:
  // `sockets` are those of the client's connections and must outlive the
  // transfer.
  Transfer(TransferId transfer_id, ClientRequest request, TransferSink sink,
           ConnectionSockets* sockets);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  // Sets all options of the handle.
  void Prepare();

  // Returns whether nothing was sent, since the kept connection was not fit for
  // the request. Must be called first once libcurl has finished.
  bool NeedsNewConnection() const;
  // Replaces the handle, which the client must have removed, by one that makes
  // a new connection. Writes a log line.
  void PrepareNewConnection();
  // Must be called once, when libcurl has finished with `code`. Returns how the
  // transfer ended.
  TransferEnd Finish(CURLcode code);
  // Returns the reason for that end, for log lines.
  std::string DetailOf(CURLcode code) const;
  // Writes a log line for a transfer that ended as kInvalid with `code`, and
  // returns a short word for what was wrong, for metrics.
  std::string_view ReportInvalid(CURLcode code) const;

  // From now on only the end is reported, and only by the caller of this.
  // libcurl sends nothing more and ends the transfer at the next byte. May be
  // called from a callback of the sink.
  void Cancel() { cancelled_ = true; }

  CURL* handle() const { return handle_; }
  const ClientRequest& request() const { return request_; }
  TransferSink& sink() { return sink_; }
  absl::Time last_byte_time() const { return last_byte_time_; }

  // Number of times libcurl was about to send the request.
  int send_attempts() const { return send_attempts_; }

  const TransferId id;

 private:
  void PrepareBody();
  void PrepareConnection();
  // Return false if the transfer must end.
  bool ReadLine(std::string_view line);
  bool DeliverHead();
  // Returns whether the response ended with its connection while the server had
  // not received the whole request. Such an end doesn't show that the response
  // is complete: the reset that may follow would come too late.
  bool HasEndedEarly();
  // Returns whether libcurl may send the request on a connection.
  bool MaySend(const ConnectionEnds& ends);
  // Returns why the request must not go on a connection; empty: it may, and the
  // connection carries it from now on.
  std::string_view FindUnfitness(const ConnectionEnds& ends);

  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* closure);
  static std::size_t OnData(char* data, std::size_t size, std::size_t count,
                            void* closure);
  static int OnBeforeSend(void* closure, char* primary_ip, char* local_ip,
                          int primary_port, int local_port);
  static int OnSocket(void* closure, curl_socket_t socket,
                      curlsocktype purpose);
  static int OnCloseSocket(void* closure, curl_socket_t socket);

  ClientRequest request_;
  TransferSink sink_;
  // Runs once: libcurl 7.88 keeps a pointer to the last header that a handle
  // has read, but frees the header when the handle runs again. A head whose
  // first line begins with a blank would write there.
  CURL* handle_;
  ConnectionSockets* const sockets_;
  curl_slist* header_list_ = nullptr;
  ResponseHead tunnel_head_;  // A peer's answer to CONNECT.
  ResponseHead head_;
  int made_socket_ = -1;  // Of the connection that was made for it, if any.
  ConnectionEnds ends_;   // Of its connection; empty before it has one.
  std::string_view unfit_reason_;  // Of a kept connection; empty: it is fit.
  bool ends_with_connection_ = false;  // The body of the response does.
  bool ended_early_ = false;
  bool withdrawn_ = false;
  bool cancelled_ = false;
  int send_attempts_ = 0;
  absl::Time last_byte_time_;
};

// Initializes libcurl once per process; later calls have no effect. Without
// TLS, libcurl's TLS libraries are not initialized, which saves some megabytes.
enum class CurlUse { kWithTls, kPlainOnly };
void InitializeCurl(CurlUse use);

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_TRANSFER_H_
