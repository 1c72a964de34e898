#include "explain/sends.h"

#include <array>
#include <ostream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace gentianlb::explain {
namespace {

constexpr std::array<absl::string_view, 5> kNames = {
    "second send", "sent again", "false promise", "two at work",
    "copied refusal"};

// Events that end a send of which the server did not run the request.
bool EndsNotRun(const LogLine& line) {
  return line.event == "shed" || line.event == "not-sent" ||
         line.event == "send-withheld";
}

// Events that end a request.
bool EndsRequest(const LogLine& line) {
  return line.event == "answered" || line.event == "given-up" ||
         line.event == "caller-gone" || line.event == "refused";
}

}  // namespace

absl::string_view NameOf(SendFault fault) {
  return kNames[static_cast<std::size_t>(fault)];
}

void Sends::Add(const LogLine& line) {
  Host& host = hosts_[line.host];
  if (line.event == "started") EndAll(host);
  if (!line.Text("request").empty()) host.last = line.time;
  if (line.event == "sent") return OnSent(line, host);
  OnEnd(line, host);
}

void Sends::OnSent(const LogLine& line, Host& host) {
  const std::string id(line.Text("request"));
  const bool once = line.Number("once") > 0;
  const std::string place =
      absl::StrCat(line.host, " to ", line.Text("server"));
  ++(once ? sends_once_ : sends_others_);
  Request& request = host.requests[id];
  request.once = once;
  if (request.open) {
    problems_.push_back({SendFault::kSecondSend, id, request.place, place, {}});
    EndSend(id, request, line.time);
  } else if (once && request.may_have_run) {
    problems_.push_back({SendFault::kSentAgain, id, request.place, place, {}});
  }
  const std::string first(line.Text("takes_up"));
  if (!first.empty()) ++taken_up_;
  request.stream = first.empty() ? id : first;
  request.place = place;
  request.open = true;
  request.sent = line.time;
}

void Sends::OnEnd(const LogLine& line, Host& host) {
  const std::string id(line.Text("request"));
  const auto found = host.requests.find(id);
  if (found == host.requests.end()) return;
  Request& request = found->second;
  if (line.event == "shed") OnShed(line, id, request);
  if (EndsNotRun(line)) return EndSend(id, request, line.time);
  if (line.event == "sending-failed") {
    request.may_have_run = true;
    return EndSend(id, request, line.time);
  }
  if (!EndsRequest(line)) return;
  const bool refused = line.event == "refused";
  if (refused && (request.open || request.may_have_run)) {
    problems_.push_back(
        {SendFault::kFalsePromise, id, request.place, line.host, {}});
  }
  EndSend(id, request, line.time);
  host.requests.erase(found);
}

void Sends::OnShed(const LogLine& line, const std::string& id,
                   Request& request) {
  const auto connection = static_cast<std::int64_t>(line.Number("connection"));
  if (connection == 0) return;  // Of a host that doesn't name it.
  const auto [earlier, first] =
      request.refusals.emplace(connection, request.place);
  if (first) return;
  problems_.push_back({SendFault::kCopiedRefusal, id, earlier->second,
                       request.place, absl::ZeroDuration()});
}

void Sends::EndSend(const std::string& id, Request& request, absl::Time end) {
  if (!std::exchange(request.open, false)) return;
  if (request.once) return;
  Stream& stream = streams_[request.stream];
  stream.spans.push_back({request.sent, end});
  stream.requests.push_back(id);
  stream.places.push_back(request.place);
}

void Sends::EndAll(Host& host) {
  for (auto& [id, request] : host.requests) EndSend(id, request, host.last);
  host.requests.clear();
}

void Sends::Finish() {
  for (auto& [name, host] : hosts_) EndAll(host);
  CompareStreams();
}

void Sends::CompareStreams() {
  for (const auto& [id, stream] : streams_) {
    for (const Overlap& overlap : FindOverlaps(stream.spans, kMaxOverlap)) {
      problems_.push_back({SendFault::kTwoAtWork,
                           stream.requests[overlap.second],
                           stream.places[overlap.first],
                           stream.places[overlap.second], overlap.length});
    }
  }
  streams_.clear();
}

void Sends::Print(std::ostream& out) const {
  out << absl::StreamFormat(
      "%d sends of requests that may run once, %d others, %d take-ups, "
      "%d problems\n",
      sends_once_, sends_others_, taken_up_, problems_.size());
  for (const SendProblem& problem : problems_) {
    out << absl::StreamFormat("%-14s request %s: %s, then %s",
                              NameOf(problem.fault), problem.request,
                              problem.first, problem.second);
    if (problem.fault == SendFault::kTwoAtWork) {
      out << absl::StreamFormat(", both for %d ms",
                                absl::ToInt64Milliseconds(problem.overlap));
    }
    out << "\n";
  }
}

}  // namespace gentianlb::explain
