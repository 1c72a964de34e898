#include "http/server.h"

#include <arpa/inet.h>
#include <json/json.h>
#include <microhttpd.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "http/answer.h"
#include "http/framing.h"
#include "http/loop_connections.h"

namespace gentianlb::http {
namespace {

// libmicrohttpd looks for connections that were idle for too long only when it
// is run; its timeouts are whole seconds.
constexpr absl::Duration kIdleSweep = absl::Seconds(1);

// Callers that may wait to be accepted while the loop is busy. A full queue
// costs a caller a second, until it sends its opening packet again.
constexpr unsigned kListenBacklog = 512;

// What the handler holds. Its end without an answer breaks the connection.
class AnswerHandle : public Responder {
 public:
  explicit AnswerHandle(std::shared_ptr<Answer> answer)
      : answer_(std::move(answer)) {}
  ~AnswerHandle() override { answer_->Abort(); }

  void Respond(int status, std::vector<Header> headers,
               std::string body) override {
    answer_->Respond(status, std::move(headers), std::move(body));
  }
  void Begin(int status, std::vector<Header> headers) override {
    answer_->Begin(status, std::move(headers));
  }
  void Write(std::string_view bytes) override { answer_->Write(bytes); }
  void Finish() override { answer_->Finish(); }
  void Abort() override { answer_->Abort(); }
  void OnDisconnect(std::function<void()> callback) override {
    answer_->OnDisconnect(std::move(callback));
  }
  std::size_t Backlog() const override { return answer_->Backlog(); }

 private:
  std::shared_ptr<Answer> answer_;
};

// One request while it arrives.
struct Exchange {
  Request request;
  std::size_t header_bytes = 0;
  bool begun = false;
  bool too_large = false;
  bool caller_left = false;
  bool handed_over = false;
  std::shared_ptr<Answer> answer;
};

MHD_Result CollectHeader(void* closure, MHD_ValueKind, const char* name,
                         const char* value) {
  auto& exchange = *static_cast<Exchange*>(closure);
  Header header{name, value == nullptr ? "" : value};
  exchange.header_bytes += header.name.size() + header.value.size() + 4;
  exchange.request.headers.push_back(std::move(header));
  return MHD_YES;
}

// Percent-encodes all but letters, digits and `plain`.
std::string Encode(std::string_view text, std::string_view plain) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char c : text) {
    if (absl::ascii_isalnum(c) || plain.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    auto byte = static_cast<unsigned char>(c);
    encoded += {'%', kDigits[byte >> 4], kDigits[byte & 15]};
  }
  return encoded;
}

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

std::string_view FindHeader(const std::vector<Header>& headers,
                            std::string_view name) {
  for (const Header& header : headers) {
    if (SameName(header.name, name)) return header.value;
  }
  return {};
}

std::string_view Request::argument(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return equals == std::string_view::npos ? std::string_view()
                                            : pair.substr(equals + 1);
  }
  return {};
}

std::string EncodePath(std::string_view path) {
  return Encode(path, "-._~!$&'()*+,;=:@/");
}

std::string EncodeArgument(std::string_view value) {
  return Encode(value, "-._~");
}

std::string ProblemBody(const Error& error) {
  const CodeInfo& info = Describe(error.code);
  Json::Value body;
  body["type"] = "about:blank";
  body["code"] = static_cast<int>(error.code);
  body["title"] = std::string(info.meaning);
  body["status"] = info.http_status;
  body["detail"] = error.detail;
  body["run"] = info.run == RunState::kNo ? "no" : "unknown";
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, body);
}

void RespondProblem(Responder& responder, const Error& error,
                    absl::Duration retry_after) {
  std::vector<Header> headers = {{"Content-Type", "application/problem+json"}};
  if (retry_after > absl::ZeroDuration()) {
    auto seconds =
        absl::ToInt64Seconds(absl::Ceil(retry_after, absl::Seconds(1)));
    headers.push_back({"Retry-After", std::to_string(seconds)});
  }
  responder.Respond(Describe(error.code).http_status, std::move(headers),
                    ProblemBody(error));
}

struct Server::Impl {
  ServerLimits limits;
  loop::EventLoop* loop = nullptr;
  TimerId sweep = 0;
  bool run_pending = false;
  bool stopped_accepting = false;
  std::shared_ptr<int> alive = std::make_shared<int>(0);
  std::unique_ptr<LoopConnections> connections;  // With a loop.
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  std::uint16_t port = 0;
  std::atomic<int> quiesced_socket = -1;
  absl::Mutex mutex;
  bool closing ABSL_GUARDED_BY(mutex) = false;
  std::set<std::shared_ptr<Answer>> open_answers ABSL_GUARDED_BY(mutex);

  // False when the server is closing.
  bool Open(const std::shared_ptr<Answer>& answer) {
    absl::MutexLock lock(&mutex);
    if (closing) return false;
    open_answers.insert(answer);
    return true;
  }

  void Close(const std::shared_ptr<Answer>& answer, bool complete) {
    {
      absl::MutexLock lock(&mutex);
      open_answers.erase(answer);
    }
    answer->Close(complete);
  }

  // libmicrohttpd ends the whole process when it is stopped while a connection
  // is suspended, as each is that waits for its answer. Aborting an answer
  // wakes its connection, and an aborted one is never suspended again.
  void AbortAll() {
    std::set<std::shared_ptr<Answer>> taken;
    {
      absl::MutexLock lock(&mutex);
      closing = true;
      taken.swap(open_answers);
    }
    for (const auto& answer : taken) answer->Abort();
  }

  MHD_Result Receive(MHD_Connection* connection, const char* method,
                     const char* path, const char* upload,
                     std::size_t* upload_size, void** slot) {
    // First call of a request: only its headers are there.
    auto& exchange = *static_cast<Exchange*>(*slot);
    if (!exchange.begun) {
      BeginExchange(connection, method, path, exchange);
      return RefuseMalformed(exchange);
    }
    // Later calls: a block of the body, or the end of it.
    if (*upload_size > 0) {
      AppendBody(exchange, std::string_view(upload, *upload_size));
      *upload_size = 0;
      return MHD_YES;
    }
    if (!exchange.handed_over) HandOver(exchange);
    return exchange.answer->QueueOrSuspend(exchange.answer);
  }

  void BeginExchange(MHD_Connection* connection, const char* method,
                     const char* path, Exchange& exchange) {
    exchange.begun = true;
    exchange.request.method = method;
    exchange.request.path = path;
    std::function<void()> on_resume;
    if (loop != nullptr) on_resume = [this] { RunSoon(); };
    exchange.answer =
        std::make_shared<Answer>(connection, std::move(on_resume));
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &exchange);
    if (connections == nullptr) return;
    exchange.caller_left = !connections->Awaits(connection, exchange.answer);
  }

  // An answer before the body is read makes libmicrohttpd close the connection
  // after it, so that nothing of the doubtful rest is taken for a request.
  MHD_Result RefuseMalformed(Exchange& exchange) {
    const std::string_view problem = FramingProblem(exchange.request.headers);
    if (problem.empty()) return MHD_YES;
    exchange.handed_over = true;
    AnswerHandle responder(exchange.answer);
    RespondProblem(responder, {Code::kMalformedRequest, std::string(problem)});
    return exchange.answer->QueueOrSuspend(exchange.answer);
  }

  void AppendBody(Exchange& exchange, std::string_view block) const {
    if (exchange.request.body.size() + block.size() > limits.max_body_bytes) {
      exchange.too_large = true;
      exchange.request.body.clear();
    }
    if (!exchange.too_large) exchange.request.body.append(block);
  }

  void HandOver(Exchange& exchange) {
    exchange.handed_over = true;
    if (exchange.caller_left || !Open(exchange.answer)) {
      exchange.answer->Abort();
      return;
    }
    auto responder = std::make_shared<AnswerHandle>(exchange.answer);
    if (exchange.too_large) {
      RespondProblem(*responder,
                     {Code::kBodyTooLarge,
                      "at most " + std::to_string(limits.max_body_bytes) +
                          " bytes are taken"});
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

  // Runs the daemon whenever one of its connections has something to do.
  void Join() {
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
    loop->Watch(info->epoll_fd, EPOLLIN, [this](std::uint32_t) { Run(); });
    sweep = loop->timers().Every(loop->now() + kIdleSweep, kIdleSweep,
                                 [this](absl::Time) { Run(); });
  }

  // libmicrohttpd may come back with connections that are ready for more, and
  // then its descriptor says nothing: a timeout of zero does. Without another
  // run such a request lay unread until something else happened, and on a host
  // that drained, with no other traffic, for up to a second.
  void Run() {
    MHD_run(daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    const bool more = MHD_get_timeout(daemon, &timeout) == MHD_YES;
    if (more && timeout == 0) RunSoon();
  }

  // Once for all answers that have something to send after this round of
  // events. The daemon's own wake-up would come a round later.
  void RunSoon() {
    if (run_pending) return;
    run_pending = true;
    loop->Defer([this, alive = std::weak_ptr<int>(alive)] {
      if (alive.expired()) return;
      run_pending = false;
      Run();
    });
  }

  void Leave() {
    if (daemon == nullptr) return;
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
    loop->Unwatch(info->epoll_fd);
    loop->timers().Cancel(sweep);
    AbortAll();
    MHD_run(daemon);
  }
};

namespace {

MHD_Result OnAccess(void* closure, MHD_Connection* connection, const char* path,
                    const char* method, const char* /*version*/,
                    const char* upload, std::size_t* upload_size, void** slot) {
  return static_cast<Server::Impl*>(closure)->Receive(
      connection, method, path, upload, upload_size, slot);
}

// Called with the request line, before anything is decoded; what it returns
// becomes the slot of the request.
void* OnRequestLine(void* /*closure*/, const char* target,
                    MHD_Connection* /*connection*/) {
  auto exchange = std::make_unique<Exchange>();
  exchange->request.target = target;
  const char* question = std::strchr(target, '?');
  if (question != nullptr) exchange->request.query = question + 1;
  return exchange.release();
}

// libmicrohttpd closes a connection whose message did not arrive in time
// without a word, and the client could not tell that from a crash. Its socket
// is still open here and nothing was written to it yet, so that the refusal can
// be sent as a last, whole answer. Not over TLS, where the library owns the
// stream: there the connection just closes.
void RefuseSlowMessage(MHD_Connection* connection) {
  if (MHD_get_connection_info(connection, MHD_CONNECTION_INFO_GNUTLS_SESSION) !=
      nullptr) {
    return;
  }
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == nullptr) return;
  std::string body =
      ProblemBody({Code::kRequestTooSlow, "the message is not complete"});
  std::string answer =
      "HTTP/1.1 408 Request Timeout\r\n"
      "Content-Type: application/problem+json\r\n"
      "Connection: close\r\n"
      "Content-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  send(info->connect_fd, answer.data(), answer.size(),
       MSG_DONTWAIT | MSG_NOSIGNAL);
}

void OnCompleted(void* closure, MHD_Connection* connection, void** slot,
                 MHD_RequestTerminationCode why) {
  std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*slot));
  *slot = nullptr;
  if (exchange == nullptr) return;
  bool slow = why == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED;
  if (slow && !exchange->handed_over) RefuseSlowMessage(connection);
  if (exchange->answer == nullptr) return;
  static_cast<Server::Impl*>(closure)->Close(
      exchange->answer, why == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

void OnConnection(void* closure, MHD_Connection* connection,
                  void** /*socket_context*/,
                  MHD_ConnectionNotificationCode what) {
  LoopConnections& connections =
      *static_cast<Server::Impl*>(closure)->connections;
  if (what == MHD_CONNECTION_NOTIFY_STARTED) {
    connections.Opened(connection);
  } else {
    connections.Closed(connection);
  }
}

}  // namespace

Server::Server(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() {
  if (impl_->loop != nullptr) impl_->Leave();
  int quiesced = impl_->quiesced_socket.load();
  if (quiesced >= 0) close(quiesced);
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
    return Error{Code::kOutOfRange, "not an IP number: " + settings.address};
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
  // Room for the headers that are within the limit, and some to see excess.
  // libmicrohttpd clears all of it after each request, so that every connection
  // costs the whole: at 70 KB each, a host with 1,500 callers in an overload
  // reached 106 MB, where some hosts have 110.
  add(MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::intptr_t>(settings.limits.max_header_bytes + 4096),
      nullptr);
  add(MHD_OPTION_LISTEN_BACKLOG_SIZE, kListenBacklog, nullptr);
  if (settings.loop != nullptr) {
    impl->loop = settings.loop;
    impl->connections = std::make_unique<LoopConnections>(
        settings.loop, settings.limits.idle_timeout);
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
  if (impl->loop != nullptr) impl->Join();
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

std::uint16_t Server::port() const { return impl_->port; }

void Server::StopAccepting() {
  if (impl_->quiesced_socket.load() >= 0 || impl_->stopped_accepting) return;
  impl_->quiesced_socket = MHD_quiesce_daemon(impl_->daemon);
  if (impl_->loop == nullptr) return;
  // Open, it would go on queueing callers whom nobody accepts. Closed, they get
  // a refusal at once and go to another host.
  close(impl_->quiesced_socket.exchange(-1));
  impl_->stopped_accepting = true;
}

void Server::SetIdleTimeout(absl::Duration timeout) {
  if (impl_->connections != nullptr) {
    impl_->connections->SetIdleTimeout(timeout);
  }
}

std::size_t Server::open_connections() const {
  return impl_->connections == nullptr ? 0 : impl_->connections->size();
}

}  // namespace gentianlb::http
