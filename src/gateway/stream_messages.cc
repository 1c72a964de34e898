#include "gateway/stream_messages.h"

#include <xxhash.h>

#include <sstream>

#include "gateway/wire_lists.h"

namespace gentianlb::gateway {
namespace {

constexpr std::string_view kMagic = "GS1";

void WriteDuration(WireWriter& writer, absl::Duration duration) {
  writer(static_cast<std::int32_t>(absl::ToInt64Milliseconds(duration)));
}

void ReadDuration(WireReader& reader, absl::Duration* duration) {
  std::int32_t milliseconds = 0;
  reader(milliseconds);
  *duration = absl::Milliseconds(milliseconds);
}

void ReadAnswer(WireReader& reader, StreamAnswer* answer) {
  std::uint8_t knowledge = 0;
  reader(answer->stream, knowledge);
  if (knowledge > static_cast<std::uint8_t>(StreamKnowledge::kNothing)) {
    throw std::out_of_range("unknown knowledge");
  }
  answer->knowledge = static_cast<StreamKnowledge>(knowledge);
  ReadText(reader, &answer->version);
}

void Read(WireReader& reader, StreamMessage* message) {
  std::string from;
  ReadText(reader, &from);
  message->from = EntryHostId(std::move(from));
  ReadList(reader, &message->begins, [&](StreamBegin& begin) {
    reader(begin.stream);
    ReadText(reader, &begin.version);
    ReadDuration(reader, &begin.time_left);
  });
  ReadList(reader, &message->queries, [&](StreamQuery& query) {
    reader(query.stream, query.service);
    ReadDuration(reader, &query.life);
  });
  ReadList(reader, &message->answers,
           [&](StreamAnswer& answer) { ReadAnswer(reader, &answer); });
}

}  // namespace

StreamId StreamIdOf(const RequestId& first_attempt) {
  return XXH3_64bits(first_attempt.str().data(), first_attempt.str().size());
}

std::string Encode(const StreamMessage& message) {
  std::ostringstream out;
  out << kMagic;
  WireWriter writer(out);
  WriteText(writer, message.from.str());
  WriteList(writer, message.begins, [&](const StreamBegin& begin) {
    writer(begin.stream);
    WriteText(writer, begin.version);
    WriteDuration(writer, begin.time_left);
  });
  WriteList(writer, message.queries, [&](const StreamQuery& query) {
    writer(query.stream, query.service);
    WriteDuration(writer, query.life);
  });
  WriteList(writer, message.answers, [&](const StreamAnswer& answer) {
    writer(answer.stream, static_cast<std::uint8_t>(answer.knowledge));
    WriteText(writer, answer.version);
  });
  return out.str();
}

bool IsStreamMessage(std::string_view bytes) {
  return bytes.starts_with(kMagic);
}

std::optional<StreamMessage> DecodeStreamMessage(std::string_view bytes) {
  if (!IsStreamMessage(bytes)) return std::nullopt;
  bytes.remove_prefix(kMagic.size());
  std::istringstream in{std::string(bytes)};
  StreamMessage message;
  try {
    WireReader reader(in);
    Read(reader, &message);
  } catch (const std::exception&) {
    return std::nullopt;  // The receiver logs unreadable messages.
  }
  return message;
}

}  // namespace gentianlb::gateway
