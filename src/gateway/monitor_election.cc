#include "gateway/monitor_election.h"

#include <algorithm>
#include <utility>

#include "gateway/aggregator_election.h"

namespace gentianlb::gateway {
namespace {

// A host that was just started has not received its peers' updates yet.
constexpr absl::Duration kMinUptime = absl::Seconds(2);

}  // namespace

void MonitorElection::RecordUpdate(const FleetUpdate& update, absl::Time now) {
  const bool reaches =
      std::all_of(update.tables.begin(), update.tables.end(),
                  [](const TableState& table) { return table.up; });
  peers_[update.sender.host] = {
      now + LivenessTimeout(absl::Milliseconds(update.period_ms)),
      reaches && !update.tables.empty()};
}

bool MonitorElection::IsMonitor(bool reaches, absl::Time now) const {
  if (!reaches || now - started_ < kMinUptime) return false;
  const auto own_rank = std::pair(HashName(host_), host_);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& item) {
    const auto& [host, peer] = item;
    return peer.reaches && now <= peer.live_until &&
           std::pair(HashName(host), host) < own_rank;
  });
}

}  // namespace gentianlb::gateway
