#include "settings/units.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <span>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

namespace gentianlb::settings {
namespace {

struct Unit {
  std::string_view suffix;
  double factor;
};

constexpr std::array<Unit, 4> kDurations = {
    {{"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}}};
constexpr std::array<Unit, 4> kSizes = {{{"B", 1},
                                         {"KiB", 1024},
                                         {"MiB", 1024.0 * 1024},
                                         {"GiB", 1024.0 * 1024 * 1024}}};
constexpr std::array<Unit, 2> kWatts = {{{"W", 1}, {"kW", 1000}}};
constexpr std::array<Unit, 1> kJoules = {{{"J", 1}}};
constexpr std::array<Unit, 1> kTokenRates = {{{"tokens/s", 1}}};
constexpr std::array<Unit, 1> kPercents = {{{"%", 0.01}}};
constexpr std::array<Unit, 1> kNoUnit = {{{"", 1}}};

// Integers below this are exact in a double.
constexpr double kMaxExactNumber = 9007199254740992.0;

std::string UnitNames(std::span<const Unit> units) {
  std::string names;
  for (const Unit& unit : units) {
    absl::StrAppend(&names, names.empty() ? "" : ", ",
                    std::string(unit.suffix));
  }
  return names.empty() ? "no unit" : names;
}

Error UnitError(std::string_view text, std::span<const Unit> units) {
  return {Code::kBadUnit,
          absl::StrCat("'", std::string(text), "' is not a figure with ",
                       UnitNames(units))};
}

Outcome<double> ParseWithUnit(std::string_view text,
                              std::span<const Unit> units) {
  double number = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || !std::isfinite(number)) {
    return UnitError(text, units);
  }
  std::string_view suffix = text.substr(end - text.data());
  while (suffix.starts_with(' ')) suffix.remove_prefix(1);
  for (const Unit& unit : units) {
    if (suffix != unit.suffix) continue;
    double value = number * unit.factor;
    if (std::abs(value) < kMaxExactNumber) return value;
    return Error{Code::kOutOfRange,
                 absl::StrCat("'", std::string(text), "' is too large")};
  }
  return UnitError(text, units);
}

bool IsNameChar(char c) {
  return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
         std::string_view("-_.:/@").find(c) != std::string_view::npos;
}

}  // namespace

Outcome<absl::Duration> ParseDuration(std::string_view text) {
  auto micros = ParseWithUnit(text, kDurations);
  if (!micros.ok()) return micros.error();
  return absl::Microseconds(std::llround(micros.value()));
}

Outcome<std::int64_t> ParseSize(std::string_view text) {
  auto bytes = ParseWithUnit(text, kSizes);
  if (!bytes.ok()) return bytes.error();
  return std::int64_t{std::llround(bytes.value())};
}

Outcome<double> ParseWatts(std::string_view text) {
  return ParseWithUnit(text, kWatts);
}

Outcome<double> ParseJoules(std::string_view text) {
  return ParseWithUnit(text, kJoules);
}

Outcome<double> ParseTokenRate(std::string_view text) {
  return ParseWithUnit(text, kTokenRates);
}

Outcome<double> ParsePercent(std::string_view text) {
  return ParseWithUnit(text, kPercents);
}

Outcome<double> ParseNumber(std::string_view text) {
  return ParseWithUnit(text, kNoUnit);
}

Outcome<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error == std::errc() && end == text.data() + text.size()) return value;
  return Error{Code::kBadUnit,
               absl::StrCat("'", std::string(text), "' is not a whole number")};
}

Outcome<Endpoint> ParseEndpoint(std::string_view text) {
  Error format_error{Code::kBadUnit,
                     absl::StrCat("'", std::string(text), "' is not IP:PORT")};
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return format_error;
  std::string_view ip = text.substr(0, colon);
  bool bracketed = ip.starts_with('[') && ip.ends_with(']');
  if (bracketed) ip = ip.substr(1, ip.size() - 2);
  auto port = ParseInteger(text.substr(colon + 1));
  if (!IsIp(ip) || !port.ok()) return format_error;
  if (port.value() < 0 || port.value() > 65535) {
    return Error{Code::kOutOfRange,
                 absl::StrCat("port ", port.value(), " is not 0 to 65535")};
  }
  return Endpoint{std::string(ip), static_cast<int>(port.value())};
}

std::string Format(const Endpoint& endpoint) {
  bool bracketed = endpoint.ip.find(':') != std::string::npos;
  return absl::StrCat(bracketed ? "[" : "", endpoint.ip, bracketed ? "]" : "",
                      ":", endpoint.port);
}

bool IsIp(std::string_view text) {
  std::string ip(text);
  in6_addr address{};
  return inet_pton(AF_INET, ip.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, ip.c_str(), &address) == 1;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= 128 &&
         std::all_of(text.begin(), text.end(), IsNameChar);
}

}  // namespace gentianlb::settings
