#include "standins/stream.h"

#include <xxhash.h>

#include <algorithm>

#include "standins/json.h"

namespace gentianlb::standins {
namespace {

Json::Value Usage(const Stream& stream) {
  Json::Value usage;
  usage["prompt_tokens"] = stream.prompt_tokens;
  usage["completion_tokens"] = stream.tokens();
  usage["cached_tokens"] = stream.cached_tokens;
  return usage;
}

std::string TextOf(const Stream& stream, std::int64_t from, std::int64_t to) {
  std::string text;
  for (std::int64_t i = from; i < to; ++i) text += TokenText(stream.seed, i);
  return text;
}

Json::Value Envelope(const Stream& stream, std::string_view object) {
  Json::Value fields;
  fields["id"] = stream.id;
  fields["request"] = stream.request;
  fields["object"] = std::string(object);
  fields["model"] = stream.model;
  return fields;
}

std::string Event(const Json::Value& data) {
  return "data: " + ToText(data) + "\n\n";
}

}  // namespace

std::string TokenText(std::uint64_t seed, std::int64_t index) {
  constexpr std::string_view kConsonants = "bdfgklmnprstvz";
  constexpr std::string_view kVowels = "aeiou";
  XXH64_hash_t hash = XXH3_64bits_withSeed(&index, sizeof(index), seed);
  std::string text;
  for (int syllable = 0; syllable < 2; ++syllable) {
    text += kConsonants[hash % kConsonants.size()];
    hash /= kConsonants.size();
    text += kVowels[hash % kVowels.size()];
    hash /= kVowels.size();
  }
  return text + " ";
}

std::uint64_t SeedOf(const Prompt& prompt) {
  return XXH3_64bits(prompt.text.data(), prompt.text.size());
}

std::int64_t Stream::tokens() const {
  return std::min(max_tokens, static_cast<std::int64_t>(progress));
}

std::string ChunkEvent(const Stream& stream, std::int64_t from,
                       std::int64_t to) {
  Json::Value chunk = Envelope(stream, "chat.completion.chunk");
  chunk["offset"] = from;
  chunk["tokens"] = to - from;
  chunk["choices"][0]["index"] = 0;
  chunk["choices"][0]["delta"]["content"] = TextOf(stream, from, to);
  return Event(chunk);
}

std::string FinalEvents(const Stream& stream) {
  Json::Value chunk = Envelope(stream, "chat.completion.chunk");
  chunk["offset"] = stream.tokens();
  chunk["tokens"] = 0;
  chunk["choices"][0]["index"] = 0;
  chunk["choices"][0]["delta"] = Json::objectValue;
  chunk["choices"][0]["finish_reason"] = "stop";
  chunk["usage"] = Usage(stream);
  return Event(chunk) + "data: [DONE]\n\n";
}

std::string WholeBody(const Stream& stream) {
  Json::Value body = Envelope(stream, "chat.completion");
  Json::Value& choice = body["choices"][0];
  choice["index"] = 0;
  choice["message"]["role"] = "assistant";
  choice["message"]["content"] = TextOf(stream, 0, stream.tokens());
  choice["finish_reason"] = "stop";
  body["usage"] = Usage(stream);
  return ToText(body);
}

}  // namespace gentianlb::standins
