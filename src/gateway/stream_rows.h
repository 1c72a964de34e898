// Rows of the table in which hosts record the software versions that began
// streams, and their encoding.

#ifndef GENTIANLB_GATEWAY_STREAM_ROWS_H_
#define GENTIANLB_GATEWAY_STREAM_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "gateway/stream_messages.h"

namespace gentianlb::gateway {

// The software versions of each service.
using VersionSets = std::map<NameHash, std::set<std::string>>;

struct RecordedStream {
  StreamId stream = 0;
  absl::Duration time_left;  // Until the stream must have ended.
  bool operator==(const RecordedStream&) const = default;
};

// The value of a row: either the versions that a host has known within a
// stream's life, or streams by the version that began them.
struct StreamRow {
  // Maximum number of streams in a row, which then has some kilobytes.
  static constexpr std::size_t kMaxStreams = 256;

  std::int64_t written_ms = 0;  // By the table service's clock.
  // When the first process started whose versions these include.
  std::int64_t since_ms = 0;
  VersionSets versions;
  std::map<std::string, std::vector<RecordedStream>> streams;
  bool operator==(const StreamRow&) const = default;
};

std::string Encode(const StreamRow& row);
// Returns nullopt if the bytes are truncated or not a row.
std::optional<StreamRow> DecodeStreamRow(std::string_view bytes);

// The key of a row: HOST/INCARNATION/NUMBER.
struct StreamRowKey {
  std::string host;
  Incarnation incarnation = 0;
  int number = 0;
  bool operator==(const StreamRowKey&) const = default;
};

std::string Format(const StreamRowKey& key);
std::optional<StreamRowKey> ParseStreamRowKey(std::string_view text);

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_STREAM_ROWS_H_
