#include "entry/server_call.h"

#include <json/json.h>

#include <utility>

#include "entry/json_read.h"

namespace gentianlb::entry {
namespace {

// Hosts of one site are about a millisecond apart; a connection that takes a
// second is one to a host that is gone, and nothing has been sent on it.
constexpr absl::Duration kConnectTimeout = absl::Seconds(1);

// A stream may pause while the engine computes other prompts, for as long as a
// full batch of long ones takes; a connection that is silent for longer is a
// dead one whose server watch has failed.
constexpr absl::Duration kStreamSilence = absl::Seconds(60);

// Side calls about streams are answered apart from the batch.
constexpr absl::Duration kSideCallTimeout = absl::Seconds(2);

// Returns a side call. Its answer doesn't name it: only a connection of its own
// proves that the answer isn't a copy of an earlier one.
http::ClientRequest MakeSideCall(std::string url) {
  http::ClientRequest call;
  call.url = std::move(url);
  call.connect_timeout = kConnectTimeout;
  call.send_policy = http::SendPolicy::kFreshConnection;
  return call;
}

}  // namespace

http::ClientRequest MakeCall(const CallerRequest& request,
                             const std::string& base,
                             const std::string& engine_request,
                             absl::Duration limit) {
  http::ClientRequest call;
  call.method = request.method;
  call.url = base + request.path;
  call.headers = request.headers;
  call.headers.push_back({"X-Request-Id", engine_request});
  if (!request.key.empty()) {
    call.headers.push_back({"Idempotency-Key", request.key.str()});
  }
  if (request.kind == config::ServiceKind::kModel) {
    call.headers.push_back({"Content-Type", "application/json"});
    call.inactivity_timeout = kStreamSilence;
  } else {
    call.timeout = limit;
  }
  call.body = request.body;
  call.connect_timeout = kConnectTimeout;
  call.send_policy = http::SendPolicy::kFreshConnection;
  return call;
}

http::ClientRequest MakeResume(const std::string& base,
                               const std::string& stream, int offset) {
  http::ClientRequest call =
      MakeSideCall(base + "/v1/streams/" + http::EncodePath(stream) +
                   "?offset=" + std::to_string(offset));
  call.inactivity_timeout = kStreamSilence;
  return call;
}

http::ClientRequest MakeStreamSearch(const std::string& base,
                                     const std::string& engine_request) {
  http::ClientRequest call = MakeSideCall(
      base + "/v1/streams?request=" + http::EncodePath(engine_request));
  call.timeout = kSideCallTimeout;
  return call;
}

http::ClientRequest MakeCancel(const std::string& base,
                               const std::string& stream) {
  http::ClientRequest call =
      MakeSideCall(base + "/v1/streams/" + http::EncodePath(stream));
  call.method = "DELETE";
  call.timeout = kSideCallTimeout;
  return call;
}

Outcome<std::optional<EngineStream>> ReadStreamSearch(
    const http::Reply& reply) {
  if (reply.end != http::TransferEnd::kComplete || reply.status != 200) {
    return Error{Code::kServerUnreachable, reply.detail};
  }
  Json::Value body = ParseObjectOr(reply.body);
  if (!body["streams"].isArray()) {
    return Error{Code::kServerBroke, "the list of streams does not parse"};
  }
  for (const Json::Value& json : body["streams"]) {
    if (!json.isObject() || !json["id"].isString()) continue;
    EngineStream stream;
    stream.id = json["id"].asString();
    stream.tokens = static_cast<int>(NumberOr(json["tokens"], 0));
    stream.done = json["done"].isBool() && json["done"].asBool();
    return std::optional(std::move(stream));
  }
  return std::optional<EngineStream>();
}

}  // namespace gentianlb::entry
