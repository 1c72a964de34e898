#include "process/answer_rules.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "standins/answer_bytes.h"

namespace gentianlb::process {
namespace {

constexpr int kOk = 200;
constexpr std::size_t kShownBytes = 60;
constexpr std::string_view kEventEnd = "\n\n";

// Statuses that promise that the request has not run and never will.
bool IsPromise(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

struct Run {
  const ServerReport* server = nullptr;
  bool finished = false;
};
using Runs = std::multimap<std::string, Run>;  // By request.

std::string Describe(const CallRecord& call, const Runs& runs) {
  constexpr const char* kEnds[] = {"none", "framed", "closed", "broken"};
  std::string text = absl::StrCat(call.id, " over ", call.host, ": status ",
                                  call.answer.status, " end ",
                                  kEnds[static_cast<int>(call.answer.end)],
                                  " bytes ", call.answer.body.size());
  const auto [first, last] = runs.equal_range(call.id);
  for (auto run = first; run != last; ++run) {
    absl::StrAppend(&text, " ran at ", run->second.server->server,
                    run->second.finished ? "" : " (answer not finished)",
                    run->second.server->doubled_for.contains(call.id)
                        ? " (copy before it)"
                        : "");
  }
  std::string shown = call.answer.body.substr(0, kShownBytes);
  std::replace(shown.begin(), shown.end(), '\n', '|');
  absl::StrAppend(&text, " begins \"", shown, "\"");
  return text;
}

// What is wrong with the head of a success; empty: nothing.
std::string FaultOfHead(const CallRecord& call) {
  if (call.answer.Header("Server-Stamp").empty()) return "no stamp";
  if (call.answer.Header("Request-Id") != call.id) return "another's id";
  return "";
}

// A plain answer. Sets `served`.
std::string FaultOfPlain(const CallRecord& call, const Runs& runs,
                         bool* served) {
  const RawAnswer& answer = call.answer;
  bool part_of_a_run = false;
  bool server_broke_off = false;
  const auto [first, last] = runs.equal_range(call.id);
  for (auto run = first; run != last; ++run) {
    const ServerReport& server = *run->second.server;
    const std::string body =
        standins::AnswerBody(server.server, call.id, server.body_bytes);
    const bool whole =
        answer.end == AnswerEnd::kFramed || answer.end == AnswerEnd::kClosed;
    if (whole && answer.body == body) *served = true;
    if (!body.starts_with(answer.body)) continue;
    part_of_a_run = true;
    server_broke_off |= !run->second.finished;
  }
  if (*served) return "";
  if (!part_of_a_run) return "not the body of a run";
  if (answer.end == AnswerEnd::kBroken) return "";
  if (answer.end == AnswerEnd::kClosed && server_broke_off) return "";
  return "complete, but only a part";
}

// Returns the whole events of a stream's part. The rest is in `tail`.
std::vector<std::string> SplitEvents(std::string_view body, std::string* tail) {
  std::vector<std::string> events;
  std::size_t end = body.find(kEventEnd);
  while (end != std::string_view::npos) {
    events.emplace_back(body.substr(0, end + kEventEnd.size()));
    body.remove_prefix(end + kEventEnd.size());
    end = body.find(kEventEnd);
  }
  *tail = std::string(body);
  return events;
}

// A stream, or the part of it that came after `call.after_event`.
class StreamCheck {
 public:
  StreamCheck(const CallRecord& call, const Runs& runs, int events)
      : call_(call), runs_(runs), events_(events) {}

  // Adds the versions of its events to `versions`.
  std::string Fault(std::set<std::string>* versions, bool* served) const {
    std::string tail;
    std::set<std::string> servers;
    int number = call_.after_event;
    for (const std::string& event : SplitEvents(call_.answer.body, &tail)) {
      const ServerReport* writer = WriterOf(event, ++number);
      if (writer == nullptr) return absl::StrCat("event ", number, ": ", event);
      versions->insert(writer->version);
      servers.insert(writer->server);
    }
    if (call_.once && servers.size() > 1) return "two runs joined";
    if (versions->size() > 1) return "two versions joined";
    if (!IsPartOfEvent(tail, number + 1)) return "a tail of no event: " + tail;
    const bool whole = call_.answer.end == AnswerEnd::kFramed ||
                       call_.answer.end == AnswerEnd::kClosed;
    if (number == events_ && tail.empty()) {
      *served = whole;
      return "";
    }
    if (!whole) return "";
    // The end of an unframed stream inside an event, or of its server, is known
    // to callers as what it is.
    if (call_.answer.end == AnswerEnd::kClosed && IsUnfinished()) return "";
    return absl::StrCat("complete after event ", number, " of ", events_);
  }

 private:
  const ServerReport* WriterOf(const std::string& event, int number) const {
    const auto [first, last] = runs_.equal_range(call_.id);
    for (auto run = first; run != last; ++run) {
      const ServerReport& server = *run->second.server;
      if (event == standins::AnswerEvent(number, events_, server.server,
                                         server.version, call_.id)) {
        return &server;
      }
    }
    return nullptr;
  }

  bool IsPartOfEvent(const std::string& tail, int number) const {
    if (tail.empty()) return true;
    const auto [first, last] = runs_.equal_range(call_.id);
    return std::any_of(first, last, [&](const auto& run) {
      const ServerReport& server = *run.second.server;
      return standins::AnswerEvent(number, events_, server.server,
                                   server.version, call_.id)
          .starts_with(tail);
    });
  }

  bool IsUnfinished() const {
    const auto [first, last] = runs_.equal_range(call_.id);
    return std::any_of(first, last,
                       [](const auto& run) { return !run.second.finished; });
  }

  const CallRecord& call_;
  const Runs& runs_;
  const int events_;
};

void Append(const std::string& name, const std::vector<std::string>& lines,
            std::string* text) {
  for (const std::string& line : lines) {
    absl::StrAppend(text, "\n  ", name, " ", line);
  }
}

}  // namespace

ServerReport ReadServerReport(const std::string& server,
                              const std::string& version,
                              std::size_t body_bytes,
                              const std::string& lines) {
  ServerReport report;
  report.server = server;
  report.version = version;
  report.body_bytes = body_bytes;
  std::map<std::string, absl::Time> begun;
  const std::vector<std::string> all = absl::StrSplit(lines, '\n');
  for (const std::string& line : all) {
    const std::vector<std::string> words = absl::StrSplit(line, ' ');
    if (words.size() < 2) continue;
    if (words[0] == "run") report.runs.push_back(words[1]);
    if (words[0] == "wrote") report.finished.insert(words[1]);
    if (words[0] == "copy") report.doubled_for.insert(words[1]);
    std::int64_t at_ms = 0;
    if (words.size() < 3 || !absl::SimpleAtoi(words[2], &at_ms)) continue;
    const absl::Time at = absl::FromUnixMillis(at_ms);
    if (words[0] == "run") begun[words[1]] = at;
    const bool ends =
        words[0] == "wrote" || words[0] == "left" || words[0] == "cut";
    if (!ends || !begun.contains(words[1])) continue;
    report.work.push_back({words[1], {begun[words[1]], at}});
  }
  return report;
}

int LastEventOf(const std::string& body, int after_event) {
  std::string tail;
  return after_event + static_cast<int>(SplitEvents(body, &tail).size());
}

std::string Judgement::Text() const {
  std::string text =
      absl::StrCat("calls ", calls, " served ", ServedShare(), " TWICE ",
                   twice.size(), " REFUSED ", refused.size(), " MIXED ",
                   mixed.size(), " ORDER ", order.size(), " statuses");
  for (const auto& [status, count] : by_status) {
    absl::StrAppend(&text, " ", status, ":", count);
  }
  Append("TWICE", twice, &text);
  Append("REFUSED", refused, &text);
  Append("MIXED", mixed, &text);
  Append("ORDER", order, &text);
  return text;
}

Judgement Judge(const std::vector<CallRecord>& calls,
                const std::vector<ServerReport>& reports, int events) {
  Runs runs;
  for (const ServerReport& report : reports) {
    for (const std::string& id : report.runs) {
      runs.emplace(id, Run{&report, report.finished.contains(id)});
    }
  }
  Judgement found;
  std::map<std::string, std::set<std::string>> versions;  // By first attempt.
  for (const CallRecord& call : calls) {
    ++found.calls;
    ++found.by_status[call.answer.status];
    const std::string text = Describe(call, runs);
    if (call.once && runs.count(call.id) > 1) found.twice.push_back(text);
    if (call.once && runs.contains(call.id) && IsPromise(call.answer.status)) {
      found.refused.push_back(text);
    }
    if (call.answer.unasked_bytes) {
      found.mixed.push_back(absl::StrCat("unasked bytes: ", text));
    }
    if (call.answer.status != kOk) continue;
    bool served = false;
    const std::string head = FaultOfHead(call);
    if (!head.empty()) {
      found.mixed.push_back(absl::StrCat(head, ": ", text));
    }
    if (call.stream) {
      const std::string& first = call.resumes.empty() ? call.id : call.resumes;
      const std::string fault =
          StreamCheck(call, runs, events).Fault(&versions[first], &served);
      if (!fault.empty()) {
        found.order.push_back(absl::StrCat(fault, ": ", text));
      }
    } else {
      const std::string fault = FaultOfPlain(call, runs, &served);
      if (!fault.empty()) {
        found.mixed.push_back(absl::StrCat(fault, ": ", text));
      }
    }
    found.served += served ? 1 : 0;
  }
  return found;
}

std::vector<std::string> FindTwoAtWork(
    const std::vector<CallRecord>& calls,
    const std::vector<ServerReport>& reports,
    const std::vector<Disturbance>& disturbances, absl::Duration touch_time) {
  struct Place {
    std::string request;
    std::string server;
    std::string host;
  };
  struct Stream {
    std::vector<Span> spans;
    std::vector<Place> places;  // Of each span.
  };
  std::map<std::string, const CallRecord*> call_of;
  for (const CallRecord& call : calls) {
    if (call.stream && !call.once) call_of[call.id] = &call;
  }
  std::map<std::string, Stream> streams;  // By first attempt.
  for (const ServerReport& report : reports) {
    for (const ServerWork& work : report.work) {
      const auto call = call_of.find(work.request);
      if (call == call_of.end()) continue;
      const CallRecord& record = *call->second;
      Stream& stream =
          streams[record.resumes.empty() ? record.id : record.resumes];
      stream.spans.push_back(work.span);
      stream.places.push_back({work.request, report.server, record.host});
    }
  }
  const auto excused = [&](const Place& first, const Span& second) {
    return std::any_of(
        disturbances.begin(), disturbances.end(), [&](const Disturbance& item) {
          const bool concerns =
              item.name == first.server || item.name == first.host;
          return concerns && item.span.begin < second.end &&
                 item.span.end + touch_time > second.begin;
        });
  };
  std::vector<std::string> found;
  for (const auto& [id, stream] : streams) {
    for (const Overlap& overlap : FindOverlaps(stream.spans, kMaxTwoAtWork)) {
      const Place& first = stream.places[overlap.first];
      const Place& second = stream.places[overlap.second];
      const absl::Time begin = stream.spans[overlap.second].begin;
      if (excused(first, {begin, begin + overlap.length})) continue;
      found.push_back(
          absl::StrCat("stream ", id, ": ", first.request, " at ", first.server,
                       " over ", first.host, ", then ", second.request, " at ",
                       second.server, " over ", second.host, ", both for ",
                       absl::ToInt64Milliseconds(overlap.length), " ms"));
    }
  }
  return found;
}

}  // namespace gentianlb::process
