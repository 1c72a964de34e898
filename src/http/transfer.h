// One libcurl transfer: sets up the request on a handle, receives the response
// and classifies the result. Used by Client and LoopClient.

#ifndef GENTIANLB_HTTP_TRANSFER_H_
#define GENTIANLB_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "http/client.h"

namespace gentianlb::http {

// Not copyable: libcurl stores its address.
class Transfer {
 public:
  // Takes ownership of `handle`, which comes from curl_easy_init() or
  // ReleaseHandle().
  Transfer(TransferId transfer_id, ClientRequest request, TransferSink sink,
           CURL* handle);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  // Sets all options of the handle.
  void Prepare();

  // Must be called once libcurl has finished with `code`. Returns how the
  // transfer ended.
  TransferEnd Finish(CURLcode code);

  // Returns the handle for reuse. The transfer must not be used afterwards.
  CURL* ReleaseHandle();

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
  void DeliverHead();
  int Status() const;
  void ParseHeaderLine(std::string_view line);
  TransferEnd Classify(CURLcode code) const;

  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* closure);
  static std::size_t OnData(char* data, std::size_t size, std::size_t count,
                            void* closure);
  static int OnBeforeSend(void* closure, char* primary_ip, char* local_ip,
                          int primary_port, int local_port);
  static int OnSocket(void* closure, curl_socket_t socket,
                      curlsocktype purpose);

  ClientRequest request_;
  TransferSink sink_;
  CURL* handle_ = nullptr;
  curl_slist* header_list_ = nullptr;
  std::vector<Header> headers_;
  bool has_begun_ = false;   // A line of the response's head has arrived.
  bool head_whole_ = false;  // Its empty line has arrived.
  bool made_connection_ = false;
  bool head_delivered_ = false;
  bool stopped_by_sink_ = false;
  bool withdrawn_ = false;
  int send_attempts_ = 0;
  absl::Time last_byte_time_;
};

// Initializes libcurl once per process; later calls have no effect. Without
// TLS, libcurl's TLS libraries are not initialized, which saves some megabytes.
enum class CurlUse { kWithTls, kPlainOnly };
void InitializeCurl(CurlUse use);

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_TRANSFER_H_
