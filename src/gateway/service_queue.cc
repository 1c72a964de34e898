#include "gateway/service_queue.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "gateway/server_affinity.h"

namespace gentianlb::gateway {
namespace {

// Part of a server's request limit that the local dispatchers of all hosts may
// use together, and as much the dispatchers of its group that aren't primary.
// Less would leave nothing to hosts that get no answer; more would pass the
// limit.
constexpr double kLimitShareOfAll = 0.1;

// Returns null if `servers`, in the order of their ids, lack `id`.
const ServerEntry* Find(const std::vector<ServerEntry>& servers,
                        const ServerId& id) {
  const auto found = std::lower_bound(
      servers.begin(), servers.end(), id,
      [](const ServerEntry& a, const ServerId& b) { return a.id < b; });
  return found != servers.end() && found->id == id ? &*found : nullptr;
}

}  // namespace

double LimitShare(std::size_t hosts) {
  return hosts <= 1 ? 1 : kLimitShareOfAll / static_cast<double>(hosts);
}

ServiceQueueOptions WithSuspects(ServiceQueueOptions options) {
  if (options.dispatcher.suspects == nullptr) {
    options.dispatcher.suspects = std::make_shared<schedule::Suspects>();
  }
  return options;
}

ServiceQueue::ServiceQueue(const ServiceQueueOptions& options)
    : initial_speed_(options.initial_speed),
      host_(options.host),
      dispatcher_(options.dispatcher),
      retries_(options.retries) {}

schedule::ServerSpec ServiceQueue::SpecOf(
    const Service& service, const ServerEntry& entry,
    const ServerAffinity& affinity) const {
  schedule::ServerSpec spec;
  spec.id = entry.id;
  spec.max_streams = entry.streams;
  spec.version = entry.version;
  spec.zone = entry.zone;
  spec.cost_factor = affinity.cost_factor;
  spec.expected_competitors = affinity.expected_competitors;
  if (!service.engine) return spec;
  spec.models = service.engine->models;
  spec.prefill_tokens_per_second = initial_speed_.prefill_tokens_per_second;
  spec.decode_tokens_per_second = initial_speed_.decode_tokens_per_second;
  spec.speeds_estimated = true;
  spec.tokens_per_event = service.engine->tokens_per_event;
  spec.kv_tokens = service.engine->kv_tokens;
  spec.cache_tokens = service.engine->kv_tokens;
  return spec;
}

void ServiceQueue::SetServers(const Service& service,
                              const std::vector<ServerEntry>& servers,
                              const DispatcherPart& part, absl::Time now,
                              std::vector<schedule::Decision>* decisions) {
  has_engines_ = service.engine.has_value();
  if (service.engine && !service.engine->models.empty()) {
    default_model_ = service.engine->models.front();
  }
  std::vector<schedule::ServerSpec> specs;
  for (const ServerEntry& entry : servers) {
    const ServerAffinity affinity =
        AffinityFor(host_, entry.id, servers.size(), part.hosts);
    specs.push_back(SpecOf(service, entry, affinity));
    specs.back().limit_share = part.limit_share;
  }
  const std::vector<ServerEntry> before = std::exchange(servers_, servers);
  if (specs != specs_) {
    specs_ = std::move(specs);
    dispatcher_.Handle(schedule::ServersConfigured{specs_}, now, decisions);
  }
  for (const ServerEntry& entry : servers) {
    const ServerEntry* previous = Find(before, entry.id);
    const bool restarted = previous != nullptr && IsRestart(*previous, entry);
    using schedule::ServerHealth;
    using schedule::ServerHealthChanged;
    // A restarted server has lost its running requests and its cache.
    if (restarted) {
      dispatcher_.Handle(ServerHealthChanged{entry.id, ServerHealth::kDead},
                         now, decisions);
    }
    const ServerHealth health =
        entry.draining ? ServerHealth::kLeaving : ServerHealth::kAlive;
    dispatcher_.Handle(ServerHealthChanged{entry.id, health}, now, decisions);
  }
}

const ServerEntry* ServiceQueue::FindServer(const ServerId& id) const {
  return Find(servers_, id);
}

void LogPauses(const schedule::Grant& grant) {
  const schedule::PauseForecast& pauses = grant.pauses;
  if (pauses.weight <= 0 && pauses.held <= absl::ZeroDuration()) return;
  LOG(INFO) << "event=pause-decided request=" << grant.id
            << " server=" << grant.server << " streams_late=" << pauses.streams
            << " itself_late=" << pauses.itself << " weight=" << pauses.weight
            << " held_ms=" << absl::ToInt64Milliseconds(pauses.held)
            << " pause_ms=" << absl::ToInt64Milliseconds(pauses.pause)
            << " event_ms=" << absl::ToInt64Milliseconds(pauses.event_time)
            << " prompt_work=" << pauses.prompt_work
            << " event_work=" << pauses.event_work
            << " age_ms=" << absl::ToInt64Milliseconds(pauses.age);
}

}  // namespace gentianlb::gateway
