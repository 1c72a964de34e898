#include "entry/engine_client.h"

#include <json/json.h>

#include <utility>

#include "entry/json_read.h"

namespace gentianlb::entry {
namespace {

using timeline::EventKind;

// An order is only taken, not carried out, within its call.
constexpr absl::Duration kOrderTimeout = absl::Seconds(5);

std::string_view KindName(config::OrderKind kind) {
  switch (kind) {
    case config::OrderKind::kLoad:
      return "load";
    case config::OrderKind::kUnload:
      return "unload";
    case config::OrderKind::kRole:
      return "role";
  }
  return "unknown";
}

std::string_view RoleText(schedule::ServerRole role) {
  switch (role) {
    case schedule::ServerRole::kPrefill:
      return "prefill";
    case schedule::ServerRole::kDecode:
      return "decode";
    case schedule::ServerRole::kMixed:
      break;
  }
  return "mixed";
}

schedule::ServerRole RoleFromText(const std::string& text) {
  if (text == "prefill") return schedule::ServerRole::kPrefill;
  if (text == "decode") return schedule::ServerRole::kDecode;
  return schedule::ServerRole::kMixed;
}

Error NoAnswer(const http::Reply& reply) {
  return {Code::kServerUnreachable, reply.detail};
}

}  // namespace

Outcome<orders::EngineState> ReadEngineState(const http::Reply& reply) {
  if (reply.end != http::TransferEnd::kComplete || reply.status != 200) {
    return NoAnswer(reply);
  }
  Json::Value body = ParseObjectOr(reply.body);
  if (!body["models"].isArray() || !body["role"].isString()) {
    return Error{Code::kServerBroke, "the list of models does not parse"};
  }
  orders::EngineState state;
  state.role = RoleFromText(body["role"].asString());
  for (const Json::Value& model : body["models"]) {
    if (model.isString()) state.models.emplace_back(model.asString());
  }
  return state;
}

orders::OrderReply ReadOrderReply(const http::Reply& reply) {
  if (reply.end == http::TransferEnd::kNotSent) {
    return orders::OrderReply::kRefused;
  }
  if (reply.end != http::TransferEnd::kComplete) {
    return orders::OrderReply::kUnknown;
  }
  if (reply.status / 100 == 2) return orders::OrderReply::kAccepted;
  if (reply.status == 409) return orders::OrderReply::kStaleFence;
  // A failing engine may have taken it before it failed.
  return reply.status / 100 == 4 ? orders::OrderReply::kRefused
                                 : orders::OrderReply::kUnknown;
}

Outcome<orders::OrderProgress> ReadOrderProgress(const http::Reply& reply) {
  if (reply.end != http::TransferEnd::kComplete || reply.status != 200) {
    return NoAnswer(reply);
  }
  Json::Value body = ParseObjectOr(reply.body);
  std::string state = body["state"].isString() ? body["state"].asString() : "";
  if (state == "running") return orders::OrderProgress::kRunning;
  if (state == "done") return orders::OrderProgress::kDone;
  if (state == "failed") return orders::OrderProgress::kFailed;
  if (state == "unknown") return orders::OrderProgress::kUnknownOrder;
  return Error{Code::kServerBroke, "no such state of an order: " + state};
}

EngineClient::EngineClient(ControlLoop* loop, http::Client* client,
                           timeline::Recorder* recorder)
    : loop_(loop), client_(client), recorder_(recorder) {}

void EngineClient::ReadState(
    const ServerId& server,
    std::function<void(Outcome<orders::EngineState>)> state) {
  Fetch(MakeRequest(server, "/v1/models"),
        [state = std::move(state)](const http::Reply& reply) {
          state(ReadEngineState(reply));
        });
}

void EngineClient::SendOrder(const ServerId& server, const orders::Order& order,
                             std::function<void(orders::OrderReply)> reply) {
  Json::Value body;
  body["fence"] = Json::Int64{order.fence};
  body["order"] = order.id;
  body["kind"] = std::string(KindName(order.kind));
  body["model"] = order.model.str();
  body["role"] = std::string(RoleText(order.role));
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  http::ClientRequest request = MakeRequest(server, "/v1/orders");
  request.method = "POST";
  request.body = Json::writeString(writer, body);
  request.headers = {{"Content-Type", "application/json"}};
  recorder_->Record(EventKind::kOrderSent, server.str(),
                    "order=" + order.id +
                        " kind=" + std::string(KindName(order.kind)) +
                        " model=" + order.model.str() +
                        " fence=" + std::to_string(order.fence));
  Fetch(std::move(request), [this, server, id = order.id,
                             reply = std::move(reply)](const http::Reply& got) {
    recorder_->Record(EventKind::kOrderAnswered, server.str(),
                      "order=" + id + " status=" + std::to_string(got.status));
    reply(ReadOrderReply(got));
  });
}

void EngineClient::ReadProgress(
    const ServerId& server, const std::string& id,
    std::function<void(Outcome<orders::OrderProgress>)> done) {
  Fetch(MakeRequest(server, "/v1/orders/" + http::EncodePath(id)),
        [done = std::move(done)](const http::Reply& reply) {
          done(ReadOrderProgress(reply));
        });
}

http::ClientRequest EngineClient::MakeRequest(const ServerId& server,
                                              std::string_view path) const {
  const config::ServerConfig* found =
      config_ == nullptr ? nullptr : config_->Server(server);
  http::ClientRequest request;
  request.url = "http://" + (found == nullptr ? "" : found->address);
  request.url += path;
  request.timeout = kOrderTimeout;
  // Answers don't name their requests: a copy of an earlier one could come.
  request.send_policy = http::SendPolicy::kFreshConnection;
  return request;
}

void EngineClient::Fetch(http::ClientRequest request,
                         std::function<void(const http::Reply&)> done) {
  client_->Fetch(
      std::move(request), [this, done = std::move(done)](http::Reply reply) {
        loop_->Post([done, reply = std::move(reply)] { done(reply); });
      });
}

}  // namespace gentianlb::entry
