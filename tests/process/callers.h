// Callers of the system, as a test needs them: a call goes on by itself, and
// the test looks at what has come so far or waits for the end.

#ifndef GENTIANLB_PROCESS_CALLERS_H_
#define GENTIANLB_PROCESS_CALLERS_H_

#include <json/json.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/client.h"

namespace gentianlb::process {

// What a caller has got.
struct Answer {
  http::TransferEnd end = http::TransferEnd::kNotSent;
  int status = 0;
  std::vector<http::Header> headers;
  std::string body;

  // The whole answer arrived, and the answer says so itself.
  bool IsWhole() const;
  // The content of a model's answer, streamed or not.
  std::string Text() const;
  // The body as JSON; null when it is none.
  Json::Value Parsed() const;
  // Of a refusal: the numbered code and whether it was run.
  int Code() const { return Parsed()["code"].asInt(); }
  std::string Run() const { return Parsed()["run"].asString(); }
};

class Call {
 public:
  Call(http::Client& client, http::ClientRequest request);

  // What has come so far.
  Answer SoFar() const;
  bool HasEnded() const;
  // Waits until this much of the body is there, or the end.
  void WaitForBytes(std::size_t bytes) const;
  Answer Wait() const;
  // Hangs up.
  void Cancel();

 private:
  struct State;
  http::Client& client_;
  std::shared_ptr<State> state_;
  http::TransferId id_ = 0;
};

// The request of a chat completion.
struct Chat {
  std::string model;
  std::string prompt;
  int max_tokens = 16;
  bool stream = true;
};

// One caller: a workspace's token, with headers for single calls.
class Caller {
 public:
  explicit Caller(std::string token) : token_(std::move(token)) {}

  // `host` is IP:PORT of an entry host.
  Call Ask(const std::string& host, const Chat& chat,
           std::vector<http::Header> headers = {});
  Call Send(const std::string& host, const std::string& method,
            const std::string& path, const std::string& body = "",
            std::vector<http::Header> headers = {});

 private:
  std::string token_;
  http::Client client_;
};

// Header of a keyed call.
http::Header Key(std::string_view key);

// The stand-in's control path.
Json::Value ShowControl(const std::string& address);
void SetControl(const std::string& address, const Json::Value& changes);

}  // namespace gentianlb::process

#endif  // GENTIANLB_PROCESS_CALLERS_H_
