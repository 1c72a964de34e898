#include "entry/wire.h"

#include <charconv>
#include <string>
#include <type_traits>
#include <utility>

namespace gentianlb::entry {
namespace {

using schedule::CallerDisconnected;
using schedule::Cancel;
using schedule::Grant;
using schedule::Refuse;
using schedule::RequestArrived;
using schedule::RequestFinished;
using schedule::RequestOutcome;
using schedule::RequestRunning;
using schedule::ServerHealth;
using schedule::TokensStreamed;

// --- Reading with checks ----------------------------------------------------

boost::leaf::error_id Malformed(const char* field) {
  return Fail(Code::kMalformedRpc, std::string("field ") + field);
}

Result<std::string> Text(const Json::Value& json, const char* field) {
  if (!json.isObject() || !json[field].isString()) return Malformed(field);
  return json[field].asString();
}

template <typename IdType>
Result<IdType> ReadId(const Json::Value& json, const char* field) {
  BOOST_LEAF_AUTO(text, Text(json, field));
  return IdType(std::move(text));
}

Result<std::int64_t> Number(const Json::Value& json, const char* field) {
  if (!json.isObject() || !json[field].isInt64()) return Malformed(field);
  return json[field].asInt64();
}

Result<int> SmallNumber(const Json::Value& json, const char* field) {
  if (!json.isObject() || !json[field].isInt()) return Malformed(field);
  return json[field].asInt();
}

template <typename E>
Result<E> Enumerator(const Json::Value& json, const char* field, E last) {
  BOOST_LEAF_AUTO(number, SmallNumber(json, field));
  if (number < 0 || number > static_cast<int>(last)) return Malformed(field);
  return static_cast<E>(number);
}

Result<absl::Time> ReadTime(const Json::Value& json, const char* field) {
  BOOST_LEAF_AUTO(micros, Number(json, field));
  return absl::FromUnixMicros(micros);
}

Result<Code> ReadCode(const Json::Value& json) {
  BOOST_LEAF_AUTO(number, SmallNumber(json, "code"));
  Code code = static_cast<Code>(number);
  const std::vector<CodeInfo>& all = AllCodes();
  for (const CodeInfo& info : all) {
    if (info.code == code) return code;
  }
  return Malformed("code");
}

// --- Requests ---------------------------------------------------------------

// Hashes as text: JSON numbers do not hold 64 bits everywhere.
Json::Value PrefixToJson(const std::vector<schedule::PrefixHash>& prefix) {
  std::string text;
  char digits[17];
  for (schedule::PrefixHash hash : prefix) {
    auto end = std::to_chars(digits, digits + 16, hash, 16).ptr;
    text.append(digits, end);
    text += ' ';
  }
  return text;
}

Result<std::vector<schedule::PrefixHash>> PrefixFromJson(
    const Json::Value& json) {
  BOOST_LEAF_AUTO(text, Text(json, "prefix"));
  std::vector<schedule::PrefixHash> prefix;
  const char* at = text.data();
  const char* end = at + text.size();
  while (at < end) {
    schedule::PrefixHash hash = 0;
    auto read = std::from_chars(at, end, hash, 16);
    if (read.ec != std::errc() || read.ptr == end || *read.ptr != ' ') {
      return Malformed("prefix");
    }
    prefix.push_back(hash);
    at = read.ptr + 1;
  }
  return prefix;
}

Json::Value RequestToJson(const schedule::Request& request) {
  Json::Value json;
  json["id"] = request.id.str();
  json["host"] = request.host.str();
  json["workspace"] = request.workspace.str();
  json["model"] = request.model.str();
  json["tier"] = request.tier.rank;
  json["arrival"] = Json::Int64{absl::ToUnixMicros(request.arrival)};
  json["deadline"] = Json::Int64{absl::ToUnixMicros(request.deadline)};
  json["prompt"] = request.prompt_tokens;
  json["max_output"] = request.max_output_tokens;
  json["bytes"] = Json::Int64{request.body_bytes};
  json["prefix"] = PrefixToJson(request.prefix);
  return json;
}

Result<schedule::Request> RequestFromJson(const Json::Value& json) {
  schedule::Request request;
  BOOST_LEAF_ASSIGN(request.id, ReadId<RequestId>(json, "id"));
  BOOST_LEAF_ASSIGN(request.host, ReadId<EntryHostId>(json, "host"));
  BOOST_LEAF_ASSIGN(request.workspace, ReadId<WorkspaceId>(json, "workspace"));
  BOOST_LEAF_ASSIGN(request.model, ReadId<ModelId>(json, "model"));
  BOOST_LEAF_ASSIGN(request.tier.rank, SmallNumber(json, "tier"));
  BOOST_LEAF_ASSIGN(request.arrival, ReadTime(json, "arrival"));
  BOOST_LEAF_ASSIGN(request.deadline, ReadTime(json, "deadline"));
  BOOST_LEAF_ASSIGN(request.prompt_tokens, SmallNumber(json, "prompt"));
  BOOST_LEAF_ASSIGN(request.max_output_tokens, SmallNumber(json, "max_output"));
  BOOST_LEAF_ASSIGN(request.body_bytes, Number(json, "bytes"));
  BOOST_LEAF_ASSIGN(request.prefix, PrefixFromJson(json));
  return request;
}

// --- Events to a dispatcher -------------------------------------------------

Json::Value EventToJson(const RequestArrived& event) {
  Json::Value json;
  json["event"] = "arrived";
  json["request"] = RequestToJson(event.request);
  return json;
}

Json::Value EventToJson(const CallerDisconnected& event) {
  Json::Value json;
  json["event"] = "gone";
  json["id"] = event.id.str();
  return json;
}

Json::Value EventToJson(const RequestRunning& event) {
  Json::Value json;
  json["event"] = "running";
  json["request"] = RequestToJson(event.request);
  json["server"] = event.server.str();
  json["tokens"] = event.output_tokens;
  return json;
}

Json::Value EventToJson(const TokensStreamed& event) {
  Json::Value json;
  json["event"] = "streamed";
  json["id"] = event.id.str();
  json["tokens"] = event.output_tokens;
  return json;
}

Json::Value EventToJson(const RequestFinished& event) {
  Json::Value json;
  json["event"] = "ended";
  json["id"] = event.id.str();
  json["kind"] = static_cast<int>(event.kind);
  json["tokens"] = event.output_tokens;
  json["cached"] = event.cached_prompt_tokens;
  return json;
}

Result<PeerItem> EventFromJson(Domain domain, const std::string& kind,
                               const Json::Value& json) {
  if (kind == "arrived") {
    BOOST_LEAF_AUTO(request, RequestFromJson(json["request"]));
    return DispatchEvent{std::move(domain), RequestArrived{std::move(request)}};
  }
  if (kind == "running") {
    RequestRunning event;
    BOOST_LEAF_ASSIGN(event.request, RequestFromJson(json["request"]));
    BOOST_LEAF_ASSIGN(event.server, ReadId<ServerId>(json, "server"));
    BOOST_LEAF_ASSIGN(event.output_tokens, SmallNumber(json, "tokens"));
    return DispatchEvent{std::move(domain), std::move(event)};
  }
  BOOST_LEAF_AUTO(id, ReadId<RequestId>(json, "id"));
  if (kind == "gone") {
    return DispatchEvent{std::move(domain), CallerDisconnected{std::move(id)}};
  }
  BOOST_LEAF_AUTO(tokens, SmallNumber(json, "tokens"));
  if (kind == "streamed") {
    return DispatchEvent{std::move(domain),
                         TokensStreamed{std::move(id), tokens}};
  }
  if (kind != "ended") return Malformed("event");
  RequestFinished event;
  event.id = std::move(id);
  event.output_tokens = tokens;
  BOOST_LEAF_ASSIGN(event.kind,
                    Enumerator(json, "kind", RequestOutcome::kCancelled));
  BOOST_LEAF_ASSIGN(event.cached_prompt_tokens, SmallNumber(json, "cached"));
  return DispatchEvent{std::move(domain), std::move(event)};
}

// --- Decisions from a dispatcher --------------------------------------------

Json::Value DecisionToJson(const Grant& grant) {
  Json::Value json;
  json["decision"] = "grant";
  json["server"] = grant.server.str();
  return json;
}

// Refuse and Cancel have the same fields.
template <typename D>
Json::Value EndingToJson(const char* kind, const D& decision) {
  Json::Value json;
  json["decision"] = kind;
  json["code"] = static_cast<int>(decision.code);
  json["retry_after"] =
      Json::Int64{absl::ToInt64Microseconds(decision.retry_after)};
  return json;
}

Json::Value DecisionToJson(const Refuse& refuse) {
  return EndingToJson("refuse", refuse);
}

Json::Value DecisionToJson(const Cancel& cancel) {
  return EndingToJson("cancel", cancel);
}

template <typename D>
Result<PeerItem> EndingFromJson(Domain domain, RequestId id, EntryHostId host,
                                const Json::Value& json) {
  D decision;
  decision.id = std::move(id);
  decision.host = std::move(host);
  BOOST_LEAF_ASSIGN(decision.code, ReadCode(json));
  BOOST_LEAF_AUTO(micros, Number(json, "retry_after"));
  decision.retry_after = absl::Microseconds(micros);
  return DispatchDecision{std::move(domain), std::move(decision)};
}

Result<PeerItem> DecisionFromJson(Domain domain, const std::string& kind,
                                  const Json::Value& json) {
  BOOST_LEAF_AUTO(id, ReadId<RequestId>(json, "id"));
  BOOST_LEAF_AUTO(host, ReadId<EntryHostId>(json, "host"));
  if (kind == "refuse") {
    return EndingFromJson<Refuse>(std::move(domain), std::move(id),
                                  std::move(host), json);
  }
  if (kind == "cancel") {
    return EndingFromJson<Cancel>(std::move(domain), std::move(id),
                                  std::move(host), json);
  }
  if (kind != "grant") return Malformed("decision");
  BOOST_LEAF_AUTO(server, ReadId<ServerId>(json, "server"));
  return DispatchDecision{
      std::move(domain),
      Grant{std::move(id), std::move(host), std::move(server)}};
}

// --- Items ------------------------------------------------------------------

void AddDomain(const Domain& domain, Json::Value* json) {
  (*json)["service"] = domain.service.str();
  (*json)["zone"] = domain.zone.str();
}

Result<Domain> ReadDomain(const Json::Value& json) {
  Domain domain;
  BOOST_LEAF_ASSIGN(domain.service, ReadId<ServiceId>(json, "service"));
  BOOST_LEAF_ASSIGN(domain.zone, ReadId<ZoneId>(json, "zone"));
  return domain;
}

Json::Value ItemToJson(const DispatchEvent& item) {
  Json::Value json = std::visit(
      [](const auto& event) { return EventToJson(event); }, item.event);
  AddDomain(item.domain, &json);
  return json;
}

Json::Value ItemToJson(const DispatchDecision& item) {
  Json::Value json = std::visit(
      [](const auto& decision) {
        Json::Value body = DecisionToJson(decision);
        body["id"] = decision.id.str();
        body["host"] = decision.host.str();
        return body;
      },
      item.decision);
  AddDomain(item.domain, &json);
  return json;
}

Json::Value ItemToJson(const HealthNews& item) {
  Json::Value json;
  json["server"] = item.server.str();
  json["health"] = static_cast<int>(item.health);
  return json;
}

// --- Membership -------------------------------------------------------------

Json::Value MemberToJson(const member::Member& member) {
  Json::Value json;
  json["id"] = member.id.str();
  json["zone"] = member.zone.str();
  json["address"] = member.address;
  json["incarnation"] = Json::Int64{member.incarnation};
  json["revision"] = static_cast<Json::Int64>(member.revision);
  json["state"] = static_cast<int>(member.state);
  json["config"] = Json::Int64{member.config_version};
  for (const member::HeldRole& held : member.roles) {
    Json::Value role;
    role["role"] = held.role;
    role["since"] = Json::Int64{held.since};
    json["roles"].append(std::move(role));
  }
  return json;
}

Result<member::Member> MemberFromJson(const Json::Value& json) {
  member::Member member;
  BOOST_LEAF_ASSIGN(member.id, ReadId<EntryHostId>(json, "id"));
  BOOST_LEAF_ASSIGN(member.zone, ReadId<ZoneId>(json, "zone"));
  BOOST_LEAF_ASSIGN(member.address, Text(json, "address"));
  BOOST_LEAF_ASSIGN(member.incarnation, Number(json, "incarnation"));
  BOOST_LEAF_AUTO(revision, Number(json, "revision"));
  member.revision = static_cast<std::uint64_t>(revision);
  BOOST_LEAF_ASSIGN(member.state,
                    Enumerator(json, "state", member::MemberState::kLeaving));
  BOOST_LEAF_ASSIGN(member.config_version, Number(json, "config"));
  const Json::Value& roles = json["roles"];
  if (!roles.isNull() && !roles.isArray()) return Malformed("roles");
  for (const Json::Value& role : roles) {
    member::HeldRole held;
    BOOST_LEAF_ASSIGN(held.role, Text(role, "role"));
    BOOST_LEAF_ASSIGN(held.since, Number(role, "since"));
    member.roles.push_back(std::move(held));
  }
  return member;
}

Json::Value BodyToJson(const member::Ping& ping) {
  Json::Value json;
  json["kind"] = "ping";
  json["number"] = static_cast<Json::Int64>(ping.number);
  return json;
}

Json::Value BodyToJson(const member::Ack& ack) {
  Json::Value json;
  json["kind"] = "ack";
  json["number"] = static_cast<Json::Int64>(ack.number);
  json["about"] = ack.alive_host.str();
  return json;
}

Json::Value BodyToJson(const member::PingRequest& request) {
  Json::Value json;
  json["kind"] = "ping-request";
  json["number"] = static_cast<Json::Int64>(request.number);
  json["about"] = request.target.str();
  return json;
}

Result<decltype(member::Envelope::body)> BodyFromJson(const Json::Value& json) {
  BOOST_LEAF_AUTO(kind, Text(json, "kind"));
  BOOST_LEAF_AUTO(number, Number(json, "number"));
  auto count = static_cast<std::uint64_t>(number);
  decltype(member::Envelope::body) body;
  if (kind == "ping") {
    body = member::Ping{count};
    return body;
  }
  BOOST_LEAF_AUTO(about, ReadId<EntryHostId>(json, "about"));
  if (kind == "ack") {
    body = member::Ack{count, std::move(about)};
    return body;
  }
  if (kind != "ping-request") return Malformed("kind");
  body = member::PingRequest{count, std::move(about)};
  return body;
}

}  // namespace

std::string RoleName(const Domain& domain) {
  return "dispatch/" + domain.service.str() + "/" + domain.zone.str();
}

Json::Value ToJson(const PeerItem& item) {
  return std::visit([](const auto& one) { return ItemToJson(one); }, item);
}

Result<PeerItem> PeerItemFromJson(const Json::Value& json) {
  if (!json.isObject()) return Malformed("item");
  if (json.isMember("health")) {
    HealthNews news;
    BOOST_LEAF_ASSIGN(news.server, ReadId<ServerId>(json, "server"));
    BOOST_LEAF_ASSIGN(news.health,
                      Enumerator(json, "health", ServerHealth::kLeaving));
    return news;
  }
  BOOST_LEAF_AUTO(domain, ReadDomain(json));
  if (json.isMember("event")) {
    BOOST_LEAF_AUTO(kind, Text(json, "event"));
    return EventFromJson(std::move(domain), kind, json);
  }
  BOOST_LEAF_AUTO(kind, Text(json, "decision"));
  return DecisionFromJson(std::move(domain), kind, json);
}

Json::Value ToJson(const member::Envelope& envelope) {
  Json::Value json = std::visit(
      [](const auto& body) { return BodyToJson(body); }, envelope.body);
  json["from"] = MemberToJson(envelope.from);
  json["to"] = envelope.to.str();
  for (const member::Member& news : envelope.updates) {
    json["news"].append(MemberToJson(news));
  }
  return json;
}

Result<member::Envelope> EnvelopeFromJson(const Json::Value& json) {
  member::Envelope envelope;
  if (!json.isObject()) return Malformed("envelope");
  BOOST_LEAF_ASSIGN(envelope.from, MemberFromJson(json["from"]));
  BOOST_LEAF_ASSIGN(envelope.to, ReadId<EntryHostId>(json, "to"));
  BOOST_LEAF_ASSIGN(envelope.body, BodyFromJson(json));
  const Json::Value& news = json["news"];
  if (!news.isNull() && !news.isArray()) return Malformed("news");
  for (const Json::Value& one : news) {
    BOOST_LEAF_AUTO(member, MemberFromJson(one));
    envelope.updates.push_back(std::move(member));
  }
  return envelope;
}

}  // namespace gentianlb::entry
