// One transfer of libcurl: how a request is set up on its handle, how the
// answer is taken in, and how its end is judged. Shared by the client with a
// thread of its own and the one on an event loop.

#ifndef GENTIANLB_HTTP_TRANSFER_H_
#define GENTIANLB_HTTP_TRANSFER_H_

#include <curl/curl.h>

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "http/client.h"

namespace gentianlb::http {

// Not copyable: libcurl keeps its address.
class Transfer {
 public:
  // `handle` is taken over, as curl_easy_init() or ReleaseHandle() gave it.
  Transfer(TransferId transfer_id, ClientRequest request, TransferSink sink,
           CURL* handle);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  // Sets all options of the handle.
  void Prepare();

  // To be called once libcurl is done with `code`: passes on an answer without
  // a body, and tells how it ended.
  TransferEnd Finish(CURLcode code);

  // The handle, to be used again; this transfer must not be used any more.
  CURL* ReleaseHandle();

  CURL* handle() const { return handle_; }
  const ClientRequest& request() const { return request_; }
  TransferSink& sink() { return sink_; }
  absl::Time last_byte() const { return last_byte_; }

  // How many times libcurl was about to send the request.
  int sendings() const { return sendings_; }

  const TransferId id;

 private:
  void PrepareBody();
  void PrepareConnection();
  void PassHead();
  void TakeHeaderLine(std::string_view line);
  TransferEnd Classify(CURLcode code) const;

  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* closure);
  static std::size_t OnData(char* data, std::size_t size, std::size_t count,
                            void* closure);
  static int OnBeforeSending(void* closure, char* primary_ip, char* local_ip,
                             int primary_port, int local_port);
  static int OnSocket(void* closure, curl_socket_t socket,
                      curlsocktype purpose);

  ClientRequest request_;
  TransferSink sink_;
  CURL* handle_ = nullptr;
  curl_slist* header_list_ = nullptr;
  std::vector<Header> headers_;
  bool head_passed_ = false;
  bool refused_by_sink_ = false;
  int sendings_ = 0;
  absl::Time last_byte_;
};

// Initializes libcurl once for the process; the first call decides. Without
// TLS some megabytes of its libraries are never touched.
enum class CurlUse { kWithTls, kPlainOnly };
void InitializeCurl(CurlUse use);

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_TRANSFER_H_
