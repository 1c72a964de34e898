// The state of one answer of the HTTP server, between the connection of
// libmicrohttpd and whoever answers.

#ifndef GENTIANLB_HTTP_ANSWER_H_
#define GENTIANLB_HTTP_ANSWER_H_

#include <microhttpd.h>
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
#include "http/server.h"

namespace gentianlb::http {

// Bytes handed to libmicrohttpd in one call of the stream's reader.
inline constexpr std::size_t kStreamBlockBytes = 4 << 10;

// The state of one answer, shared by the connection (a server thread) and by
// whoever answers (any thread). A connection is suspended while there is
// nothing to send, so that no thread waits on it.
class Answer {
 public:
  // `on_resume` is called after each change that gives libmicrohttpd something
  // to do; empty when the daemon's own thread looks for it.
  Answer(MHD_Connection* connection, std::function<void()> on_resume)
      : connection_(connection), on_resume_(std::move(on_resume)) {}

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

  void OnDisconnect(std::function<void()> callback) {
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

  // The caller has closed its side while its answer is awaited or streamed.
  // libmicrohttpd doesn't look at a suspended connection.
  void CallerLeft() {
    std::function<void()> callback;
    {
      absl::MutexLock lock(&mutex_);
      callback = std::move(on_gone_);
      on_gone_ = nullptr;
    }
    if (callback) callback();
    Abort();
  }

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
    const bool unanswered =
        phase_ == Phase::kWaiting && phase == Phase::kAborted;
    if (phase_ != Phase::kStreaming && !unanswered) {
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
    if (on_resume_) on_resume_();
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
  const std::function<void()> on_resume_;
  Phase phase_ = Phase::kWaiting;
  bool suspended_ = false;
  bool gone_ = false;
  int status_ = 500;
  std::vector<Header> headers_;
  std::string buffer_;
  std::size_t taken_ = 0;
  std::function<void()> on_gone_;
};

}  // namespace gentianlb::http

#endif  // GENTIANLB_HTTP_ANSWER_H_
