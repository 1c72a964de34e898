#include "schedule/signature.h"

#include <xxhash.h>

#include <string_view>
#include <variant>

namespace gentianlb::schedule {
namespace {

std::uint64_t Mix(std::uint64_t value, std::string_view text) {
  return XXH3_64bits_withSeed(text.data(), text.size(), value);
}

std::uint64_t Mix(std::uint64_t value, std::int64_t number) {
  return XXH3_64bits_withSeed(&number, sizeof(number), value);
}

std::uint64_t MixOutcome(std::uint64_t value, Code code,
                         absl::Duration retry_after) {
  value = Mix(value, static_cast<std::int64_t>(code));
  return Mix(value, absl::ToInt64Nanoseconds(retry_after));
}

}  // namespace

void Signature::Add(const Decision& decision) {
  value_ = Mix(value_, static_cast<std::int64_t>(decision.index()));
  if (const auto* grant = std::get_if<Grant>(&decision)) {
    value_ = Mix(value_, grant->id.str());
    value_ = Mix(value_, grant->host.str());
    value_ = Mix(value_, grant->server.str());
  } else if (const auto* refuse = std::get_if<Refuse>(&decision)) {
    value_ = Mix(value_, refuse->id.str());
    value_ = Mix(value_, refuse->host.str());
    value_ = MixOutcome(value_, refuse->code, refuse->retry_after);
  } else if (const auto* cancel = std::get_if<Cancel>(&decision)) {
    value_ = Mix(value_, cancel->id.str());
    value_ = Mix(value_, cancel->host.str());
    value_ = MixOutcome(value_, cancel->code, cancel->retry_after);
  }
}

}  // namespace gentianlb::schedule
