#include "gateway/aggregator_election.h"

#include <glog/logging.h>

#include <algorithm>

namespace gentianlb::gateway {
namespace {

// Time that each better ranked host has to start: its own period, the network
// delay, and one lost message.
constexpr int kPeriodsPerTurn = 3;

// How long a lost aggregator is not a candidate, unless a message of it
// arrives.
constexpr absl::Duration kLostAggregatorSkip = absl::Seconds(5);

}  // namespace

void AggregatorElection::AddHost(const HostEntry& host) {
  if (host.host == self_.host || host.host.empty()) return;
  hosts_[host.host].entry = host;
}

void AggregatorElection::Start(absl::Time now) {
  if (started_) return;
  started_ = true;
  no_aggregator_since_ = now;
}

void AggregatorElection::RecordAggregator(const std::string& host,
                                          absl::Duration period,
                                          absl::Time now) {
  const auto found = hosts_.find(host);
  if (found == hosts_.end()) return;
  found->second.last_aggregator_message = now;
  found->second.period = period;
  found->second.skipped_until = absl::InfinitePast();
}

std::vector<std::string> AggregatorElection::BetterCandidates(
    absl::Time now) const {
  std::vector<std::string> candidates;
  for (const auto& [name, known] : hosts_) {
    if (known.entry.zone != self_.zone || now < known.skipped_until) continue;
    if (RanksBelow(self_, known.entry)) candidates.push_back(name);
  }
  SortBestFirst(&candidates);
  return candidates;
}

void AggregatorElection::SortBestFirst(std::vector<std::string>* names) const {
  std::sort(names->begin(), names->end(), [this](const auto& a, const auto& b) {
    return RanksBelow(hosts_.at(b).entry, hosts_.at(a).entry);
  });
}

void AggregatorElection::OnAggregatorLost(absl::Time now) {
  LOG(WARNING) << "event=aggregator-lost host=" << aggregator_;
  hosts_[aggregator_].skipped_until = now + kLostAggregatorSkip;
  aggregator_.clear();
  no_aggregator_since_ = now;
}

void AggregatorElection::Tick(absl::Duration period, absl::Time now) {
  if (!started_) return;
  const std::vector<std::string> candidates = BetterCandidates(now);
  const auto live = std::find_if(candidates.begin(), candidates.end(),
                                 [&](const std::string& name) {
                                   const KnownHost& known = hosts_.at(name);
                                   return now - known.last_aggregator_message <=
                                          LivenessTimeout(known.period);
                                 });
  if (live != candidates.end()) {
    if (aggregator_ != *live) {
      LOG(INFO) << "event=aggregator host=" << *live
                << " before=" << aggregator_;
    }
    aggregator_ = *live;
    is_aggregator_ = false;
    return;
  }
  if (is_aggregator_) return;
  if (!aggregator_.empty()) return OnAggregatorLost(now);
  const auto turn = static_cast<std::size_t>(
      absl::ToDoubleSeconds(now - no_aggregator_since_) /
      absl::ToDoubleSeconds(kPeriodsPerTurn * period));
  next_ = turn < candidates.size() ? candidates[turn] : self_.host;
  if (turn < candidates.size()) return;
  is_aggregator_ = true;
  aggregator_ = self_.host;
  LOG(INFO) << "event=aggregates zone=" << self_.zone
            << " known=" << hosts_.size() + 1;
}

std::string AggregatorElection::ReportTarget() const {
  return aggregator_.empty() ? next_ : aggregator_;
}

const HostEntry* AggregatorElection::Find(const std::string& host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : &found->second.entry;
}

std::vector<std::string> AggregatorElection::ZonePeers() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : hosts_) {
    if (known.entry.zone == self_.zone) names.push_back(name);
  }
  SortBestFirst(&names);
  return names;
}

std::map<std::string, std::vector<std::string>> AggregatorElection::OtherZones()
    const {
  std::map<std::string, std::vector<std::string>> zones;
  for (const auto& [name, known] : hosts_) {
    if (known.entry.zone != self_.zone) {
      zones[known.entry.zone].push_back(name);
    }
  }
  for (auto& [zone, names] : zones) SortBestFirst(&names);
  return zones;
}

}  // namespace gentianlb::gateway
