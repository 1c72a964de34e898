// Parsers for values with units. A value without its unit is rejected: a reader
// could take 30 for seconds or milliseconds.

#ifndef GENTIANLB_SETTINGS_UNITS_H_
#define GENTIANLB_SETTINGS_UNITS_H_

#include <cstdint>
#include <string_view>

#include "absl/time/time.h"
#include "base/result.h"

namespace gentianlb::settings {

// Parses `250ms`, `1.5s`, `10m` or `2h`, rounded to whole microseconds.
Outcome<absl::Duration> ParseDuration(std::string_view text);

// Parses `512B`, `16KiB`, `8MiB` or `2GiB` and returns bytes.
Outcome<std::int64_t> ParseSize(std::string_view text);

// Parses `350W` or `4.2kW` and returns watts.
Outcome<double> ParseWatts(std::string_view text);

// Parses `0.5J` and returns joules.
Outcome<double> ParseJoules(std::string_view text);

// Parses `1200tokens/s` and returns tokens per second.
Outcome<double> ParseTokenRate(std::string_view text);

// Parses `40%` and returns 0.4.
Outcome<double> ParsePercent(std::string_view text);

// Parse a number without a unit.
Outcome<double> ParseNumber(std::string_view text);
Outcome<std::int64_t> ParseInteger(std::string_view text);

// A network address, written `IP:PORT` or `[IP]:PORT`. Host names are not
// allowed: a process takes its addresses from its settings and resolves no
// names.
struct Endpoint {
  std::string ip;
  int port = 0;
  auto operator<=>(const Endpoint&) const = default;
};
Outcome<Endpoint> ParseEndpoint(std::string_view text);

// Returns the text that ParseEndpoint() parses.
std::string Format(const Endpoint& endpoint);

// Returns whether `text` is an IPv4 or IPv6 address.
bool IsIp(std::string_view text);

// Returns whether `text` is a valid name: 1 to 128 letters, digits and -_.:/@
// characters.
bool IsName(std::string_view text);

}  // namespace gentianlb::settings

#endif  // GENTIANLB_SETTINGS_UNITS_H_
