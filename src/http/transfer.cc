#include "http/transfer.h"

#include <algorithm>
#include <utility>

#include "absl/time/clock.h"
#include "loop/tcp_socket.h"

namespace gentianlb::http {
namespace {

// Responses are events and small documents; libcurl's default of 16 KiB per
// running transfer would waste memory over hundreds of streams.
constexpr long kReceiveBufferBytes = 4096;    // NOLINT: libcurl's own type
constexpr long kSendBufferBytes = 16 * 1024;  // NOLINT: libcurl's minimum

constexpr int kFirstFinalStatus = 200;

long Milliseconds(absl::Duration duration) {  // NOLINT: libcurl's own type
  return static_cast<long>(                   // NOLINT
      std::max<std::int64_t>(1, absl::ToInt64Milliseconds(duration)));
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
      last_byte_time_(absl::Now()) {}

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
  curl_easy_setopt(handle_, CURLOPT_BUFFERSIZE, kReceiveBufferBytes);
  curl_easy_setopt(handle_, CURLOPT_UPLOAD_BUFFERSIZE, kSendBufferBytes);
  curl_easy_setopt(handle_, CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(handle_, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle_, CURLOPT_WRITEFUNCTION, &OnData);
  curl_easy_setopt(handle_, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(handle_, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
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
  // An empty proxy also disables the environment's.
  curl_easy_setopt(handle_, CURLOPT_PROXY, request_.tunnel.c_str());
  const bool tunnelled = !request_.tunnel.empty();
  if (tunnelled) {
    curl_easy_setopt(handle_, CURLOPT_HTTPPROXYTUNNEL, 1L);
    curl_easy_setopt(handle_, CURLOPT_SUPPRESS_CONNECT_HEADERS, 1L);
    // The request's headers are not for the peer.
    curl_easy_setopt(handle_, CURLOPT_HEADEROPT,
                     static_cast<long>(CURLHEADER_SEPARATE));  // NOLINT
  }
  const bool fresh_connection =
      tunnelled || request_.send_policy == SendPolicy::kFreshConnection;
  if (fresh_connection) {
    curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle_, CURLOPT_FORBID_REUSE, 1L);
  }
}

void Transfer::PrepareBody() {
  const bool is_plain_get = request_.method == "GET" && request_.body.empty();
  if (request_.method == "HEAD") {
    curl_easy_setopt(handle_, CURLOPT_NOBODY, 1L);
  } else if (!is_plain_get) {
    curl_easy_setopt(handle_, CURLOPT_POST, 1L);
    curl_easy_setopt(handle_, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
    curl_easy_setopt(handle_, CURLOPT_POSTFIELDS, request_.body.data());
    curl_easy_setopt(handle_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  }
  for (const Header& header : request_.headers) {
    // In libcurl "Name:" removes a header and "Name;" sends an empty one.
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }
  // Removes headers that libcurl adds by itself. Expect would also add a round
  // trip before each larger body.
  for (const char* added : {"Expect", "Accept", "Content-Type"}) {
    if (!FindHeader(request_.headers, added).empty()) continue;
    const std::string line = std::string(added) + ":";
    header_list_ = curl_slist_append(header_list_, line.c_str());
  }
  curl_easy_setopt(handle_, CURLOPT_HTTPHEADER, header_list_);
}

std::size_t Transfer::OnHeader(char* data, std::size_t size, std::size_t count,
                               void* closure) {
  auto& transfer = *static_cast<Transfer*>(closure);
  transfer.ParseHeaderLine({data, size * count});
  if (transfer.stopped_by_sink_) return 0;  // libcurl ends the transfer.
  return size * count;
}

void Transfer::ParseHeaderLine(std::string_view line) {
  last_byte_time_ = absl::Now();
  if (!std::exchange(has_begun_, true) && sink_.on_first_byte) {
    sink_.on_first_byte();
  }
  if (line.starts_with("HTTP/")) {
    headers_.clear();
    head_whole_ = false;
  }
  if (line == "\r\n" || line == "\n") {
    head_whole_ = true;
    if (Status() >= kFirstFinalStatus) DeliverHead();
    return;
  }
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
  transfer.last_byte_time_ = absl::Now();
  transfer.DeliverHead();
  if (transfer.stopped_by_sink_) return 0;  // libcurl ends the transfer.
  if (transfer.sink_.on_data) {
    transfer.sink_.on_data(std::string_view(data, size * count));
  }
  return size * count;
}

// Aborts an attempt that must not be sent any more, and a second attempt unless
// the request allows resending. libcurl resends a request when a reused
// connection fails before any byte of the response. The server may already have
// received it, and the request, such as an order, would run twice unnoticed.
// The caller of Start() decides whether to retry.
int Transfer::OnBeforeSend(void* closure, char* /*primary_ip*/,
                           char* /*local_ip*/, int /*primary_port*/,
                           int /*local_port*/) {
  auto& transfer = *static_cast<Transfer*>(closure);
  const auto& may_send = transfer.request_.may_send;
  transfer.withdrawn_ = may_send && !may_send();
  if (transfer.withdrawn_) return CURL_PREREQFUNC_ABORT;
  const bool is_resend = transfer.send_attempts_++ > 0;
  const bool allowed =
      transfer.request_.send_policy == SendPolicy::kAllowResend;
  return is_resend && !allowed ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

int Transfer::OnSocket(void* closure, curl_socket_t socket,
                       curlsocktype /*purpose*/) {
  static_cast<Transfer*>(closure)->made_connection_ = true;
  loop::SetLivenessOptions(socket);
  return CURL_SOCKOPT_OK;
}

void Transfer::DeliverHead() {
  if (head_delivered_) return;
  head_delivered_ = true;
  if (!sink_.on_head) return;
  const ReadAction action =
      sink_.on_head({Status(), headers_, !made_connection_, head_whole_});
  stopped_by_sink_ = action == ReadAction::kStop;
  // libcurl reads it when the transfer ends.
  if (action == ReadAction::kContinueThenClose) {
    curl_easy_setopt(handle_, CURLOPT_FORBID_REUSE, 1L);
  }
}

int Transfer::Status() const {
  long status = 0;  // NOLINT: libcurl's own type
  curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
  return static_cast<int>(status);
}

TransferEnd Transfer::Finish(CURLcode code) {
  TransferEnd end = Classify(code);
  if (end != TransferEnd::kComplete) return end;
  DeliverHead();
  return stopped_by_sink_ ? TransferEnd::kBroken : end;
}

// Returns kNotSent only if certainly no byte of the request was sent.
TransferEnd Transfer::Classify(CURLcode code) const {
  if (code == CURLE_OK) return TransferEnd::kComplete;
  if (send_attempts_ == 0) {
    return withdrawn_ ? TransferEnd::kWithdrawn : TransferEnd::kNotSent;
  }
  if (code == CURLE_OPERATION_TIMEDOUT) return TransferEnd::kTimedOut;
  return TransferEnd::kBroken;
}

}  // namespace gentianlb::http
