// What operators ask of an entry host: configuration, status, the time line.

#include <glog/logging.h>

#include <array>
#include <utility>

#include "entry/entry_host.h"
#include "timeline/json.h"

namespace gentianlb::entry {
namespace {

// In the order of schedule::WasteCause.
constexpr std::array<std::string_view, schedule::kNumWasteCauses>
    kWasteCauseNames = {"caller-gone", "deadline-missed", "power-share",
                        "preempted", "server-broke"};

std::string_view StateName(member::MemberState state) {
  switch (state) {
    case member::MemberState::kAlive:
      return "alive";
    case member::MemberState::kSuspect:
      return "suspect";
    case member::MemberState::kDead:
      return "dead";
    case member::MemberState::kLeaving:
      return "leaving";
  }
  return "unknown";
}

Json::Value MemberToJson(const member::Member& member) {
  Json::Value json;
  json["host"] = member.id.str();
  json["zone"] = member.zone.str();
  json["address"] = member.address;
  json["state"] = std::string(StateName(member.state));
  json["version"] = Json::Int64{member.config_version};
  json["incarnation"] = Json::Int64{member.incarnation};
  json["roles"] = Json::Value(Json::arrayValue);
  for (const member::HeldRole& held : member.roles) {
    json["roles"].append(held.role);
  }
  return json;
}

}  // namespace

void EntryHost::RegisterOperatorMethods() {
  for (const char* name : {"plan", "confirm", "history", "show", "abandon"}) {
    operator_methods_.AddMethod(
        std::string("config.") + name,
        [this, name](const Json::Value& params,
                     const rpc::AsyncMethodTable::Done& done) {
          config_service_->Handle(
              name, params, loop_.now(), [done](Outcome<Json::Value> answer) {
                if (answer.ok()) {
                  done(rpc::RpcError{0, ""}, std::move(answer.value()));
                  return;
                }
                const Error& error = answer.error();
                done(rpc::RpcError{static_cast<int>(error.code), error.detail},
                     Json::Value());
              });
        });
  }
  operator_methods_.AddMethod("status",
                              [this](const Json::Value& /*params*/,
                                     const rpc::AsyncMethodTable::Done& done) {
                                done(rpc::RpcError{0, ""}, Status());
                              });
  operator_methods_.AddMethod(
      "timeline.events", [this](const Json::Value& /*params*/,
                                const rpc::AsyncMethodTable::Done& done) {
        Json::Value answer;
        answer["host"] = settings_.id.str();
        answer["events"] = timeline::ToJson(recorder_.Events());
        done(rpc::RpcError{0, ""}, std::move(answer));
      });
}

Json::Value EntryHost::Status() const {
  Json::Value status;
  status["host"] = settings_.id.str();
  status["zone"] = settings_.zone.str();
  status["version"] = Json::Int64{follower_->current_version()};
  status["ready"] = ready_.load();
  status["draining"] = draining_.load();
  status["platform_up"] = platform_->up();
  status["open_requests"] = static_cast<Json::UInt64>(calls_->open());
  status["hosts"] = StatusOfHosts();
  status["domains"] = StatusOfDomains();
  const claim::ClaimCounters& claims = claims_->counters();
  status["claims"]["opened"] = Json::UInt64{claims.opened};
  status["claims"]["proceeded"] = Json::UInt64{claims.proceeded};
  status["claims"]["attached"] = Json::UInt64{claims.attached};
  status["claims"]["resumed"] = Json::UInt64{claims.resumed};
  status["claims"]["refused"] = Json::UInt64{claims.refused};
  const orders::RunnerCounters& orders = orders_->counters();
  status["orders"]["holder"] = orders.holder;
  status["orders"]["sent"] = Json::Int64{orders.sent};
  status["orders"]["done"] = Json::Int64{orders.done};
  status["orders"]["failed"] = Json::Int64{orders.failed};
  status["orders"]["open"] = orders.open;
  status["orders"]["held_back"] = orders.held_back;
  return status;
}

Json::Value EntryHost::StatusOfHosts() const {
  Json::Value hosts(Json::arrayValue);
  hosts.append(MemberToJson(peers_->membership().self()));
  for (const member::Member& member : peers_->membership().Peers()) {
    hosts.append(MemberToJson(member));
  }
  return hosts;
}

Json::Value EntryHost::StatusOfDomains() const {
  Json::Value domains(Json::arrayValue);
  for (const Domain& domain : board_->Domains()) {
    Json::Value json;
    json["service"] = domain.service.str();
    json["zone"] = domain.zone.str();
    json["dispatcher"] = board_->HolderOf(domain).str();
    if (const schedule::Dispatcher* held = board_->DispatcherOf(domain)) {
      json["waiting"] = static_cast<Json::UInt64>(held->waiting());
      json["running"] = static_cast<Json::UInt64>(held->running());
      json["share_watts"] = held->share_watts();
      json["worst_watts"] = held->worst_watts();
      json["servers"] = StatusOfServers(domain, *held);
    }
    domains.append(std::move(json));
  }
  return domains;
}

Json::Value EntryHost::StatusOfServers(
    const Domain& domain, const schedule::Dispatcher& dispatcher) const {
  Json::Value servers(Json::arrayValue);
  for (const auto& spec : config()->Servers(domain.service, domain.zone)) {
    Json::Value json;
    json["server"] = spec.id.str();
    json["health"] = std::string(HealthName(poller_->HealthOf(spec.id)));
    json["window"] = dispatcher.window(spec.id);
    servers.append(std::move(json));
  }
  return servers;
}

config::PlanState EntryHost::PlanState() const {
  config::PlanState state;
  state.in_force = follower_->current()->configuration;
  state.now = loop_.now();
  return state;
}

void EntryHost::CollectGauges() {
  metrics_.Set("gentianlb_configuration_version", "Version in force", {},
               static_cast<double>(follower_->current_version()));
  metrics_.Set("gentianlb_open_requests", "Requests without a final answer", {},
               static_cast<double>(calls_->open()));
  metrics_.Set("gentianlb_platform_up", "Whether the platform answers", {},
               platform_->up() ? 1 : 0);
  std::map<std::string, int> hosts;
  for (const member::Member& member : peers_->membership().Peers()) {
    ++hosts[std::string(StateName(member.state))];
  }
  for (const char* state : {"alive", "suspect", "dead", "leaving"}) {
    metrics_.Set("gentianlb_hosts", "Other entry hosts, by state",
                 {{"state", state}}, hosts[state]);
  }
  const claim::ClaimCounters& claims = claims_->counters();
  auto claim_count = [&](const char* outcome, std::uint64_t count) {
    metrics_.Set("gentianlb_claims", "Claims of keys, by what became of them",
                 {{"outcome", outcome}}, static_cast<double>(count));
  };
  claim_count("opened", claims.opened);
  claim_count("proceeded", claims.proceeded);
  claim_count("without-table", claims.proceeded_without_table);
  claim_count("attached", claims.attached);
  claim_count("resumed", claims.resumed);
  claim_count("refused", claims.refused);
  for (const Domain& domain : board_->Held()) {
    CollectDispatcher(domain, *board_->DispatcherOf(domain));
  }
}

void EntryHost::CollectDispatcher(const Domain& domain,
                                  const schedule::Dispatcher& dispatcher) {
  const schedule::Counters& counters = dispatcher.counters();
  const prometheus::Labels labels = {{"service", domain.service.str()},
                                     {"zone", domain.zone.str()}};
  auto set = [&](const char* name, const char* help, double value) {
    metrics_.Set(std::string("gentianlb_dispatcher_") + name, help, labels,
                 value);
  };
  set("waiting", "Requests that wait for a server",
      static_cast<double>(dispatcher.waiting()));
  set("running", "Requests on servers, those in doubt too",
      static_cast<double>(dispatcher.running()));
  set("share_watts", "What the servers may draw", dispatcher.share_watts());
  set("worst_watts", "What they may draw at worst as granted",
      dispatcher.worst_watts());
  set("inversions", "Refusals of a tier while a lower one waited",
      static_cast<double>(counters.inversions));
  const auto set_returns = [&](const char* outcome, std::uint64_t count) {
    prometheus::Labels by_outcome = labels;
    by_outcome["outcome"] = outcome;
    metrics_.Set("gentianlb_dispatcher_returns",
                 "Reservations for retries of refused callers, by outcome",
                 by_outcome, static_cast<double>(count));
  };
  set_returns("reserved", counters.returns_reserved);
  set_returns("kept", counters.returns_kept);
  set_returns("expired", counters.returns_expired);
  set("prefill_tokens", "Prompt tokens computed", counters.prefill_computed);
  for (std::size_t i = 0; i < schedule::kNumWasteCauses; ++i) {
    prometheus::Labels by_cause = labels;
    by_cause["cause"] = std::string(kWasteCauseNames[i]);
    metrics_.Set("gentianlb_dispatcher_prefill_wasted_tokens",
                 "Prompt tokens computed and thrown away, by cause", by_cause,
                 counters.prefill_wasted[i]);
  }
  for (const auto& spec : config()->Servers(domain.service, domain.zone)) {
    prometheus::Labels by_server = labels;
    by_server["server"] = spec.id.str();
    metrics_.Set("gentianlb_server_window", "Streams a server may hold",
                 by_server, dispatcher.window(spec.id));
  }
}

}  // namespace gentianlb::entry
