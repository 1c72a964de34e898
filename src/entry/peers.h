// The entry hosts as this one sees them: membership, roles, and the links that
// carry items between them, over JSON-RPC on HTTP. Owned by the control thread.

#ifndef GENTIANLB_ENTRY_PEERS_H_
#define GENTIANLB_ENTRY_PEERS_H_

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "entry/control_loop.h"
#include "entry/peer_link.h"
#include "http/client.h"
#include "member/membership.h"
#include "member/roles.h"
#include "rpc/codec.h"
#include "timeline/recorder.h"

namespace gentianlb::entry {

struct PeerHooks {
  std::function<void(const EntryHostId& sender, PeerItem item)> on_item;
  std::function<void(const member::MemberChange& change)> on_member;
  std::function<void(const member::RoleBoard::Change& change)> on_role;
  // A peer has a newer configuration than any that was heard of.
  std::function<void(std::int64_t version, const EntryHostId& peer)>
      on_config_news;
};

struct PeerOptions {
  member::Member self;
  member::MembershipOptions membership;
  std::vector<member::Seed> seeds;
  std::string key;      // What peers show each other.
  std::string ca_file;  // Non-empty: peers are spoken to by TLS.
};

class Peers {
 public:
  Peers(PeerOptions options, ControlLoop* loop, http::Client* client,
        timeline::Recorder* recorder, PeerHooks hooks);

  // Begins to probe.
  void Start();

  // Adds the methods that peers call. The table is used on the control thread.
  void Register(rpc::AsyncMethodTable* methods);

  void SetRoles(std::vector<member::RoleSpec> roles);
  void SetConfigVersion(std::int64_t version);

  // A host that the platform's list names.
  void AddSeed(const member::Seed& seed) { membership_.AddSeed(seed); }

  // Tells all that this host is leaving, and hands its roles over.
  void Leave();

  // Ordered, exactly once while both live; dropped when the peer dies.
  void Send(const EntryHostId& host, PeerItem item);

  // Sends to every living peer.
  void Broadcast(const PeerItem& item);

  // A call with an answer; nothing when there was none in time.
  void Call(const EntryHostId& host, const std::string& method,
            Json::Value params, absl::Duration timeout,
            std::function<void(std::optional<Json::Value>)> done);

  const member::Membership& membership() const { return membership_; }
  const member::RoleBoard& roles() const { return roles_; }

  const std::string& key() const { return options_.key; }

  // http:// or https://, IP and port of a member's control interface.
  std::string UrlOf(const EntryHostId& host) const;

 private:
  struct Link {
    PeerOutbox outbox;
    TimerId retry = 0;
    std::uint64_t generation = 0;  // Raised when the peer's start changes.
  };

  void Tick();
  void Act(std::vector<member::Envelope> out,
           std::vector<member::MemberChange> changes);
  void SendEnvelope(const member::Envelope& envelope);
  void UpdateRoles();
  void Pump(const EntryHostId& host);
  void PumpEnded(const EntryHostId& host, std::uint64_t generation, bool taken);
  std::optional<rpc::RpcError> TakeBatch(const Json::Value& params);
  void TakeProbe(const Json::Value& params);
  Json::Value Origin() const;
  void Observe(const Json::Value& params);
  http::ClientRequest RpcRequest(const std::string& base, std::string body,
                                 absl::Duration timeout) const;

  const PeerOptions options_;
  ControlLoop* const loop_;
  http::Client* const client_;
  timeline::Recorder* const recorder_;
  const PeerHooks hooks_;
  member::Membership membership_;
  member::RoleBoard roles_;
  std::map<EntryHostId, Link> links_;
  PeerInbox inbox_;
  std::uint64_t judged_changes_ = 0;
  std::int64_t told_config_ = 0;
  TimerId tick_ = 0;
};

}  // namespace gentianlb::entry

#endif  // GENTIANLB_ENTRY_PEERS_H_
