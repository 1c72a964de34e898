// Host: exchange of state with peers, and subscription to the platform's
// tables.

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"
#include "gateway/host.h"

namespace gentianlb::gateway {
namespace {

// Minimum interval of passing the number of hosts to the forwarder, because
// hosts are started by the hundred.
constexpr absl::Duration kHostCountInterval = absl::Seconds(1);

}  // namespace

std::optional<Error> Host::StartPeers() {
  PeersOptions options;
  options.host = settings_.id;
  options.zone = settings_.zone;
  options.processor = settings_.processor;
  options.address = settings_.peers;
  options.table = platform_.host_table;
  PeersHooks hooks;
  hooks.compose = [this](FleetUpdate* update) { ComposeUpdate(update); };
  hooks.on_peers = [this](const FleetUpdate& peers) { OnPeersUpdate(peers); };
  hooks.on_zone = [this](const FleetUpdate& zone) {
    sharing_.OnZoneUpdate(zone, loop_->now());
  };
  hooks.on_message = [this](std::string_view bytes) { OnPeerMessage(bytes); };
  hooks.on_host_count = [this](int hosts) { demand_.RaiseHostCount(hosts); };
  hooks.on_tick = [this](absl::Time now) { ApplyPeerState(now); };
  auto started =
      Peers::Start(options, platform_.table, loop_, std::move(hooks));
  if (!started.ok()) return started.error();
  peers_ = std::move(started.value());
  // Peers know the address of this host's datagrams; tunnels have the same.
  settings::Endpoint address = settings_.peers;
  address.port = peers_->port();
  auto monitor =
      PathMonitor::Start(address, loop_, &directory_, &forwarder_.cooldowns(),
                         &paths_, [this](const settings::Endpoint& server) {
                           return MakeConfirmEnd(server);
                         });
  if (!monitor.ok()) return monitor.error();
  path_monitor_ = std::move(monitor.value());
  return std::nullopt;
}

tunnel::ConfirmEnd Host::MakeConfirmEnd(const settings::Endpoint& address) {
  const ServerEntry* const registered = directory_.FindByAddress(address);
  ServerEntry server;
  server.address = address;
  if (registered != nullptr) server = *registered;
  return [this, server](std::uint64_t bytes, std::function<void(bool)> done) {
    confirmations_.Start(
        {.request = "-", .server = server, .bytes = bytes, .in_tunnel = true},
        [done = std::move(done)](const EndReport& report) {
          done(report.complete);
        });
  };
}

void Host::ComposeUpdate(FleetUpdate* update) {
  update->draining = draining_;
  update->servers = forwarder_.ServerUses();
  update->workspaces = demand_.BuildUpdate(loop_->now());
  forwarder_.quotas().PublishLevels(&update->workspaces, loop_->now());
  update->tables = sharing_.TableStates();
  update->rollouts = rollouts_.Reports();
}

void Host::OnPeersUpdate(const FleetUpdate& peers) {
  const absl::Time now = loop_->now();
  const std::vector<PeerUse> charges = demand_.OnPeerUpdate(peers, now);
  ApplyLimitShares(now);
  for (const PeerUse& spent : charges) ChargePeerUse(spent, peers, now);
  for (const WorkspaceUse& use : peers.workspaces) {
    forwarder_.quotas().ConvergeLevel(use, now);
  }
  sharing_.OnPeersUpdate(peers, now);
  UpdateTableRecovery(now);
  rollouts_.OnReports(peers.rollouts, now);
  if (peers.detailed) {
    groups_.SetDispatchers(peers.dispatchers);
    streams_.SetPeers(peers.dispatchers);
    paths_.SetPeers(peers.dispatchers, peers.neighbours, now);
    absl::flat_hash_map<NameHash, ServerUse> uses;
    for (const ServerUse& use : peers.servers) uses[use.server] = use;
    forwarder_.SetPeerUses(uses);
    groups_.SetPeerUses(uses);
  }
  ApplyPeerState(now);
}

void Host::ChargePeerUse(const PeerUse& spent, const FleetUpdate& peers,
                         absl::Time now) {
  Quotas& quotas = forwarder_.quotas();
  const auto before = quotas.StateOf(spent.workspace);
  quotas.Charge(spent.workspace, spent.tokens, now);
  if (!before || spent.tokens < before->tokens_per_second) return;
  LOG(INFO) << "event=large-charge workspace=" << before->workspace
            << " tokens=" << spent.tokens << " level=" << before->level
            << " share=" << before->share
            << " rate=" << before->tokens_per_second
            << " peers_from=" << peers.sender.host
            << " reachable=" << peers.hosts << " complete=" << peers.complete
            << " aggregating_ms=" << peers.age_ms;
}

void Host::OnPeerMessage(std::string_view bytes) {
  if (IsTableQuery(bytes)) {
    if (const auto query = DecodeTableQuery(bytes)) {
      return sharing_.HandleMessage(*query);
    }
  } else if (IsTableChanges(bytes)) {
    if (const auto changes = DecodeTableChanges(bytes)) {
      return sharing_.HandleMessage(*changes);
    }
  } else if (IsStreamMessage(bytes)) {
    if (const auto message = DecodeStreamMessage(bytes)) {
      return streams_.HandleMessage(*message);
    }
  } else {
    return groups_.HandleDatagram(bytes);
  }
  // Truncated or foreign. The peers' updates name the missing change, and this
  // host then requests it.
  LOG(WARNING) << "event=message-unreadable bytes=" << bytes.size();
}

void Host::SendChanges(const std::vector<std::string>& hosts,
                       const TableChanges& changes) {
  const auto bytes = Encode(changes);
  if (!bytes) {
    // The hosts learn of the change from updates and read it from the service.
    LOG(WARNING) << "event=changes-too-long table=" << changes.table
                 << " since=" << changes.since
                 << " version=" << changes.page.version;
    return;
  }
  for (const std::string& host : hosts) peers_->Send(host, *bytes);
}

void Host::QueryPeers(const TableQuery& query, int tries) {
  // Until Peers has started, no peer is known.
  if (peers_ == nullptr) return;
  const std::uint64_t seed =
      absl::HashOf(query.requester, query.table, tries, loop_->now());
  const std::string bytes = Encode(query);
  for (const std::string& host : peers_->fleet().QueryTargets(tries, seed)) {
    peers_->Send(host, bytes);
  }
}

void Host::ApplyLimitShares(absl::Time now) {
  Quotas& quotas = forwarder_.quotas();
  const std::vector<NameHash> limited = quotas.LimitedWorkspaces();
  demand_.UpdateShares(limited, now);
  for (const NameHash workspace : limited) {
    quotas.SetShare(workspace, demand_.LimitShare(workspace, now), now);
    quotas.SetPeerDemand(workspace, demand_.DemandOfPeers(workspace, now), now);
  }
}

void Host::ApplyPeerState(absl::Time now) {
  records_.SetHosts(demand_.hosts());
  sharing_.UpdateModes({peers_->fleet().is_aggregator(), demand_.hosts()}, now);
  ApplyLimitShares(now);
  rollouts_.Tick(BuildRolloutContext(now), now);
  if (reported_hosts_ == demand_.hosts()) return;
  if (now - reported_hosts_at_ < kHostCountInterval) return;
  reported_hosts_ = demand_.hosts();
  reported_hosts_at_ = now;
  forwarder_.OnServersChanged();
}

}  // namespace gentianlb::gateway
