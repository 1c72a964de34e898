// Host: roll-outs, between the rows of the tables and the decisions.

#include <glog/logging.h>

#include <set>
#include <utility>

#include "gateway/fleet_messages.h"
#include "gateway/host.h"

namespace gentianlb::gateway {
namespace {

// An update of the peers is older than this only if messages are lost or the
// aggregator has failed.
constexpr absl::Duration kPeersAge = absl::Milliseconds(500);

}  // namespace

void Host::ReadOrders(const std::vector<TableRow>& rows, bool full_list,
                      absl::Time now) {
  std::set<ServiceId> listed;
  for (const TableRow& row : rows) {
    const auto service = platform_.read_rollout_key(row.key);
    if (!service) continue;
    listed.insert(*service);
    if (row.removed) {
      rollouts_.SetOrder(*service, std::nullopt, now);
      continue;
    }
    auto order = platform_.read_order(row);
    if (order.ok()) {
      rollouts_.SetOrder(*service, order.value(), now);
    } else {
      LOG(ERROR) << "event=rollout-order-unreadable code="
                 << static_cast<int>(order.error().code) << " cause=\""
                 << order.error().detail << "\"";
    }
  }
  if (full_list) {
    for (const RolloutView& view : rollouts_.Views()) {
      if (listed.contains(view.service)) continue;
      rollouts_.SetOrder(view.service, std::nullopt, now);
    }
  }
  if (rollouts_.has_orders() && !status_subscription_.started()) {
    status_subscription_.Start();
  }
}

void Host::OnStatusRows(const std::vector<TableRow>& rows, bool full_list,
                        absl::Time now) {
  std::set<ServiceId> listed;
  for (const TableRow& row : rows) {
    const auto service = platform_.read_rollout_key(row.key);
    if (!service) continue;
    listed.insert(*service);
    std::optional<RolloutStatus> status;
    if (!row.removed) {
      auto parsed = platform_.read_status(row.value);
      if (parsed.ok()) status = std::move(parsed.value());
      if (!parsed.ok()) {
        LOG(ERROR) << "event=rollout-status-unreadable code="
                   << static_cast<int>(parsed.error().code) << " cause=\""
                   << parsed.error().detail << "\"";
      }
    }
    rollouts_.SetStatus(*service, status, row.removed ? 0 : row.version, now);
  }
  if (!full_list) return;
  for (const ServiceId& service : rollouts_.ServicesWithStatus()) {
    if (!listed.contains(service)) {
      rollouts_.SetStatus(service, std::nullopt, 0, now);
    }
  }
}

void Host::WriteStatus(const ServiceId& service, const RolloutStatus& status,
                       std::uint64_t expected, std::function<void(bool)> done) {
  platform_.table.write_if(platform_.status_table,
                           platform_.rollout_key(service), expected,
                           platform_.write_status(status), std::move(done));
}

RolloutContext Host::BuildRolloutContext(absl::Time now) const {
  const PeerKnowledge peers = demand_.Peers(now);
  RolloutContext context;
  const bool peers_current = peers.age <= kPeersAge;
  const bool follows =
      status_subscription_.subscribed() ||
      (peers_current && sharing_.HasSubscribedPeer(status_subscription_));
  context.status_is_current =
      status_subscription_.complete() && follows &&
      status_subscription_.Lag() <= absl::ZeroDuration();
  context.is_aggregator = peers_->fleet().is_aggregator();
  context.turn = FractionOf(settings_.id.str());
  context.all_reachable = peers.all_reachable;
  context.hosts = peers_current ? peers.reachable + 1 : 1;
  return context;
}

void Host::SetRolloutMetrics() {
  for (const RolloutView& view : rollouts_.Views()) {
    const prometheus::Labels labels = {{"service", view.service.str()},
                                       {"target", view.target}};
    metrics_.Set("gentianlb_rollout_share",
                 "Of this host's requests, to the new version", labels,
                 view.share);
    metrics_.Set("gentianlb_rollout_state",
                 "0 running, 1 completed, 2 rolled back", labels,
                 static_cast<double>(view.state));
    metrics_.Set("gentianlb_rollout_verdict", "0 sound, 1 suspect, 2 bad",
                 labels, static_cast<double>(view.verdict));
  }
}

}  // namespace gentianlb::gateway
