#include "process/callers.h"

#include <stdexcept>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/synchronization/mutex.h"
#include "process/process.h"
#include "standins/json.h"

namespace gentianlb::process {
namespace {

constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDone = "data: [DONE]";

bool IsStream(const Answer& answer) {
  return http::FindHeader(answer.headers, "Content-Type")
      .starts_with("text/event-stream");
}

std::string StreamText(const std::string& body) {
  std::string text;
  std::vector<std::string> lines = absl::StrSplit(body, '\n');
  for (std::string_view line : lines) {
    if (!line.starts_with(kDataPrefix)) continue;
    line.remove_prefix(kDataPrefix.size());
    auto chunk = standins::ParseObject(line);
    if (!chunk.has_value()) continue;
    text += (*chunk)["choices"][0]["delta"]["content"].asString();
  }
  return text;
}

http::Reply FetchControl(const std::string& address, const std::string& method,
                         const std::string& body) {
  http::Client client;
  http::Reply reply =
      client.FetchAndWait({.method = method,
                           .url = absl::StrCat("http://", address, "/control"),
                           .body = body,
                           .timeout = kBound});
  if (reply.status != 200) {
    throw std::runtime_error("control of " + address + ": " + reply.detail +
                             reply.body);
  }
  return reply;
}

}  // namespace

bool Answer::IsWhole() const {
  if (end != http::TransferEnd::kComplete || status != 200) return false;
  return !IsStream(*this) || body.find(kDone) != std::string::npos;
}

std::string Answer::Text() const {
  if (IsStream(*this)) return StreamText(body);
  return Parsed()["choices"][0]["message"]["content"].asString();
}

Json::Value Answer::Parsed() const {
  return standins::ParseObject(body).value_or(Json::Value(Json::objectValue));
}

struct Call::State {
  mutable absl::Mutex mutex;
  bool ended ABSL_GUARDED_BY(mutex) = false;
  Answer answer ABSL_GUARDED_BY(mutex);
};

Call::Call(http::Client& client, http::ClientRequest request)
    : client_(client), state_(std::make_shared<State>()) {
  http::TransferSink sink;
  sink.on_head = [state = state_](http::ReceivedHead head) {
    absl::MutexLock lock(&state->mutex);
    state->answer.status = head.status;
    state->answer.headers = std::move(head.headers);
    return http::ReadAction::kContinue;
  };
  sink.on_data = [state = state_](std::string_view bytes) {
    absl::MutexLock lock(&state->mutex);
    state->answer.body.append(bytes);
  };
  sink.on_end = [state = state_](http::TransferEnd end, const std::string&) {
    absl::MutexLock lock(&state->mutex);
    state->answer.end = end;
    state->ended = true;
  };
  id_ = client.Start(std::move(request), std::move(sink));
}

Answer Call::SoFar() const {
  absl::MutexLock lock(&state_->mutex);
  return state_->answer;
}

bool Call::HasEnded() const {
  absl::MutexLock lock(&state_->mutex);
  return state_->ended;
}

void Call::WaitForBytes(std::size_t bytes) const {
  WaitUntil("the first part of an answer",
            [&] { return HasEnded() || SoFar().body.size() >= bytes; });
}

Answer Call::Wait() const {
  WaitUntil("the end of an answer", [&] { return HasEnded(); });
  return SoFar();
}

void Call::Cancel() { client_.Cancel(id_); }

Call Caller::Ask(const std::string& host, const Chat& chat,
                 std::vector<http::Header> headers) {
  Json::Value body;
  body["model"] = chat.model;
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] = chat.prompt;
  body["max_tokens"] = chat.max_tokens;
  body["stream"] = chat.stream;
  headers.push_back({"Content-Type", "application/json"});
  return Send(host, "POST", "/v1/chat/completions", standins::ToText(body),
              std::move(headers));
}

Call Caller::Send(const std::string& host, const std::string& method,
                  const std::string& path, const std::string& body,
                  std::vector<http::Header> headers) {
  headers.push_back({"Authorization", "Bearer " + token_});
  http::ClientRequest request;
  request.method = method;
  request.url = absl::StrCat("http://", host, path);
  request.headers = std::move(headers);
  request.body = body;
  // A caller that repeats by itself would hide what the test looks for.
  request.send_policy = http::SendPolicy::kFreshConnection;
  return Call(client_, std::move(request));
}

http::Header Key(std::string_view key) {
  return {"Idempotency-Key", std::string(key)};
}

Json::Value ShowControl(const std::string& address) {
  return *standins::ParseObject(FetchControl(address, "GET", "").body);
}

void SetControl(const std::string& address, const Json::Value& changes) {
  FetchControl(address, "POST", standins::ToText(changes));
}

}  // namespace gentianlb::process
