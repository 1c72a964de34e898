#include "gateway/aggregate.h"

#include <algorithm>

#include "gateway/zone_role.h"

namespace gentianlb::gateway {
namespace {

// A host that was replaced never comes back; one that is cut off is back within
// seconds, or a minute at the most.
constexpr absl::Duration kForgetAfter = absl::Minutes(1);

// Only hosts with nearly as much processor as the best one dispatch: a decision
// that takes 0.1 ms there takes a small host several times as long, and all
// callers wait for it.
constexpr double kQuick = 0.75;

// How many hosts of a zone may dispatch: some, so that groups are spread and a
// lost one is replaced at once, and not all, as each is told to everybody.
constexpr std::size_t kFewestDispatchers = 4;
constexpr std::size_t kHostsPerDispatcher = 8;

// A host that is started or comes back says so itself; until then it isn't
// told.
constexpr absl::Duration kWanted = absl::Seconds(5);

absl::Duration PeriodOf(const FleetNews& news) {
  return absl::Milliseconds(news.period_ms);
}

// What two hosts know together. Where changes may lie between what one knows
// and what the other does, only the later counts.
TableKnowledge Joined(const TableKnowledge& a, const TableKnowledge& b) {
  TableKnowledge joined = a.version < b.version ? b : a;
  joined.newest_change = std::max(a.newest_change, b.newest_change);
  if (a.since <= b.version && b.since <= a.version) {
    joined.since = std::min(a.since, b.since);
  }
  return joined;
}

}  // namespace

void Aggregate::Sums::AddTable(const TableNews& table) {
  const auto [found, first] = tables.try_emplace(table.table);
  TableNews& sum = found->second;
  sum.table = table.table;
  sum.known = first ? table.known : Joined(sum.known, table.known);
  if (table.up) ++up[table.table];
  if (table.returned_ms < 0) return;
  const bool newer = sum.returned_ms < 0 || table.returned_ms < sum.returned_ms;
  if (newer) sum.returned_ms = table.returned_ms;
}

void Aggregate::Sums::AddServers(const std::vector<ServerUse>& uses) {
  for (const ServerUse& use : uses) {
    ServerUse& sum = servers[use.server];
    sum.server = use.server;
    sum.running = static_cast<std::uint16_t>(sum.running + use.running);
    sum.alone = static_cast<std::uint16_t>(sum.alone + use.alone);
    if (use.decode <= 0) continue;
    const auto count = static_cast<float>(++teachers_[use.server]);
    sum.prefill += (use.prefill - sum.prefill) / count;
    sum.decode += (use.decode - sum.decode) / count;
  }
}

void Aggregate::Sums::Add(const FleetNews& news, bool current) {
  hosts += news.hosts;
  for (const WorkspaceUse& use : news.workspaces) {
    WorkspaceUse& sum = workspaces[use.workspace];
    sum.workspace = use.workspace;
    sum.tokens_per_second += use.tokens_per_second;
    if (!current) continue;
    sum.part += use.part;
    sum.parts = static_cast<std::uint16_t>(sum.parts + use.parts);
  }
  for (const TableNews& table : news.tables) AddTable(table);
  AddServers(news.servers);
}

bool Aggregate::Heard(const FleetNews& news, absl::Time now) {
  const bool of_zone = IsOfZone(news);
  const NewsScope scope = of_zone ? NewsScope::kHost : NewsScope::kZone;
  if (news.scope != scope) return false;
  Source& source = sources_[news.sender.host];
  // Datagrams may overtake each other. Not by as much as this: a host that was
  // started again after its clock was set back counts from a lower place, and
  // would never be heard again.
  const bool late = PlaceOf(news) <= PlaceOf(source.news);
  if (late && IsBelieved(source, now)) return true;
  // It may have told another aggregator meanwhile, or used its own part.
  if (!IsBelieved(source, now)) {
    source.counters = UseCounters();
  }
  for (const UseDelta& grown : source.counters.Update(
           news.incarnation, news.workspaces, CountsAtFirst(news, now))) {
    const auto add = [&grown](Totals* totals) {
      Total& total = (*totals)[grown.workspace];
      total.let_through += grown.admitted;
      total.given_back += grown.refunded;
    };
    add(&source.counted);
    add(&total_);
    if (of_zone) add(&zone_total_);
  }
  FleetNews kept = news;
  if (!news.detailed) {
    kept.servers.swap(source.news.servers);
    kept.dispatchers.swap(source.news.dispatchers);
  }
  source.news = std::move(kept);
  source.heard = now;
  NoteHeard(news, now);
  return true;
}

FirstMessage Aggregate::CountsAtFirst(const FleetNews& news,
                                      absl::Time now) const {
  if (IsOfZone(news)) return FirstMessage::kUnreported;
  const auto zone = expected_zones_.find(news.sender.zone);
  if (zone == expected_zones_.end()) return FirstMessage::kIgnore;
  const bool began_since =
      now - zone->second.heard >= absl::Milliseconds(news.age_ms);
  return began_since ? FirstMessage::kAll : FirstMessage::kIgnore;
}

void Aggregate::NoteHeard(const FleetNews& news, absl::Time now) {
  const bool of_zone = IsOfZone(news);
  Expected& expected = of_zone ? expected_hosts_[news.sender.host]
                               : expected_zones_[news.sender.zone];
  expected.heard = now;
  expected.hosts = news.hosts;
  expected.forgotten = false;
}

void Aggregate::Expect(const std::vector<std::string>& hosts,
                       const ZoneHosts& zones, absl::Time now) {
  for (const std::string& host : hosts) {
    expected_hosts_.try_emplace(host, Expected{now, 1});
  }
  for (const auto& [zone, names] : zones) {
    expected_zones_.try_emplace(zone, Expected{now, names.size()});
  }
}

void Aggregate::Forget(absl::Time now) {
  std::size_t known = 0;
  for (const auto* expected : {&expected_hosts_, &expected_zones_}) {
    for (const auto& [name, one] : *expected) known += one.hosts;
  }
  if (2 * sums_.hosts <= known) return;
  for (auto* expected : {&expected_hosts_, &expected_zones_}) {
    for (auto& [name, one] : *expected) {
      one.forgotten = now - one.heard > kForgetAfter;
    }
  }
}

bool Aggregate::Complete(bool zone_only, absl::Time now) const {
  const auto current = [&](const Source& source) {
    return IsCurrent(now - source.heard, PeriodOf(source.news));
  };
  for (const auto& [name, expected] : expected_hosts_) {
    if (expected.forgotten) continue;
    const auto found = sources_.find(name);
    if (found == sources_.end() || !current(found->second)) return false;
  }
  if (zone_only) return true;
  for (const auto& expected : expected_zones_) {
    const std::string& zone = expected.first;
    if (expected.second.forgotten) continue;
    const bool heard =
        std::any_of(sources_.begin(), sources_.end(), [&](const auto& item) {
          const Source& source = item.second;
          return source.news.sender.zone == zone && source.news.complete &&
                 current(source);
        });
    if (!heard) return false;
  }
  return true;
}

void Aggregate::ChooseDispatchers() {
  std::vector<HostEntry> able;
  for (const HostEntry& host : live_) {
    if (!sources_.at(host.host).news.draining) able.push_back(host);
  }
  std::sort(able.begin(), able.end(),
            [](const auto& a, const auto& b) { return RanksBelow(b, a); });
  const std::size_t most =
      std::max(kFewestDispatchers, live_.size() / kHostsPerDispatcher);
  if (able.size() > most) able.resize(most);
  std::erase_if(able, [&](const HostEntry& host) {
    return host.processor < kQuick * able.front().processor;
  });
  zone_dispatchers_ = std::move(able);
}

void Aggregate::Merge(absl::Time now) {
  merged_ = now;
  zone_sums_ = Sums();
  sums_ = Sums();
  live_.clear();
  dispatchers_.clear();
  for (const auto& [name, source] : sources_) {
    if (!Counts(source, now)) continue;
    const bool current = IsCurrent(now - source.heard, PeriodOf(source.news));
    sums_.Add(source.news, current);
    if (!IsOfZone(source.news)) {
      dispatchers_.insert(dispatchers_.end(), source.news.dispatchers.begin(),
                          source.news.dispatchers.end());
      continue;
    }
    zone_sums_.Add(source.news, current);
    live_.push_back(source.news.sender);
  }
  Forget(now);
  zone_sums_.complete = Complete(/*zone_only=*/true, now);
  sums_.complete = zone_sums_.complete && Complete(/*zone_only=*/false, now);
  ChooseDispatchers();
  dispatchers_.insert(dispatchers_.end(), zone_dispatchers_.begin(),
                      zone_dispatchers_.end());
}

FleetNews Aggregate::Compose(const Sums& sums, const Totals& totals) {
  FleetNews news;
  news.hosts = static_cast<std::uint16_t>(sums.hosts);
  news.complete = sums.complete;
  for (const auto& [name, use] : sums.workspaces) {
    news.workspaces.push_back(use);
    const auto total = totals.find(name);
    if (total == totals.end()) continue;
    news.workspaces.back().let_through = total->second.let_through;
    news.workspaces.back().given_back = total->second.given_back;
  }
  for (const auto& [name, table] : sums.tables) {
    news.tables.push_back(table);
    const auto up = sums.up.find(name);
    news.tables.back().up = up != sums.up.end() && up->second > 0;
  }
  for (const auto& [name, use] : sums.servers) news.servers.push_back(use);
  return news;
}

FleetNews Aggregate::OfZone() const {
  FleetNews news = Compose(zone_sums_, zone_total_);
  news.scope = NewsScope::kZone;
  news.dispatchers = zone_dispatchers_;
  return news;
}

FleetNews Aggregate::ForHost(const std::string& host) const {
  FleetNews news = Compose(sums_, total_);
  news.scope = NewsScope::kAll;
  news.dispatchers = dispatchers_;
  const auto found = sources_.find(host);
  if (found == sources_.end()) return news;
  const Source& own = found->second;
  const absl::Duration period = PeriodOf(own.news);
  for (WorkspaceUse& use : news.workspaces) {
    const auto counted = own.counted.find(use.workspace);
    if (counted == own.counted.end()) continue;
    use.let_through -= counted->second.let_through;
    use.given_back -= counted->second.given_back;
  }
  if (!IsBelieved(own, merged_)) return news;
  const bool current = IsCurrent(merged_ - own.heard, period);
  --news.hosts;
  for (const WorkspaceUse& mine : own.news.workspaces) {
    for (WorkspaceUse& use : news.workspaces) {
      if (use.workspace != mine.workspace) continue;
      use.tokens_per_second -= mine.tokens_per_second;
      if (!current) continue;
      use.part -= mine.part;
      use.parts = static_cast<std::uint16_t>(use.parts - mine.parts);
    }
  }
  for (const TableNews& mine : own.news.tables) {
    for (TableNews& table : news.tables) {
      if (table.table != mine.table || !mine.up) continue;
      table.up = sums_.up.at(table.table) > 1;
    }
  }
  for (const ServerUse& mine : own.news.servers) {
    const auto use = std::find_if(
        news.servers.begin(), news.servers.end(),
        [&](const ServerUse& one) { return one.server == mine.server; });
    use->running = static_cast<std::uint16_t>(use->running - mine.running);
    use->alone = static_cast<std::uint16_t>(use->alone - mine.alone);
  }
  return news;
}

bool Aggregate::IsWanted(const std::string& host, absl::Time now) const {
  const auto found = expected_hosts_.find(host);
  return found != expected_hosts_.end() && now - found->second.heard <= kWanted;
}

bool Aggregate::IsBelieved(const Source& source, absl::Time now) {
  return now - source.heard <= Believed(PeriodOf(source.news));
}

bool Aggregate::Counts(const Source& source, absl::Time now) const {
  if (!IsBelieved(source, now)) return false;
  if (IsOfZone(source.news)) return true;
  const HostEntry& sender = source.news.sender;
  return AggregatorsOf(sender.zone, now).front().host == sender.host;
}

std::vector<HostEntry> Aggregate::AggregatorsOf(const std::string& zone,
                                                absl::Time now) const {
  std::vector<HostEntry> aggregators;
  for (const auto& [name, source] : sources_) {
    const bool told = source.news.scope == NewsScope::kZone;
    if (!told || source.news.sender.zone != zone) continue;
    if (IsBelieved(source, now)) aggregators.push_back(source.news.sender);
  }
  std::sort(aggregators.begin(), aggregators.end(),
            [](const auto& a, const auto& b) { return RanksBelow(b, a); });
  return aggregators;
}

}  // namespace gentianlb::gateway
