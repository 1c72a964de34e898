#include "gateway/fleet.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace gentianlb::gateway {
namespace {

// Decisions rest on what was heard last, over three messages where zones lie
// between. An aggregator sends and takes one to and from each host of its zone
// and each other zone in a period, at most 400 a second each way.
constexpr absl::Duration kShortestPeriod = absl::Milliseconds(50);
constexpr absl::Duration kPeriodPerMessage = absl::Microseconds(2500);

// A host that hears no aggregator tells about itself so often.
constexpr absl::Duration kPeriodAlone = absl::Milliseconds(100);

// How often loads of servers and lists of hosts are told: they are the larger
// part of a message, and what is dispatched alone changes them little.
constexpr absl::Duration kShortestDetails = absl::Milliseconds(50);
constexpr absl::Duration kDetailsPerHost = absl::Microseconds(2500);

// All of a zone have told about themselves by then.
constexpr absl::Duration kShortestSettling = absl::Milliseconds(200);
constexpr int kSettlingPeriods = 3;

// Some of the zone's hosts that are told with each list, in turn.
constexpr std::size_t kNeighboursTold = 8;

// Enough that, where each second host lacks it too, some try soon succeeds.
constexpr int kMoreAsked = 2;

}  // namespace

Fleet::Fleet(HostEntry self, std::int64_t incarnation, FleetHooks hooks,
             absl::Time now)
    : incarnation_(incarnation),
      hooks_(std::move(hooks)),
      role_(self, now),
      aggregate_(self.zone),
      period_(kPeriodAlone) {}

std::vector<std::string> Fleet::WhomToAsk(int tries, std::uint64_t draw) const {
  std::vector<std::string> asked;
  const std::string& aggregator = role_.aggregator();
  if (!aggregator.empty() && !role_.aggregates()) asked.push_back(aggregator);
  if (tries == 0 && !asked.empty()) return asked;
  std::vector<std::string> all = role_.Neighbours();
  for (const auto& [zone, hosts] : role_.OtherZones()) {
    all.insert(all.end(), hosts.begin(), hosts.end());
  }
  std::mt19937_64 random(draw);
  std::sample(all.begin(), all.end(), std::back_inserter(asked), kMoreAsked,
              random);
  return asked;
}

void Fleet::Learn(const HostEntry& host) {
  if (host.host == role_.self().host || host.host.empty()) return;
  const HostEntry* known = role_.Find(host.host);
  if (known != nullptr && *known == host) return;
  role_.Learn(host);
  hooks_.on_host(host);
}

void Fleet::Sign(FleetNews* news) {
  if (news->scope != NewsScope::kHost) {
    news->age_ms =
        static_cast<std::uint32_t>(absl::ToInt64Milliseconds(ticked_ - began_));
  }
  news->sender = role_.self();
  news->incarnation =
      news->scope == NewsScope::kHost ? incarnation_ : aggregate_incarnation_;
  news->sequence = ++sequence_;
  news->period_ms =
      static_cast<std::uint16_t>(absl::ToInt64Milliseconds(period_));
  if (const HostEntry* aggregator = Aggregator()) {
    news->aggregator = *aggregator;
  }
}

const HostEntry* Fleet::Aggregator() const {
  return role_.aggregates() ? &role_.self() : role_.Find(role_.aggregator());
}

FleetNews Fleet::ComposeOwn() {
  FleetNews own;
  hooks_.compose(&own);
  own.detailed = true;
  Sign(&own);
  return own;
}

void Fleet::Take(const FleetNews& news, absl::Time now) {
  if (news.sender.host == role_.self().host) return;
  Learn(news.sender);
  if (!news.aggregator.host.empty()) {
    Learn(news.aggregator);
    named_[news.aggregator.zone] = news.aggregator.host;
  }
  for (const auto* hosts : {&news.dispatchers, &news.neighbours}) {
    for (const HostEntry& host : *hosts) Learn(host);
  }
  if (news.scope == NewsScope::kNone) return;
  if (news.scope == NewsScope::kAll) return TakeOthers(news, now);
  if (!role_.aggregates()) return Name(news.sender.host, Aggregator());
  if (!aggregate_.Heard(news, now)) return;
  if (news.scope == NewsScope::kZone) TakeZone(news, now);
}

void Fleet::TakeZone(const FleetNews& news, absl::Time now) {
  hooks_.on_zone(news);
  // A host that knows none of its zone takes itself for its aggregator.
  const auto heard = aggregate_.AggregatorsOf(news.sender.zone, now);
  if (!heard.empty()) Name(news.sender.host, &heard.front());
}

void Fleet::Name(const std::string& host, const HostEntry* aggregator) {
  if (aggregator == nullptr || aggregator->host == host) return;
  FleetNews news;
  news.scope = NewsScope::kNone;
  Sign(&news);
  news.aggregator = *aggregator;
  hooks_.send(host, news);
}

void Fleet::TakeOthers(const FleetNews& news, absl::Time now) {
  if (news.sender.zone != role_.self().zone) return;
  role_.HeardAggregator(news.sender.host, absl::Milliseconds(news.period_ms),
                        now);
  role_.Tick(period_, now);
  if (role_.aggregator() != news.sender.host) return;
  // Datagrams may overtake each other; see Aggregate::Heard.
  const bool same =
      others_from_ == news.sender.host && now - others_at_ <= Believed(period_);
  if (same && PlaceOf(news) <= others_place_) return;
  others_from_ = news.sender.host;
  others_place_ = PlaceOf(news);
  others_at_ = now;
  period_ = absl::Milliseconds(news.period_ms);
  if (news.settled) hooks_.on_others(news);
}

void Fleet::Tick(absl::Time now) {
  ++ticks_;
  const bool aggregated = role_.aggregates();
  const bool paused = now - ticked_ > Believed(period_);
  ticked_ = now;
  role_.Tick(period_, now);
  if (!role_.aggregates()) return Report();
  if (!aggregated || paused) BeginToAggregate(now);
  Spread(now);
}

void Fleet::BeginToAggregate(absl::Time now) {
  aggregate_ = Aggregate(role_.self().zone);
  aggregate_incarnation_ = absl::ToUnixMicros(now);
  began_ = now;
}

// Just after it began, an aggregator has heard few hosts. Taken for the whole,
// what it tells would move every group to another host and back.
bool Fleet::IsSettled(absl::Time now) const {
  return now - began_ >=
         std::max(kShortestSettling, kSettlingPeriods * period_);
}

void Fleet::Report() {
  if (role_.aggregator().empty()) period_ = kPeriodAlone;
  const std::string to = role_.ReportTo();
  if (!to.empty()) hooks_.send(to, ComposeOwn());
}

void Fleet::Spread(absl::Time now) {
  const ZoneHosts zones = role_.OtherZones();
  aggregate_.Heard(ComposeOwn(), now);
  std::vector<std::string> hosts = role_.Neighbours();
  hosts.push_back(role_.self().host);
  aggregate_.Expect(hosts, zones, now);
  aggregate_.Merge(now);
  period_ = std::max(
      kShortestPeriod,
      kPeriodPerMessage * (aggregate_.live().size() - 1 + zones.size()));
  SpreadToZones(now);
  SpreadToHosts(now);
}

std::set<std::string> Fleet::TargetsIn(const std::string& zone,
                                       const std::vector<std::string>& hosts,
                                       absl::Time now) {
  std::set<std::string> targets;
  for (const HostEntry& host : aggregate_.AggregatorsOf(zone, now)) {
    targets.insert(host.host);
  }
  // One that was named is heard soon, or was named in vain.
  const auto named = named_.extract(zone);
  if (!named.empty()) targets.insert(named.mapped());
  // Whoever is not the aggregator names it.
  if (targets.empty()) targets.insert(hosts[ticks_ % hosts.size()]);
  return targets;
}

void Fleet::SpreadToZones(absl::Time now) {
  FleetNews of_zone = aggregate_.OfZone();
  of_zone.detailed = true;
  Sign(&of_zone);
  const bool settled = IsSettled(now);
  for (const auto& [zone, hosts] : role_.OtherZones()) {
    for (const std::string& target : TargetsIn(zone, hosts, now)) {
      // Before, it only says that it is there, and is told of other zones.
      if (settled) hooks_.send(target, of_zone);
      if (!settled) Name(target, &role_.self());
    }
  }
}

// The hosts of the zone that are heard or may be there; of the others, which
// were lost or are cut off and may aggregate for themselves, one each time.
std::vector<std::string> Fleet::Listeners(absl::Time now) const {
  std::vector<std::string> listeners;
  std::vector<std::string> lost;
  for (const std::string& host : role_.Neighbours()) {
    auto& list = aggregate_.IsWanted(host, now) ? listeners : lost;
    list.push_back(host);
  }
  if (!lost.empty()) listeners.push_back(lost[ticks_ % lost.size()]);
  return listeners;
}

void Fleet::SpreadToHosts(absl::Time now) {
  FleetNews own = aggregate_.ForHost(role_.self().host);
  const absl::Duration between =
      std::max(kShortestDetails, kDetailsPerHost * (own.hosts + 1));
  const bool detailed =
      now - detailed_ >= between || own.dispatchers != told_dispatchers_;
  if (detailed) {
    detailed_ = now;
    told_dispatchers_ = own.dispatchers;
  }
  std::vector<HostEntry> told;
  const std::vector<HostEntry>& live = aggregate_.live();
  for (std::size_t i = 0; i < std::min(live.size(), kNeighboursTold); ++i) {
    told.push_back(live[(ticks_ * kNeighboursTold + i) % live.size()]);
  }
  const bool settled = IsSettled(now);
  for (const std::string& host : Listeners(now)) {
    FleetNews others = aggregate_.ForHost(host);
    others.detailed = detailed;
    others.neighbours = told;
    others.settled = settled;
    Sign(&others);
    hooks_.send(host, others);
  }
  if (!settled) return;
  own.detailed = true;
  Sign(&own);
  hooks_.on_others(own);
}

std::vector<std::string> Fleet::Followers() const {
  std::vector<std::string> names;
  if (!role_.aggregates()) return names;
  for (const HostEntry& host : aggregate_.live()) {
    if (host.host != role_.self().host) names.push_back(host.host);
  }
  return names;
}

}  // namespace gentianlb::gateway
