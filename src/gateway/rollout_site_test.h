// Simulates, in virtual time, entry hosts that carry out roll-outs, a table
// with the statuses, and the servers of two versions.

#ifndef GENTIANLB_GATEWAY_ROLLOUT_SITE_TEST_H_
#define GENTIANLB_GATEWAY_ROLLOUT_SITE_TEST_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/demand.h"
#include "gateway/fleet_messages.h"
#include "gateway/fleet_site_test.h"
#include "gateway/rollouts.h"

namespace gentianlb::gateway {

class RolloutSite {
 public:
  static constexpr absl::Duration kTableDelay = absl::Milliseconds(50);
  static constexpr double kMaxExposure = 0.1;

  // The new version's servers fail this part of their requests from a time on.
  double failing = 0;
  absl::Time failing_from = absl::InfinitePast();
  // While false, no host reads or writes statuses.
  bool table_up = true;
  // Hosts whose writes fail, though they learn statuses from their peers.
  std::set<std::string> unable_to_write;
  double requests_per_second = 700;

  explicit RolloutSite(std::uint64_t seed, int hosts = 12, int zones = 4)
      : fleet(seed), random_(seed) {
    fleet.Add(hosts, zones);
    for (int i = 0; i < kServers; ++i) AddServer("a" + std::to_string(i), "v1");
    for (auto& [name, host] : fleet.hosts) Boot(name);
    fleet.Pass(absl::Seconds(2));
  }

  // The operators order a roll-out, and its servers start.
  void Order(const std::string& target, absl::Duration duration) {
    order_ = RolloutOrder{service_, target, duration, ++revision_};
    ordered_at = fleet.now;
    for (int i = 0; i < kServers; ++i) {
      AddServer(target + std::to_string(i), target);
    }
    for (auto& [name, host] : hosts_) GiveOrder(name);
  }

  void Run(absl::Duration span) {
    const absl::Time end = fleet.now + span;
    while (fleet.now < end) {
      fleet.Step();
      for (auto& [name, host] : hosts_) {
        if (!fleet.hosts.at(name).up || fleet.hosts.at(name).frozen) continue;
        FollowTable(name, &host);
        if (fleet.now >= host.next_tick) Tick(name, &host);
        SendRequests(&host);
      }
    }
  }

  void Kill(const std::string& name) { fleet.Kill(name); }
  void Restart(const std::string& name) {
    fleet.Start(name);
    Boot(name);
    if (order_) GiveOrder(name);
  }
  std::vector<std::string> Aggregators() {
    std::vector<std::string> names;
    for (auto& [name, host] : fleet.hosts) {
      if (host.up && host.fleet->is_aggregator()) names.push_back(name);
    }
    return names;
  }
  void CutZone(const std::string& zone) {
    for (auto& [name, host] : fleet.hosts) {
      host.side = host.entry.zone == zone ? 1 : 0;
    }
  }
  void Heal() {
    for (auto& [name, host] : fleet.hosts) host.side = 0;
  }

  // Attempts to write a status as a host that knows the row of version
  // `expected`.
  bool Write(const RolloutStatus& status, std::uint64_t expected) {
    if (!table_up || expected != status_version_) return false;
    status_ = status;
    status_version_ = ++revision_;
    status_at_ = fleet.now;
    ++writes;
    history.push_back(status);
    return true;
  }

  const std::optional<RolloutStatus>& status() const { return status_; }
  std::uint64_t status_version() const { return status_version_; }
  bool Is(RolloutState state) const {
    return status_ && status_->state == state;
  }
  RolloutStage StageOf(const std::string& name) {
    return hosts_.at(name).rollouts->Views().front().stage;
  }
  double exposure() const {
    return static_cast<double>(to_new) / static_cast<double>(all);
  }

  FleetSite fleet;
  absl::Time ordered_at;
  std::int64_t all = 0;     // Requests since the order.
  std::int64_t to_new = 0;  // Of these, sent to the new version.
  std::int64_t bad = 0;     // Answered by an error.
  absl::Time last_to_new = absl::InfinitePast();
  int stopped_early = 0;  // Requests at old servers when they were stopped.
  int writes = 0;
  std::vector<RolloutStatus> history;

 private:
  static constexpr int kServers = 20;

  struct HostState {
    std::unique_ptr<Rollouts> rollouts;
    Demand demand;
    absl::Time next_tick;
    std::uint64_t seen_version = 0;
    absl::Time reached_table = absl::InfinitePast();
    std::vector<absl::Time> open_old;  // The ends of requests at old servers.
    double pending_requests = 0;
    int requests = 0;
  };

  void AddServer(const std::string& id, const std::string& version) {
    ServerEntry server;
    server.id = ServerId(id);
    server.service = service_;
    server.version = version;
    server.streams = 8;
    servers_.push_back(server);
    std::sort(
        servers_.begin(), servers_.end(),
        [](const ServerEntry& a, const ServerEntry& b) { return a.id < b.id; });
  }

  void Boot(const std::string& name) {
    HostState& host = hosts_[name];
    host = HostState();
    host.next_tick = fleet.now;
    host.demand.RaiseHostCount(static_cast<int>(fleet.hosts.size()));
    RolloutHooks hooks;
    hooks.write = [this, name](const ServiceId&, const RolloutStatus& status,
                               std::uint64_t expected,
                               std::function<void(bool)> done) {
      const bool cut = fleet.hosts.at(name).side != 0;
      done(!cut && !unable_to_write.contains(name) && Write(status, expected));
    };
    hooks.on_pools = [] {};
    hooks.open_requests = [this, name](const ServiceId& pool) {
      return pool == service_ ? CountOpen(&hosts_.at(name)) : 0U;
    };
    host.rollouts = std::make_unique<Rollouts>(kMaxExposure, std::move(hooks));
    auto& fleet_host = fleet.hosts.at(name);
    fleet_host.compose = [this, name](FleetUpdate* own) {
      own->rollouts = hosts_.at(name).rollouts->Reports();
    };
    fleet_host.on_peers = [this, name](const FleetUpdate& peers) {
      HostState& state = hosts_.at(name);
      state.demand.OnPeerUpdate(peers, fleet.now);
      state.rollouts->OnReports(peers.rollouts, fleet.now);
    };
    host.rollouts->PoolsOf(service_, Registered(), fleet.now);
  }

  std::uint32_t CountOpen(HostState* host) {
    std::erase_if(host->open_old,
                  [&](absl::Time end) { return end <= fleet.now; });
    return static_cast<std::uint32_t>(host->open_old.size());
  }

  // The old servers stop when the roll-out is completed.
  std::vector<ServerEntry> Registered() const {
    std::vector<ServerEntry> registered;
    const bool completed = Is(RolloutState::kCompleted);
    for (const ServerEntry& server : servers_) {
      if (completed && server.version != status_->target) continue;
      registered.push_back(server);
    }
    return registered;
  }

  void GiveOrder(const std::string& name) {
    HostState& host = hosts_.at(name);
    host.rollouts->SetOrder(service_, order_, fleet.now);
    host.rollouts->PoolsOf(service_, Registered(), fleet.now);
  }

  // Hosts of a zone that is cut off don't reach the table either.
  void FollowTable(const std::string& name, HostState* host) {
    if (!table_up || fleet.hosts.at(name).side != 0) return;
    host->reached_table = fleet.now;
    const bool visible = fleet.now - status_at_ >= kTableDelay;
    if (!visible || host->seen_version == status_version_) return;
    host->seen_version = status_version_;
    host->rollouts->SetStatus(service_, status_, status_version_, fleet.now);
    if (Is(RolloutState::kCompleted)) CountStopped(host);
    host->rollouts->PoolsOf(service_, Registered(), fleet.now);
  }

  void CountStopped(HostState* host) {
    stopped_early += static_cast<int>(CountOpen(host));
    host->open_old.clear();
  }

  void Tick(const std::string& name, HostState* host) {
    const PeerKnowledge peers = host->demand.Peers(fleet.now);
    RolloutContext context;
    context.status_is_current =
        fleet.now - host->reached_table <= absl::Milliseconds(100);
    context.is_aggregator = fleet.hosts.at(name).fleet->is_aggregator();
    context.turn = FractionOf(name);
    context.all_reachable = peers.all_reachable;
    context.hosts = peers.reachable + 1;
    host->rollouts->Tick(context, fleet.now);
    host->rollouts->PoolsOf(service_, Registered(), fleet.now);
    host->next_tick = fleet.now + absl::Milliseconds(50);
  }

  void SendRequests(HostState* host) {
    const auto hosts = static_cast<double>(hosts_.size());
    host->pending_requests +=
        requests_per_second / hosts * absl::ToDoubleSeconds(FleetSite::kStep);
    for (; host->pending_requests >= 1; --host->pending_requests) Send(host);
  }

  void Send(HostState* host) {
    const RequestId id(std::to_string(random_()));
    const ServiceId pool = host->rollouts->ChoosePool(service_, id);
    const bool is_new = pool != service_;
    if (order_) ++all;
    ServerAnswer answer;
    answer.kind = ServerAnswer::Kind::kAnswered;
    answer.first = absl::Milliseconds(40 + random_() % 40);
    if (is_new) {
      ++to_new;
      last_to_new = fleet.now;
      const bool fails = fleet.now >= failing_from &&
                         static_cast<double>(random_() % 1000) < failing * 1000;
      if (fails) answer.kind = ServerAnswer::Kind::kFailed;
      if (fails) ++bad;
    } else {
      // Most streams are short, some last for seconds.
      const bool is_long = random_() % 50 == 0;
      host->open_old.push_back(
          fleet.now + absl::Milliseconds(random_() % (is_long ? 6000 : 300)));
    }
    ServerEntry server;
    server.service = service_;
    server.id = ServerId(is_new ? order_->target + "0" : "a0");
    server.version = is_new ? order_->target : "v1";
    host->rollouts->RecordAnswer(server, "route", answer, fleet.now);
  }

  const ServiceId service_{"s"};
  std::mt19937_64 random_;
  std::map<std::string, HostState> hosts_;
  std::vector<ServerEntry> servers_;
  std::optional<RolloutOrder> order_;
  std::optional<RolloutStatus> status_;
  std::uint64_t status_version_ = 0;
  absl::Time status_at_ = absl::InfinitePast();
  std::uint64_t revision_ = 10;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_ROLLOUT_SITE_TEST_H_
