// Messages between entry hosts about the software versions that began streams,
// and their encoding.

#ifndef GENTIANLB_GATEWAY_STREAM_MESSAGES_H_
#define GENTIANLB_GATEWAY_STREAM_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "gateway/fleet_messages.h"

namespace gentianlb::gateway {

// Identifies a stream on all hosts: a hash of the id of the caller's attempt
// that got its first event.
using StreamId = std::uint64_t;

// A stream lasts no longer, whatever its caller states.
inline constexpr absl::Duration kMaxStreamLife = absl::Seconds(60);

StreamId StreamIdOf(const RequestId& first_attempt);

// A server of `version` wrote the first event of a stream.
struct StreamBegin {
  StreamId stream = 0;
  std::string version;
  absl::Duration time_left;  // Until the stream must have ended.
  bool operator==(const StreamBegin&) const = default;
};

// Asks which version began a stream of a service.
struct StreamQuery {
  StreamId stream = 0;
  NameHash service = 0;
  absl::Duration life;  // A stream that still goes on began within this time.
  bool operator==(const StreamQuery&) const = default;
};

enum class StreamKnowledge : std::uint8_t {
  kBegan,        // A server of `version` began it.
  kOnlyVersion,  // Only `version` served while it may have begun.
  kSeveral,      // Several versions served then.
  kNothing,      // The host started too recently to know.
};

struct StreamAnswer {
  StreamId stream = 0;
  StreamKnowledge knowledge = StreamKnowledge::kNothing;
  std::string version;  // Empty unless `knowledge` says otherwise.
  bool operator==(const StreamAnswer&) const = default;
};

// The content of one datagram.
struct StreamMessage {
  EntryHostId from;
  std::vector<StreamBegin> begins;
  std::vector<StreamQuery> queries;
  std::vector<StreamAnswer> answers;
  bool operator==(const StreamMessage&) const = default;
};

std::string Encode(const StreamMessage& message);
bool IsStreamMessage(std::string_view bytes);
// Returns nullopt if the bytes are truncated or not a stream message.
std::optional<StreamMessage> DecodeStreamMessage(std::string_view bytes);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_STREAM_MESSAGES_H_
