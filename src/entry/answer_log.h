// One answer on its way from a backend server to whoever reads it: the caller,
// re-sends of the same key that attach to it, and peers that read it for their
// own callers. A late reader gets it from its start.

#ifndef GENTIANLB_ENTRY_ANSWER_LOG_H_
#define GENTIANLB_ENTRY_ANSWER_LOG_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "base/result.h"
#include "entry/event_stream.h"
#include "http/server.h"

namespace gentianlb::entry {

// The answer of a plain service.
struct WholeAnswer {
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;
  bool operator==(const WholeAnswer&) const = default;
};

// The end of a model's answer.
struct AnswerEnd {
  std::string finish_reason;
  StreamUsage usage;
  bool operator==(const AnswerEnd&) const = default;
};

// Why there will be no whole answer.
struct GivenUp {
  Error error;
  absl::Duration retry_after;
  bool operator==(const GivenUp&) const = default;
};

// Reads one answer. Called by one thread at a time, in order; must not block.
class AnswerReader {
 public:
  virtual ~AnswerReader() = default;
  virtual void OnChunk(const StreamChunk& chunk) = 0;
  virtual void OnWhole(const WholeAnswer& answer) = 0;
  virtual void OnEnd(const AnswerEnd& end) = 0;
  virtual void OnGivenUp(const GivenUp& why) = 0;
};

// Thread-safe.
class AnswerLog {
 public:
  // Without `keep`, what was passed on is forgotten: nobody can attach later.
  explicit AnswerLog(bool keep) : keep_(keep) {}

  void Attach(std::shared_ptr<AnswerReader> reader);

  void Publish(const StreamChunk& chunk);

  // The first of these three is final; what comes after it is ignored.
  void PublishWhole(WholeAnswer answer);
  void Finish(AnswerEnd end);
  void GiveUp(GivenUp why);

  bool ended() const;

  // Ended with the whole answer.
  bool whole() const;

  // Bytes that are kept for late readers.
  std::size_t kept_bytes() const;

 private:
  bool EndedLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const bool keep_;
  mutable absl::Mutex mutex_;
  std::vector<std::shared_ptr<AnswerReader>> readers_ ABSL_GUARDED_BY(mutex_);
  std::vector<StreamChunk> chunks_ ABSL_GUARDED_BY(mutex_);
  std::size_t kept_bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  std::optional<WholeAnswer> whole_ ABSL_GUARDED_BY(mutex_);
  std::optional<AnswerEnd> end_ ABSL_GUARDED_BY(mutex_);
  std::optional<GivenUp> given_up_ ABSL_GUARDED_BY(mutex_);
};

// What every answer to a caller says of its origin.
struct AnswerOrigin {
  RequestId request;
  ServerId server;
  ModelId model;
  bool operator==(const AnswerOrigin&) const = default;
};

// A reader that passes an answer on into another log: how a re-send of a key
// reads the answer to the sending that runs.
class LogReader : public AnswerReader {
 public:
  LogReader(std::shared_ptr<AnswerLog> log,
            std::shared_ptr<const AnswerOrigin> from,
            std::shared_ptr<AnswerOrigin> to)
      : log_(std::move(log)), from_(std::move(from)), to_(std::move(to)) {}

  void OnChunk(const StreamChunk& chunk) override {
    to_->server = from_->server;
    log_->Publish(chunk);
  }
  void OnWhole(const WholeAnswer& answer) override {
    to_->server = from_->server;
    log_->PublishWhole(answer);
  }
  void OnEnd(const AnswerEnd& end) override { log_->Finish(end); }
  void OnGivenUp(const GivenUp& why) override { log_->GiveUp(why); }

 private:
  const std::shared_ptr<AnswerLog> log_;
  const std::shared_ptr<const AnswerOrigin> from_;
  const std::shared_ptr<AnswerOrigin> to_;
};

// A reader that sends server-sent events to a caller, in the chat-completions
// form. The chunks are passed on as they are.
std::shared_ptr<AnswerReader> MakeStreamReader(
    std::shared_ptr<http::Responder> responder,
    std::shared_ptr<const AnswerOrigin> origin);

// A reader that collects a model's answer into one JSON object, and passes a
// plain service's answer on.
std::shared_ptr<AnswerReader> MakeWholeReader(
    std::shared_ptr<http::Responder> responder,
    std::shared_ptr<const AnswerOrigin> origin);

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_ANSWER_LOG_H_
