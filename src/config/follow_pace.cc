#include "config/follow_pace.h"

#include <xxhash.h>

namespace gentianlb::config {
namespace {

// From 0 up to but without 1.
double Fraction(const EntryHostId& host, std::uint64_t seed) {
  const std::string& name = host.str();
  XXH64_hash_t hash = XXH3_64bits_withSeed(name.data(), name.size(), seed);
  return static_cast<double>(hash >> 11) / 9007199254740992.0;
}

}  // namespace

absl::Duration PollPeriod(const FollowOptions& options, std::uint64_t count) {
  // The first is anywhere in the period: it parts hosts that start together.
  if (count == 0) return options.period * Fraction(options.host, 1);
  return options.period * (0.875 + 0.25 * Fraction(options.host, count + 1));
}

absl::Duration NewsDelay(const FollowOptions& options) {
  return options.news_spread * Fraction(options.host, 0);
}

}  // namespace gentianlb::config
