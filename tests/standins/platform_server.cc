#include "standins/platform_server.h"

#include <json/json.h>

#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "base/json_text.h"

namespace gentianlb::standins {
namespace {

constexpr absl::Duration kTimeToSend = absl::Milliseconds(30);

// Returns whether a prompt's list of parts, ID:TOKENS each, holds `part`.
bool HoldsPart(std::string_view parts, std::string_view part) {
  if (part.empty()) return false;
  const std::string list = "," + std::string(parts);
  return list.find("," + std::string(part) + ":") != std::string::npos;
}

}  // namespace

PlatformServer::PlatformServer(std::string id, int events, std::string version)
    : id_(std::move(id)), events_(events), version_(std::move(version)) {
  http::ServerSettings settings;
  server_ = std::move(
      http::Server::Start(settings, [this](const http::Request& request,
                                           auto answer) {
        Handle(request, answer);
      }).value());
  port_ = server_->port();
  closer_ = std::thread([this] { CloseAtEnd(); });
}

PlatformServer::~PlatformServer() {
  {
    absl::MutexLock lock(&mutex_);
    closing_ = true;
  }
  closer_.join();
}

void PlatformServer::CloseAtEnd() {
  {
    absl::MutexLock lock(&mutex_);
    mutex_.Await(absl::Condition(&closing_));
  }
  server_.reset();
}

bool PlatformServer::HasEnded() const {
  absl::MutexLock lock(&mutex_);
  return ended_;
}

std::string PlatformServer::Registration(const std::string& service,
                                         const std::string& state) const {
  Json::Value row;
  row["service"] = service;
  row["address"] = absl::StrCat("127.0.0.1:", port_);
  row["zone"] = "z";
  row["slots"] = 8;
  row["state"] = state;
  row["seq"] = 1;
  row["born"] = 1;
  if (!version_.empty()) row["version"] = version_;
  return ToText(row);
}

void PlatformServer::SetFaults(const Faults& faults) {
  absl::MutexLock lock(&mutex_);
  faults_ = faults;
}

std::vector<absl::Time> PlatformServer::Arrivals() const {
  std::vector<absl::Time> times;
  for (const Arrival& arrival : History()) times.push_back(arrival.at);
  return times;
}

std::vector<PlatformServer::Arrival> PlatformServer::History() const {
  absl::MutexLock lock(&mutex_);
  return arrivals_;
}

std::vector<absl::Time> PlatformServer::DeadlyArrivals() const {
  absl::MutexLock lock(&mutex_);
  return deadly_arrivals_;
}

std::map<std::string, int> PlatformServer::Runs() const {
  absl::MutexLock lock(&mutex_);
  return runs_;
}

http::Request PlatformServer::LastRequest() const {
  absl::MutexLock lock(&mutex_);
  return last_;
}

void PlatformServer::Handle(const http::Request& request,
                            const Answer& answer) {
  const std::string request_id(request.header("Request-Id"));
  if (request.header("Expect-Instance") != id_) {
    return answer->Respond(421, {{"Instance-Id", id_}}, "");
  }
  Faults faults;
  bool ended = false;
  bool sheds = false;
  {
    absl::MutexLock lock(&mutex_);
    faults = faults_;
    const auto number = static_cast<int>(arrivals_.size());
    sheds = faults.sheds && number % faults.sheds_one_in == 0;
    arrivals_.push_back({absl::Now(), request_id, sheds,
                         sheds ? faults.retry_after : std::string()});
    const bool deadly = !faults.ends_under.empty() &&
                        absl::StrContains(request.body, faults.ends_under);
    ended = ended_ || deadly;
    closing_ |= deadly;
    if (!ended_) {
      last_ = request;
      if (!sheds) ++runs_[request_id];
    }
    ended_ = ended;
    const bool deadly_part =
        HoldsPart(request.header("Prefix-Hash"), faults.ends_under_part);
    if (deadly_part && !ended) deadly_arrivals_.push_back(absl::Now());
  }
  if (ended) return answer->Abort();
  std::vector<http::Header> headers;
  if (!faults.request_limit.empty()) {
    headers.push_back({"Server-Limit", faults.request_limit});
  }
  if (faults.leaving) headers.push_back({"Server-Leaving", "1"});
  if (sheds) {
    headers.push_back({"Not-Executed", "1"});
    if (!faults.retry_after.empty()) {
      headers.push_back({"Retry-After", faults.retry_after});
    }
    return answer->Respond(503, std::move(headers), "");
  }
  if (faults.loses_answers) return answer->Abort();
  if (!request.header("Model").empty()) {
    return Stream(request, answer, faults, std::move(headers));
  }
  headers.insert(headers.end(), {{"Request-Id", request_id},
                                 {"Server-Stamp", id_},
                                 {"Server-Load", "1,0,8"}});
  answer->Respond(200, std::move(headers),
                  absl::StrCat("done by ", id_, ": ", request.body));
}

void PlatformServer::Stream(const http::Request& request, const Answer& answer,
                            const Faults& faults,
                            std::vector<http::Header> headers) {
  int last = 0;
  const std::string resumed(request.header("Last-Event-Id"));
  if (!absl::SimpleAtoi(resumed, &last)) last = 0;
  headers.insert(headers.end(),
                 {{"Request-Id", std::string(request.header("Request-Id"))},
                  {"Server-Stamp", id_},
                  {"Content-Type", "text/event-stream"}});
  if (HoldsPart(request.header("Prefix-Hash"), faults.ends_under_part)) {
    return EndUnder(answer, std::move(headers));
  }
  answer->Begin(200, std::move(headers));
  if (faults.event_gap > absl::ZeroDuration()) {
    return WriteEvents(answer, last + 1, faults.event_gap);
  }
  for (int i = last + 1; i <= events_; ++i) {
    const std::string event = EventText(i);
    if (i - 1 == faults.cut_after_events) {
      answer->Write(event.substr(0, event.size() / 2));
      // An abort drops what the connection has yet to send.
      timers_.After(kTimeToSend, [answer] { answer->Abort(); });
      return;
    }
    answer->Write(event);
  }
  answer->Finish();
}

void PlatformServer::EndUnder(const Answer& answer,
                              std::vector<http::Header> headers) {
  answer->Begin(200, std::move(headers));
  timers_.After(kTimeToSend, [this] {
    absl::MutexLock lock(&mutex_);
    ended_ = true;
    closing_ = true;
  });
}

void PlatformServer::WriteEvents(const Answer& answer, int next,
                                 absl::Duration gap) {
  if (next > events_) return answer->Finish();
  answer->Write(EventText(next));
  timers_.After(
      gap, [this, answer, next, gap] { WriteEvents(answer, next + 1, gap); });
}

std::string PlatformServer::EventText(int number) const {
  return absl::StrCat("id: ", number, "\ndata: word", version_, "\n\n");
}

}  // namespace gentianlb::standins
