#include "process/deployment.h"

#include <algorithm>
#include <stdexcept>

#include "absl/strings/str_cat.h"
#include "standins/json.h"

namespace gentianlb::process {
namespace {

constexpr char kOperatorKey[] = "operator-key-of-the-tests-0123456789";

// gentianctl's exit code for what no repetition can mend.
constexpr int kInvalid = 2;

// Shorter than at a real site, so that a test sees a change soon.
constexpr char kPeriods[] = R"(
[membership]
heartbeat = 100ms
suspect_after = 1s
lease = 2s

[configuration]
period = 200ms
)";

constexpr char kWorkspaces[] = R"(
[site]
name = test
power_cap = 100kW
goodput_weight = 4
wasted_prefill_weight = 1

[tier urgent]
rank = 0
deadline = 1m

[tier standard]
rank = 1
deadline = 1m

[service drafting-llm]
kind = model

[service member-portal]
kind = plain
path_prefix = /member-portal/
non_idempotent = POST /permits/check

[model drafter]
service = drafting-llm

[workspace tender-drafting]
token = token-tender-drafting
tier = urgent
services = drafting-llm
models = drafter

[workspace contract-summaries]
token = token-contract-summaries
tier = standard
services = drafting-llm
models = drafter

[workspace permit-checks]
token = token-permit-checks
tier = urgent
services = member-portal
)";

std::string Section(const std::string& kind, const std::string& name) {
  return absl::StrCat("\n[", kind, " ", name, "]\n");
}

std::string Line(const std::string& key, const std::string& value) {
  return absl::StrCat(key, " = ", value, "\n");
}

std::string Named(const std::string& what, const std::string& zone,
                  std::size_t number) {
  return absl::StrCat(what, what.empty() ? "" : "-", zone, "-", number);
}

Json::Value HostEntry(const Member& member, const std::string& kind,
                      const std::vector<std::string>& leaving) {
  Json::Value entry;
  entry["id"] = member.name;
  entry["kind"] = kind;
  entry["zone"] = member.zone;
  entry["address"] = kind == "entry" ? member.control : member.address;
  bool leaves =
      std::find(leaving.begin(), leaving.end(), member.name) != leaving.end();
  entry["state"] = leaves ? "leaving" : "live";
  return entry;
}

}  // namespace

Deployment::Deployment(std::string build, Shape shape)
    : build_(std::move(build)), shape_(std::move(shape)) {
  StartPlatform();
  for (const EngineShape& engine : shape_.engines) StartEngine(engine);
  for (const std::string& zone : shape_.zones) {
    for (int i = 0; i < shape_.portals_per_zone; ++i) StartPortal(zone);
  }
  PlaceHosts();
  ListAsLeaving({});
  for (std::size_t i = 0; i < hosts_.size(); ++i) StartHost(i);
  Confirm(folder_.Write("intent.ini", Intent()));
  for (std::size_t i = 0; i < hosts_.size(); ++i) WaitUntilReady(i);
}

// A stopped process takes no signal but this one's kind: killing all is safe in
// any order, and nothing of the site outlives the test.
Deployment::~Deployment() {
  for (Member& host : hosts_) host.process.reset();
}

void Deployment::StartPlatform() {
  platform_.name = "platform";
  platform_.process = std::make_unique<Process>(
      Program("tests/standins/platform"),
      std::vector<std::string>{"--control", R"({"hosts_lag_ms": 100})"},
      folder_.Path("platform"));
  platform_.address = absl::StrCat("127.0.0.1:", platform_.process->Port());
}

void Deployment::StartEngine(const EngineShape& shape) {
  Json::Value switches;
  switches["models"].append(kModel);
  switches["decode_rate"] = shape.decode_rate;
  switches["max_running"] = shape.max_streams;
  switches["load_lag_ms"] = 50;
  switches["event_lag_ms"] = 50;
  Member engine;
  engine.zone = shape.zone;
  engine.name = Named("drafting", shape.zone, engines_.size());
  engine.process = std::make_unique<Process>(
      Program("tests/standins/model_engine"),
      std::vector<std::string>{"--control", standins::ToText(switches)},
      folder_.Path(engine.name));
  engine.address = absl::StrCat("127.0.0.1:", engine.process->Port());
  engines_.push_back(std::move(engine));
}

void Deployment::StartPortal(const std::string& zone) {
  Member portal;
  portal.zone = zone;
  portal.name = Named("portal", zone, portals_.size());
  portal.process = std::make_unique<Process>(
      Program("tests/standins/plain_service"),
      std::vector<std::string>{"--control", R"({"load_lag_ms": 50})"},
      folder_.Path(portal.name));
  portal.address = absl::StrCat("127.0.0.1:", portal.process->Port());
  portals_.push_back(std::move(portal));
}

void Deployment::PlaceHosts() {
  for (const std::string& zone : shape_.zones) {
    for (int i = 0; i < shape_.hosts_per_zone; ++i) {
      Member host;
      host.zone = zone;
      host.name = Named("", zone, static_cast<std::size_t>(i) + 1);
      host.address = PickAddress();
      host.control = PickAddress();
      hosts_.push_back(std::move(host));
    }
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    folder_.Write(hosts_[i].name + ".ini", Settings(i));
  }
}

std::string Deployment::Settings(std::size_t i) {
  const Member& self = hosts_[i];
  std::string text = "[host]\n";
  text += Line("id", self.name) + Line("zone", self.zone);
  text += "\n[callers]\n" + Line("address", self.address);
  text += "\n[control]\n" + Line("address", self.control);
  text += Line("peer_key", kPeerKey) + Line("operator_key", kOperatorKey);
  text += "\n[platform]\n";
  text += Line("addresses",
               ThroughRelay(self.name + ">platform", platform_.address));
  text += Line("timeout", "500ms") + Line("retry_least", "50ms");
  text += Line("retry_most", "500ms") + Line("list_period", "200ms");
  text += kPeriods;
  if (hosts_.size() > 1) text += "\n[peers]\n";
  for (const Member& peer : hosts_) {
    if (peer.name == self.name) continue;
    text += Line(peer.name, peer.control);
  }
  return text + shape_.more_settings;
}

std::string Deployment::Intent() const {
  std::string text = kWorkspaces;
  for (const std::string& zone : shape_.zones) {
    text += Section("zone", zone) + Line("power_floor", "2kW");
  }
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    const EngineShape& engine = shape_.engines[i];
    text += Section("server", engines_[i].name);
    text += Line("service", "drafting-llm") + Line("zone", engine.zone);
    text += Line("address", engines_[i].address) + Line("models", kModel);
    text += Line("max_streams", std::to_string(engine.max_streams));
    text += Line("prefill_speed", "200000tokens/s");
    text += Line("decode_speed", absl::StrCat(engine.decode_rate, "tokens/s"));
    text += Line("kv_tokens", "200000") + Line("cache_tokens", "65536");
    text += Line("idle_power", "100W") + Line("power_per_stream", "10W");
    text += Line("energy_per_prefill_token", "0.01J");
  }
  for (const Member& portal : portals_) {
    text += Section("server", portal.name);
    text += Line("service", "member-portal") + Line("zone", portal.zone);
    text += Line("address", portal.address) + Line("max_streams", "64");
    text += Line("idle_power", "10W") + Line("power_per_stream", "1W");
  }
  return text;
}

std::string Deployment::ThroughRelay(const std::string& name,
                                     const std::string& target) {
  if (!shape_.relays) return target;
  std::unique_ptr<Relay>& relay = relays_[name];
  if (relay == nullptr) relay = std::make_unique<Relay>(target);
  return relay->address();
}

std::vector<std::string> Deployment::RoutesOf(const Member& host) {
  if (!shape_.relays) return {};
  std::string routes = "GENTIANLB_TEST_ROUTES=";
  for (const Member& peer : hosts_) {
    if (peer.name == host.name) continue;
    absl::StrAppend(&routes, peer.control, "=",
                    ThroughRelay(host.name + ">" + peer.name, peer.control),
                    ",");
  }
  return {routes, "LD_PRELOAD=" + Program("tests/process/libredirect.so")};
}

void Deployment::StartHost(std::size_t i) {
  Member& host = hosts_.at(i);
  host.process = std::make_unique<Process>(
      Program("src/gentianlb/gentianlb"),
      std::vector<std::string>{"--settings", folder_.Path(host.name + ".ini")},
      folder_.Path(host.name), RoutesOf(host));
}

void Deployment::WaitUntilReady(std::size_t i) {
  Member& host = hosts_.at(i);
  http::Client client;
  WaitUntil(host.name + " is ready", [&] {
    if (host.process->HasEnded()) {
      throw std::runtime_error(host.name + " ended: " + host.process->Errors());
    }
    http::Reply reply =
        client.FetchAndWait({.url = "http://" + host.address + "/readyz",
                             .timeout = absl::Seconds(2)});
    return reply.status == 200;
  });
}

void Deployment::SetPeerLink(std::size_t a, std::size_t b, LinkState state) {
  const std::string& first = hosts_.at(a).name;
  const std::string& second = hosts_.at(b).name;
  relays_.at(first + ">" + second)->Set(state);
  relays_.at(second + ">" + first)->Set(state);
}

void Deployment::SetPlatformLink(std::size_t host, LinkState state) {
  relays_.at(hosts_.at(host).name + ">platform")->Set(state);
}

void Deployment::SetAllLinks(std::size_t host, LinkState state) {
  SetPlatformLink(host, state);
  for (std::size_t peer = 0; peer < hosts_.size(); ++peer) {
    if (peer != host) SetPeerLink(host, peer, state);
  }
}

void Deployment::ListAsLeaving(const std::vector<std::string>& names) {
  Json::Value changes;
  changes["hosts"] = Json::Value(Json::arrayValue);
  Json::Value& list = changes["hosts"];
  for (const Member& host : hosts_) {
    list.append(HostEntry(host, "entry", names));
  }
  for (const auto* servers : {&engines_, &portals_}) {
    for (const Member& server : *servers) {
      list.append(HostEntry(server, "server", names));
    }
  }
  SetControl(platform_.address, changes);
}

std::map<std::string, std::int64_t> Deployment::Executions() const {
  std::map<std::string, std::int64_t> sums;
  auto add = [&](const Member& server, const char* table) {
    if (server.process->HasEnded()) return;
    Json::Value counts = ShowControl(server.address)["counters"][table];
    for (const std::string& name : counts.getMemberNames()) {
      sums[name] += counts[name].asInt64();
    }
  };
  for (const Member& engine : engines_) add(engine, "executions_by_request");
  for (const Member& portal : portals_) add(portal, "executions_by_key");
  return sums;
}

std::int64_t Deployment::MostExecutions() const {
  std::int64_t most = 0;
  for (const auto& [name, count] : Executions()) most = std::max(most, count);
  return most;
}

std::int64_t Deployment::AllExecutions() const {
  std::int64_t sum = 0;
  for (const auto& [name, count] : Executions()) sum += count;
  return sum;
}

Finished Deployment::Operate(std::vector<std::string> arguments) {
  return OperateAt(0, std::move(arguments));
}

Finished Deployment::OperateAt(std::size_t host,
                               std::vector<std::string> arguments) {
  arguments.insert(arguments.end(), {"--host", hosts_.at(host).control});
  return RunGentianctl(std::move(arguments));
}

Finished Deployment::Timeline(std::vector<std::string> arguments) {
  arguments.insert(arguments.begin(), "timeline");
  for (const Member& host : hosts_) {
    arguments.insert(arguments.end(), {"--host", host.control});
  }
  return RunGentianctl(std::move(arguments));
}

Finished Deployment::RunGentianctl(std::vector<std::string> arguments) {
  arguments.insert(arguments.end(),
                   {"--key-file", folder_.Write("operator.key", kOperatorKey)});
  return RunToEnd(Program("src/gentianctl/gentianctl"), arguments,
                  folder_.Path("gentianctl"));
}

void Deployment::Confirm(const std::string& intent_file) {
  Finished planned;
  // A host that has only just started refuses at first.
  WaitUntil("a plan of the intent", [&] {
    planned = Operate({"plan", intent_file, "--format", "json"});
    if (planned.status == kInvalid) {
      throw std::runtime_error(planned.output + planned.errors);
    }
    return planned.status == 0;
  });
  auto plan = standins::ParseObject(planned.output);
  if (!plan.has_value()) throw std::runtime_error(planned.output);
  Finished confirmed = Operate({"confirm", (*plan)["plan"]["id"].asString()});
  if (confirmed.status != 0) throw std::runtime_error(confirmed.errors);
}

std::string Deployment::Program(const std::string& name) const {
  return build_ + "/" + name;
}

}  // namespace gentianlb::process
