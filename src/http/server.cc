#include "http/server.h"

#include <arpa/inet.h>
#include <json/json.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <deque>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace gentianlb::http {
namespace {

// Bytes handed to libmicrohttpd in one call of the stream's reader.
constexpr std::size_t kStreamBlockBytes = 16 << 10;

bool SameName(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

// The state of one answer, shared by the connection (a server thread) and by
// whoever answers (any thread). A connection is suspended while there is
// nothing to send, so that no thread waits on it.
class Answer {
 public:
  explicit Answer(MHD_Connection* connection) : connection_(connection) {}

  void Respond(int status, std::vector<Header> headers, std::string body) {
    absl::MutexLock lock(&mutex_);
    if (phase_ != Phase::kWaiting) return;
    status_ = status;
    headers_ = std::move(headers);
    buffer_ = std::move(body);
    phase_ = Phase::kWhole;
    ResumeLocked();
  }

  void Begin(int status, std::vector<Header> headers) {
    absl::MutexLock lock(&mutex_);
    if (phase_ != Phase::kWaiting) return;
    status_ = status;
    headers_ = std::move(headers);
    phase_ = Phase::kStreaming;
    ResumeLocked();
  }

  void Write(std::string_view bytes) {
    absl::MutexLock lock(&mutex_);
    if (phase_ != Phase::kStreaming) return;
    buffer_.append(bytes);
    ResumeLocked();
  }

  void Finish() { End(Phase::kFinished); }
  void Abort() { End(Phase::kAborted); }

  void OnGone(std::function<void()> callback) {
    {
      absl::MutexLock lock(&mutex_);
      if (!gone_) {
        on_gone_ = std::move(callback);
        return;
      }
    }
    callback();
  }

  std::size_t Backlog() const {
    absl::MutexLock lock(&mutex_);
    return buffer_.size() - taken_;
  }

  // The remaining functions are called by server threads.

  // Queues the answer if it has begun, else suspends the connection until it
  // does.
  MHD_Result QueueOrSuspend(const std::shared_ptr<Answer>& self) {
    absl::MutexLock lock(&mutex_);
    if (phase_ == Phase::kWaiting) {
      SuspendLocked();
      return MHD_YES;
    }
    if (phase_ == Phase::kAborted) return MHD_NO;
    MHD_Response* response = nullptr;
    if (phase_ == Phase::kWhole) {
      response = MHD_create_response_from_buffer(buffer_.size(), buffer_.data(),
                                                 MHD_RESPMEM_MUST_COPY);
    } else {
      // The reader keeps the answer alive until libmicrohttpd frees it.
      response = MHD_create_response_from_callback(
          MHD_SIZE_UNKNOWN, kStreamBlockBytes, &Answer::Read,
          new std::shared_ptr<Answer>(self), &Answer::FreeReader);
    }
    for (const Header& header : headers_) {
      MHD_add_response_header(response, header.name.c_str(),
                              header.value.c_str());
    }
    MHD_Result queued = MHD_queue_response(
        connection_, static_cast<unsigned>(status_), response);
    MHD_destroy_response(response);
    return queued;
  }

  // The connection is over, `complete` when the whole answer was sent.
  void Close(bool complete) {
    std::function<void()> callback;
    {
      absl::MutexLock lock(&mutex_);
      gone_ = true;
      suspended_ = false;
      if (!complete) callback = std::move(on_gone_);
      on_gone_ = nullptr;
    }
    if (callback) callback();
  }

 private:
  enum class Phase { kWaiting, kWhole, kStreaming, kFinished, kAborted };

  void End(Phase phase) {
    absl::MutexLock lock(&mutex_);
    if (phase_ != Phase::kStreaming &&
        !(phase_ == Phase::kWaiting && phase == Phase::kAborted)) {
      return;
    }
    phase_ = phase;
    ResumeLocked();
  }

  void SuspendLocked() {
    if (suspended_) return;
    suspended_ = true;
    MHD_suspend_connection(connection_);
  }

  void ResumeLocked() {
    if (!suspended_ || gone_) return;
    suspended_ = false;
    MHD_resume_connection(connection_);
  }

  static ssize_t Read(void* closure, std::uint64_t /*position*/, char* out,
                      std::size_t room) {
    auto& self = *static_cast<std::shared_ptr<Answer>*>(closure);
    absl::MutexLock lock(&self->mutex_);
    std::size_t ready = self->buffer_.size() - self->taken_;
    if (ready == 0) {
      if (self->phase_ == Phase::kFinished) {
        return MHD_CONTENT_READER_END_OF_STREAM;
      }
      if (self->phase_ == Phase::kAborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
      }
      self->SuspendLocked();
      return 0;
    }
    std::size_t count = std::min(room, ready);
    std::memcpy(out, self->buffer_.data() + self->taken_, count);
    self->taken_ += count;
    if (self->taken_ == self->buffer_.size()) {
      self->buffer_.clear();
      self->taken_ = 0;
    }
    return static_cast<ssize_t>(count);
  }

  static void FreeReader(void* closure) {
    delete static_cast<std::shared_ptr<Answer>*>(closure);
  }

  mutable absl::Mutex mutex_;
  MHD_Connection* const connection_;
  Phase phase_ = Phase::kWaiting;
  bool suspended_ = false;
  bool gone_ = false;
  int status_ = 500;
  std::vector<Header> headers_;
  std::string buffer_;
  std::size_t taken_ = 0;
  std::function<void()> on_gone_;
};

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
  void OnGone(std::function<void()> callback) override {
    answer_->OnGone(std::move(callback));
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

}  // namespace

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
  constexpr std::string_view kPlain = "-._~!$&'()*+,;=:@/";
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (char c : path) {
    if (absl::ascii_isalnum(c) || kPlain.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    auto byte = static_cast<unsigned char>(c);
    encoded += {'%', kDigits[byte >> 4], kDigits[byte & 15]};
  }
  return encoded;
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
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  std::uint16_t port = 0;
  std::atomic<int> quiesced_socket = -1;

  MHD_Result Receive(MHD_Connection* connection, const char* method,
                     const char* path, const char* upload,
                     std::size_t* upload_size, void** slot) {
    // First call of a request: only its headers are there.
    auto& exchange = *static_cast<Exchange*>(*slot);
    if (!exchange.begun) {
      BeginExchange(connection, method, path, exchange);
      return MHD_YES;
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

  static void BeginExchange(MHD_Connection* connection, const char* method,
                            const char* path, Exchange& exchange) {
    exchange.begun = true;
    exchange.request.method = method;
    exchange.request.path = path;
    exchange.answer = std::make_shared<Answer>(connection);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectHeader,
                              &exchange);
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

void OnCompleted(void* /*closure*/, MHD_Connection* connection, void** slot,
                 MHD_RequestTerminationCode why) {
  std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*slot));
  *slot = nullptr;
  if (exchange == nullptr) return;
  bool slow = why == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED;
  if (slow && !exchange->handed_over) RefuseSlowMessage(connection);
  if (exchange->answer == nullptr) return;
  exchange->answer->Close(why == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

}  // namespace

Server::Server(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() {
  int quiesced = impl_->quiesced_socket.load();
  if (quiesced >= 0) close(quiesced);
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

  unsigned flags =
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;
  std::vector<MHD_OptionItem> options;
  auto add = [&](MHD_OPTION option, std::intptr_t value, const void* pointer) {
    options.push_back({option, value, const_cast<void*>(pointer)});
  };
  add(MHD_OPTION_SOCK_ADDR, 0, &address);
  add(MHD_OPTION_URI_LOG_CALLBACK,
      reinterpret_cast<std::intptr_t>(&OnRequestLine), nullptr);
  add(MHD_OPTION_NOTIFY_COMPLETED,
      reinterpret_cast<std::intptr_t>(&OnCompleted), nullptr);
  add(MHD_OPTION_CONNECTION_LIMIT,
      static_cast<std::intptr_t>(settings.limits.max_connections), nullptr);
  add(MHD_OPTION_CONNECTION_TIMEOUT,
      absl::ToInt64Seconds(settings.limits.idle_timeout), nullptr);
  // Room for the headers that are within the limit, and some to see excess.
  add(MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      static_cast<std::intptr_t>(2 * settings.limits.max_header_bytes + 4096),
      nullptr);
  if (settings.limits.threads > 1) {
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
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

std::uint16_t Server::port() const { return impl_->port; }

void Server::StopAccepting() {
  if (impl_->quiesced_socket.load() >= 0) return;
  impl_->quiesced_socket = MHD_quiesce_daemon(impl_->daemon);
}

}  // namespace gentianlb::http
