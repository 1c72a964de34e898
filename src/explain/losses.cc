#include "explain/losses.h"

#include <algorithm>
#include <array>
#include <optional>
#include <ostream>

#include "absl/strings/str_format.h"
#include "base/result.h"

namespace gentianlb::explain {
namespace {

// A refusal within this time is as good as at once: an eighth of the shortest
// objectives in use, rounded.
constexpr double kAtOnceMs = 50;

// Routes with less than this part of all requests share a column.
constexpr double kMainPart = 0.005;

constexpr std::array<absl::string_view, 13> kNames = {
    "in time",         "late pause",      "late first event",
    "over limit",      "refused at once", "refused after waiting",
    "no server",       "unknown",         "server failed",
    "deadline passed", "caller left",     "answer not taken",
    "host lost"};

Ending EndingOfRefusal(const LogLine& line) {
  switch (static_cast<Code>(static_cast<int>(line.Number("code")))) {
    case Code::kRateLimited:
      return Ending::kOverLimit;
    case Code::kUnknownPath:
    case Code::kBadToken:
    case Code::kNotReady:
    case Code::kMalformedRequest:
      return Ending::kUnknown;
    case Code::kNoServer:
    case Code::kServerUnreachable:
    case Code::kQueueFull:
    case Code::kServersCoolingDown:
      return Ending::kNoServer;
    default:
      return line.Number("after_ms") <= kAtOnceMs ? Ending::kNoRoom
                                                  : Ending::kNoRoomLate;
  }
}

Ending EndingOfAnswer(const LogLine& line) {
  constexpr double kFirstFailure = 500;
  if (line.Number("status") >= kFirstFailure) return Ending::kServerFailed;
  if (line.Number("in_time") > 0) return Ending::kInTime;
  return line.Number("paused") > 0 ? Ending::kPaused : Ending::kLate;
}

std::optional<Ending> EndingOf(const LogLine& line) {
  if (line.event == "answered") return EndingOfAnswer(line);
  if (line.event == "refused") return EndingOfRefusal(line);
  if (line.event == "caller-gone") return Ending::kCallerLeft;
  if (line.event != "given-up") return std::nullopt;
  const auto code = static_cast<Code>(static_cast<int>(line.Number("code")));
  return code == Code::kServerTimeout ? Ending::kDeadline
                                      : Ending::kServerFailed;
}

}  // namespace

absl::string_view NameOf(Ending ending) {
  return kNames[static_cast<std::size_t>(ending)];
}

void Losses::Add(const LogLine& line) {
  begin_ = std::min(begin_, line.time);
  const std::string id(line.Text("request"));
  if (id.empty()) return;
  if (line.event == "answer-undelivered") return CountUndelivered(id, line);
  if (const auto ending = EndingOf(line)) {
    open_.erase(id);
    if (line.event == "answered") answered_[id] = {*ending, line};
    return Count(*ending, line);
  }
  if (line.event == "sent") open_[id] = line;
}

void Losses::Finish() {
  for (const auto& [id, line] : open_) Count(Ending::kHostLost, line);
  open_.clear();
}

// What was counted as answered wasn't.
void Losses::CountUndelivered(const std::string& id, const LogLine& line) {
  const auto answered = answered_.find(id);
  if (answered == answered_.end()) return Count(Ending::kNotTaken, line);
  const auto& [ending, earlier] = answered->second;
  Count(ending, earlier, -1);
  Count(Ending::kNotTaken, earlier);
  answered_.erase(answered);
}

void Losses::Count(Ending ending, const LogLine& line, int by) {
  const absl::string_view route = line.Text("route");
  Counted& counted = table_[ending][std::string(route.empty() ? "-" : route)];
  counted.requests += by;
  counted.prompt_tokens += by * line.Number("prompt_tokens");
  seconds_[absl::ToInt64Seconds(line.time - begin_)][ending] += by;
}

std::vector<std::string> Losses::MainRoutes() const {
  std::map<std::string, std::int64_t> sizes;
  std::int64_t total = 0;
  for (const auto& [ending, by_route] : table_) {
    for (const auto& [route, counted] : by_route) {
      sizes[route] += counted.requests;
      total += counted.requests;
    }
  }
  std::vector<std::string> main;
  for (const auto& [route, size] : sizes) {
    if (static_cast<double>(size) >= kMainPart * static_cast<double>(total)) {
      main.push_back(route);
    }
  }
  return main;
}

void Losses::PrintTable(std::ostream& out) const {
  const std::vector<std::string> routes = MainRoutes();
  out << absl::StreamFormat("%-22s", "requests");
  for (const std::string& route : routes) {
    out << absl::StreamFormat("%12s", route);
  }
  out << absl::StreamFormat("%12s%12s%18s\n", "others", "all",
                            "1000 prompt tokens");
  for (const auto& [ending, by_route] : table_) {
    Counted all;
    for (const auto& [route, counted] : by_route) {
      all.requests += counted.requests;
      all.prompt_tokens += counted.prompt_tokens;
    }
    out << absl::StreamFormat("%-22s", NameOf(ending));
    std::int64_t others = all.requests;
    for (const std::string& route : routes) {
      const auto found = by_route.find(route);
      const std::int64_t requests =
          found == by_route.end() ? 0 : found->second.requests;
      others -= requests;
      out << absl::StreamFormat("%12d", requests);
    }
    out << absl::StreamFormat("%12d%12d%18.0f\n", others, all.requests,
                              all.prompt_tokens / 1000);
  }
}

void Losses::PrintSeconds(std::ostream& out) const {
  out << "second";
  for (const absl::string_view name : kNames) out << "  " << name;
  out << "\n";
  for (const auto& [second, by_ending] : seconds_) {
    out << absl::StreamFormat("%6d", second);
    for (std::size_t i = 0; i < kNames.size(); ++i) {
      const auto found = by_ending.find(static_cast<Ending>(i));
      const std::int64_t count = found == by_ending.end() ? 0 : found->second;
      out << "  "
          << absl::StreamFormat("%*d", static_cast<int>(kNames[i].size()),
                                count);
    }
    out << "\n";
  }
}

}  // namespace gentianlb::explain
