// An entry host as a gateway on a platform: accepts callers' connections,
// follows changes of configuration and servers, reports readiness, and drains.
// Runs on one event loop.

#ifndef GENTIANLB_GATEWAY_HOST_H_
#define GENTIANLB_GATEWAY_HOST_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/confirmed_servers.h"
#include "gateway/demand.h"
#include "gateway/directory.h"
#include "gateway/end_confirmation.h"
#include "gateway/forwarder.h"
#include "gateway/group_link.h"
#include "gateway/messages.h"
#include "gateway/path_monitor.h"
#include "gateway/peers.h"
#include "gateway/rollouts.h"
#include "gateway/server_prober.h"
#include "gateway/startup_queue.h"
#include "gateway/stream_records.h"
#include "gateway/stream_versions.h"
#include "gateway/table_sharing.h"
#include "gateway/table_subscriber.h"
#include "http/loop_client.h"
#include "http/loop_server.h"
#include "log/bounded_log.h"
#include "loop/event_loop.h"
#include "metrics/metrics.h"
#include "settings/gateway_settings.h"

namespace gentianlb::gateway {

// The functions and names that a platform's adapter provides.
struct Platform {
  std::function<Outcome<CallerRequest>(http::Request)> read_request;
  ServerPort servers;
  IdentityPort identities;
  TablePort table;
  // The rows of the operators' configuration and of the servers' registrations.
  std::string configuration_table;
  std::string configuration_key;
  std::string server_table;
  std::string host_table;    // The entry hosts' own.
  std::string stream_table;  // The records of the streams' versions.
  std::function<Outcome<Configuration>(std::string_view row)>
      read_configuration;
  std::function<Outcome<ServerEntry>(const std::string& key,
                                     std::string_view row)>
      read_server;
  // Roll-outs: the orders are rows of the configuration table, the statuses
  // rows of a table of their own, both under the same key for a service.
  std::string status_table;
  // Returns nullopt if the key is not one of a roll-out.
  std::function<std::optional<ServiceId>(const std::string& key)>
      read_rollout_key;
  std::function<std::string(const ServiceId& service)> rollout_key;
  std::function<Outcome<RolloutOrder>(const TableRow& row)> read_order;
  std::function<Outcome<RolloutStatus>(std::string_view row)> read_status;
  std::function<std::string(const RolloutStatus& status)> write_status;
  // Returns how many invalid responses of all kinds have come.
  std::function<http::InvalidResponses()> invalid_responses;
};

class Host {
 public:
  // `loop` and `log` must outlive the host.
  static Outcome<std::unique_ptr<Host>> Start(
      const settings::GatewaySettings& settings, Platform platform,
      loop::EventLoop* loop, log::BoundedLog* log);
  ~Host();
  Host(const Host&) = delete;
  Host& operator=(const Host&) = delete;

  // Begins the shutdown: refuses requests as planned by PlanDrain(), answers
  // those in progress, and stops the loop.
  void Drain();

  bool ready() const;
  // Returns whether the configuration and the list of servers have arrived.
  bool initialized() const;
  std::uint16_t callers_port() const { return caller_server_->port(); }
  std::uint16_t ready_port() const { return readiness_server_->port(); }

 private:
  Host(const settings::GatewaySettings& settings, Platform platform,
       loop::EventLoop* loop, log::BoundedLog* log);

  std::optional<Error> Listen();
  std::optional<Error> StartPeers();
  // Returns what confirms the end of a connection that this host tunnels to the
  // server that is registered at `address` now.
  tunnel::ConfirmEnd MakeConfirmEnd(const settings::Endpoint& address);
  void ComposeUpdate(FleetUpdate* update);
  void OnPeersUpdate(const FleetUpdate& peers);
  // Charges what peers have admitted to the workspace's limit. Logs a charge
  // of more than a second of the limit, as it may refuse callers for as long.
  void ChargePeerUse(const PeerUse& spent, const FleetUpdate& peers,
                     absl::Time now);
  void OnPeerMessage(std::string_view bytes);
  // Applies the current state of the peers to limits and table sharing.
  void ApplyPeerState(absl::Time now);
  // Sets this host's shares of the limits.
  void ApplyLimitShares(absl::Time now);
  void SendChanges(const std::vector<std::string>& hosts,
                   const TableChanges& changes);
  void QueryPeers(const TableQuery& query, int tries);
  void HandleRequest(http::Request request,
                     std::shared_ptr<http::Responder> responder);
  void HandleReadinessCheck(const http::Request& request,
                            http::Responder& responder) const;
  std::string BuildMetricsText();
  void SetLimitMetrics();
  void SetPathMetrics();
  void SetStreamMetrics();
  void SetHeldMetrics();
  void SetResponseMetrics();

  void OnConfigurationRows(const std::vector<TableRow>& rows, bool full_list,
                           absl::Time now);
  void ReadConfigurationRow(const TableRow& row);
  void ReadOrders(const std::vector<TableRow>& rows, bool full_list,
                  absl::Time now);
  void OnStatusRows(const std::vector<TableRow>& rows, bool full_list,
                    absl::Time now);
  void WriteStatus(const ServiceId& service, const RolloutStatus& status,
                   std::uint64_t expected, std::function<void(bool)> done);
  // Returns what this host knows of its peers and of the statuses.
  RolloutContext BuildRolloutContext(absl::Time now) const;
  void SetRolloutMetrics();
  void OnServerRows(const std::vector<TableRow>& rows, bool full_list,
                    absl::Time now);
  void OnServersChanged();
  // Records that a server has said to this host or to a peer that it leaves.
  void OnServerLeaving(const LeavingServer& server);
  // Records a cooldown that a server has asked of this host through a peer.
  void OnTunnelledCooldown(const TunnelledCooldown& cooldown);
  // Passes what is known of the table service's last outage to the directory,
  // and applies the removals that are due.
  void UpdateTableRecovery(absl::Time now);
  void ScheduleRemovals();
  void CheckDrained(absl::Time now);

  const settings::GatewaySettings settings_;
  const Platform platform_;
  loop::EventLoop* const loop_;
  log::BoundedLog* const log_;

  metrics::Metrics metrics_;
  const std::shared_ptr<ByteBudget> budget_;  // Of what is held for others.
  const std::shared_ptr<schedule::Suspects> suspects_;
  Directory directory_;
  Demand demand_;
  StreamRecords records_;
  StreamVersions streams_;
  ServerProber prober_;
  EndConfirmations confirmations_;
  ConfirmedServers servers_;
  Forwarder forwarder_;
  Rollouts rollouts_;
  ServerPaths paths_;
  GroupLink groups_;
  StartupQueue startup_queue_;
  TableSubscriber configuration_subscription_;
  TableSubscriber server_subscription_;
  TableSubscriber status_subscription_;  // Started by the first order.
  TableSharing sharing_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<PathMonitor> path_monitor_;
  std::unique_ptr<http::LoopServer> caller_server_;
  std::unique_ptr<http::LoopServer> readiness_server_;
  std::unique_ptr<http::LoopServer> metrics_server_;
  int reported_hosts_ = 1;  // To the forwarder.
  absl::Time reported_hosts_at_ = absl::InfinitePast();
  std::vector<TimerId> timers_;
  TimerId expiry_timer_ = 0;
  bool draining_ = false;
  DrainPlan drain_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_HOST_H_
