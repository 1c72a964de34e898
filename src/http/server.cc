#include "http/server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <set>

#include "absl/synchronization/mutex.h"
#include "http/framing.h"
#include "http/loop_connections.h"
#include "http/pending_response.h"

namespace gentianlb::http {
namespace {

// libmicrohttpd closes idle connections only when it is run; its timeouts are
// whole seconds.
constexpr absl::Duration kIdleSweepInterval = absl::Seconds(1);

// Connections that may wait to be accepted while the loop is busy. With a full
// queue, a caller waits a second until it retransmits its SYN packet.
constexpr unsigned kListenBacklog = 512;

// A request's body is held once more while it is sent to a server.
constexpr std::size_t kCopiesOfBody = 2;

// What gives way holds much; most of it ends within seconds.
constexpr absl::Duration kRetryAfterGivingWay = absl::Seconds(1);

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
    return response_->UnacknowledgedFor();
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
  bool gave_way = false;  // To others, as the host holds too much.
  bool caller_disconnected = false;
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
  std::shared_ptr<ByteBudget> budget;
  loop::EventLoop* loop = nullptr;
  TimerId idle_sweep_timer = 0;
  bool run_pending = false;
  bool stopped_accepting = false;
  std::shared_ptr<int> alive = std::make_shared<int>(0);
  std::unique_ptr<LoopConnections> connections;  // Set with `loop`.
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  std::uint16_t port = 0;
  std::atomic<int> quiesced_socket = -1;
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
    if (connections != nullptr && !exchange.dispatched &&
        connections->IsEvicted(connection)) {
      return MHD_NO;
    }
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
    if (connections != nullptr) connections->SetResponding(connection, true);
    if (!exchange.dispatched) Dispatch(exchange);
    return exchange.response->QueueOrSuspend(exchange.response);
  }

  void BeginExchange(MHD_Connection* connection, const char* method,
                     const char* path, const char* version,
                     Exchange& exchange) {
    exchange.started = true;
    exchange.request.method = method;
    exchange.request.path = path;
    std::function<void()> on_resume;
    if (loop != nullptr) on_resume = [this] { ScheduleRun(); };
    const bool accepts_chunks =
        std::string_view(version) != MHD_HTTP_VERSION_1_0;
    exchange.response = std::make_shared<PendingResponse>(
        connection, accepts_chunks, std::move(on_resume), budget);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &exchange);
    if (connections == nullptr) return;
    exchange.caller_disconnected =
        !connections->SetPendingResponse(connection, exchange.response);
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
      DropBody(exchange);
    }
    if (exchange.too_large || exchange.gave_way) return;
    exchange.request.body.append(block);
    if (budget == nullptr) return;
    if (exchange.request.held == nullptr) {
      exchange.request.held =
          std::make_shared<HeldBytes>(budget, HeldKind::kRequest, [&exchange] {
            exchange.gave_way = true;
            DropBody(exchange);
          });
    }
    exchange.request.held->Set(kCopiesOfBody *
                               AllocatedBytes(exchange.request.body));
    budget->Relieve();
  }

  static void DropBody(Exchange& exchange) {
    Deallocate(exchange.request.body);
    if (exchange.request.held != nullptr) exchange.request.held->Set(0);
  }

  void Dispatch(Exchange& exchange) {
    exchange.dispatched = true;
    if (exchange.caller_disconnected || !Open(exchange.response)) {
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
    if (exchange.request.held != nullptr && !exchange.gave_way &&
        !exchange.request.held->Keep()) {
      exchange.gave_way = true;
      DropBody(exchange);
    }
    if (exchange.gave_way) {
      RespondProblem(*responder,
                     {Code::kHoldsTooMuch, "no room for the request's body"},
                     kRetryAfterGivingWay);
      return;
    }
    if (exchange.header_bytes > limits.max_header_bytes) {
      RespondProblem(*responder,
                     {Code::kHeaderTooLarge,
                      "at most " + std::to_string(limits.max_header_bytes) +
                          " bytes are taken"});
      return;
    }
    handler(std::move(exchange.request), std::move(responder));
  }

  // Accepted connections have the listener's option.
  void BoundReceiveBuffers() const {
    const int bytes = limits.receive_buffer_bytes;
    if (bytes == 0) return;
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_LISTEN_FD);
    if (setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &bytes,
                   sizeof bytes) == 0) {
      return;
    }
    PLOG(WARNING) << "event=socket-option-refused option=SO_RCVBUF";
  }

  // Makes the loop run the daemon when one of its connections has events, and
  // periodically to close idle connections.
  void AttachToLoop() {
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
    loop->Watch(info->epoll_fd, EPOLLIN,
                [this](std::uint32_t) { RunDaemon(); });
    idle_sweep_timer =
        loop->timers().Every(loop->now() + kIdleSweepInterval,
                             kIdleSweepInterval, [this](absl::Time) {
                               connections->Relieve();
                               RunDaemon();
                             });
  }

  // Runs the daemon, and schedules another run if connections still have work.
  // libmicrohttpd reports that by a zero timeout, not by an event on its
  // descriptor. Without another run, a pipelined request stays unread until the
  // next event, up to a second on a draining host without other traffic. A
  // caller that waits for the place of an evicted connection is no event
  // either.
  void RunDaemon() {
    const std::size_t evicting_before = connections->evicting();
    MHD_run(daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    const bool has_more = MHD_get_timeout(daemon, &timeout) == MHD_YES;
    const bool has_room = connections->evicting() != evicting_before;
    if ((has_more && timeout == 0) || has_room) ScheduleRun();
  }

  // Schedules one run of the daemon for all responses that have data to send
  // after this round of events. The daemon's own wake-up comes a round later.
  void ScheduleRun() {
    if (run_pending) return;
    run_pending = true;
    loop->Defer([this, alive = std::weak_ptr<int>(alive)] {
      if (alive.expired()) return;
      run_pending = false;
      RunDaemon();
    });
  }

  void DetachFromLoop() {
    if (daemon == nullptr) return;
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
    loop->Unwatch(info->epoll_fd);
    loop->timers().Cancel(idle_sweep_timer);
    AbortAll();
    MHD_run(daemon);
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

// Sends a refusal to a caller whose message was not complete in time, or had to
// make room. libmicrohttpd closes such a connection without a response, which
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
  auto& server = *static_cast<Server::Impl*>(closure);
  const bool evicted = server.connections != nullptr &&
                       server.connections->IsEvicted(connection);
  if ((slow || evicted) && !exchange->dispatched) {
    RefuseIncompleteMessage(
        connection, {Code::kRequestTooSlow,
                     slow ? "the message is not complete"
                          : "others wait for the message's connection"});
  }
  if (exchange->response == nullptr) return;
  if (server.connections != nullptr) {
    server.connections->SetResponding(connection, false);
  }
  server.Close(exchange->response,
               reason == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

void OnConnection(void* closure, MHD_Connection* connection,
                  void** /*socket_context*/,
                  MHD_ConnectionNotificationCode event) {
  LoopConnections& connections =
      *static_cast<Server::Impl*>(closure)->connections;
  if (event == MHD_CONNECTION_NOTIFY_STARTED) {
    connections.OnOpened(connection);
  } else {
    connections.OnClosed(connection);
  }
}

}  // namespace

Server::Server(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() {
  if (impl_->loop != nullptr) impl_->DetachFromLoop();
  int quiesced = impl_->quiesced_socket.load();
  if (quiesced >= 0) close(quiesced);
  impl_->AbortAll();
  if (impl_->daemon != nullptr) MHD_stop_daemon(impl_->daemon);
}

Outcome<std::unique_ptr<Server>> Server::Start(const ServerSettings& settings,
                                               Handler handler) {
  auto impl = std::make_unique<Impl>();
  impl->limits = settings.limits;
  if (settings.loop != nullptr) impl->budget = settings.budget;
  impl->handler = std::move(handler);

  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(settings.port);
  if (inet_pton(AF_INET, settings.address.c_str(), &address.sin_addr) != 1) {
    return Error{Code::kOutOfRange, "not an IPv4 address: " + settings.address};
  }

  unsigned flags = MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC |
                   (settings.loop != nullptr ? MHD_USE_EPOLL
                                             : MHD_USE_EPOLL_INTERNAL_THREAD);
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
  // The header limit, and some more to detect headers that exceed it.
  // libmicrohttpd clears the whole buffer after each request, so each
  // connection uses all of it: with 70 KB each, 1,500 callers in an overload
  // take 106 MB, and some hosts have 110 MB.
  add(MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::intptr_t>(settings.limits.max_header_bytes + 4096),
      nullptr);
  add(MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog, nullptr);
  if (settings.loop != nullptr) {
    impl->loop = settings.loop;
    impl->connections = std::make_unique<LoopConnections>(
        settings.loop, settings.limits.idle_timeout,
        settings.limits.max_connections);
    add(MHD_OPTION_NOTIFY_CONNECTION,
        reinterpret_cast<std::intptr_t>(&OnConnection), impl.get());
  } else if (settings.limits.threads > 1) {
    add(MHD_OPTION_THREAD_POOL_SIZE, settings.limits.threads, nullptr);
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
  impl->BoundReceiveBuffers();
  if (impl->loop != nullptr) impl->AttachToLoop();
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

std::uint16_t Server::port() const { return impl_->port; }

void Server::StopAccepting() {
  if (impl_->quiesced_socket.load() >= 0 || impl_->stopped_accepting) return;
  impl_->quiesced_socket = MHD_quiesce_daemon(impl_->daemon);
  if (impl_->loop == nullptr) return;
  // An open socket would keep queueing callers that are never accepted. With
  // the socket closed, they are refused at once and go to another host.
  close(impl_->quiesced_socket.exchange(-1));
  impl_->stopped_accepting = true;
}

void Server::SetIdleTimeout(absl::Duration timeout) {
  if (impl_->connections != nullptr) {
    impl_->connections->SetIdleTimeout(timeout);
  }
}

void Server::SetKeepAliveTimeout(absl::Duration timeout) {
  if (impl_->connections != nullptr) {
    impl_->connections->SetKeepAliveTimeout(timeout);
  }
}

std::size_t Server::open_responses() const {
  absl::MutexLock lock(&impl_->mutex);
  return impl_->open_responses.size();
}

std::uint64_t Server::evicted_connections() const {
  return impl_->connections == nullptr ? 0 : impl_->connections->evicted();
}

std::size_t Server::open_connections() const {
  return impl_->connections == nullptr ? 0 : impl_->connections->size();
}

}  // namespace gentianlb::http
