#include "gateway/aggregate.h"

#include <algorithm>

#include "gateway/aggregator_election.h"

namespace gentianlb::gateway {
namespace {

// A host that was cut off returns within a minute; a replaced one never does.
constexpr absl::Duration kUnresponsiveTimeout = absl::Minutes(1);

// Only hosts with nearly as much processor time as the best one dispatch: a
// decision that takes 0.1 ms there takes a small host several times as long,
// and all callers wait for it.
constexpr double kMinProcessorRatio = 0.75;

// Maximum number of hosts of a zone that may dispatch: one per
// kHostsPerDispatcher live hosts, but not below kMinDispatchers. Several, so
// that groups are spread and a lost dispatcher is replaced at once, but not
// all, since the list is sent to every host.
constexpr std::size_t kMinDispatchers = 4;
constexpr std::size_t kHostsPerDispatcher = 8;

// How long after its last update a host still receives updates. A host that
// starts or returns sends an update itself.
constexpr absl::Duration kRecipientTimeout = absl::Seconds(5);

absl::Duration PeriodOf(const FleetUpdate& update) {
  return absl::Milliseconds(update.period_ms);
}

// Returns the history that two hosts have together. If changes may lie between
// the two histories, this is the later one with the newest change of both.
TableHistory Join(const TableHistory& a, const TableHistory& b) {
  TableHistory joined = a.version < b.version ? b : a;
  joined.newest_change = std::max(a.newest_change, b.newest_change);
  if (a.since <= b.version && b.since <= a.version) {
    joined.since = std::min(a.since, b.since);
  }
  return joined;
}

}  // namespace

void Aggregate::Sums::AddTable(const TableState& table, absl::Duration age) {
  const auto [found, first] = tables.try_emplace(table.table);
  TableState& sum = found->second;
  sum.table = table.table;
  sum.history = first ? table.history : Join(sum.history, table.history);
  if (table.up) ++up[table.table];
  sum.monitored = sum.monitored || table.monitored;
  sum.answers = Join(sum.answers, Aged(table.answers, age));
}

void Aggregate::Sums::AddServers(const std::vector<ServerUse>& uses) {
  for (const ServerUse& use : uses) {
    ServerUse& sum = servers[use.server];
    sum.server = use.server;
    sum.running = static_cast<std::uint16_t>(sum.running + use.running);
    sum.ungranted = static_cast<std::uint16_t>(sum.ungranted + use.ungranted);
    if (use.request_limit > 0) {
      sum.request_limit = sum.request_limit > 0
                              ? std::min(sum.request_limit, use.request_limit)
                              : use.request_limit;
    }
    if (use.decode_slowdown <= 0) continue;
    const auto count = static_cast<float>(++slowdown_sources_[use.server]);
    sum.prefill_slowdown +=
        (use.prefill_slowdown - sum.prefill_slowdown) / count;
    sum.decode_slowdown += (use.decode_slowdown - sum.decode_slowdown) / count;
  }
}

void Aggregate::Sums::Add(const FleetUpdate& update, bool current,
                          absl::Duration age) {
  hosts += update.hosts;
  known_hosts = std::max(known_hosts, update.known_hosts);
  for (const WorkspaceUse& use : update.workspaces) {
    WorkspaceUse& sum = workspaces[use.workspace];
    sum.workspace = use.workspace;
    sum.tokens_per_second += use.tokens_per_second;
    if (!current) continue;
    sum.share += use.share;
    sum.shares = static_cast<std::uint16_t>(sum.shares + use.shares);
    sum.unsettled = static_cast<std::uint16_t>(sum.unsettled + use.unsettled);
    sum.level += use.level;
    sum.levels = static_cast<std::uint16_t>(sum.levels + use.levels);
  }
  for (const TableState& table : update.tables) AddTable(table, age);
  for (const RolloutReport& report : update.rollouts) {
    MergeReport(report, &rollouts);
  }
  AddServers(update.servers);
}

bool Aggregate::RecordUpdate(const FleetUpdate& update, absl::Time now) {
  const bool of_zone = IsOfZone(update);
  const UpdateScope scope = of_zone ? UpdateScope::kHost : UpdateScope::kZone;
  if (update.scope != scope) return false;
  Source& source = sources_[update.sender.host];
  // Drops an update that a newer one has overtaken. Once the source is no
  // longer live it is accepted: a host that restarts after its clock was set
  // back has a lower incarnation, and would be ignored for ever.
  const bool outdated = PositionOf(update) <= PositionOf(source.update);
  if (outdated && IsLive(source, now)) return true;
  // While nothing arrived from it, the source may have reported to another
  // aggregator or used its own share of the limits, so counting starts anew.
  if (!IsLive(source, now)) {
    source.counters = UseCounters();
  }
  for (const UseDelta& growth :
       source.counters.Update(update.incarnation, update.workspaces,
                              FirstMessageRule(update, now))) {
    const auto add = [&growth](Totals* totals) {
      Total& total = (*totals)[growth.workspace];
      total.admitted += growth.admitted;
      total.refunded += growth.refunded;
    };
    add(&source.contribution);
    add(&total_);
    if (of_zone) add(&zone_total_);
  }
  FleetUpdate stored = update;
  if (!update.detailed) {
    stored.servers.swap(source.update.servers);
    stored.dispatchers.swap(source.update.dispatchers);
  }
  source.update = std::move(stored);
  source.received = now;
  MarkReceived(update, now);
  return true;
}

FirstMessage Aggregate::FirstMessageRule(const FleetUpdate& update,
                                         absl::Time now) const {
  if (IsOfZone(update)) return FirstMessage::kUnreported;
  const auto zone = expected_zones_.find(update.sender.zone);
  if (zone == expected_zones_.end()) return FirstMessage::kIgnore;
  const bool started_since =
      now - zone->second.received >= absl::Milliseconds(update.age_ms);
  return started_since ? FirstMessage::kAll : FirstMessage::kIgnore;
}

void Aggregate::MarkReceived(const FleetUpdate& update, absl::Time now) {
  const bool of_zone = IsOfZone(update);
  Expected& expected = of_zone ? expected_hosts_[update.sender.host]
                               : expected_zones_[update.sender.zone];
  expected.received = now;
  expected.hosts = update.hosts;
  expected.dropped = false;
}

void Aggregate::AddExpected(const std::vector<std::string>& hosts,
                            const ZoneHosts& zones, absl::Time now) {
  for (const std::string& host : hosts) {
    expected_hosts_.try_emplace(host, Expected{now, 1});
  }
  for (const auto& [zone, names] : zones) {
    expected_zones_.try_emplace(zone, Expected{now, names.size()});
  }
}

void Aggregate::DropUnresponsive(absl::Time now) {
  std::size_t known = 0;
  for (const auto* expected : {&expected_hosts_, &expected_zones_}) {
    for (const auto& [name, entry] : *expected) known += entry.hosts;
  }
  if (2 * sums_.hosts <= known) return;
  for (auto* expected : {&expected_hosts_, &expected_zones_}) {
    for (auto& [name, entry] : *expected) {
      entry.dropped = now - entry.received > kUnresponsiveTimeout;
    }
  }
}

bool Aggregate::IsComplete(bool zone_only, absl::Time now) const {
  const auto current = [&](const Source& source) {
    return IsCurrent(now - source.received, PeriodOf(source.update));
  };
  for (const auto& [name, expected] : expected_hosts_) {
    if (expected.dropped) continue;
    const auto found = sources_.find(name);
    if (found == sources_.end() || !current(found->second)) return false;
  }
  if (zone_only) return true;
  for (const auto& expected : expected_zones_) {
    const std::string& zone = expected.first;
    if (expected.second.dropped) continue;
    const bool received =
        std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
          const Source& source = item.second;
          return source.update.sender.zone == zone && source.update.complete &&
                 current(source);
        });
    if (!received) return false;
  }
  return true;
}

void Aggregate::ChooseDispatchers() {
  std::vector<HostEntry> candidates;
  for (const HostEntry& host : live_) {
    if (!sources_.at(host.host).update.draining) candidates.push_back(host);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return RanksBelow(b, a); });
  const std::size_t max_dispatchers =
      std::max(kMinDispatchers, live_.size() / kHostsPerDispatcher);
  if (candidates.size() > max_dispatchers) candidates.resize(max_dispatchers);
  std::erase_if(candidates, [&](const HostEntry& host) {
    return host.processor < kMinProcessorRatio * candidates.front().processor;
  });
  zone_dispatchers_ = std::move(candidates);
}

void Aggregate::Merge(absl::Time now, bool all_expected) {
  merge_time_ = now;
  zone_sums_ = Sums();
  sums_ = Sums();
  live_.clear();
  dispatchers_.clear();
  for (const auto& [name, source] : sources_) {
    if (!IsCounted(source, now)) continue;
    const absl::Duration age = now - source.received;
    const bool current = IsCurrent(age, PeriodOf(source.update));
    sums_.Add(source.update, current, age);
    if (!IsOfZone(source.update)) {
      dispatchers_.insert(dispatchers_.end(), source.update.dispatchers.begin(),
                          source.update.dispatchers.end());
      continue;
    }
    zone_sums_.Add(source.update, current, age);
    live_.push_back(source.update.sender);
  }
  DropUnresponsive(now);
  zone_sums_.complete = all_expected && IsComplete(/*zone_only=*/true, now);
  sums_.complete = zone_sums_.complete && IsComplete(/*zone_only=*/false, now);
  ChooseDispatchers();
  dispatchers_.insert(dispatchers_.end(), zone_dispatchers_.begin(),
                      zone_dispatchers_.end());
}

FleetUpdate Aggregate::Compose(const Sums& sums, const Totals& totals) {
  FleetUpdate update;
  update.hosts = static_cast<std::uint16_t>(sums.hosts);
  update.known_hosts = sums.known_hosts;
  update.complete = sums.complete;
  for (const auto& [name, use] : sums.workspaces) {
    update.workspaces.push_back(use);
    const auto total = totals.find(name);
    if (total == totals.end()) continue;
    update.workspaces.back().admitted = total->second.admitted;
    update.workspaces.back().refunded = total->second.refunded;
  }
  for (const auto& [name, table] : sums.tables) {
    update.tables.push_back(table);
    const auto up = sums.up.find(name);
    update.tables.back().up = up != sums.up.end() && up->second > 0;
  }
  update.rollouts = sums.rollouts;
  for (const auto& [name, use] : sums.servers) update.servers.push_back(use);
  return update;
}

FleetUpdate Aggregate::ZoneUpdate() const {
  FleetUpdate update = Compose(zone_sums_, zone_total_);
  update.scope = UpdateScope::kZone;
  update.dispatchers = zone_dispatchers_;
  return update;
}

FleetUpdate Aggregate::UpdateForHost(const std::string& host) const {
  FleetUpdate update = Compose(sums_, total_);
  update.scope = UpdateScope::kAll;
  update.dispatchers = dispatchers_;
  const auto found = sources_.find(host);
  if (found == sources_.end()) return update;
  const Source& own = found->second;
  const absl::Duration period = PeriodOf(own.update);
  for (WorkspaceUse& use : update.workspaces) {
    const auto contribution = own.contribution.find(use.workspace);
    if (contribution == own.contribution.end()) continue;
    use.admitted -= contribution->second.admitted;
    use.refunded -= contribution->second.refunded;
  }
  if (!IsLive(own, merge_time_)) return update;
  const bool current = IsCurrent(merge_time_ - own.received, period);
  --update.hosts;
  for (const WorkspaceUse& own_entry : own.update.workspaces) {
    for (WorkspaceUse& use : update.workspaces) {
      if (use.workspace != own_entry.workspace) continue;
      use.tokens_per_second -= own_entry.tokens_per_second;
      if (!current) continue;
      use.share -= own_entry.share;
      use.shares = static_cast<std::uint16_t>(use.shares - own_entry.shares);
      use.unsettled =
          static_cast<std::uint16_t>(use.unsettled - own_entry.unsettled);
      use.level -= own_entry.level;
      use.levels = static_cast<std::uint16_t>(use.levels - own_entry.levels);
    }
  }
  for (const TableState& own_entry : own.update.tables) {
    for (TableState& table : update.tables) {
      if (table.table != own_entry.table || !own_entry.up) continue;
      table.up = sums_.up.at(table.table) > 1;
    }
  }
  for (const ServerUse& own_entry : own.update.servers) {
    const auto use = std::find_if(update.servers.begin(), update.servers.end(),
                                  [&](const ServerUse& entry) {
                                    return entry.server == own_entry.server;
                                  });
    use->running = static_cast<std::uint16_t>(use->running - own_entry.running);
    use->ungranted =
        static_cast<std::uint16_t>(use->ungranted - own_entry.ungranted);
  }
  return update;
}

bool Aggregate::ShouldSendTo(const std::string& host, absl::Time now) const {
  const auto found = expected_hosts_.find(host);
  return found != expected_hosts_.end() &&
         now - found->second.received <= kRecipientTimeout;
}

bool Aggregate::IsLive(const Source& source, absl::Time now) {
  return now - source.received <= LivenessTimeout(PeriodOf(source.update));
}

bool Aggregate::IsCounted(const Source& source, absl::Time now) const {
  if (!IsLive(source, now)) return false;
  if (IsOfZone(source.update)) return true;
  const HostEntry& sender = source.update.sender;
  return LiveAggregatorsOf(sender.zone, now).front().host == sender.host;
}

std::vector<HostEntry> Aggregate::LiveAggregatorsOf(const std::string& zone,
                                                    absl::Time now) const {
  std::vector<HostEntry> aggregators;
  for (const auto& [name, source] : sources_) {
    const bool is_aggregator = source.update.scope == UpdateScope::kZone;
    if (!is_aggregator || source.update.sender.zone != zone) continue;
    if (IsLive(source, now)) aggregators.push_back(source.update.sender);
  }
  std::sort(aggregators.begin(), aggregators.end(),
            [](const auto& a, const auto& b) { return RanksBelow(b, a); });
  return aggregators;
}

}  // namespace gentianlb::gateway
