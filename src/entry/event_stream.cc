#include "entry/event_stream.h"

#include <json/json.h>

#include <utility>

#include "entry/json_read.h"

namespace gentianlb::entry {
namespace {

// No chunk of an engine comes near this; a larger one is garbage that would
// fill the memory.
constexpr std::size_t kMaxEventBytes = 1 << 20;

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kEndMark = "[DONE]";

int IntOr(const Json::Value& value, int preset) {
  return value.isInt() ? value.asInt() : preset;
}

const Json::Value& FirstChoice(const Json::Value& chunk) {
  const Json::Value& choices = chunk["choices"];
  if (!choices.isArray() || choices.empty()) {
    return Json::Value::nullSingleton();
  }
  const Json::Value& choice = choices[0];
  return choice.isObject() ? choice : Json::Value::nullSingleton();
}

}  // namespace

EventStreamReader::EventStreamReader(std::string engine_request, int offset)
    : engine_request_(std::move(engine_request)), next_offset_(offset) {}

Outcome<std::vector<StreamChunk>> EventStreamReader::Feed(
    std::string_view bytes) {
  buffer_.append(bytes);
  if (buffer_.size() > kMaxEventBytes + bytes.size()) {
    return Error{Code::kServerBroke, "an event of the stream is too large"};
  }
  return Capture([&] { return TakeEvents(); });
}

Result<std::vector<StreamChunk>> EventStreamReader::TakeEvents() {
  std::vector<StreamChunk> chunks;
  std::size_t begin = 0;
  while (!complete_) {
    std::size_t end = buffer_.find("\n\n", begin);
    if (end == std::string::npos) break;
    std::string_view event(buffer_.data() + begin, end - begin);
    begin = end + 2;
    BOOST_LEAF_AUTO(chunk, ReadEvent(event));
    if (chunk.has_value()) chunks.push_back(std::move(*chunk));
  }
  buffer_.erase(0, begin);
  return chunks;
}

Result<std::optional<StreamChunk>> EventStreamReader::ReadEvent(
    std::string_view event) {
  // Comments and fields other than data say nothing here.
  if (!event.starts_with(kDataField)) return std::optional<StreamChunk>();
  std::string_view data = event.substr(kDataField.size());
  if (data.starts_with(' ')) data.remove_prefix(1);
  if (data == kEndMark) {
    complete_ = true;
    StreamChunk last;
    last.raw = std::string(data);
    last.offset = next_offset_;
    last.done = true;
    return std::optional(std::move(last));
  }
  return ReadChunk(std::string(data));
}

Result<std::optional<StreamChunk>> EventStreamReader::ReadChunk(
    const std::string& data) {
  const Json::Value json = ParseObjectOr(data);
  if (json.empty()) return Fail(Code::kServerBroke, "a chunk is no object");
  // An engine that crosses two streams sends one caller's words to another.
  // The caller would notice only by reading; these names show it at once.
  if (TextOr(json["request"], "") != engine_request_) {
    return Fail(Code::kServerBroke, "a chunk belongs to another request");
  }
  std::string stream = TextOr(json["id"], "");
  if (stream_id_.empty()) stream_id_ = stream;
  if (stream != stream_id_) {
    return Fail(Code::kServerBroke, "a chunk belongs to another stream");
  }
  StreamChunk chunk;
  chunk.offset = IntOr(json["offset"], next_offset_);
  chunk.tokens = IntOr(json["tokens"], 0);
  const Json::Value& choice = FirstChoice(json);
  if (choice.isObject()) {
    if (choice["delta"].isObject()) {
      chunk.text = TextOr(choice["delta"]["content"], "");
    }
    finish_reason_ = TextOr(choice["finish_reason"], finish_reason_);
  }
  const Json::Value& usage = json["usage"];
  if (usage.isObject()) {
    usage_.prompt_tokens = IntOr(usage["prompt_tokens"], 0);
    usage_.output_tokens = IntOr(usage["completion_tokens"], 0);
    usage_.cached_tokens = IntOr(usage["cached_tokens"], 0);
  }
  // A replayed chunk that was passed on before the break is skipped; a gap
  // would leave words out without anyone noticing.
  if (chunk.tokens > 0 && chunk.offset + chunk.tokens <= next_offset_) {
    return std::optional<StreamChunk>();
  }
  if (chunk.offset != next_offset_) {
    return Fail(Code::kServerBroke, "a chunk is missing from the stream");
  }
  next_offset_ += chunk.tokens;
  chunk.raw = data;
  return std::optional(std::move(chunk));
}

}  // namespace gentianlb::entry
