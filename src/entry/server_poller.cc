#include "entry/server_poller.h"

#include <json/json.h>

#include <charconv>
#include <utility>

#include "entry/json_read.h"

namespace gentianlb::entry {
namespace {

// A leaving or dead server must get nothing new after 3 s at the latest; at
// this pace two polls fail within one of them. 72 dispatchers before 1,000
// servers send about 28 polls a second each.
constexpr absl::Duration kPollPeriod = absl::Milliseconds(500);

// A poll is answered apart from the batch, so even a loaded engine answers
// sooner; see ServerWatch.
constexpr absl::Duration kPollTimeout = absl::Seconds(1);

std::vector<schedule::PrefixHash> ReadHashes(const Json::Value& list) {
  std::vector<schedule::PrefixHash> hashes;
  if (!list.isArray()) return hashes;
  for (const Json::Value& item : list) {
    if (!item.isString()) continue;
    std::string text = item.asString();
    schedule::PrefixHash hash = 0;
    auto read =
        std::from_chars(text.data(), text.data() + text.size(), hash, 16);
    if (read.ec == std::errc()) hashes.push_back(hash);
  }
  return hashes;
}

PollEnd Judge(const http::Reply& reply, const Json::Value& body) {
  if (reply.end == http::TransferEnd::kComplete && reply.status == 200) {
    bool leaving = body["leaving"].isBool() && body["leaving"].asBool();
    return leaving ? PollEnd::kAnsweredLeaving : PollEnd::kAnswered;
  }
  // A connection that could not be made within its timeout is silence; one that
  // was turned away at once is not.
  bool refused = reply.end == http::TransferEnd::kNotSent &&
                 reply.detail.find("imeout") == std::string::npos;
  return refused ? PollEnd::kRefused : PollEnd::kSilent;
}

}  // namespace

ServerPoller::ServerPoller(ControlLoop* loop, http::Client* client,
                           PollerHooks hooks)
    : loop_(loop), client_(client), hooks_(std::move(hooks)) {}

void ServerPoller::SetDomains(ConfigIndexPtr config,
                              const std::vector<Domain>& domains) {
  std::set<Domain> wanted(domains.begin(), domains.end());
  std::map<ServerId, Watched> next;
  for (const auto& server : config->configuration().servers) {
    Domain domain{server.service, server.zone};
    if (!wanted.contains(domain)) continue;
    std::string url = "http://" + server.address;
    auto node = watched_.extract(server.spec.id);
    if (!node.empty() && node.mapped().url == url) {
      node.mapped().domain = domain;
      next.insert(std::move(node));
      continue;
    }
    if (!node.empty()) loop_->timers().Cancel(node.mapped().timer);
    Watched watched;
    watched.domain = domain;
    watched.url = std::move(url);
    const config::ServiceConfig* service = config->Service(server.service);
    watched.model =
        service == nullptr || service->kind == config::ServiceKind::kModel;
    watched.generation = next_generation_++;
    next.emplace(server.spec.id, std::move(watched));
  }
  for (auto& [id, watched] : watched_) loop_->timers().Cancel(watched.timer);
  watched_ = std::move(next);
  for (auto& [id, watched] : watched_) {
    if (watched.timer != 0) continue;
    ServerId server = id;
    watched.timer =
        loop_->timers().Every(loop_->now(), kPollPeriod,
                              [this, server](absl::Time) { Poll(server); });
    Report(id, watched, watched.watch.OnListed(leaving_.contains(id)));
  }
}

void ServerPoller::SetLeaving(std::set<ServerId> leaving) {
  leaving_ = std::move(leaving);
  for (auto& [id, watched] : watched_) {
    Report(id, watched, watched.watch.OnListed(leaving_.contains(id)));
  }
}

schedule::ServerHealth ServerPoller::HealthOf(const ServerId& server) const {
  auto found = watched_.find(server);
  if (found == watched_.end()) return schedule::ServerHealth::kAlive;
  return found->second.watch.health();
}

void ServerPoller::Poll(const ServerId& id) {
  const Watched& watched = watched_.at(id);
  Ask(id, "/v1/load", &ServerPoller::OnLoad);
  if (!watched.model) return;
  Ask(id, "/v1/cache/events?after=" + std::to_string(watched.cache_sequence),
      &ServerPoller::OnCache);
}

void ServerPoller::Ask(const ServerId& id, const std::string& path,
                       Handler handler) {
  const Watched& watched = watched_.at(id);
  http::ClientRequest request;
  request.url = watched.url + path;
  request.connect_timeout = kPollTimeout;
  request.timeout = kPollTimeout;
  std::uint64_t generation = watched.generation;
  client_->Fetch(
      std::move(request), [this, id, generation, handler](http::Reply reply) {
        loop_->Post([this, id, generation, handler, reply = std::move(reply)] {
          // The server may have been taken out, or moved, meanwhile.
          auto found = watched_.find(id);
          bool same =
              found != watched_.end() && found->second.generation == generation;
          if (same) (this->*handler)(id, found->second, reply);
        });
      });
}

void ServerPoller::OnLoad(const ServerId& id, Watched& watched,
                          const http::Reply& reply) {
  Json::Value body = ParseObjectOr(reply.body);
  PollEnd end = Judge(reply, body);
  Report(id, watched, watched.watch.OnPoll(end, loop_->now()));
  if (end != PollEnd::kAnswered && end != PollEnd::kAnsweredLeaving) return;
  schedule::LoadReported report;
  report.server = id;
  report.measured = absl::FromUnixMicros(NumberOr(body["measured"], 0));
  report.running = static_cast<int>(NumberOr(body["running"], 0));
  report.queued = static_cast<int>(NumberOr(body["queued"], 0));
  report.kv_used_tokens = NumberOr(body["kv_used_tokens"], 0);
  hooks_.on_event(watched.domain, std::move(report));
}

void ServerPoller::OnCache(const ServerId& id, Watched& watched,
                           const http::Reply& reply) {
  if (reply.end != http::TransferEnd::kComplete || reply.status != 200) return;
  Json::Value body = ParseObjectOr(reply.body);
  if (!body["events"].isArray()) return;
  for (const Json::Value& json : body["events"]) {
    if (!json.isObject()) continue;
    schedule::CacheChanged change;
    change.server = id;
    change.sequence = static_cast<std::uint64_t>(NumberOr(json["sequence"], 0));
    // Two polls may overlap when the server is slow.
    if (change.sequence <= watched.cache_sequence) continue;
    watched.cache_sequence = change.sequence;
    change.added = ReadHashes(json["added"]);
    change.removed = ReadHashes(json["removed"]);
    change.cleared = json["cleared"].isBool() && json["cleared"].asBool();
    hooks_.on_event(watched.domain, std::move(change));
  }
}

void ServerPoller::Report(const ServerId& id, Watched& watched,
                          std::optional<schedule::ServerHealth> health) {
  if (!health.has_value()) return;
  // A server that was dead and is back starts with an empty cache and counts
  // its cache events from the beginning.
  if (*health == schedule::ServerHealth::kDead) watched.cache_sequence = 0;
  hooks_.on_event(watched.domain, schedule::ServerHealthChanged{id, *health});
  hooks_.on_health(id, *health);
}

}  // namespace gentianlb::entry
