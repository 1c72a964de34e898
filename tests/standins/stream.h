// One answer that a model engine makes, token by token, and who reads it.

#ifndef GENTIANLB_STANDINS_STREAM_H_
#define GENTIANLB_STANDINS_STREAM_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "standins/frame.h"

namespace gentianlb::standins {

struct Prompt {
  std::string model;
  std::string text;  // The contents of all messages.
  std::int64_t max_tokens = 0;
};

// Token `index` of the answer to a prompt: always the same for the same prompt,
// so that answers can be compared byte for byte.
std::string TokenText(std::uint64_t seed, std::int64_t index);
std::uint64_t SeedOf(const Prompt& prompt);

struct Reader {
  Answer answer;
  std::int64_t next = 0;        // First token it has not been sent.
  bool whole = false;           // Wants one answer at the end.
  std::int64_t cut_after = -1;  // Loses its connection there.
};

struct Stream {
  std::string id;
  std::string request;
  std::string model;
  std::uint64_t seed = 0;
  std::vector<std::string> blocks;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t max_tokens = 0;
  absl::Time begun;
  absl::Time ended;
  bool admitted = false;
  bool done = false;
  double prefill_left = 0;
  double progress = 0;  // Tokens, with the part of the next one.
  std::vector<Reader> readers;

  std::int64_t tokens() const;
  // Memory it holds while it runs.
  std::int64_t kv_tokens() const { return prompt_tokens + max_tokens; }
};

// Tokens [from, to) as one server-sent event.
std::string ChunkEvent(const Stream& stream, std::int64_t from,
                       std::int64_t to);
// The usage, and the end of the stream.
std::string FinalEvents(const Stream& stream);
// The answer as one JSON object.
std::string WholeBody(const Stream& stream);

}  // namespace gentianlb::standins

#endif  // GENTIANLB_STANDINS_STREAM_H_
