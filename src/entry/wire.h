// The messages between entry hosts as JSON, for JSON-RPC params: events to a
// dispatcher, decisions from it, and membership. What does not parse is an
// error, never a guess: a peer of another release, or a stranger, may send it.

#ifndef GENTIANLB_ENTRY_WIRE_H_
#define GENTIANLB_ENTRY_WIRE_H_

#include <json/json.h>

#include <variant>

#include "base/result.h"
#include "member/messages.h"
#include "schedule/messages.h"

namespace gentianlb::entry {

// The servers of one service in one availability zone, ordered by one
// dispatcher.
struct Domain {
  ServiceId service;
  ZoneId zone;
  auto operator<=>(const Domain&) const = default;
};

// Names the role of a domain's dispatcher.
std::string RoleName(const Domain& domain);

// An event of the sender's for the dispatcher of `domain`.
struct DispatchEvent {
  Domain domain;
  std::variant<schedule::RequestArrived, schedule::CallerDisconnected,
               schedule::RequestRunning, schedule::TokensStreamed,
               schedule::RequestFinished>
      event;
};

// A decision of the sender, as the dispatcher of `domain`.
struct DispatchDecision {
  Domain domain;
  schedule::Decision decision;
};

// A judgement of the sender, as the dispatcher that watches the server.
struct HealthNews {
  ServerId server;
  schedule::ServerHealth health = schedule::ServerHealth::kAlive;
};

using PeerItem = std::variant<DispatchEvent, DispatchDecision, HealthNews>;

Json::Value ToJson(const PeerItem& item);
Result<PeerItem> PeerItemFromJson(const Json::Value& json);

Json::Value ToJson(const member::Envelope& envelope);
Result<member::Envelope> EnvelopeFromJson(const Json::Value& json);

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_WIRE_H_
