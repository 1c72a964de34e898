#include "gateway/stream_rows.h"

#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "gateway/wire_lists.h"

namespace gentianlb::gateway {
namespace {

constexpr std::string_view kMagic = "GR1";

// The unit of a stream's time left; two bytes then hold ten minutes.
constexpr absl::Duration kTimeUnit = absl::Milliseconds(10);

std::uint16_t TimeUnits(absl::Duration time) {
  constexpr std::int64_t kMax = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(time / kTimeUnit, 0, kMax));
}

void ReadStream(WireReader& reader, RecordedStream* stream) {
  std::uint16_t units = 0;
  reader(stream->stream, units);
  stream->time_left = units * kTimeUnit;
}

void Read(WireReader& reader, StreamRow* row) {
  reader(row->written_ms, row->since_ms);
  std::vector<std::pair<NameHash, std::vector<std::string>>> services;
  ReadList(reader, &services, [&](auto& service) {
    reader(service.first);
    ReadList(reader, &service.second,
             [&](std::string& version) { ReadText(reader, &version); });
  });
  for (const auto& [service, versions] : services) {
    row->versions[service] = {versions.begin(), versions.end()};
  }
  std::vector<std::pair<std::string, std::vector<RecordedStream>>> groups;
  ReadList(reader, &groups, [&](auto& group) {
    ReadText(reader, &group.first);
    ReadList(reader, &group.second,
             [&](RecordedStream& stream) { ReadStream(reader, &stream); });
  });
  for (auto& [version, streams] : groups) {
    row->streams[version] = std::move(streams);
  }
}

}  // namespace

std::string Encode(const StreamRow& row) {
  std::ostringstream out;
  out << kMagic;
  WireWriter writer(out);
  writer(row.written_ms, row.since_ms);
  const std::vector<std::pair<NameHash, std::set<std::string>>> services(
      row.versions.begin(), row.versions.end());
  WriteList(writer, services, [&](const auto& service) {
    writer(service.first);
    const std::vector<std::string> versions(service.second.begin(),
                                            service.second.end());
    WriteList(writer, versions,
              [&](const std::string& version) { WriteText(writer, version); });
  });
  const std::vector<std::pair<std::string, std::vector<RecordedStream>>> groups(
      row.streams.begin(), row.streams.end());
  WriteList(writer, groups, [&](const auto& group) {
    WriteText(writer, group.first);
    WriteList(writer, group.second, [&](const RecordedStream& stream) {
      writer(stream.stream, TimeUnits(stream.time_left));
    });
  });
  return out.str();
}

std::optional<StreamRow> DecodeStreamRow(std::string_view bytes) {
  if (!bytes.starts_with(kMagic)) return std::nullopt;
  bytes.remove_prefix(kMagic.size());
  std::istringstream in{std::string(bytes)};
  StreamRow row;
  try {
    WireReader reader(in);
    Read(reader, &row);
  } catch (const std::exception&) {
    return std::nullopt;  // The reader logs unreadable rows.
  }
  return row;
}

std::string Format(const StreamRowKey& key) {
  return absl::StrCat(key.host, "/", key.incarnation, "/", key.number);
}

std::optional<StreamRowKey> ParseStreamRowKey(std::string_view text) {
  StreamRowKey key;
  const std::size_t number = text.rfind('/');
  if (number == std::string_view::npos || number == 0) return std::nullopt;
  const std::size_t incarnation = text.rfind('/', number - 1);
  if (incarnation == std::string_view::npos) return std::nullopt;
  key.host = text.substr(0, incarnation);
  const std::string_view middle =
      text.substr(incarnation + 1, number - incarnation - 1);
  if (!absl::SimpleAtoi(std::string(middle), &key.incarnation) ||
      !absl::SimpleAtoi(std::string(text.substr(number + 1)), &key.number)) {
    return std::nullopt;
  }
  return key;
}

}  // namespace gentianlb::gateway
