#include "schedule/fleet.h"

#include <algorithm>
#include <cmath>

#include "schedule/work.h"

namespace gentianlb::schedule {
namespace {

// The request by which servers are ordered in the index: a page of prompt and
// a paragraph of answer. Only the order matters; the candidates from the front
// are then compared by the request itself.
constexpr Demand kTypical = {.prefill_tokens = 1000,
                             .output_tokens = 250,
                             .kv_tokens = 0,
                             .plain = false};

// A server that looks slow gets no work, and without work no news: what was
// learnt is believed half as much after each of these intervals.
constexpr absl::Duration kForgetInterval = absl::Seconds(1);

// Most news changes the key by less than this, and the order hardly at all; the
// candidates are compared exactly.
constexpr double kKeyTolerance = 0.02;

bool Usable(const Server& server) {
  return server.configured && (server.health == ServerHealth::kAlive ||
                               server.health == ServerHealth::kSuspect);
}

}  // namespace

std::vector<ServerIndex> Fleet::Configure(const std::vector<ServerSpec>& specs,
                                          absl::Time now) {
  for (ServerIndex i = 0; i < servers_.size(); ++i) {
    Unindex(i);
    servers_[i].configured = false;
    servers_[i].pools.clear();
  }
  for (Pool& pool : pools_) pool.servers.clear();
  std::vector<ServerIndex> configured;
  for (const ServerSpec& spec : specs) {
    const ServerIndex server = numbers_.Number(spec.id);
    if (server == servers_.size()) {
      servers_.emplace_back(spec);
      entries_.emplace_back();
    }
    servers_[server].Configure(spec);
    // A plain service has no models.
    if (spec.models.empty()) Join(server, ModelId());
    for (const ModelId& model : spec.models) Join(server, model);
    configured.push_back(server);
  }
  SummarizePools();
  for (const ServerIndex server : configured) Reindex(server, now);
  return configured;
}

PoolIndex Fleet::PoolOf(const ModelId& model) {
  const PoolIndex index = models_.Number(model);
  if (index == pools_.size()) pools_.push_back(Pool{.model = model});
  return index;
}

void Fleet::Join(ServerIndex server, const ModelId& model) {
  const PoolIndex index = PoolOf(model);
  std::vector<PoolIndex>& joined = servers_[server].pools;
  // A model that is listed twice would put the server into the pool twice.
  if (std::find(joined.begin(), joined.end(), index) != joined.end()) return;
  joined.push_back(index);
  pools_[index].servers.push_back(server);
}

void Fleet::SummarizePools() {
  for (Pool& pool : pools_) {
    pool.usable = 0;
    pool.best_prefill_speed = 0;
    pool.best_decode_speed = 0;
    pool.capacity = 0;
    for (const ServerIndex index : pool.servers) {
      const Server& server = servers_[index];
      if (!Usable(server)) continue;
      ++pool.usable;
      pool.best_prefill_speed = std::max(pool.best_prefill_speed,
                                         server.spec.prefill_tokens_per_second);
      pool.best_decode_speed = std::max(pool.best_decode_speed,
                                        server.spec.decode_tokens_per_second);
      pool.capacity += ServerCapacity(server.spec);
    }
  }
}

void Fleet::SetHealth(ServerIndex server, ServerHealth health, absl::Time now) {
  servers_[server].health = health;
  SummarizePools();
  Reindex(server, now);
}

void Fleet::Unindex(ServerIndex server) {
  IndexEntry& entry = entries_[server];
  if (entry.reopening != absl::InfiniteFuture()) {
    reopenings_.erase({entry.reopening, server});
    entry.reopening = absl::InfiniteFuture();
  }
  if (!entry.open) return;
  for (const PoolIndex pool : servers_[server].pools) {
    pools_[pool].open.erase({entry.key, server});
    if (entry.prefilling) {
      pools_[pool].open_prefilling.erase({entry.key, server});
    }
  }
  entry.open = false;
}

void Fleet::Reindex(ServerIndex index, absl::Time now) {
  const Server& server = servers_[index];
  const bool probing = server.window.probing();
  const bool open = server.Open(now);
  // A probe that is due goes to the front, or a server that once was slow
  // would never be asked again while others have room.
  double key = 0;
  if (open && !probing) {
    key = server.spec.cost_factor * server.FinishSeconds(kTypical, now);
  }
  if (open && !probing && StaysInPlace(index, key)) return;

  Unindex(index);
  IndexEntry& entry = entries_[index];
  if (!server.window.OpenAt(now)) {
    entry.reopening = server.window.closed_until();
    reopenings_.insert({entry.reopening, index});
    return;
  }
  if (!open) return;
  entry.key = key;
  entry.open = true;
  entry.prefilling = server.prefilling() > 0;
  const bool unasked = server.running() == 0 && server.pace.stretched();
  if (probing || unasked) {
    entry.reopening = now + kForgetInterval;
    reopenings_.insert({entry.reopening, index});
  }
  for (const PoolIndex pool : server.pools) {
    pools_[pool].open.insert({entry.key, index});
    if (entry.prefilling) {
      pools_[pool].open_prefilling.insert({entry.key, index});
    }
  }
}

bool Fleet::StaysInPlace(ServerIndex index, double key) const {
  const IndexEntry& entry = entries_[index];
  const Server& server = servers_[index];
  return entry.open && entry.reopening == absl::InfiniteFuture() &&
         server.running() > 0 &&
         entry.prefilling == (server.prefilling() > 0) &&
         std::abs(key - entry.key) <= kKeyTolerance * entry.key;
}

double Fleet::OwnPart(PoolIndex pool, absl::Time now) const {
  int own = 0;
  int all = 0;
  for (const ServerIndex index : pools_[pool].servers) {
    const Server& server = servers_[index];
    own += server.running();
    all += server.running() + server.ForeignStreams(now);
  }
  return (own + 1.0) / (all + 1.0);
}

absl::Time Fleet::NextReopening() const {
  if (reopenings_.empty()) return absl::InfiniteFuture();
  return reopenings_.begin()->first;
}

bool Fleet::Reopen(absl::Time now) {
  bool any = false;
  while (!reopenings_.empty() && reopenings_.begin()->first <= now) {
    const ServerIndex server = reopenings_.begin()->second;
    // Without this, a server whose last answers were slow beyond any deadline
    // would get no probe that could clear it.
    if (servers_[server].running() == 0) servers_[server].pace.Forget();
    Reindex(server, now);
    any = true;
  }
  return any;
}

}  // namespace gentianlb::schedule
