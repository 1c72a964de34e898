#include "entry/claims.h"

#include <utility>

namespace gentianlb::entry {
namespace {

constexpr char kAskMethod[] = "claim.ask";

// A living peer answers in milliseconds; a claim waits for the slowest.
constexpr absl::Duration kAskTimeout = absl::Milliseconds(500);

Json::Value ToJson(const claim::PeerQuery& query) {
  Json::Value json;
  json["key"] = query.key.str();
  json["asker"] = query.requester.str();
  json["incarnation"] = Json::Int64{query.incarnation};
  json["token"] = query.token;
  json["durable"] = query.durable;
  return json;
}

Result<claim::PeerQuery> QueryFromJson(const Json::Value& json) {
  if (!json["key"].isString() || !json["asker"].isString() ||
      !json["incarnation"].isInt64() || !json["token"].isString() ||
      !json["durable"].isBool()) {
    return Fail(Code::kMalformedRpc, "question");
  }
  claim::PeerQuery query;
  query.key = claim::ClaimKey(json["key"].asString());
  query.requester = EntryHostId(json["asker"].asString());
  query.incarnation = json["incarnation"].asInt64();
  query.token = json["token"].asString();
  query.durable = json["durable"].asBool();
  return query;
}

Json::Value ToJson(const claim::PeerAnswer& answer) {
  Json::Value json;
  json["state"] = static_cast<int>(answer.state);
  json["incarnation"] = Json::Int64{answer.incarnation};
  json["knows_since"] = Json::Int64{absl::ToUnixMicros(answer.memory_start)};
  json["server"] = answer.server.str();
  return json;
}

std::optional<claim::PeerAnswer> AnswerFromJson(const Json::Value& json) {
  if (!json.isObject() || !json["state"].isInt() ||
      !json["incarnation"].isInt64() || !json["knows_since"].isInt64() ||
      !json["server"].isString()) {
    return std::nullopt;
  }
  int state = json["state"].asInt();
  if (state < 0 || state > static_cast<int>(claim::PeerState::kNoPromise)) {
    return std::nullopt;
  }
  claim::PeerAnswer answer;
  answer.state = static_cast<claim::PeerState>(state);
  answer.incarnation = json["incarnation"].asInt64();
  answer.memory_start = absl::FromUnixMicros(json["knows_since"].asInt64());
  answer.server = ServerId(json["server"].asString());
  return answer;
}

}  // namespace

void PeerAsker::Query(
    const EntryHostId& peer, const claim::PeerQuery& query,
    std::function<void(std::optional<claim::PeerAnswer>)> done) {
  peers_->Call(peer, kAskMethod, ToJson(query), kAskTimeout,
               [done = std::move(done)](std::optional<Json::Value> json) {
                 if (!json.has_value()) {
                   done(std::nullopt);
                   return;
                 }
                 done(AnswerFromJson(*json));
               });
}

void RegisterClaims(rpc::AsyncMethodTable* methods, Claims* claims) {
  methods->AddMethod(
      kAskMethod, [claims](const Json::Value& params,
                           const rpc::AsyncMethodTable::Done& done) {
        auto query = Capture([&] { return QueryFromJson(params); });
        if (!query.ok()) {
          done(rpc::RpcError{static_cast<int>(Code::kMalformedRpc),
                             query.error().detail},
               Json::Value());
          return;
        }
        done(rpc::RpcError{0, ""}, ToJson(claims->HandleQuery(query.value())));
      });
}

}  // namespace gentianlb::entry
