#include "schedule/server_set.h"

#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "schedule/work.h"

namespace gentianlb::schedule {
namespace {

// The request whose predicted finish time orders the servers in the index: one
// page of prompt and one paragraph of output. Only the order matters; Placer
// then compares the first few servers by the actual request.
constexpr Demand kTypicalDemand = {.prefill_tokens = 1000,
                                   .output_tokens = 250,
                                   .kv_tokens = 0,
                                   .plain = false};

// A server that seems slow gets no work, and without work its measured speed is
// never updated. So the measured slowdown of an idle server decays once per
// interval.
constexpr absl::Duration kRecheckInterval = absl::Seconds(1);

// Recheck of a server whose machine is slowed, until the slowdown has faded.
// The server's own responses update its place in the index between rechecks.
constexpr absl::Duration kFadingRecheckInterval = absl::Milliseconds(200);

// Relative change of the key below which a server keeps its place in the index.
// Most updates change the key by less; Placer compares the candidates exactly.
constexpr double kKeyTolerance = 0.02;

// Returns the key of the pool of one version of a model's servers.
ModelId VersionKey(const ModelId& model, const std::string& version) {
  return ModelId(absl::StrCat(model.str(), "@", version));
}

}  // namespace

std::vector<ServerIndex> ServerSet::Configure(
    const std::vector<ServerSpec>& specs, absl::Time now) {
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    Unindex(i);
    servers_[i].configured = false;
    servers_[i].pools.clear();
  }
  for (Pool& pool : pools_) pool.servers.clear();
  std::vector<ServerIndex> configured;
  for (const ServerSpec& spec : specs) {
    const ServerIndex server = server_ids_.Intern(spec.id);
    if (server == servers_.size()) {
      servers_.emplace_back(spec);
      entries_.emplace_back();
    }
    servers_[server].Configure(spec);
    SetZone(server);
    // Servers of a plain service list no models and form the pool of the empty
    // model.
    std::vector<ModelId> models = spec.models;
    if (models.empty()) models.emplace_back();
    for (const ModelId& model : models) {
      AddToPool(server, InternPool(model, ""));
      AddToVersionPool(server, model);
    }
    configured.push_back(server);
  }
  SummarizePools();
  CountLimited();
  for (const ServerIndex server : configured) Reindex(server, now);
  return configured;
}

PoolIndex ServerSet::InternPool(const ModelId& model,
                                const std::string& version) {
  const PoolIndex index =
      models_.Intern(version.empty() ? model : VersionKey(model, version));
  if (index == pools_.size()) {
    pools_.push_back(Pool{.model = model, .version = version});
  }
  return index;
}

PoolIndex ServerSet::FindOrAddPool(const ModelId& model,
                                   const std::string& version, absl::Time now) {
  const PoolIndex all = models_.Find(model);
  if (version.empty() || all == kNoIndex) return all;
  const PoolIndex known = models_.Find(VersionKey(model, version));
  if (known != kNoIndex) return known;
  const PoolIndex added = InternPool(model, version);
  const std::vector<ServerIndex> servers = pools_[all].servers;
  for (const ServerIndex server : servers) {
    Unindex(server);
    AddToVersionPool(server, model);
  }
  SummarizePools();
  for (const ServerIndex server : servers) Reindex(server, now);
  return added;
}

void ServerSet::AddToVersionPool(ServerIndex server, const ModelId& model) {
  const std::string& version = servers_[server].spec.version;
  if (version.empty()) return;
  const PoolIndex pool = models_.Find(VersionKey(model, version));
  if (pool != kNoIndex) AddToPool(server, pool);
}

void ServerSet::AddToPool(ServerIndex server, PoolIndex index) {
  std::vector<PoolIndex>& pools = servers_[server].pools;
  // A configuration may list a model twice.
  if (std::find(pools.begin(), pools.end(), index) != pools.end()) return;
  pools.push_back(index);
  pools_[index].servers.push_back(server);
}

void ServerSet::SetZone(ServerIndex server) {
  const ZoneId& zone = servers_[server].spec.zone;
  const bool indexed = index_zones_ && !zone.empty();
  entries_[server].zone = indexed ? zones_.Intern(zone) : kNoIndex;
}

ServerOrder* ServerSet::ZoneOrder(ServerIndex server, PoolIndex pool) {
  const ZoneIndex zone = entries_[server].zone;
  if (zone == kNoIndex) return nullptr;
  std::vector<ServerOrder>& orders = pools_[pool].open_by_zone;
  if (orders.size() <= zone) orders.resize(zone + 1);
  return &orders[zone];
}

void ServerSet::SummarizePools() {
  for (Pool& pool : pools_) {
    pool.usable = 0;
    pool.best_prefill_speed = 0;
    pool.best_decode_speed = 0;
    pool.capacity = 0;
    for (const ServerIndex index : pool.servers) {
      const Server& server = servers_[index];
      if (!server.usable()) continue;
      ++pool.usable;
      pool.best_prefill_speed = std::max(pool.best_prefill_speed,
                                         server.spec.prefill_tokens_per_second);
      pool.best_decode_speed = std::max(pool.best_decode_speed,
                                        server.spec.decode_tokens_per_second);
      pool.capacity += ServerCapacity(server.spec);
    }
  }
}

void ServerSet::SetHealth(ServerIndex server, ServerHealth health,
                          absl::Time now) {
  servers_[server].health = health;
  SummarizePools();
  Reindex(server, now);
}

void ServerSet::Unindex(ServerIndex server) {
  IndexEntry& entry = entries_[server];
  if (entry.recheck_at != absl::InfiniteFuture()) {
    rechecks_.erase({entry.recheck_at, server});
    entry.recheck_at = absl::InfiniteFuture();
  }
  if (!entry.open) return;
  for (const PoolIndex pool : servers_[server].pools) {
    pools_[pool].open.erase({entry.key, server});
    if (ServerOrder* zone = ZoneOrder(server, pool)) {
      zone->erase({entry.key, server});
    }
    if (entry.prefilling) {
      pools_[pool].open_prefilling.erase({entry.key, server});
    }
  }
  entry.open = false;
}

void ServerSet::Reindex(ServerIndex index, absl::Time now) {
  const Server& server = servers_[index];
  const bool probing = server.window.probing();
  const bool open = server.IsOpen(now);
  // A server that is due for a probe goes to the front with key 0. Otherwise it
  // would get no request while other servers have free capacity.
  double key = 0;
  if (open && !probing) {
    key = server.spec.cost_factor * server.FinishSeconds(kTypicalDemand, now);
  }
  if (open && !probing && KeepsPlace(index, key)) return;

  Unindex(index);
  IndexEntry& entry = entries_[index];
  entry.waits_for_limit = false;
  entry.fading = false;
  if (!server.window.IsOpen(now)) {
    entry.recheck_at = server.window.closed_until();
    rechecks_.insert({entry.recheck_at, index});
    return;
  }
  if (!server.limit.Allows(now)) {
    entry.recheck_at = server.limit.NextGrant(now);
    if (entry.recheck_at == absl::InfiniteFuture()) return;
    entry.waits_for_limit = true;
    rechecks_.insert({entry.recheck_at, index});
    return;
  }
  if (!open) return;
  entry.key = key;
  entry.open = true;
  entry.prefilling = server.prefilling() > 0;
  const bool idle_slow = server.running() == 0 && server.speed.slowed();
  entry.fading = server.slowdown.IsInEffect(now);
  if (probing || idle_slow || entry.fading) {
    entry.recheck_at =
        now + (entry.fading ? kFadingRecheckInterval : kRecheckInterval);
    rechecks_.insert({entry.recheck_at, index});
  }
  for (const PoolIndex pool : server.pools) {
    pools_[pool].open.insert({entry.key, index});
    if (ServerOrder* zone = ZoneOrder(index, pool)) {
      zone->insert({entry.key, index});
    }
    if (entry.prefilling) {
      pools_[pool].open_prefilling.insert({entry.key, index});
    }
  }
}

bool ServerSet::KeepsPlace(ServerIndex index, double key) const {
  const IndexEntry& entry = entries_[index];
  const Server& server = servers_[index];
  return entry.open && entry.recheck_at == absl::InfiniteFuture() &&
         server.running() > 0 &&
         entry.prefilling == (server.prefilling() > 0) &&
         std::abs(key - entry.key) <= kKeyTolerance * entry.key;
}

double ServerSet::OwnShare(PoolIndex pool, absl::Time now) const {
  int own = 0;
  int all = 0;
  for (const ServerIndex index : pools_[pool].servers) {
    const Server& server = servers_[index];
    own += server.running();
    all += server.running() + server.PeerStreams(now);
  }
  return (own + 1.0) / (all + 1.0);
}

double ServerSet::Capacity(PoolIndex pool, double mean_work) const {
  if (limited_ == 0) return pools_[pool].capacity;
  double capacity = 0;
  for (const ServerIndex index : pools_[pool].servers) {
    const Server& server = servers_[index];
    if (!server.usable()) continue;
    capacity += std::min(ServerCapacity(server.spec),
                         server.limit.rate() * std::max(1.0, mean_work));
  }
  return capacity;
}

absl::Duration ServerSet::TimeUntilLimitsAllow(PoolIndex pool,
                                               absl::Time now) const {
  if (limited_ == 0) return absl::ZeroDuration();
  absl::Time next = absl::InfiniteFuture();
  for (const ServerIndex index : pools_[pool].servers) {
    const Server& server = servers_[index];
    if (!server.usable()) continue;
    next = std::min(next, server.limit.NextGrant(now));
  }
  return next - now;
}

bool ServerSet::AllLimited(PoolIndex pool) const {
  if (limited_ == 0) return false;
  const std::vector<ServerIndex>& servers = pools_[pool].servers;
  return std::all_of(servers.begin(), servers.end(), [this](ServerIndex i) {
    return !servers_[i].usable() || servers_[i].limit.limited();
  });
}

void ServerSet::CountLimited() {
  limited_ = static_cast<int>(
      std::count_if(servers_.begin(), servers_.end(), [](const Server& server) {
        return server.configured && server.limit.limited();
      }));
}

absl::Time ServerSet::NextRecheckTime() const {
  if (rechecks_.empty()) return absl::InfiniteFuture();
  return rechecks_.begin()->first;
}

bool ServerSet::RecheckDue(absl::Time now) {
  bool any = false;
  while (!rechecks_.empty() && rechecks_.begin()->first <= now) {
    const ServerIndex server = rechecks_.begin()->second;
    // Without this, a server whose predicted times exceed every deadline would
    // never get the request that could show it has recovered.
    const bool idle = servers_[server].running() == 0;
    const IndexEntry& entry = entries_[server];
    if (idle && !entry.waits_for_limit && !entry.fading) {
      servers_[server].speed.Decay();
    }
    Reindex(server, now);
    any = true;
  }
  return any;
}

}  // namespace gentianlb::schedule
