// Values with units. A figure without its unit is refused: 30 may be seconds
// to one reader and milliseconds to the next.

#ifndef GENTIANLB_SETTINGS_UNITS_H_
#define GENTIANLB_SETTINGS_UNITS_H_

#include <cstdint>
#include <string_view>

#include "absl/time/time.h"
#include "base/result.h"

namespace gentianlb::settings {

// `250ms`, `1.5s`, `10m`, `2h`; whole microseconds.
Outcome<absl::Duration> ParseDuration(std::string_view text);

// `512B`, `16KiB`, `8MiB`, `2GiB`.
Outcome<std::int64_t> ParseSize(std::string_view text);

// `350W`, `4.2kW`.
Outcome<double> ParseWatts(std::string_view text);

// `0.5J`: energy.
Outcome<double> ParseJoules(std::string_view text);

// `1200tokens/s`.
Outcome<double> ParseTokenRate(std::string_view text);

// `40%` as 0.4.
Outcome<double> ParsePercent(std::string_view text);

// A number without a unit.
Outcome<double> ParseNumber(std::string_view text);
Outcome<std::int64_t> ParseInteger(std::string_view text);

// `IP:PORT` or `[IP]:PORT`: numbers only, since a process learns its addresses
// from its settings and looks no names up.
struct Endpoint {
  std::string ip;
  int port = 0;
  auto operator<=>(const Endpoint&) const = default;
};
Outcome<Endpoint> ParseEndpoint(std::string_view text);

// As ParseEndpoint() takes it.
std::string Format(const Endpoint& endpoint);

// Whether `text` is an IPv4 or IPv6 number.
bool IsIp(std::string_view text);

// Whether `text` may name a thing: letters, digits and -_.:/@, at most 128.
bool IsName(std::string_view text);

}  // namespace gentianlb::settings

#endif  // GENTIANLB_SETTINGS_UNITS_H_
