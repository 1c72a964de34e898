// Reads the server-sent events of a model engine: cuts the bytes into events,
// checks that each chunk belongs to this stream and follows the last one, and
// collects what a whole answer needs.

#ifndef GENTIANLB_ENTRY_EVENT_STREAM_H_
#define GENTIANLB_ENTRY_EVENT_STREAM_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/result.h"

namespace gentianlb::entry {

// One event whose form and origin have been checked.
struct StreamChunk {
  std::string raw;  // The event's data, to be passed on as it is.
  std::string text;
  int offset = 0;
  int tokens = 0;
  bool done = false;  // The end mark; nothing follows.
  bool operator==(const StreamChunk&) const = default;
};

struct StreamUsage {
  int prompt_tokens = 0;
  int output_tokens = 0;
  int cached_tokens = 0;
  bool operator==(const StreamUsage&) const = default;
};

class EventStreamReader {
 public:
  // Expects the answer to `engine_request` (its X-Request-Id) from token
  // `offset` on; tokens before it are skipped.
  EventStreamReader(std::string engine_request, int offset);

  // Takes the next bytes and returns the chunks that they complete. An error is
  // final: what follows can't be trusted.
  Outcome<std::vector<StreamChunk>> Feed(std::string_view bytes);

  // True when the end mark was read: the answer is whole.
  bool complete() const { return complete_; }

  // The token that is expected next.
  int next_offset() const { return next_offset_; }

  const StreamUsage& usage() const { return usage_; }
  const std::string& stream_id() const { return stream_id_; }
  const std::string& finish_reason() const { return finish_reason_; }

 private:
  Result<std::vector<StreamChunk>> TakeEvents();
  Result<std::optional<StreamChunk>> ReadEvent(std::string_view event);
  Result<std::optional<StreamChunk>> ReadChunk(const std::string& data);

  const std::string engine_request_;
  std::string stream_id_;
  std::string buffer_;
  std::string finish_reason_;
  int next_offset_;
  StreamUsage usage_;
  bool complete_ = false;
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_EVENT_STREAM_H_
