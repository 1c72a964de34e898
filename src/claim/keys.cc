// Computes digests of idempotency keys and bodies, and reads the time of keys.

#include <xxhash.h>

#include <string>

#include "absl/strings/str_format.h"
#include "claim/messages.h"

namespace gentianlb::claim {
namespace {

// Layout of a UUID's text form, RFC 9562.
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionOffset = 14;
constexpr std::size_t kUuidTimeDigits = 12;

std::string HexDigest(std::string_view bytes) {
  XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return absl::StrFormat("%016x%016x", hash.high64, hash.low64);
}

// Joins two strings. The length prefix makes ("ab", "c") and ("a", "bc")
// differ.
std::string Join(std::string_view first, std::string_view second) {
  return absl::StrFormat("%d:%s%s", first.size(), first, second);
}

}  // namespace

ClaimKey DigestKey(const WorkspaceId& workspace, const IdempotencyKey& key) {
  return ClaimKey(HexDigest(Join(workspace.str(), key.str())));
}

std::string DigestBody(std::string_view method_and_path,
                       std::string_view body) {
  return HexDigest(Join(method_and_path, body));
}

std::optional<absl::Time> TimeOfKey(const IdempotencyKey& key) {
  const std::string& text = key.str();
  if (text.size() != kUuidLength) return std::nullopt;
  if (text[kUuidVersionOffset] != '7') return std::nullopt;
  std::string digits = text.substr(0, 8) + text.substr(9, 4);
  if (digits.size() != kUuidTimeDigits) return std::nullopt;
  std::int64_t millis = 0;
  for (char digit : digits) {
    std::size_t value = std::string_view("0123456789abcdef")
                            .find(static_cast<char>(digit | 32));
    if (value == std::string_view::npos) return std::nullopt;
    millis = millis * 16 + static_cast<std::int64_t>(value);
  }
  return absl::FromUnixMillis(millis);
}

}  // namespace gentianlb::claim
