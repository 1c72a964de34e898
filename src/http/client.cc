#include "http/client.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "http/transfer.h"

namespace gentianlb::http {
namespace {

// Maximum sleep of the thread. New transfers and cancellations wake it at once.
constexpr int kMaxPollMilliseconds = 1000;

// The client whose sinks this thread calls.
thread_local const void* client_of_thread = nullptr;

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
  ConnectionSockets sockets;
  absl::flat_hash_map<TransferId, std::unique_ptr<Transfer>> transfers;
  std::thread thread;

  ~Impl() { curl_multi_cleanup(multi); }

  void Run() {
    client_of_thread = this;
    while (true) {
      std::vector<Command> pending;
      {
        absl::MutexLock lock(&mutex);
        if (stopping) break;
        pending.swap(commands);
      }
      for (Command& command : pending) Execute(std::move(command));
      int running = 0;
      curl_multi_perform(multi, &running);
      CollectFinished();
      EndInactive();
      curl_multi_poll(multi, nullptr, 0, PollMilliseconds(), nullptr);
    }
    while (!transfers.empty()) {
      EndTransfer(transfers.begin()->first, TransferEnd::kCancelled, "stopped");
    }
  }

  int PollMilliseconds() const {
    auto inactive =
        std::find_if(transfers.begin(), transfers.end(), [](const auto& entry) {
          return entry.second->request().inactivity_timeout <
                 absl::InfiniteDuration();
        });
    return inactive == transfers.end() ? kMaxPollMilliseconds
                                       : kMaxPollMilliseconds / 10;
  }

  void Execute(Command command) {
    if (command.start == nullptr) {
      EndTransfer(command.id, TransferEnd::kCancelled, "cancelled");
      return;
    }
    command.start->Prepare();
    curl_multi_add_handle(multi, command.start->handle());
    transfers[command.id] = std::move(command.start);
  }

  void CollectFinished() {
    int remaining = 0;
    while (CURLMsg* message = curl_multi_info_read(multi, &remaining)) {
      if (message->msg != CURLMSG_DONE) continue;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      const CURLcode code = message->data.result;
      if (transfer->NeedsNewConnection()) {
        curl_multi_remove_handle(multi, transfer->handle());
        transfer->PrepareNewConnection();
        curl_multi_add_handle(multi, transfer->handle());
        continue;
      }
      const TransferEnd end = transfer->Finish(code);
      if (end == TransferEnd::kInvalid) transfer->ReportInvalid(code);
      EndTransfer(transfer->id, end, transfer->DetailOf(code));
    }
  }

  // Ends transfers that exceed their inactivity timeout. A frozen server keeps
  // its connection open and sends nothing, so such a transfer would never end.
  void EndInactive() {
    absl::Time now = absl::Now();
    std::vector<TransferId> inactive;
    for (const auto& [id, transfer] : transfers) {
      if (now - transfer->last_byte_time() >
          transfer->request().inactivity_timeout) {
        inactive.push_back(id);
      }
    }
    for (TransferId id : inactive) {
      EndTransfer(id, TransferEnd::kTimedOut,
                  "no byte within the silence limit");
    }
  }

  void EndTransfer(TransferId id, TransferEnd end, std::string detail) {
    auto found = transfers.find(id);
    if (found == transfers.end()) return;
    std::unique_ptr<Transfer> transfer = std::move(found->second);
    transfers.erase(found);
    curl_multi_remove_handle(multi, transfer->handle());
    if (transfer->sink().on_end) {
      transfer->sink().on_end(end, std::move(detail));
    }
  }

  void Push(Command command) {
    {
      absl::MutexLock lock(&mutex);
      commands.push_back(std::move(command));
    }
    curl_multi_wakeup(multi);
  }
};

TransferSink CollectReply(std::function<void(Reply)> done) {
  auto reply = std::make_shared<Reply>();
  TransferSink sink;
  sink.on_head = [reply](ReceivedHead head) {
    reply->status = head.status;
    reply->headers = std::move(head.headers);
    return ReadAction::kContinue;
  };
  sink.on_data = [reply](std::string_view bytes) { reply->body += bytes; };
  sink.on_end = [reply, done = std::move(done)](TransferEnd end,
                                                std::string detail) {
    reply->end = end;
    reply->detail = std::move(detail);
    done(std::move(*reply));
  };
  return sink;
}

Client::Client() : impl_(std::make_unique<Impl>()) {
  InitializeCurl(CurlUse::kWithTls);
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
  TransferId id = 0;
  {
    absl::MutexLock lock(&impl_->mutex);
    id = impl_->next_id++;
  }
  impl_->Push(
      {id, std::make_unique<Transfer>(id, std::move(request), std::move(sink),
                                      &impl_->sockets)});
  return id;
}

void Client::Cancel(TransferId id) {
  if (client_of_thread == impl_.get()) {
    const auto found = impl_->transfers.find(id);
    if (found != impl_->transfers.end()) found->second->Cancel();
  }
  impl_->Push({id, nullptr});
}

TransferId Client::Fetch(ClientRequest request,
                         std::function<void(Reply)> done) {
  return Start(std::move(request), CollectReply(std::move(done)));
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
