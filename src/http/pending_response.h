// The state of one response of the HTTP server, shared by the libmicrohttpd
// connection and the request handler.

#ifndef GENTIANLB_HTTP_PENDING_RESPONSE_H_
#define GENTIANLB_HTTP_PENDING_RESPONSE_H_

#include <glog/logging.h>
#include <microhttpd.h>
#include <sys/socket.h>
#include <sys/types.h>

#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "base/byte_budget.h"
#include "http/server.h"

namespace gentianlb::http {

// Block size of the callback through which libmicrohttpd reads a stream.
inline constexpr std::size_t kStreamBlockBytes = 4 << 10;

// A complete body is sent from a copy of libmicrohttpd's up to this size, and
// otherwise in blocks.
inline constexpr std::size_t kMaxCopiedBytes = 64 << 10;
inline constexpr std::size_t kLargeBlockBytes = 32 << 10;

// The state of one response, shared by the connection (a server thread) and the
// request handler (any thread). The connection is suspended while there is
// nothing to send, so that no thread blocks on it.
class PendingResponse {
 public:
  // `accepts_chunks`: whether the caller's protocol version has chunked bodies.
  PendingResponse(MHD_Connection* connection, bool accepts_chunks)
      : connection_(connection), accepts_chunks_(accepts_chunks) {}

  void Respond(int status, std::vector<Header> headers, std::string body) {
    absl::MutexLock lock(&mutex_);
    if (phase_ != Phase::kWaiting) return;
    status_ = status;
    headers_ = std::move(headers);
    buffer_ = std::move(body);
    phase_ = Phase::kComplete;
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

  void Finish() { EndStream(Phase::kFinished); }
  void Abort() { EndStream(Phase::kAborted); }

  void OnDisconnect(std::function<void()> callback) {
    {
      absl::MutexLock lock(&mutex_);
      if (!closed_) {
        on_disconnect_ = std::move(callback);
        return;
      }
    }
    callback();
  }

  std::size_t Backlog() const {
    absl::MutexLock lock(&mutex_);
    return buffer_.size() - consumed_;
  }

  // The remaining functions are called by server threads.

  // Queues the response if it has started; otherwise suspends the connection
  // until it does.
  MHD_Result QueueOrSuspend(const std::shared_ptr<PendingResponse>& self) {
    absl::MutexLock lock(&mutex_);
    if (phase_ == Phase::kWaiting) {
      SuspendLocked();
      return MHD_YES;
    }
    if (phase_ == Phase::kAborted) return MHD_NO;
    MHD_Response* response = nullptr;
    const bool complete = phase_ == Phase::kComplete;
    if (complete && buffer_.size() <= kMaxCopiedBytes) {
      response = MHD_create_response_from_buffer(buffer_.size(), buffer_.data(),
                                                 MHD_RESPMEM_MUST_COPY);
      Deallocate(buffer_);
    } else {
      if (!complete && !accepts_chunks_) SetAbortive(true);
      // The reader keeps this object alive until libmicrohttpd frees it.
      response = MHD_create_response_from_callback(
          complete ? buffer_.size() : MHD_SIZE_UNKNOWN,
          complete ? kLargeBlockBytes : kStreamBlockBytes,
          &PendingResponse::Read, new std::shared_ptr<PendingResponse>(self),
          &PendingResponse::FreeReader);
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

  // Records that the request has ended. `complete`: the whole response was
  // sent; otherwise the OnDisconnect() callback is called.
  void Close(bool complete) {
    std::function<void()> callback;
    {
      absl::MutexLock lock(&mutex_);
      closed_ = true;
      suspended_ = false;
      if (!complete) callback = std::move(on_disconnect_);
      on_disconnect_ = nullptr;
    }
    if (callback) callback();
  }

 private:
  enum class Phase { kWaiting, kComplete, kStreaming, kFinished, kAborted };

  void EndStream(Phase phase) {
    absl::MutexLock lock(&mutex_);
    const bool not_started =
        phase_ == Phase::kWaiting && phase == Phase::kAborted;
    if (phase_ != Phase::kStreaming && !not_started) {
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
    if (!suspended_ || closed_) return;
    suspended_ = false;
    MHD_resume_connection(connection_);
  }

  static ssize_t Read(void* closure, std::uint64_t /*position*/, char* out,
                      std::size_t capacity) {
    auto& self = *static_cast<std::shared_ptr<PendingResponse>*>(closure);
    absl::MutexLock lock(&self->mutex_);
    std::size_t available = self->buffer_.size() - self->consumed_;
    if (available == 0) {
      if (self->phase_ == Phase::kFinished) {
        if (!self->accepts_chunks_) self->SetAbortive(false);
        return MHD_CONTENT_READER_END_OF_STREAM;
      }
      if (self->phase_ == Phase::kAborted) {
        if (!self->accepts_chunks_) self->ResetConnection();
        return MHD_CONTENT_READER_END_WITH_ERROR;
      }
      self->SuspendLocked();
      return 0;
    }
    std::size_t count = std::min(capacity, available);
    std::memcpy(out, self->buffer_.data() + self->consumed_, count);
    self->consumed_ += count;
    self->DropConsumed();
    return static_cast<ssize_t>(count);
  }

  // Frees what the caller has read: all of it at once where nothing is left,
  // and otherwise rarely enough that the rest is moved seldom.
  void DropConsumed() {
    if (consumed_ == buffer_.size()) {
      if (buffer_.capacity() > kMaxCopiedBytes) Deallocate(buffer_);
      buffer_.clear();
      consumed_ = 0;
    } else if (consumed_ > kMaxCopiedBytes && consumed_ > buffer_.size() / 2) {
      buffer_.erase(0, consumed_);
      consumed_ = 0;
    }
  }

  // Sets whether the end of this process resets the connection. Without chunks
  // a closed one is the end of a complete response, and the kernel closes the
  // connections of a killed process in good order.
  void SetAbortive(bool abortive) const {
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    const linger option = {abortive ? 1 : 0, 0};
    if (setsockopt(info->connect_fd, SOL_SOCKET, SO_LINGER, &option,
                   sizeof option) == 0) {
      return;
    }
    PLOG(WARNING) << "event=socket-option-refused option=SO_LINGER";
  }

  // Resets the connection: without chunks a closed one is the end of a complete
  // response. libmicrohttpd shuts connections down before it closes them, so
  // SO_LINGER would have no effect.
  void ResetConnection() {
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
    const sockaddr none = {.sa_family = AF_UNSPEC, .sa_data = {}};
    if (connect(info->connect_fd, &none, sizeof none) == 0) return;
    PLOG(WARNING) << "event=reset-failed effect=\"an aborted response looks "
                     "complete\"";
  }

  static void FreeReader(void* closure) {
    delete static_cast<std::shared_ptr<PendingResponse>*>(closure);
  }

  mutable absl::Mutex mutex_;
  MHD_Connection* const connection_;
  const bool accepts_chunks_;
  Phase phase_ = Phase::kWaiting;
  bool suspended_ = false;
  bool closed_ = false;
  int status_ = 500;
  std::vector<Header> headers_;
  std::string buffer_;
  std::size_t consumed_ = 0;
  std::function<void()> on_disconnect_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_PENDING_RESPONSE_H_
