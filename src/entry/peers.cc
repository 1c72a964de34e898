#include "entry/peers.h"

#include <utility>

namespace gentianlb::entry {
namespace {

// A probe that is not delivered by then counts as lost; the next one is due.
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(400);

// A batch that has no answer by then is sent again.
constexpr absl::Duration kBatchTimeout = absl::Seconds(1);

constexpr char kProbeMethod[] = "member.probe";
constexpr char kItemsMethod[] = "peer.items";

}  // namespace

Peers::Peers(PeerOptions options, ControlLoop* loop, http::Client* client,
             timeline::Recorder* recorder, PeerHooks hooks)
    : options_(std::move(options)),
      loop_(loop),
      client_(client),
      recorder_(recorder),
      hooks_(std::move(hooks)),
      membership_(options_.self, options_.membership, options_.seeds),
      roles_(options_.self.id) {}

void Peers::Start() {
  constexpr absl::Duration kTick = absl::Milliseconds(50);
  tick_ = loop_->timers().Every(loop_->now(), kTick,
                                [this](absl::Time) { Tick(); });
}

void Peers::Register(rpc::AsyncMethodTable* methods) {
  methods->AddMethod(kItemsMethod, [this](const Json::Value& params,
                                          rpc::AsyncMethodTable::Done done) {
    std::optional<rpc::RpcError> refusal = TakeBatch(params);
    done(refusal.value_or(rpc::RpcError{0, ""}), Json::Value(true));
  });
  methods->AddMethod(kProbeMethod, [this](const Json::Value& params,
                                          rpc::AsyncMethodTable::Done done) {
    TakeProbe(params);
    done(rpc::RpcError{0, ""}, Json::Value(true));
  });
}

void Peers::SetRoles(std::vector<member::RoleSpec> roles) {
  roles_.SetRoles(std::move(roles));
  UpdateRoles();
}

void Peers::SetConfigVersion(std::int64_t version) {
  membership_.SetConfigVersion(version);
}

void Peers::Leave() {
  membership_.Leave();
  UpdateRoles();
}

void Peers::Tick() {
  std::vector<member::Envelope> out;
  std::vector<member::MemberChange> changes;
  membership_.Tick(loop_->now(), &out, &changes);
  Act(std::move(out), std::move(changes));
  // Vacant roles are judged by time; all else only when something has changed.
  bool due =
      membership_.change_count() != judged_changes_ || roles_.HasVacantRole();
  if (due) UpdateRoles();
}

void Peers::Act(std::vector<member::Envelope> out,
                std::vector<member::MemberChange> changes) {
  for (const member::Envelope& envelope : out) SendEnvelope(envelope);
  for (const member::MemberChange& change : changes) {
    // What a dead or restarted peer was told means nothing to it any more.
    bool dead = change.member.state == member::MemberState::kDead;
    if (dead || change.first_seen) {
      Link& link = links_[change.member.id];
      link.outbox.Reset();
      ++link.generation;
    }
    hooks_.on_member(change);
  }
  if (membership_.newest_config_version() > told_config_) {
    told_config_ = membership_.newest_config_version();
    hooks_.on_config_news(told_config_, membership_.newest_config_host());
  }
}

void Peers::UpdateRoles() {
  judged_changes_ = membership_.change_count();
  std::vector<member::RoleBoard::Change> changes =
      roles_.Update(membership_.self(), membership_.Peers(), loop_->now());
  membership_.SetRoles(roles_.HeldRoles());
  for (const member::RoleBoard::Change& change : changes) {
    hooks_.on_role(change);
  }
}

void Peers::SendEnvelope(const member::Envelope& envelope) {
  Json::Value params = Origin();
  params["envelope"] = ToJson(envelope);
  std::string scheme = options_.ca_file.empty() ? "http://" : "https://";
  std::string base = scheme + envelope.to_address;
  client_->Fetch(
      RpcRequest(base, rpc::EncodeCall(kProbeMethod, params), kProbeTimeout),
      [](const http::Reply& /*reply*/) {});
}

void Peers::Send(const EntryHostId& host, PeerItem item) {
  links_[host].outbox.Push(std::move(item));
  Pump(host);
}

void Peers::Broadcast(const PeerItem& item) {
  for (const member::Member& member : membership_.Peers()) {
    if (member.state != member::MemberState::kDead) Send(member.id, item);
  }
}

void Peers::Pump(const EntryHostId& host) {
  Link& link = links_[host];
  absl::Time now = loop_->now();
  std::optional<PeerBatch> batch = link.outbox.Next(now);
  if (!batch.has_value()) {
    bool later = !link.outbox.idle() && link.outbox.retry_at() > now;
    if (later && link.retry == 0) {
      link.retry =
          loop_->timers().At(link.outbox.retry_at(), [this, host](absl::Time) {
            links_[host].retry = 0;
            Pump(host);
          });
    }
    return;
  }
  Json::Value params = Origin();
  params["number"] = static_cast<Json::Int64>(batch->number);
  Json::Value& items = params["items"] = Json::Value(Json::arrayValue);
  for (const PeerItem& item : batch->items) items.append(ToJson(item));
  std::uint64_t generation = link.generation;
  client_->Fetch(RpcRequest(UrlOf(host), rpc::EncodeCall(kItemsMethod, params),
                            kBatchTimeout),
                 [this, host, generation](const http::Reply& reply) {
                   Json::Value ignored;
                   bool taken =
                       reply.end == http::TransferEnd::kComplete &&
                       reply.status == 200 &&
                       rpc::DecodeResponse(reply.body, &ignored).code == 0;
                   loop_->Post([this, host, generation, taken] {
                     PumpEnded(host, generation, taken);
                   });
                 });
}

void Peers::PumpEnded(const EntryHostId& host, std::uint64_t generation,
                      bool taken) {
  Link& link = links_[host];
  if (link.generation != generation) return;
  if (taken) {
    link.outbox.Taken();
  } else {
    link.outbox.Failed(loop_->now());
    membership_.ProbeSoon(host);
  }
  Pump(host);
}

std::optional<rpc::RpcError> Peers::TakeBatch(const Json::Value& params) {
  auto malformed = [](std::string detail) {
    return rpc::RpcError{static_cast<int>(Code::kMalformedRpc),
                         std::move(detail)};
  };
  const Json::Value& from = params["from"];
  if (!from.isString() || !params["incarnation"].isInt64() ||
      !params["number"].isInt64() || !params["items"].isArray()) {
    return malformed("origin");
  }
  std::vector<PeerItem> items;
  for (const Json::Value& json : params["items"]) {
    Outcome<PeerItem> item = Capture([&] { return PeerItemFromJson(json); });
    if (!item.ok()) return malformed(item.error().detail);
    items.push_back(std::move(item.value()));
  }
  Observe(params);
  EntryHostId sender(from.asString());
  PeerInbox::Verdict verdict =
      inbox_.Judge(sender, params["incarnation"].asInt64(),
                   static_cast<std::uint64_t>(params["number"].asInt64()));
  if (verdict == PeerInbox::Verdict::kStale) {
    return rpc::RpcError{static_cast<int>(Code::kStaleMessage),
                         "of an earlier start"};
  }
  if (verdict == PeerInbox::Verdict::kRepeated) return std::nullopt;
  for (PeerItem& item : items) hooks_.on_item(sender, std::move(item));
  return std::nullopt;
}

void Peers::TakeProbe(const Json::Value& params) {
  Outcome<member::Envelope> envelope =
      Capture([&] { return EnvelopeFromJson(params["envelope"]); });
  // A probe for another host: an address has been given to a new one.
  if (!envelope.ok() || envelope.value().to != options_.self.id) return;
  Observe(params);
  std::vector<member::Envelope> out;
  std::vector<member::MemberChange> changes;
  membership_.HandleEnvelope(envelope.value(), loop_->now(), &out, &changes);
  Act(std::move(out), std::move(changes));
}

void Peers::Call(const EntryHostId& host, const std::string& method,
                 Json::Value params, absl::Duration timeout,
                 std::function<void(std::optional<Json::Value>)> done) {
  client_->Fetch(
      RpcRequest(UrlOf(host), rpc::EncodeCall(method, params), timeout),
      [this, done = std::move(done)](const http::Reply& reply) {
        std::optional<Json::Value> answer;
        Json::Value result;
        if (reply.end == http::TransferEnd::kComplete && reply.status == 200 &&
            rpc::DecodeResponse(reply.body, &result).code == 0) {
          answer = std::move(result);
        }
        loop_->Post([done, answer = std::move(answer)] { done(answer); });
      });
}

std::string Peers::UrlOf(const EntryHostId& host) const {
  const member::Member* member = membership_.Find(host);
  std::string scheme = options_.ca_file.empty() ? "http://" : "https://";
  return scheme + (member == nullptr ? "" : member->address);
}

Json::Value Peers::Origin() const {
  timeline::Stamp stamp = recorder_->Now();
  Json::Value origin;
  origin["from"] = options_.self.id.str();
  origin["incarnation"] = Json::Int64{options_.self.incarnation};
  origin["stamp"].append(Json::Int64{stamp.micros});
  origin["stamp"].append(stamp.counter);
  return origin;
}

void Peers::Observe(const Json::Value& params) {
  const Json::Value& stamp = params["stamp"];
  if (!stamp.isArray() || stamp.size() != 2 || !stamp[0].isInt64() ||
      !stamp[1].isUInt()) {
    return;
  }
  recorder_->Observe({stamp[0].asInt64(), stamp[1].asUInt()});
}

http::ClientRequest Peers::RpcRequest(const std::string& base, std::string body,
                                      absl::Duration timeout) const {
  http::ClientRequest request;
  request.method = "POST";
  request.url = base + "/rpc";
  request.headers = {{"Authorization", "Bearer " + options_.key},
                     {"Content-Type", "application/json"}};
  request.body = std::move(body);
  request.connect_timeout = timeout;
  request.timeout = timeout;
  request.ca_file = options_.ca_file;
  return request;
}

}  // namespace gentianlb::entry
