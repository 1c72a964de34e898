#include "http/transfer.h"

#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"

namespace gentianlb::http {
namespace {

// Answers are events and small documents; libcurl's own default of 16 KiB for
// each running transfer is memory that hundreds of streams never use.
constexpr long kReceiveBufferBytes = 4096;    // NOLINT: libcurl's own type
constexpr long kSendBufferBytes = 16 * 1024;  // NOLINT: its least

// Probes of a silent connection: the first after a second, then one a second,
// three in all. A partition or a peer without power shows within four seconds.
constexpr int kProbeSeconds = 1;
constexpr int kProbes = 3;

// Bytes that the peer has not acknowledged for this long end the connection.
// Several resends of the kernel fit in, and a caller's patience of seconds.
constexpr unsigned kUnacknowledgedMilliseconds = 2500;

long Milliseconds(absl::Duration duration) {  // NOLINT: libcurl's own type
  return static_cast<long>(                   // NOLINT
      std::max<std::int64_t>(1, absl::ToInt64Milliseconds(duration)));
}

void SetSocketOption(int socket, int level, int option, unsigned value,
                     const char* name) {
  if (setsockopt(socket, level, option, &value, sizeof value) == 0) return;
  PLOG(WARNING) << "event=socket-option-refused option=" << name;
}

struct CurlGlobal {
  explicit CurlGlobal(CurlUse use) {
    curl_global_init(use == CurlUse::kWithTls ? CURL_GLOBAL_DEFAULT
                                              : CURL_GLOBAL_NOTHING);
  }
};

}  // namespace

void InitializeCurl(CurlUse use) { static const CurlGlobal global(use); }

Transfer::Transfer(TransferId transfer_id, ClientRequest request,
                   TransferSink sink, CURL* handle)
    : id(transfer_id),
      request_(std::move(request)),
      sink_(std::move(sink)),
      handle_(handle),
      last_byte_(absl::Now()) {}

Transfer::~Transfer() {
  curl_slist_free_all(header_list_);
  if (handle_ != nullptr) curl_easy_cleanup(handle_);
}

CURL* Transfer::ReleaseHandle() { return std::exchange(handle_, nullptr); }

void Transfer::Prepare() {
  curl_easy_setopt(handle_, CURLOPT_URL, request_.url.c_str());
  if (!request_.target.empty()) {
    curl_easy_setopt(handle_, CURLOPT_REQUEST_TARGET, request_.target.c_str());
  }
  curl_easy_setopt(handle_, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(handle_, CURLOPT_PRIVATE, this);
  curl_easy_setopt(handle_, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle_, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(handle_, CURLOPT_PROXY, "");
  curl_easy_setopt(handle_, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(handle_, CURLOPT_UPLOAD_BUFFERSIZE, kSendBufferBytes);
  curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &OnBeforeSending);
  curl_easy_setopt(handle_, CURLOPT_PREREQDATA, this);
  if (request_.timeout < absl::InfiniteDuration()) {
    curl_easy_setopt(handle_, CURLOPT_TIMEOUT_MS,
                     Milliseconds(request_.timeout));
  }
  if (!request_.ca_file.empty()) {
    curl_easy_setopt(handle_, CURLOPT_CAINFO, request_.ca_file.c_str());
  }
  PrepareConnection();
  PrepareBody();
}

void Transfer::PrepareConnection() {
  curl_easy_setopt(handle_, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle_, CURLOPT_CONNECTTIMEOUT_MS,
                   Milliseconds(request_.connect_timeout));
  curl_easy_setopt(handle_, CURLOPT_SOCKOPTFUNCTION, &OnSocket);
  curl_easy_setopt(handle_, CURLOPT_SOCKOPTDATA, this);
  if (request_.max_connection_idle < absl::InfiniteDuration()) {
    curl_easy_setopt(
        handle_, CURLOPT_MAXAGE_CONN,
        static_cast<long>(  // NOLINT: libcurl's own type
            std::max<std::int64_t>(
                1, absl::ToInt64Seconds(request_.max_connection_idle))));
  }
  const bool own_connection =
      request_.send_policy == SendPolicy::kFreshConnection;
  if (own_connection) {
    curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle_, CURLOPT_FORBID_REUSE, 1L);
  }
}

void Transfer::PrepareBody() {
  const bool bare = request_.method == "GET" && request_.body.empty();
  if (request_.method == "HEAD") {
    curl_easy_setopt(handle_, CURLOPT_NOBODY, 1L);
  } else if (!bare) {
    curl_easy_setopt(handle_, CURLOPT_POST, 1L);
    curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
    curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, request_.body.data());
    curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  }
  for (const Header& header : request_.headers) {
    // libcurl takes "Name:" for a header to leave out and "Name;" for an empty
    // one.
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }
  // An Expect header would add a round trip before each larger body. The others
  // are libcurl's own additions, which nobody asked for.
  for (const char* added : {"Expect", "Accept", "Content-Type"}) {
    if (!FindHeader(request_.headers, added).empty()) continue;
    const std::string line = std::string(added) + ":";
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }
  curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, header_list_);
}

std::size_t Transfer::OnHeader(char* data, std::size_t size, std::size_t count,
                               void* closure) {
  static_cast<Transfer*>(closure)->TakeHeaderLine({data, size * count});
  return size * count;
}

void Transfer::TakeHeaderLine(std::string_view line) {
  last_byte_ = absl::Now();
  if (line.starts_with("HTTP/")) headers_.clear();
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) return;
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
  while (!value.empty() && (value.back() == '\r' || value.back() == '\n')) {
    value.remove_suffix(1);
  }
  headers_.push_back({std::string(line.substr(0, colon)), std::string(value)});
}

std::size_t Transfer::OnData(char* data, std::size_t size, std::size_t count,
                             void* closure) {
  auto& transfer = *static_cast<Transfer*>(closure);
  transfer.last_byte_ = absl::Now();
  transfer.PassHead();
  if (transfer.refused_by_sink_) return 0;  // libcurl ends the transfer.
  if (transfer.sink_.on_data) {
    transfer.sink_.on_data(std::string_view(data, size * count));
  }
  return size * count;
}

// libcurl repeats a request by itself when a reused connection turns out to be
// dead before any byte of an answer came. What the other side may already have
// taken would then run twice, and nobody would notice until an order is
// doubled. The second sending is stopped here, so that whoever asked decides.
int Transfer::OnBeforeSending(void* closure, char* /*primary_ip*/,
                              char* /*local_ip*/, int /*primary_port*/,
                              int /*local_port*/) {
  auto& transfer = *static_cast<Transfer*>(closure);
  const bool again = transfer.sendings_++ > 0;
  const bool allowed =
      transfer.request_.send_policy == SendPolicy::kAllowResend;
  return again && !allowed ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

// A peer without power or behind a partition answers nothing at all, and the
// kernel alone would wait for a quarter of an hour.
int Transfer::OnSocket(void* /*closure*/, curl_socket_t socket,
                       curlsocktype /*purpose*/) {
  SetSocketOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1, "SO_KEEPALIVE");
  SetSocketOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds,
                  "TCP_KEEPIDLE");
  SetSocketOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds,
                  "TCP_KEEPINTVL");
  SetSocketOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes, "TCP_KEEPCNT");
  SetSocketOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                  kUnacknowledgedMilliseconds, "TCP_USER_TIMEOUT");
  return CURL_SOCKOPT_OK;
}

void Transfer::PassHead() {
  if (head_passed_) return;
  head_passed_ = true;
  long status = 0;  // NOLINT: libcurl's own type
  curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
  if (!sink_.on_head) return;
  refused_by_sink_ =
      sink_.on_head(static_cast<int>(status), headers_) == ReadAction::kStop;
}

TransferEnd Transfer::Finish(CURLcode code) {
  TransferEnd end = Classify(code);
  if (end != TransferEnd::kComplete) return end;
  PassHead();
  return refused_by_sink_ ? TransferEnd::kBroken : end;
}

// Only what proves that nothing left is kNotSent.
TransferEnd Transfer::Classify(CURLcode code) const {
  if (code == CURLE_OK) return TransferEnd::kComplete;
  if (sendings_ == 0) return TransferEnd::kNotSent;
  if (code == CURLE_OPERATION_TIMEDOUT) return TransferEnd::kTimedOut;
  return TransferEnd::kBroken;
}

}  // namespace gentianlb::http
