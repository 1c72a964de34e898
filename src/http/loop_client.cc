#include "http/loop_client.h"

#include <sys/epoll.h>

#include <utility>

namespace gentianlb::http {
namespace {

std::uint32_t EpollEvents(int what) {
  switch (what) {
    case CURL_POLL_IN:
      return EPOLLIN;
    case CURL_POLL_OUT:
      return EPOLLOUT;
    default:
      return EPOLLIN | EPOLLOUT;
  }
}

int CurlEvents(std::uint32_t events) {
  int selected = 0;
  if ((events & (EPOLLIN | EPOLLHUP)) != 0) selected |= CURL_CSELECT_IN;
  if ((events & EPOLLOUT) != 0) selected |= CURL_CSELECT_OUT;
  if ((events & EPOLLERR) != 0) selected |= CURL_CSELECT_ERR;
  return selected;
}

}  // namespace

LoopClient::LoopClient(loop::EventLoop* loop, int max_idle_connections)
    : loop_(loop), multi_([] {
        InitializeCurl(CurlUse::kPlainOnly);
        return curl_multi_init();
      }()) {
  curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &OnSocketChange);
  curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &OnTimerChange);
  curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                    static_cast<long>(max_idle_connections));  // NOLINT
}

LoopClient::~LoopClient() {
  for (const auto& [id, transfer] : transfers_) {
    curl_multi_remove_handle(multi_, transfer->handle());
  }
  transfers_.clear();
  curl_multi_cleanup(multi_);
  loop_->timers().Cancel(timer_);
}

TransferId LoopClient::Start(ClientRequest request, TransferSink sink) {
  const TransferId id = next_id_++;
  auto transfer = std::make_shared<Transfer>(id, std::move(request),
                                             std::move(sink), &sockets_);
  transfer->Prepare();
  transfers_.emplace(id, std::move(transfer));
  RunOutsideCallbacks([this, id] {
    const auto found = transfers_.find(id);
    if (found == transfers_.end()) return;  // Cancelled meanwhile.
    curl_multi_add_handle(multi_, found->second->handle());
  });
  return id;
}

// Runs `closure` at once, or after the current libcurl callback: libcurl can't
// add or remove transfers within a callback.
void LoopClient::RunOutsideCallbacks(std::function<void()> closure) {
  if (in_callback_) {
    loop_->Defer(std::move(closure));
  } else {
    closure();
  }
}

void LoopClient::Cancel(TransferId id) {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) return;
  std::shared_ptr<Transfer> transfer = std::move(found->second);
  transfers_.erase(found);
  transfer->Cancel();
  RunOutsideCallbacks([this, transfer] {
    curl_multi_remove_handle(multi_, transfer->handle());
    Destroy(transfer);
  });
}

// Deferred, since a transfer may be cancelled from one of its own callbacks and
// must live until libcurl returns.
void LoopClient::Destroy(std::shared_ptr<Transfer> transfer) {
  loop_->Defer([finished = std::move(transfer)] {});
}

int LoopClient::OnSocketChange(CURL* /*handle*/, curl_socket_t socket, int what,
                               void* closure, void* /*socket_closure*/) {
  auto& self = *static_cast<LoopClient*>(closure);
  if (what == CURL_POLL_REMOVE) {
    self.loop_->Unwatch(socket);
    return 0;
  }
  self.loop_->Watch(socket, EpollEvents(what),
                    [&self, socket](std::uint32_t events) {
                      self.RunSocketAction(socket, CurlEvents(events));
                    });
  return 0;
}

int LoopClient::OnTimerChange(CURLM* /*multi*/, long milliseconds,  // NOLINT
                              void* closure) {
  static_cast<LoopClient*>(closure)->SetTimer(milliseconds);
  return 0;
}

// Sets libcurl's timer; -1 removes it. libcurl must not be called from its own
// callback, so a timeout of 0 also waits for the loop.
void LoopClient::SetTimer(std::int64_t milliseconds) {
  loop_->timers().Cancel(timer_);
  timer_ = 0;
  if (milliseconds < 0) return;
  const absl::Time due = loop::SteadyNow() + absl::Milliseconds(milliseconds);
  timer_ = loop_->timers().At(due, [this](absl::Time) {
    timer_ = 0;
    RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
  });
}

void LoopClient::RunSocketAction(curl_socket_t socket, int events) {
  int running = 0;
  in_callback_ = true;
  curl_multi_socket_action(multi_, socket, events, &running);
  in_callback_ = false;
  CollectFinished();
}

void LoopClient::CollectFinished() {
  int remaining = 0;
  while (CURLMsg* message = curl_multi_info_read(multi_, &remaining)) {
    if (message->msg != CURLMSG_DONE) continue;
    Transfer* transfer = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
    EndTransfer(transfer->id, message->data.result);
  }
}

void LoopClient::EndTransfer(TransferId id, CURLcode code) {
  const auto found = transfers_.find(id);
  if (found == transfers_.end()) return;
  if (found->second->NeedsNewConnection()) {
    curl_multi_remove_handle(multi_, found->second->handle());
    found->second->PrepareNewConnection();
    curl_multi_add_handle(multi_, found->second->handle());
    return;
  }
  std::shared_ptr<Transfer> transfer = std::move(found->second);
  transfers_.erase(found);
  long new_connections = 0;  // NOLINT: libcurl's own type
  curl_easy_getinfo(transfer->handle(), CURLINFO_NUM_CONNECTS,
                    &new_connections);
  connections_made_ += static_cast<std::uint64_t>(new_connections);
  const TransferEnd end = transfer->Finish(code);
  if (end == TransferEnd::kInvalid) {
    ++invalid_responses_[transfer->ReportInvalid(code)];
  }
  curl_multi_remove_handle(multi_, transfer->handle());
  std::string detail = transfer->DetailOf(code);
  std::function<void(TransferEnd, std::string)> on_end =
      std::move(transfer->sink().on_end);
  Destroy(std::move(transfer));
  if (on_end) on_end(end, std::move(detail));
}

}  // namespace gentianlb::http
