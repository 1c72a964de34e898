#include "http/transfer.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "http/framing.h"
#include "loop/tcp_socket.h"

namespace gentianlb::http {
namespace {

// Responses are events and small documents; libcurl's default of 16 KiB per
// running transfer would waste memory over hundreds of streams.
constexpr long kReceiveBufferBytes = 4096;    // NOLINT: libcurl's own type
constexpr long kSendBufferBytes = 16 * 1024;  // NOLINT: libcurl's minimum

// Over TLS, what waits may be a message of TLS itself.
constexpr std::string_view kPlainScheme = "http://";

// Returned by a callback, it has libcurl end the transfer and close its
// connection.
constexpr std::size_t kEndTransfer = 0;

long Milliseconds(absl::Duration duration) {  // NOLINT: libcurl's own type
  return static_cast<long>(                   // NOLINT
      std::max<std::int64_t>(1, absl::ToInt64Milliseconds(duration)));
}

// Returns whether libcurl has refused a line of a head or trailer before it
// passed it on, in a transfer that has sent its request: before that, the codes
// have other causes. libcurl refuses no line that was cut.
bool IsRefusedLine(CURLcode code) {
  return code == CURLE_UNSUPPORTED_PROTOCOL ||
         code == CURLE_WEIRD_SERVER_REPLY ||
         code == CURLE_BAD_FUNCTION_ARGUMENT;
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
                   TransferSink sink, ConnectionSockets* sockets)
    : id(transfer_id),
      request_(std::move(request)),
      sink_(std::move(sink)),
      handle_(curl_easy_init()),
      sockets_(sockets),
      last_byte_time_(absl::Now()) {}

Transfer::~Transfer() {
  curl_easy_cleanup(handle_);
  curl_slist_free_all(header_list_);
}

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
  curl_easy_setopt(handle_, CURLOPT_CLOSESOCKETFUNCTION, &OnCloseSocket);
  curl_easy_setopt(handle_, CURLOPT_CLOSESOCKETDATA, sockets_);
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
  const bool goes_on =
      !transfer.cancelled_ && transfer.ReadLine({data, size * count});
  return goes_on && !transfer.cancelled_ ? size * count : kEndTransfer;
}

// The lines of a peer's answer to CONNECT come here too, before the request is
// sent, and those behind a body in chunks.
bool Transfer::ReadLine(std::string_view line) {
  last_byte_time_ = absl::Now();
  if (send_attempts_ == 0) {
    return tunnel_head_.Read(line) != ResponseHead::Progress::kInvalid;
  }
  if (head_.lines() == 0 && sink_.on_first_byte) {
    sink_.on_first_byte();
    if (cancelled_) return false;
  }
  switch (head_.Read(line)) {
    case ResponseHead::Progress::kGoesOn:
      return true;
    case ResponseHead::Progress::kComplete:
      return DeliverHead();
    case ResponseHead::Progress::kInvalid:
      return false;
  }
  return false;
}

bool Transfer::DeliverHead() {
  std::vector<Header> headers = head_.TakeHeaders();
  ends_with_connection_ =
      EndsWithConnection(request_.method, head_.status(), headers);
  if (!sink_.on_head) return true;
  const ReadAction action = sink_.on_head(
      {head_.status(), std::move(headers), made_socket_ < 0, ends_.local_port});
  // libcurl reads it when the transfer ends.
  if (action == ReadAction::kContinueThenClose) {
    curl_easy_setopt(handle_, CURLOPT_FORBID_REUSE, 1L);
  }
  return action != ReadAction::kStop;
}

std::size_t Transfer::OnData(char* data, std::size_t size, std::size_t count,
                             void* closure) {
  auto& transfer = *static_cast<Transfer*>(closure);
  transfer.last_byte_time_ = absl::Now();
  // A body without a head is no response.
  if (transfer.cancelled_ || !transfer.head_.complete()) return kEndTransfer;
  if (transfer.sink_.on_data) {
    transfer.sink_.on_data(std::string_view(data, size * count));
  }
  return transfer.cancelled_ ? kEndTransfer : size * count;
}

// Aborts an attempt that must not be sent any more, and a second attempt unless
// the request allows resending. libcurl resends a request when a reused
// connection fails before any byte of the response. The server may already have
// received it, and the request, such as an order, would run twice unnoticed.
// The caller of Start() decides whether to retry.
int Transfer::OnBeforeSend(void* closure, char* primary_ip, char* local_ip,
                           int primary_port, int local_port) {
  const bool sends = static_cast<Transfer*>(closure)->MaySend(
      {local_port, primary_port, local_ip, primary_ip});
  return sends ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

bool Transfer::MaySend(const ConnectionEnds& ends) {
  if (cancelled_) return false;
  ends_ = ends;
  withdrawn_ = request_.may_send && !request_.may_send();
  if (withdrawn_) return false;
  unfit_reason_ = FindUnfitness(ends);
  if (!unfit_reason_.empty()) return false;
  const bool is_resend = send_attempts_++ > 0;
  return !is_resend || request_.send_policy == SendPolicy::kAllowResend;
}

std::string_view Transfer::FindUnfitness(const ConnectionEnds& ends) {
  if (made_socket_ >= 0) {
    sockets_->OnMade(made_socket_, ends);
  } else if (request_.url.starts_with(kPlainScheme) &&
             sockets_->HasUnreadBytes(ends)) {
    return "bytes wait at it";
  }
  const bool carries =
      request_.id.empty() || sockets_->Carry(ends, request_.id);
  return carries ? "" : "it may have carried the request before";
}

bool Transfer::NeedsNewConnection() const {
  return !cancelled_ && !unfit_reason_.empty();
}

void Transfer::PrepareNewConnection() {
  LOG(INFO) << "event=connection-left request=" << request_.id
            << " url=" << request_.url << " connection=" << ends_.local_port
            << " cause=\"" << std::exchange(unfit_reason_, "") << "\"";
  curl_easy_cleanup(handle_);
  curl_slist_free_all(std::exchange(header_list_, nullptr));
  handle_ = curl_easy_init();
  tunnel_head_ = ResponseHead();
  Prepare();
  curl_easy_setopt(handle_, CURLOPT_FRESH_CONNECT, 1L);
}

int Transfer::OnSocket(void* closure, curl_socket_t socket,
                       curlsocktype /*purpose*/) {
  static_cast<Transfer*>(closure)->made_socket_ = socket;
  loop::SetLivenessOptions(socket);
  return CURL_SOCKOPT_OK;
}

// Called when a connection is closed, maybe long after the transfer that made
// it: `closure` is that of all connections.
int Transfer::OnCloseSocket(void* closure, curl_socket_t socket) {
  return static_cast<ConnectionSockets*>(closure)->Close(socket);
}

// libcurl may still hold a part of the request, or the kernel. Over TLS, what
// the kernel holds may be TLS's own word of the end.
bool Transfer::HasEndedEarly() {
  if (!ends_with_connection_) return false;
  curl_off_t sent = 0;
  curl_easy_getinfo(handle_, CURLINFO_SIZE_UPLOAD_T, &sent);
  if (sent < static_cast<curl_off_t>(request_.body.size())) return true;
  return request_.url.starts_with(kPlainScheme) &&
         sockets_->TakeClosedEarly(ends_);
}

// Returns kNotSent only if certainly no byte of the request was sent. To
// libcurl, a connection that is closed in good order within the head ends a
// response without a body.
TransferEnd Transfer::Finish(CURLcode code) {
  if (cancelled_) return TransferEnd::kCancelled;
  if (code == CURLE_OK && head_.complete()) {
    ended_early_ = HasEndedEarly();
    return ended_early_ ? TransferEnd::kInvalid : TransferEnd::kComplete;
  }
  if (send_attempts_ == 0) {
    return withdrawn_ ? TransferEnd::kWithdrawn : TransferEnd::kNotSent;
  }
  if (code == CURLE_OPERATION_TIMEDOUT) return TransferEnd::kTimedOut;
  const bool is_invalid = head_.problem() || IsRefusedLine(code);
  return is_invalid ? TransferEnd::kInvalid : TransferEnd::kBroken;
}

std::string Transfer::DetailOf(CURLcode code) const {
  if (cancelled_) return "cancelled";
  for (const ResponseHead* head : {&tunnel_head_, &head_}) {
    if (head->problem()) return ToText(*head->problem());
  }
  if (code == CURLE_OK && !head_.complete()) {
    return "the connection ended within the head";
  }
  if (ended_early_) {
    return "unframed, and ended before the server had the request";
  }
  if (send_attempts_ > 0 && IsRefusedLine(code)) {
    return absl::StrCat("libcurl refuses what follows line ", head_.lines(),
                        ": ", curl_easy_strerror(code));
  }
  return curl_easy_strerror(code);
}

std::string_view Transfer::ReportInvalid(CURLcode code) const {
  std::string_view fault = "refused-line";
  if (head_.problem()) fault = Name(head_.problem()->fault);
  if (ended_early_) fault = "early-end";
  LOG(WARNING) << "event=invalid-response request=" << request_.id
               << " url=" << request_.url << " tunnel="
               << (request_.tunnel.empty() ? "-" : request_.tunnel)
               << " connection=" << ends_.local_port << " fault=" << fault
               << " cause=\"" << DetailOf(code) << "\"";
  return fault;
}

}  // namespace gentianlb::http
