#include "gateway/zone_role.h"

#include <glog/logging.h>

#include <algorithm>

namespace gentianlb::gateway {
namespace {

// How long each better ranked host has to begin: its own period, the way, and
// one lost message.
constexpr int kTurnPeriods = 3;

// Who fell silent isn't waited for again for this long.
constexpr absl::Duration kLeftOut = absl::Seconds(5);

}  // namespace

void ZoneRole::Learn(const HostEntry& host) {
  if (host.host == self_.host || host.host.empty()) return;
  known_[host.host].entry = host;
}

void ZoneRole::Begin(absl::Time now) {
  if (begun_) return;
  begun_ = true;
  unheard_since_ = now;
}

void ZoneRole::HeardAggregator(const std::string& host, absl::Duration period,
                               absl::Time now) {
  const auto found = known_.find(host);
  if (found == known_.end()) return;
  found->second.aggregated = now;
  found->second.period = period;
  found->second.silent_until = absl::InfinitePast();
}

std::vector<std::string> ZoneRole::Better(absl::Time now) const {
  std::vector<std::string> better;
  for (const auto& [name, known] : known_) {
    if (known.entry.zone != self_.zone || now < known.silent_until) continue;
    if (RanksBelow(self_, known.entry)) better.push_back(name);
  }
  SortBestFirst(&better);
  return better;
}

void ZoneRole::SortBestFirst(std::vector<std::string>* names) const {
  std::sort(names->begin(), names->end(), [this](const auto& a, const auto& b) {
    return RanksBelow(known_.at(b).entry, known_.at(a).entry);
  });
}

void ZoneRole::Lost(absl::Time now) {
  LOG(WARNING) << "event=aggregator-lost host=" << aggregator_;
  known_[aggregator_].silent_until = now + kLeftOut;
  aggregator_.clear();
  unheard_since_ = now;
}

void ZoneRole::Tick(absl::Duration period, absl::Time now) {
  if (!begun_) return;
  const std::vector<std::string> better = Better(now);
  const auto heard =
      std::find_if(better.begin(), better.end(), [&](const std::string& name) {
        const Known& known = known_.at(name);
        return now - known.aggregated <= Believed(known.period);
      });
  if (heard != better.end()) {
    if (aggregator_ != *heard) {
      LOG(INFO) << "event=aggregator host=" << *heard
                << " before=" << aggregator_;
    }
    aggregator_ = *heard;
    aggregates_ = false;
    return;
  }
  if (aggregates_) return;
  if (!aggregator_.empty()) return Lost(now);
  const auto turn =
      static_cast<std::size_t>(absl::ToDoubleSeconds(now - unheard_since_) /
                               absl::ToDoubleSeconds(kTurnPeriods * period));
  next_ = turn < better.size() ? better[turn] : self_.host;
  if (turn < better.size()) return;
  aggregates_ = true;
  aggregator_ = self_.host;
  LOG(INFO) << "event=aggregates zone=" << self_.zone
            << " known=" << known_.size() + 1;
}

std::string ZoneRole::ReportTo() const {
  return aggregator_.empty() ? next_ : aggregator_;
}

const HostEntry* ZoneRole::Find(const std::string& host) const {
  const auto found = known_.find(host);
  return found == known_.end() ? nullptr : &found->second.entry;
}

std::vector<std::string> ZoneRole::Neighbours() const {
  std::vector<std::string> names;
  for (const auto& [name, known] : known_) {
    if (known.entry.zone == self_.zone) names.push_back(name);
  }
  SortBestFirst(&names);
  return names;
}

std::map<std::string, std::vector<std::string>> ZoneRole::OtherZones() const {
  std::map<std::string, std::vector<std::string>> zones;
  for (const auto& [name, known] : known_) {
    if (known.entry.zone != self_.zone) {
      zones[known.entry.zone].push_back(name);
    }
  }
  for (auto& [zone, names] : zones) SortBestFirst(&names);
  return zones;
}

}  // namespace gentianlb::gateway
