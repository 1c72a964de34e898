#include "gateway/service_queue.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "gateway/server_affinity.h"

namespace gentianlb::gateway {

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
  spec.cost_factor = affinity.cost_factor;
  spec.expected_competitors = affinity.expected_competitors;
  if (!service.engine) return spec;
  spec.models = service.engine->models;
  spec.prefill_tokens_per_second = initial_speed_.prefill_tokens_per_second;
  spec.decode_tokens_per_second = initial_speed_.decode_tokens_per_second;
  spec.speeds_estimated = true;
  spec.kv_tokens = service.engine->kv_tokens;
  spec.cache_tokens = service.engine->kv_tokens;
  return spec;
}

void ServiceQueue::SetServers(const Service& service,
                              const std::vector<ServerEntry>& servers,
                              int hosts, absl::Time now,
                              std::vector<schedule::Decision>* decisions) {
  if (service.engine && !service.engine->models.empty()) {
    default_model_ = service.engine->models.front();
  }
  std::vector<schedule::ServerSpec> specs;
  absl::flat_hash_map<ServerId, ServerEntry> entries;
  for (const ServerEntry& entry : servers) {
    const ServerAffinity affinity =
        AffinityFor(host_, entry.id, servers.size(), hosts);
    specs.push_back(SpecOf(service, entry, affinity));
    entries.emplace(entry.id, entry);
  }
  entries.swap(servers_);
  if (specs != specs_) {
    specs_ = std::move(specs);
    dispatcher_.Handle(schedule::ServersConfigured{specs_}, now, decisions);
  }
  for (const ServerEntry& entry : servers) {
    const auto previous = entries.find(entry.id);
    const bool restarted =
        previous != entries.end() && previous->second.started != entry.started;
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
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second;
}

}  // namespace gentianlb::gateway
