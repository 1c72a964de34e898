// Host: the metrics that describe its current state.

#include <algorithm>
#include <tuple>

#include "gateway/host.h"

namespace gentianlb::gateway {

void Host::SetLimitMetrics() {
  const PeerKnowledge peers = demand_.Peers(loop_->now());
  metrics_.Set("gentianlb_peers_reachable", "In the last update", {},
               peers.reachable);
  metrics_.Set("gentianlb_peers_all_reachable",
               "1 while whole limits are counted here", {},
               peers.all_reachable ? 1 : 0);
  absl::Duration longest_debt;
  double lowest_share = 1;
  const Quotas& quotas = forwarder_.quotas();
  for (const NameHash workspace : quotas.LimitedWorkspaces()) {
    const LimitState state = *quotas.StateOf(workspace);
    longest_debt = std::max(
        longest_debt, absl::Seconds(-state.level / state.tokens_per_second));
    lowest_share = std::min(lowest_share, state.share);
  }
  metrics_.Set("gentianlb_limit_debt_seconds",
               "Of the workspace's limit, for the deepest debt", {},
               absl::ToDoubleSeconds(longest_debt));
  metrics_.Set("gentianlb_limit_lowest_share", "Of any workspace's limit", {},
               lowest_share);
}

void Host::SetPathMetrics() {
  metrics_.Set("gentianlb_paths_lost",
               "Servers that this host can't connect to", {},
               static_cast<double>(paths_.direct_losses()));
  metrics_.Set("gentianlb_paths_all_lost",
               "1 while all servers are reached through peers alone", {},
               paths_.all_direct_lost() ? 1 : 0);
  const tunnel::TunnelServer& tunnels = path_monitor_->tunnels();
  metrics_.Set("gentianlb_tunnels_open", "For peers, in use", {},
               static_cast<double>(tunnels.open_tunnels()));
  metrics_.Set("gentianlb_tunnels", "For peers, since the start", {},
               static_cast<double>(tunnels.tunnels_opened()));
}

void Host::SetHeldMetrics() {
  for (const HeldKind kind :
       {HeldKind::kRequest, HeldKind::kAnswer, HeldKind::kUnread}) {
    const std::string name(NameOf(kind));
    metrics_.Set("gentianlb_held_bytes", "For callers and servers",
                 {{"kind", name}}, static_cast<double>(budget_->held(kind)));
    metrics_.Set("gentianlb_gave_way", "As too much was held, since the start",
                 {{"kind", name}}, budget_->gave_way(kind));
  }
  metrics_.Set("gentianlb_held_bytes_limit", "Of all kinds together", {},
               static_cast<double>(budget_->limit()));
}

void Host::SetResponseMetrics() {
  for (const auto& [fault, count] : platform_.invalid_responses()) {
    metrics_.Set("gentianlb_invalid_responses",
                 "Responses that were none, by what was wrong with them",
                 {{"fault", std::string(fault)}}, static_cast<double>(count));
  }
}

void Host::SetStreamMetrics() {
  const StreamRecordCounts& counts = records_.counts();
  for (const auto& [call, outcome, count] :
       {std::tuple("write", "all", counts.writes),
        std::tuple("write", "failed", counts.failed_writes),
        std::tuple("read", "complete", counts.reads),
        std::tuple("read", "failed", counts.failed_reads)}) {
    metrics_.Set("gentianlb_stream_record_calls",
                 "Of the table of streams, since the start",
                 {{"call", call}, {"outcome", outcome}}, count);
  }
  metrics_.Set("gentianlb_stream_records_pending",
               "Streams whose version is not recorded yet", {},
               static_cast<double>(records_.pending()));
  metrics_.Set("gentianlb_stream_records_pending_seconds",
               "Age of the oldest of them", {},
               absl::ToDoubleSeconds(records_.PendingAge()));
}

std::string Host::BuildMetricsText() {
  metrics_.Set("gentianlb_configuration_version", "In force", {},
               static_cast<double>(forwarder_.version()));
  metrics_.Set("gentianlb_open_requests", "Being served", {},
               static_cast<double>(forwarder_.open_requests()));
  metrics_.Set("gentianlb_callers", "Open connections", {},
               static_cast<double>(caller_server_->open_connections()));
  metrics_.Set("gentianlb_callers_evicted",
               "Whose messages were not complete, since the start", {},
               static_cast<double>(caller_server_->evicted_connections()));
  metrics_.Set("gentianlb_servers", "Registered backend servers", {},
               static_cast<double>(directory_.size()));
  metrics_.Set("gentianlb_ready", "1 when callers may come", {},
               ready() ? 1 : 0);
  for (const TableSubscriber* subscriber :
       {&configuration_subscription_, &server_subscription_}) {
    const prometheus::Labels table = {{"table", subscriber->table()}};
    metrics_.Set("gentianlb_table_up", "1 while the table service answers",
                 table, subscriber->up() ? 1 : 0);
    metrics_.Set("gentianlb_table_follows",
                 "1 while this host asks the service itself", table,
                 subscriber->subscribed() ? 1 : 0);
    metrics_.Set("gentianlb_table_behind_seconds",
                 "Since a change is known of that isn't here", table,
                 absl::ToDoubleSeconds(subscriber->Lag()));
  }
  metrics_.Set("gentianlb_servers_limited",
               "Servers that name a request limit, as known here", {},
               forwarder_.LimitedServers());
  metrics_.Set("gentianlb_suspect_contents",
               "Contents of requests under which servers were lost", {},
               static_cast<double>(suspects_->requests.size()));
  metrics_.Set("gentianlb_suspect_parts",
               "Parts of prompts under which servers were lost", {},
               static_cast<double>(suspects_->parts.size()));
  metrics_.Set("gentianlb_deadly_parts",
               "Parts of prompts that are sent to no server", {},
               static_cast<double>(suspects_->parts.CountDeadly(loop_->now())));
  const GroupDispatchers::ReturnCounts returns = groups_.CountReturns();
  for (const auto& [outcome, count] : {std::pair("reserved", returns.reserved),
                                       {"kept", returns.kept},
                                       {"expired", returns.expired}}) {
    metrics_.Set("gentianlb_returns",
                 "Reservations for retries of refused callers, by outcome",
                 {{"outcome", outcome}}, static_cast<double>(count));
  }
  metrics_.Set("gentianlb_unframed_ends_waiting",
               "Unframed bodies whose end is not judged yet", {},
               static_cast<double>(confirmations_.waiting()));
  SetLimitMetrics();
  SetPathMetrics();
  SetStreamMetrics();
  SetHeldMetrics();
  SetResponseMetrics();
  SetRolloutMetrics();
  metrics_.Set("gentianlb_log_lines_left_out", "For the log's bound", {},
               static_cast<double>(log_->dropped_lines()));
  return metrics_.Text();
}

}  // namespace gentianlb::gateway
