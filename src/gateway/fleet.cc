#include "gateway/fleet.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

namespace gentianlb::gateway {
namespace {

// State from another zone takes three messages to arrive, so the period must be
// short. In each period an aggregator exchanges a message with each host of its
// zone and each other zone: at most 400 per second in each direction.
constexpr absl::Duration kMinPeriod = absl::Milliseconds(50);
constexpr absl::Duration kPeriodPerMessage = absl::Microseconds(2500);

// Period of a host without an aggregator.
constexpr absl::Duration kPeriodWithoutAggregator = absl::Milliseconds(100);

// Minimum interval of sending server loads and host lists. They are the larger
// part of a message, and requests that hosts dispatch without a grant change
// them little.
constexpr absl::Duration kMinDetailsInterval = absl::Milliseconds(50);
constexpr absl::Duration kDetailsIntervalPerHost = absl::Microseconds(2500);

// After this time an aggregator has received the state of all hosts of its
// zone.
constexpr absl::Duration kMinSettlingTime = absl::Milliseconds(200);
constexpr int kSettlingPeriods = 3;

// Number of live hosts of the zone that each detailed message lists. Successive
// messages list different ones.
constexpr std::size_t kNeighboursPerMessage = 8;

// With two, a try soon succeeds even if half of the peers lack the data too.
constexpr int kRandomQueryTargets = 2;

}  // namespace

Fleet::Fleet(HostEntry self, std::int64_t incarnation, FleetHooks hooks,
             absl::Time now)
    : incarnation_(incarnation),
      hooks_(std::move(hooks)),
      election_(self, now),
      aggregate_(self.zone),
      period_(kPeriodWithoutAggregator) {}

std::vector<std::string> Fleet::QueryTargets(int tries,
                                             std::uint64_t seed) const {
  std::vector<std::string> targets;
  const std::string& current = election_.aggregator();
  if (!current.empty() && !election_.won()) targets.push_back(current);
  if (tries == 0 && !targets.empty()) return targets;
  std::vector<std::string> all = election_.ZonePeers();
  for (const auto& [zone, hosts] : election_.OtherZones()) {
    all.insert(all.end(), hosts.begin(), hosts.end());
  }
  std::mt19937_64 random(seed);
  std::sample(all.begin(), all.end(), std::back_inserter(targets),
              kRandomQueryTargets, random);
  return targets;
}

void Fleet::AddHost(const HostEntry& host) {
  if (host.host == election_.self().host || host.host.empty()) return;
  const HostEntry* known = election_.Find(host.host);
  if (known != nullptr && *known == host) return;
  election_.AddHost(host);
  hooks_.on_host(host);
}

void Fleet::FillHeader(FleetUpdate* update) {
  if (update->scope != UpdateScope::kHost) {
    update->age_ms = static_cast<std::uint32_t>(
        absl::ToInt64Milliseconds(last_tick_ - aggregating_since_));
  }
  update->sender = election_.self();
  update->incarnation = update->scope == UpdateScope::kHost
                            ? incarnation_
                            : aggregate_incarnation_;
  update->sequence = ++sequence_;
  update->period_ms =
      static_cast<std::uint16_t>(absl::ToInt64Milliseconds(period_));
  if (const HostEntry* aggregator = Aggregator()) {
    update->aggregator = *aggregator;
  }
}

const HostEntry* Fleet::Aggregator() const {
  return election_.won() ? &election_.self()
                         : election_.Find(election_.aggregator());
}

FleetUpdate Fleet::ComposeOwnUpdate() {
  FleetUpdate own;
  hooks_.compose(&own);
  own.known_hosts = static_cast<std::uint16_t>(known_hosts());
  own.detailed = true;
  FillHeader(&own);
  return own;
}

void Fleet::OnUpdate(const FleetUpdate& update, absl::Time now) {
  if (update.sender.host == election_.self().host) return;
  AddHost(update.sender);
  if (!update.aggregator.host.empty()) {
    AddHost(update.aggregator);
    named_aggregators_[update.aggregator.zone] = update.aggregator.host;
  }
  for (const auto* hosts : {&update.dispatchers, &update.neighbours}) {
    for (const HostEntry& host : *hosts) AddHost(host);
  }
  if (update.scope == UpdateScope::kNone) return;
  if (update.scope == UpdateScope::kAll) return OnPeersUpdate(update, now);
  if (!election_.won()) return Refer(update.sender.host, Aggregator());
  if (!aggregate_.RecordUpdate(update, now)) return;
  if (update.scope == UpdateScope::kZone) OnZoneUpdate(update, now);
}

void Fleet::OnZoneUpdate(const FleetUpdate& update, absl::Time now) {
  hooks_.on_zone(update);
  // A host that knows no other host of its zone elects itself. Refer it to the
  // best aggregator there.
  const auto live = aggregate_.LiveAggregatorsOf(update.sender.zone, now);
  if (!live.empty()) Refer(update.sender.host, &live.front());
}

void Fleet::Refer(const std::string& host, const HostEntry* aggregator) {
  if (aggregator == nullptr || aggregator->host == host) return;
  FleetUpdate update;
  update.scope = UpdateScope::kNone;
  FillHeader(&update);
  update.aggregator = *aggregator;
  hooks_.send(host, update);
}

void Fleet::OnPeersUpdate(const FleetUpdate& update, absl::Time now) {
  if (update.sender.zone != election_.self().zone) return;
  election_.RecordAggregator(update.sender.host,
                             absl::Milliseconds(update.period_ms), now);
  election_.Tick(period_, now);
  if (election_.aggregator() != update.sender.host) return;
  // Drops an update that a newer one has overtaken; see
  // Aggregate::RecordUpdate.
  const bool same_sender = peers_sender_ == update.sender.host &&
                           now - peers_received_ <= LivenessTimeout(period_);
  if (same_sender && PositionOf(update) <= peers_position_) return;
  peers_sender_ = update.sender.host;
  peers_position_ = PositionOf(update);
  peers_received_ = now;
  period_ = absl::Milliseconds(update.period_ms);
  if (update.settled) hooks_.on_peers(update);
}

void Fleet::Tick(absl::Time now) {
  ++ticks_;
  const bool paused = now - last_tick_ > LivenessTimeout(period_);
  last_tick_ = now;
  election_.Tick(period_, now);
  const bool was_aggregating = std::exchange(aggregating_, election_.won());
  if (!aggregating_) return SendReport();
  if (!was_aggregating || paused) StartAggregating(now);
  Publish(now);
}

void Fleet::StartAggregating(absl::Time now) {
  aggregate_ = Aggregate(election_.self().zone);
  aggregate_incarnation_ = absl::ToUnixMicros(now);
  aggregating_since_ = now;
}

// A new aggregator has received updates of few hosts. If peers took its state
// for complete, every group would move to another dispatcher and back.
bool Fleet::IsSettled(absl::Time now) const {
  return now - aggregating_since_ >=
         std::max(kMinSettlingTime, kSettlingPeriods * period_);
}

void Fleet::SendReport() {
  if (election_.aggregator().empty()) period_ = kPeriodWithoutAggregator;
  const std::string to = election_.ReportTarget();
  if (!to.empty()) hooks_.send(to, ComposeOwnUpdate());
}

void Fleet::Publish(absl::Time now) {
  const ZoneHosts zones = election_.OtherZones();
  aggregate_.RecordUpdate(ComposeOwnUpdate(), now);
  std::vector<std::string> hosts = election_.ZonePeers();
  hosts.push_back(election_.self().host);
  aggregate_.AddExpected(hosts, zones, now);
  aggregate_.Merge(now, hosts_read_);
  period_ = std::max(kMinPeriod, kPeriodPerMessage * (aggregate_.live().size() -
                                                      1 + zones.size()));
  PublishToZones(now);
  PublishToHosts(now);
}

std::set<std::string> Fleet::TargetsInZone(
    const std::string& zone, const std::vector<std::string>& hosts,
    absl::Time now) {
  std::set<std::string> targets;
  for (const HostEntry& host : aggregate_.LiveAggregatorsOf(zone, now)) {
    targets.insert(host.host);
  }
  // Sends to a named aggregator once. If it is the aggregator, its own updates
  // arrive soon.
  const auto named = named_aggregators_.extract(zone);
  if (!named.empty()) targets.insert(named.mapped());
  // A host that is not the aggregator replies with the aggregator's name.
  if (targets.empty()) targets.insert(hosts[ticks_ % hosts.size()]);
  return targets;
}

void Fleet::PublishToZones(absl::Time now) {
  FleetUpdate zone_update = aggregate_.ZoneUpdate();
  zone_update.detailed = true;
  FillHeader(&zone_update);
  const bool settled = IsSettled(now);
  for (const auto& [zone, hosts] : election_.OtherZones()) {
    for (const std::string& target : TargetsInZone(zone, hosts, now)) {
      // Until it is settled, this host only announces itself, so that the
      // aggregators of other zones send to it.
      if (settled) hooks_.send(target, zone_update);
      if (!settled) Refer(target, &election_.self());
    }
  }
}

// Returns the hosts of the zone to send to: those that are live or may be, and
// in turn one of the rest, which are down, or cut off with an aggregator of
// their own.
std::vector<std::string> Fleet::Recipients(absl::Time now) const {
  std::vector<std::string> recipients;
  std::vector<std::string> stale;
  for (const std::string& host : election_.ZonePeers()) {
    auto& list = aggregate_.ShouldSendTo(host, now) ? recipients : stale;
    list.push_back(host);
  }
  if (!stale.empty()) recipients.push_back(stale[ticks_ % stale.size()]);
  return recipients;
}

void Fleet::PublishToHosts(absl::Time now) {
  FleetUpdate own = aggregate_.UpdateForHost(election_.self().host);
  const absl::Duration interval =
      std::max(kMinDetailsInterval, kDetailsIntervalPerHost * (own.hosts + 1));
  const bool detailed =
      now - last_detailed_ >= interval || own.dispatchers != sent_dispatchers_;
  if (detailed) {
    last_detailed_ = now;
    sent_dispatchers_ = own.dispatchers;
  }
  std::vector<HostEntry> neighbours;
  const std::vector<HostEntry>& live = aggregate_.live();
  for (std::size_t i = 0; i < std::min(live.size(), kNeighboursPerMessage);
       ++i) {
    neighbours.push_back(
        live[(ticks_ * kNeighboursPerMessage + i) % live.size()]);
  }
  const bool settled = IsSettled(now);
  for (const std::string& host : Recipients(now)) {
    FleetUpdate peers = aggregate_.UpdateForHost(host);
    peers.detailed = detailed;
    peers.neighbours = neighbours;
    peers.settled = settled;
    FillHeader(&peers);
    hooks_.send(host, peers);
  }
  if (!settled) return;
  own.detailed = true;
  FillHeader(&own);
  hooks_.on_peers(own);
}

std::vector<std::string> Fleet::LiveZonePeers() const {
  std::vector<std::string> names;
  if (!election_.won()) return names;
  for (const HostEntry& host : aggregate_.live()) {
    if (host.host != election_.self().host) names.push_back(host.host);
  }
  return names;
}

}  // namespace gentianlb::gateway
