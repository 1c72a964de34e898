// Simulates, in virtual time, entry hosts that exchange their state over a
// network that delays, loses and duplicates datagrams.

#ifndef GENTIANLB_GATEWAY_FLEET_SITE_TEST_H_
#define GENTIANLB_GATEWAY_FLEET_SITE_TEST_H_

#include <glog/logging.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/fleet.h"

namespace gentianlb::gateway {

class FleetSite {
 public:
  static constexpr absl::Duration kStep = absl::Milliseconds(5);

  struct Host {
    HostEntry entry;
    std::unique_ptr<Fleet> fleet;
    absl::Time due;
    absl::Time elects_at;
    bool up = false;
    bool frozen = false;  // Neither receives nor sends.
    int side = 0;  // Hosts of different sides are cut off from each other.
    std::int64_t incarnation = 0;
    absl::Duration clock_lag;  // How far its clock is behind `now`.
    FleetUpdate peers;  // The last update; lists of the last detailed one.
    absl::Time peers_at = absl::InfinitePast();
    std::function<void(FleetUpdate* own)> compose;
    std::function<void(const FleetUpdate& peers)> on_peers;
    std::function<void(const FleetUpdate& zone)> on_zone;
    int sent = 0;
    std::size_t sent_bytes = 0;
    std::size_t sent_bytes_to_zones = 0;
  };

  explicit FleetSite(std::uint64_t seed) : random(seed) {
    FLAGS_minloglevel = google::GLOG_FATAL;  // The tests don't check the log.
  }

  static std::string Name(int number) { return absl::StrCat("h", number); }

  // Starts `count` hosts in `zones` zones, about one in ten of them with a
  // large share of a processor.
  void Add(int count, int zones) {
    for (int i = 0; i < count; ++i) {
      Host& host = hosts[Name(i)];
      host.entry.host = Name(i);
      host.entry.address = absl::StrCat("10.0.0.1:", 1000 + i);
      host.entry.zone = absl::StrCat("z", i % zones);
      host.entry.processor = i % 10 < zones && i / 10 % 2 == 0 ? 0.5F : 0.12F;
    }
    for (auto& [name, host] : hosts) Start(name);
  }

  // Starts or restarts a host without state. It reads the table of hosts if
  // `reads_table`.
  void Start(const std::string& name) {
    Host* host = &hosts.at(name);
    FleetHooks hooks;
    hooks.compose = [host](FleetUpdate* own) {
      if (host->compose) host->compose(own);
    };
    hooks.on_peers = [this, host](const FleetUpdate& peers) {
      FleetUpdate latest = peers;
      if (!latest.detailed) {
        latest.dispatchers = host->peers.dispatchers;
        latest.servers = host->peers.servers;
      }
      host->peers = std::move(latest);
      host->peers_at = now;
      if (host->on_peers) host->on_peers(peers);
    };
    hooks.on_zone = [host](const FleetUpdate& zone) {
      if (host->on_zone) host->on_zone(zone);
    };
    hooks.on_host = [](const HostEntry&) {};
    hooks.send = [this, host](const std::string& to,
                              const FleetUpdate& update) {
      Send(host, to, update);
    };
    host->fleet =
        std::make_unique<Fleet>(host->entry, ++host->incarnation,
                                std::move(hooks), now - host->clock_lag);
    host->peers = FleetUpdate();
    host->peers_at = absl::InfinitePast();
    host->up = true;
    host->frozen = false;
    host->due = now + absl::Milliseconds(random() % 50);
    if (reads_table) ReadTable(name);
    host->elects_at = now;
    if (max_election_delay > absl::ZeroDuration()) {
      host->elects_at += max_election_delay * FractionBelowOne();
    }
    StartElectionIfDue(host);
  }

  void ReadTable(const std::string& name) {
    Fleet& fleet = *hosts.at(name).fleet;
    for (const auto& [other, host] : hosts) fleet.AddHost(host.entry);
    fleet.OnHostsRead();
  }

  void Kill(const std::string& name) { hosts.at(name).up = false; }

  void Step() {
    now += kStep;
    Deliver();
    for (auto& [name, host] : hosts) {
      if (!host.up || host.frozen) continue;
      StartElectionIfDue(&host);
      if (now < host.due) continue;
      host.fleet->Tick(now - host.clock_lag);
      host.due = now + host.fleet->Period();
    }
  }

  void Pass(absl::Duration span) {
    for (const absl::Time end = now + span; now < end;) Step();
  }

  std::vector<Host*> Up() {
    std::vector<Host*> up;
    for (auto& [name, host] : hosts) {
      if (host.up && !host.frozen) up.push_back(&host);
    }
    return up;
  }

  // Returns the number of running hosts without a recent and complete update
  // that covers exactly `count` peers.
  int CountUninformed(int count) {
    int uninformed = 0;
    for (const Host* host : Up()) {
      const bool fresh = now - host->peers_at <= absl::Seconds(1);
      const bool all = host->peers.hosts == count && host->peers.complete;
      if (!fresh || !all) ++uninformed;
    }
    return uninformed;
  }

  std::map<std::string, int> AggregatorsByZone() {
    std::map<std::string, int> aggregators;
    for (const Host* host : Up()) {
      aggregators[host->entry.zone] += host->fleet->is_aggregator() ? 1 : 0;
    }
    return aggregators;
  }

  absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  std::mt19937_64 random;
  unsigned lost_per_thousand = 0;
  unsigned duplicated_percent = 0;
  int max_delay_ms = 5;
  bool reads_table = true;
  // Until a started host has read the table, or gives that up.
  absl::Duration max_election_delay;
  bool counts_bytes = false;
  std::map<std::string, Host> hosts;

 private:
  struct Datagram {
    absl::Time due;
    std::string to;
    int side;
    FleetUpdate update;
  };

  void Send(Host* from, const std::string& to, const FleetUpdate& update) {
    const auto found = hosts.find(to);
    if (found == hosts.end() || from->frozen) return;
    ++from->sent;
    if (counts_bytes) {
      const std::size_t bytes = Encode(update).size();
      from->sent_bytes += bytes;
      const bool far = found->second.entry.zone != from->entry.zone;
      if (far) from->sent_bytes_to_zones += bytes;
    }
    if (random() % 1000 < lost_per_thousand) return;
    const absl::Duration delay = absl::Milliseconds(
        1 + static_cast<int>(random() % static_cast<unsigned>(max_delay_ms)));
    queue_.push_back({now + delay, to, from->side, update});
    if (random() % 100 < duplicated_percent) queue_.push_back(queue_.back());
  }

  void Deliver() {
    std::vector<Datagram> queued;
    queued.swap(queue_);
    for (Datagram& datagram : queued) {
      Host& host = hosts.at(datagram.to);
      if (datagram.due > now) {
        queue_.push_back(std::move(datagram));
      } else if (host.up && !host.frozen && host.side == datagram.side) {
        host.fleet->OnUpdate(datagram.update, now - host.clock_lag);
      }
    }
  }

  void StartElectionIfDue(Host* host) const {
    if (now < host->elects_at) return;
    host->fleet->StartElection(now - host->clock_lag);
  }

  double FractionBelowOne() {
    return std::uniform_real_distribution<>(0, 1)(random);
  }

  std::vector<Datagram> queue_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_FLEET_SITE_TEST_H_
