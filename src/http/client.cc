#include "http/client.h"

#include <curl/curl.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"

namespace gentianlb::http {
namespace {

// How long the thread sleeps at most when nothing happens; a new transfer or a
// cancellation wakes it at once.
constexpr int kPollMilliseconds = 1000;

long Milliseconds(absl::Duration duration) {  // NOLINT: libcurl's own type
  return static_cast<long>(                   // NOLINT
      std::max<std::int64_t>(1, absl::ToInt64Milliseconds(duration)));
}

struct CurlGlobal {
  CurlGlobal() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

// One transfer, owned by the client's thread.
struct Transfer {
  TransferId id = 0;
  ClientRequest request;
  TransferSink sink;
  CURL* handle = nullptr;
  curl_slist* header_list = nullptr;
  std::vector<Header> headers;
  bool head_passed = false;
  absl::Time last_byte;

  ~Transfer() {
    curl_slist_free_all(header_list);
    if (handle != nullptr) curl_easy_cleanup(handle);
  }

  void PassHead() {
    if (head_passed) return;
    head_passed = true;
    long status = 0;  // NOLINT: libcurl's own type
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    if (sink.on_head) sink.on_head(static_cast<int>(status), headers);
  }
};

std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                     void* closure) {
  auto& transfer = *static_cast<Transfer*>(closure);
  std::string_view line(data, size * count);
  transfer.last_byte = absl::Now();
  if (line.starts_with("HTTP/")) transfer.headers.clear();
  std::size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    while (!value.empty() && (value.back() == '\r' || value.back() == '\n')) {
      value.remove_suffix(1);
    }
    transfer.headers.push_back(
        {std::string(line.substr(0, colon)), std::string(value)});
  }
  return size * count;
}

std::size_t OnData(char* data, std::size_t size, std::size_t count,
                   void* closure) {
  auto& transfer = *static_cast<Transfer*>(closure);
  transfer.last_byte = absl::Now();
  transfer.PassHead();
  if (transfer.sink.on_data) {
    transfer.sink.on_data(std::string_view(data, size * count));
  }
  return size * count;
}

// Sorts libcurl's result: only what proves that nothing left is kNotSent.
TransferEnd Classify(CURL* handle, CURLcode code) {
  if (code == CURLE_OK) return TransferEnd::kComplete;
  long sent = 0;  // NOLINT: libcurl's own type
  curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &sent);
  curl_off_t connected = 0;
  curl_easy_getinfo(handle, CURLINFO_CONNECT_TIME_T, &connected);
  if (connected == 0 && sent == 0) return TransferEnd::kNotSent;
  if (code == CURLE_OPERATION_TIMEDOUT) return TransferEnd::kTimedOut;
  return TransferEnd::kBroken;
}

}  // namespace

struct Client::Impl {
  struct Command {
    TransferId id = 0;
    std::unique_ptr<Transfer> start;  // Null: cancel `id`.
  };

  CURLM* multi = nullptr;
  absl::Mutex mutex;
  std::vector<Command> commands ABSL_GUARDED_BY(mutex);
  bool stopping ABSL_GUARDED_BY(mutex) = false;
  TransferId next_id ABSL_GUARDED_BY(mutex) = 1;
  absl::flat_hash_map<TransferId, std::unique_ptr<Transfer>> transfers;
  std::thread thread;

  ~Impl() { curl_multi_cleanup(multi); }

  void Run() {
    while (true) {
      std::vector<Command> taken;
      {
        absl::MutexLock lock(&mutex);
        if (stopping) break;
        taken.swap(commands);
      }
      for (Command& command : taken) Execute(std::move(command));
      int running = 0;
      curl_multi_perform(multi, &running);
      CollectEnded();
      EndSilent();
      curl_multi_poll(multi, nullptr, 0, PollTime(), nullptr);
    }
    while (!transfers.empty()) {
      End(transfers.begin()->first, TransferEnd::kCancelled, "stopped");
    }
  }

  int PollTime() const {
    auto silent =
        std::find_if(transfers.begin(), transfers.end(), [](const auto& entry) {
          return entry.second->request.silence < absl::InfiniteDuration();
        });
    return silent == transfers.end() ? kPollMilliseconds
                                     : kPollMilliseconds / 10;
  }

  void Execute(Command command) {
    if (command.start == nullptr) {
      End(command.id, TransferEnd::kCancelled, "cancelled");
      return;
    }
    Transfer& transfer = *command.start;
    Prepare(transfer);
    curl_multi_add_handle(multi, transfer.handle);
    transfers[command.id] = std::move(command.start);
  }

  static void Prepare(Transfer& transfer) {
    transfer.handle = curl_easy_init();
    transfer.last_byte = absl::Now();
    CURL* handle = transfer.handle;
    const ClientRequest& request = transfer.request;
    curl_easy_setopt(handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &OnHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &OnData);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     Milliseconds(request.connect_timeout));
    if (request.timeout < absl::InfiniteDuration()) {
      curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                       Milliseconds(request.timeout));
    }
    if (request.at_most_once) {
      curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!request.ca_file.empty()) {
      curl_easy_setopt(handle, CURLOPT_CAINFO, request.ca_file.c_str());
    }
    PrepareBody(transfer);
  }

  static void PrepareBody(Transfer& transfer) {
    CURL* handle = transfer.handle;
    const ClientRequest& request = transfer.request;
    if (request.method != "GET" || !request.body.empty()) {
      curl_easy_setopt(handle, CURLOPT_POST, 1L);
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, request.body.data());
      curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    for (const Header& header : request.headers) {
      std::string line = header.name + ": " + header.value;
      transfer.header_list =
          curl_slist_append(transfer.header_list, line.c_str());
    }
    // An Expect header would add a round trip before each larger body.
    transfer.header_list = curl_slist_append(transfer.header_list, "Expect:");
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, transfer.header_list);
  }

  void CollectEnded() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      CURLcode code = message->data.result;
      TransferEnd end = Classify(message->easy_handle, code);
      if (end == TransferEnd::kComplete) transfer->PassHead();
      End(transfer->id, end, curl_easy_strerror(code));
    }
  }

  // A frozen peer keeps its connection open and says nothing; without this the
  // transfer would wait for ever.
  void EndSilent() {
    absl::Time now = absl::Now();
    std::vector<TransferId> silent;
    for (const auto& [id, transfer] : transfers) {
      if (now - transfer->last_byte > transfer->request.silence) {
        silent.push_back(id);
      }
    }
    for (TransferId id : silent) {
      End(id, TransferEnd::kTimedOut, "no byte within the silence limit");
    }
  }

  void End(TransferId id, TransferEnd end, std::string detail) {
    auto found = transfers.find(id);
    if (found == transfers.end()) return;
    std::unique_ptr<Transfer> transfer = std::move(found->second);
    transfers.erase(found);
    curl_multi_remove_handle(multi, transfer->handle);
    if (transfer->sink.on_end) transfer->sink.on_end(end, std::move(detail));
  }

  void Push(Command command) {
    {
      absl::MutexLock lock(&mutex);
      commands.push_back(std::move(command));
    }
    curl_multi_wakeup(multi);
  }
};

Client::Client() : impl_(std::make_unique<Impl>()) {
  static const CurlGlobal global;
  impl_->multi = curl_multi_init();
  impl_->thread = std::thread([this] { impl_->Run(); });
}

Client::~Client() { Stop(); }

void Client::Stop() {
  if (!impl_->thread.joinable()) return;
  {
    absl::MutexLock lock(&impl_->mutex);
    impl_->stopping = true;
  }
  curl_multi_wakeup(impl_->multi);
  impl_->thread.join();
}

TransferId Client::Start(ClientRequest request, TransferSink sink) {
  auto transfer = std::make_unique<Transfer>();
  transfer->request = std::move(request);
  transfer->sink = std::move(sink);
  {
    absl::MutexLock lock(&impl_->mutex);
    transfer->id = impl_->next_id++;
  }
  TransferId id = transfer->id;
  impl_->Push({id, std::move(transfer)});
  return id;
}

void Client::Cancel(TransferId id) { impl_->Push({id, nullptr}); }

TransferId Client::Fetch(ClientRequest request,
                         std::function<void(Reply)> done) {
  auto reply = std::make_shared<Reply>();
  TransferSink sink;
  sink.on_head = [reply](int status, std::vector<Header> headers) {
    reply->status = status;
    reply->headers = std::move(headers);
  };
  sink.on_data = [reply](std::string_view bytes) { reply->body += bytes; };
  sink.on_end = [reply, done = std::move(done)](TransferEnd end,
                                                std::string detail) {
    reply->end = end;
    reply->detail = std::move(detail);
    done(std::move(*reply));
  };
  return Start(std::move(request), std::move(sink));
}

Reply Client::FetchAndWait(ClientRequest request) {
  Reply result;
  absl::Notification arrived;
  Fetch(std::move(request), [&](Reply reply) {
    result = std::move(reply);
    arrived.Notify();
  });
  arrived.WaitForNotification();
  return result;
}

}  // namespace gentianlb::http
