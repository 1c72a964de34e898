#include "http/server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstring>
#include <set>

#include "absl/synchronization/mutex.h"
#include "http/framing.h"
#include "http/pending_response.h"

namespace gentianlb::http {
namespace {

// Connections that may wait to be accepted while the loop is busy. With a full
// queue, a caller waits a second until it retransmits its SYN packet.
constexpr unsigned kListenBacklog = 512;

// What libmicrohttpd keeps of a header line beside its bytes, with some room.
constexpr std::size_t kLineBytes = 128;

// For the head of a response, which libmicrohttpd builds in the memory that the
// request has left.
constexpr std::size_t kMaxResponseHeadBytes = 64 << 10;

// Returns the memory of a connection, in which the head of any request within
// the limits, that of its response and a part of a body find room. Without it
// libmicrohttpd refuses the request, or closes the connection after it ran.
std::size_t ConnectionBytes(const ServerLimits& limits) {
  const std::size_t head_bytes =
      2 * limits.max_header_bytes + kLineBytes * limits.max_header_lines;
  return head_bytes + kMaxResponseHeadBytes;
}

// The Responder that a handler holds. Its destructor aborts the connection if
// the response isn't complete.
class ResponderHandle : public Responder {
 public:
  explicit ResponderHandle(std::shared_ptr<PendingResponse> response)
      : response_(std::move(response)) {}
  ~ResponderHandle() override { response_->Abort(); }

  void Respond(int status, std::vector<Header> headers,
               std::string body) override {
    response_->Respond(status, std::move(headers), std::move(body));
  }
  void Begin(int status, std::vector<Header> headers) override {
    response_->Begin(status, std::move(headers));
  }
  void Write(std::string_view bytes) override { response_->Write(bytes); }
  void Finish() override { response_->Finish(); }
  void Abort() override { response_->Abort(); }
  void OnDisconnect(std::function<void()> callback) override {
    response_->OnDisconnect(std::move(callback));
  }
  std::size_t Backlog() const override { return response_->Backlog(); }
  absl::Duration UnacknowledgedFor() const override {
    return absl::ZeroDuration();
  }

 private:
  std::shared_ptr<PendingResponse> response_;
};

// A request and its response.
struct Exchange {
  Request request;
  std::size_t header_bytes = 0;
  bool started = false;
  bool too_large = false;
  bool dispatched = false;
  std::shared_ptr<PendingResponse> response;
};

MHD_Result CollectHeader(void* closure, MHD_ValueKind, const char* name,
                         const char* value) {
  auto& exchange = *static_cast<Exchange*>(closure);
  Header header{name, value == nullptr ? "" : value};
  exchange.header_bytes += header.name.size() + header.value.size() + 4;
  exchange.request.headers.push_back(std::move(header));
  return MHD_YES;
}

}  // namespace

struct Server::Impl {
  ServerLimits limits;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  std::uint16_t port = 0;
  absl::Mutex mutex;
  bool closing ABSL_GUARDED_BY(mutex) = false;
  std::set<std::shared_ptr<PendingResponse>> open_responses
      ABSL_GUARDED_BY(mutex);

  // Registers an open response; returns false when the server is closing.
  bool Open(const std::shared_ptr<PendingResponse>& response) {
    absl::MutexLock lock(&mutex);
    if (closing) return false;
    open_responses.insert(response);
    return true;
  }

  void Close(const std::shared_ptr<PendingResponse>& response, bool complete) {
    {
      absl::MutexLock lock(&mutex);
      open_responses.erase(response);
    }
    response->Close(complete);
  }

  // Aborts all open responses. libmicrohttpd terminates the process if it is
  // stopped while a connection is suspended, as every connection with a pending
  // response is. An aborted response resumes its connection and never suspends
  // it again.
  void AbortAll() {
    std::set<std::shared_ptr<PendingResponse>> responses;
    {
      absl::MutexLock lock(&mutex);
      closing = true;
      responses.swap(open_responses);
    }
    for (const auto& response : responses) response->Abort();
  }

  MHD_Result Receive(MHD_Connection* connection, const char* method,
                     const char* path, const char* version, const char* upload,
                     std::size_t* upload_size, void** context) {
    auto& exchange = *static_cast<Exchange*>(*context);
    // First call for a request: only its headers have arrived.
    if (!exchange.started) {
      BeginExchange(connection, method, path, version, exchange);
      return RefuseMalformed(exchange);
    }
    // Later calls: a block of the body, or its end.
    if (*upload_size > 0) {
      AppendBody(exchange, std::string_view(upload, *upload_size));
      *upload_size = 0;
      return MHD_YES;
    }
    if (!exchange.dispatched) Dispatch(exchange);
    return exchange.response->QueueOrSuspend(exchange.response);
  }

  void BeginExchange(MHD_Connection* connection, const char* method,
                     const char* path, const char* version,
                     Exchange& exchange) {
    exchange.started = true;
    exchange.request.method = method;
    exchange.request.path = path;
    const bool accepts_chunks =
        std::string_view(version) != MHD_HTTP_VERSION_1_0;
    exchange.response =
        std::make_shared<PendingResponse>(connection, accepts_chunks);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &exchange);
  }

  // Refuses a request with ambiguous headers. Because the response is queued
  // before the body is read, libmicrohttpd closes the connection afterwards, so
  // that the ambiguous rest is not read as a request.
  MHD_Result RefuseMalformed(Exchange& exchange) {
    const std::string_view problem = FramingProblem(exchange.request.headers);
    if (problem.empty()) return MHD_YES;
    exchange.dispatched = true;
    ResponderHandle responder(exchange.response);
    RespondProblem(responder, {Code::kMalformedRequest, std::string(problem)});
    return exchange.response->QueueOrSuspend(exchange.response);
  }

  // A body that is not kept is read to its end all the same: only then can
  // libmicrohttpd send the refusal.
  void AppendBody(Exchange& exchange, std::string_view block) {
    if (exchange.request.body.size() + block.size() > limits.max_body_bytes) {
      exchange.too_large = true;
      Deallocate(exchange.request.body);
    }
    if (!exchange.too_large) exchange.request.body.append(block);
  }

  void Dispatch(Exchange& exchange) {
    exchange.dispatched = true;
    if (!Open(exchange.response)) {
      exchange.response->Abort();
      return;
    }
    auto responder = std::make_shared<ResponderHandle>(exchange.response);
    if (exchange.too_large) {
      RespondProblem(*responder,
                     {Code::kBodyTooLarge,
                      "at most " + std::to_string(limits.max_body_bytes) +
                          " bytes are taken"});
      return;
    }
    if (exchange.header_bytes > limits.max_header_bytes ||
        exchange.request.headers.size() > limits.max_header_lines) {
      RespondProblem(
          *responder,
          {Code::kHeaderTooLarge,
           "at most " + std::to_string(limits.max_header_bytes) + " bytes in " +
               std::to_string(limits.max_header_lines) + " lines are taken"});
      return;
    }
    handler(std::move(exchange.request), std::move(responder));
  }
};

namespace {

MHD_Result OnAccess(void* closure, MHD_Connection* connection, const char* path,
                    const char* method, const char* version, const char* upload,
                    std::size_t* upload_size, void** context) {
  return static_cast<Server::Impl*>(closure)->Receive(
      connection, method, path, version, upload, upload_size, context);
}

// Called with the request target before it is decoded. The returned Exchange
// becomes the context of the request.
void* OnRequestLine(void* /*closure*/, const char* target,
                    MHD_Connection* /*connection*/) {
  auto exchange = std::make_unique<Exchange>();
  exchange->request.target = target;
  const char* question_mark = std::strchr(target, '?');
  if (question_mark != nullptr) exchange->request.query = question_mark + 1;
  return exchange.release();
}

// Sends a refusal to a caller whose message was not complete in time.
// libmicrohttpd closes such a connection without a response, which
// the client can't tell from a crash. The socket is still open here and nothing
// was written to it, so a complete response can be sent. Not over TLS, where
// the library owns the stream: there the connection just closes.
void RefuseIncompleteMessage(MHD_Connection* connection, const Error& error) {
  if (MHD_get_connection_info(connection, MHD_CONNECTION_INFO_GNUTLS_SESSION) !=
      nullptr) {
    return;
  }
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == nullptr) return;
  const std::string body = ProblemBody(error);
  const std::string response =
      "HTTP/1.1 408 Request Timeout\r\n"
      "Content-Type: application/problem+json\r\n"
      "Connection: close\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  send(info->connect_fd, response.data(), response.size(),
       MSG_DONTWAIT | MSG_NOSIGNAL);
}

void OnCompleted(void* closure, MHD_Connection* connection, void** context,
                 MHD_RequestTerminationCode reason) {
  std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*context));
  *context = nullptr;
  if (exchange == nullptr) return;
  bool slow = reason == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED;
  if (slow && !exchange->dispatched) {
    RefuseIncompleteMessage(
        connection, {Code::kRequestTooSlow, "the message is not complete"});
  }
  if (exchange->response == nullptr) return;
  static_cast<Server::Impl*>(closure)->Close(
      exchange->response, reason == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

}  // namespace

Server::Server(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() {
  impl_->AbortAll();
  if (impl_->daemon != nullptr) MHD_stop_daemon(impl_->daemon);
}

Outcome<std::unique_ptr<Server>> Server::Start(const ServerSettings& settings,
                                               Handler handler) {
  auto impl = std::make_unique<Impl>();
  impl->limits = settings.limits;
  impl->handler = std::move(handler);

  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(settings.port);
  if (inet_pton(AF_INET, settings.address.c_str(), &address.sin_addr) != 1) {
    return Error{Code::kOutOfRange, "not an IPv4 address: " + settings.address};
  }

  unsigned flags =
      MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | MHD_USE_EPOLL_INTERNAL_THREAD;
  std::vector<MHD_OptionItem> options;
  auto add = [&](MHD_OPTION option, std::intptr_t value, const void* pointer) {
    options.push_back({option, value, const_cast<void*>(pointer)});
  };
  add(MHD_OPTION_SOCK_ADDR, 0, &address);
  add(MHD_OPTION_URI_LOG_CALLBACK,
      reinterpret_cast<std::intptr_t>(&OnRequestLine), nullptr);
  add(MHD_OPTION_NOTIFY_COMPLETED,
      reinterpret_cast<std::intptr_t>(&OnCompleted), impl.get());
  add(MHD_OPTION_CONNECTION_LIMIT,
      static_cast<std::intptr_t>(settings.limits.max_connections), nullptr);
  add(MHD_OPTION_CONNECTION_TIMEOUT,
      absl::ToInt64Seconds(settings.limits.idle_timeout), nullptr);
  add(MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::intptr_t>(ConnectionBytes(settings.limits)), nullptr);
  add(MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog, nullptr);
  if (settings.threads > 1) {
    add(MHD_OPTION_THREAD_POOL_SIZE, settings.threads, nullptr);
  }
  if (!settings.certificate_pem.empty() && !settings.private_key_pem.empty()) {
    flags |= MHD_USE_TLS;
    add(MHD_OPTION_HTTPS_MEM_CERT, 0, settings.certificate_pem.c_str());
    add(MHD_OPTION_HTTPS_MEM_KEY, 0, settings.private_key_pem.c_str());
  }
  add(MHD_OPTION_END, 0, nullptr);

  impl->daemon = MHD_start_daemon(flags, settings.port, nullptr, nullptr,
                                  &OnAccess, impl.get(), MHD_OPTION_ARRAY,
                                  options.data(), MHD_OPTION_END);
  if (impl->daemon == nullptr) {
    return Error{Code::kContradiction, "can't listen on " + settings.address +
                                           ":" + std::to_string(settings.port)};
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(impl->daemon, MHD_DAEMON_INFO_BIND_PORT);
  impl->port = info->port;
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

std::uint16_t Server::port() const { return impl_->port; }

std::size_t Server::open_responses() const {
  absl::MutexLock lock(&impl_->mutex);
  return impl_->open_responses.size();
}

}  // namespace gentianlb::http
