// Simulates, in virtual time, entry hosts that dispatch for each other before
// faulty servers. Datagrams are lost, doubled and late; hosts freeze, are
// killed and stopped; servers drain, restart and ask for cooldowns.

#ifndef GENTIANLB_GATEWAY_SENDS_SITE_TEST_H_
#define GENTIANLB_GATEWAY_SENDS_SITE_TEST_H_

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/fake_site_test.h"
#include "gateway/forwarder.h"
#include "gateway/group_link.h"
#include "gateway/sends_servers_test.h"

namespace gentianlb::gateway {

class SendsSite {
 public:
  static constexpr absl::Duration kStep = absl::Milliseconds(1);
  static constexpr absl::Duration kUpdatePeriod = absl::Milliseconds(100);
  static constexpr absl::Duration kMemberTimeout = absl::Seconds(1);
  static constexpr int kHosts = 8;
  static constexpr int kScarceServers = 6;
  static constexpr int kWideServers = 12;
  static constexpr int kStreamsOfWideServer = 130;  // Several groups.

  explicit SendsSite(unsigned seed) : dice_(seed) {
    FLAGS_minloglevel = google::GLOG_FATAL;
    for (int i = 0; i < kScarceServers; ++i) AddServer("scarce", i, 2);
    for (int i = 0; i < kWideServers; ++i) {
      AddServer("wide", i, kStreamsOfWideServer);
    }
    for (int i = 0; i < kHosts; ++i) Start(i);
    SendUpdates();
  }

  // Lets time pass, with requests and, if `disturbs`, faults.
  void Run(absl::Duration span, bool disturbs) {
    const absl::Time end = now_ + span;
    while (now_ < end) {
      now_ += kStep;
      if (dice_.Chance(kArrivals)) SendRequest(dice_.Pick(kHosts));
      if (disturbs && dice_.Chance(kDisturbances)) Disturb();
      if (dice_.Chance(kDisconnects)) DisconnectOne();
      Advance();
    }
  }

  // Lets all requests end.
  void Drain() {
    for (Host& host : hosts_) host.frozen_until = now_;
    const absl::Time end = now_ + absl::Seconds(5);
    while (now_ < end) {
      now_ += kStep;
      Advance();
    }
  }

  int requests() const { return requests_; }
  const SendsServers& servers() const { return servers_; }
  int kills() const { return kills_; }

 private:
  static constexpr double kArrivals = 0.6;  // Of a millisecond.
  static constexpr double kDisturbances = 0.012;
  static constexpr double kDisconnects = 0.02;

  // Shares of datagrams.
  static constexpr double kLost = 0.1;
  static constexpr double kDoubled = 0.2;
  static constexpr double kLate = 0.4;
  static constexpr int kMaxDelayMs = 80;  // Of those that come late.

  struct Host {
    EntryHostId id;
    bool draining = false;
    absl::Time frozen_until;
    std::unique_ptr<TimerService> timers;
    std::unique_ptr<Directory> directory;
    std::unique_ptr<Demand> demand;
    std::unique_ptr<metrics::Metrics> metrics;
    std::unique_ptr<Forwarder> forwarder;
    std::unique_ptr<GroupLink> link;
    std::vector<std::function<void()>> deferred;
    std::vector<LeavingServer> leaving;
    std::map<int, absl::Time> last_update_from;
  };
  struct Datagram {
    absl::Time due;
    int to = 0;
    std::string bytes;
  };
  void AddServer(const std::string& service, int number, int streams) {
    ServerEntry entry;
    entry.id = ServerId(absl::StrCat(service, "-", number));
    entry.service = ServiceId(service);
    entry.address = {"10.0.0.1", 1000 + static_cast<int>(entries_.size())};
    entry.streams = streams;
    entry.started = 1;
    entries_.push_back(entry);
  }

  static Configuration MakeConfiguration(std::int64_t version) {
    Configuration configuration;
    configuration.version = version;
    for (const char* service : {"scarce", "wide"}) {
      configuration.services.push_back({ServiceId(service), 0, std::nullopt});
      for (const auto kind :
           {RouteKind::kNonIdempotent, RouteKind::kIdempotent}) {
        const bool once = kind == RouteKind::kNonIdempotent;
        Route route = FakeSite::MakeRoute(
            absl::StrCat("/", once ? "pay" : "read", "-", service, "/"), kind,
            service);
        route.timeout = absl::Milliseconds(version % 2 == 0 ? 700 : 2000);
        route.objective = absl::Milliseconds(300);
        route.needs_key = false;
        configuration.routes.push_back(std::move(route));
      }
    }
    return configuration;
  }

  void Start(int number) {
    Host& host = hosts_[static_cast<std::size_t>(number)];
    host.link.reset();
    host.forwarder.reset();
    host.deferred.clear();
    host.leaving.clear();
    host.last_update_from.clear();
    host.id = EntryHostId(absl::StrCat("h", number));
    host.draining = false;
    host.frozen_until = now_;
    host.timers = std::make_unique<TimerService>();
    host.directory = std::make_unique<Directory>(absl::Milliseconds(300));
    host.demand = std::make_unique<Demand>();
    host.metrics = std::make_unique<metrics::Metrics>();
    std::vector<std::pair<std::string, ServerEntry>> listed;
    for (const ServerEntry& server : entries_) {
      listed.emplace_back(server.id.str(), server);
    }
    host.directory->Replace(listed, now_);
    ForwarderOptions options;
    options.host = host.id;
    options.queue.host = host.id;
    options.queue.dispatcher.allow_preemption = false;
    options.queue.dispatcher.suspects = std::make_shared<schedule::Suspects>();
    options.queue.retries.retries_per_call = 0.5;
    options.retry_burst = 1000;
    host.forwarder = std::make_unique<Forwarder>(
        options, servers_.Port(number), host.timers.get(),
        [this] { return now_; }, host.directory.get(), host.demand.get(),
        host.metrics.get());
    host.link = std::make_unique<GroupLink>(
        host.id, options.queue, host.timers.get(), [this] { return now_; },
        MakeHooks(number));
    host.forwarder->SetGroupLink(host.link.get());
    host.forwarder->SetConfiguration(MakeConfiguration(version_));
  }

  GroupLinkHooks MakeHooks(int number) {
    Host* const host = &hosts_[static_cast<std::size_t>(number)];
    GroupLinkHooks hooks;
    hooks.notify_local_dispatcher = [host](const ServiceId& service,
                                           const schedule::Event& event) {
      host->forwarder->NotifyLocalDispatcher(service, event);
    };
    hooks.decide = [host](const schedule::Decision& decision) {
      host->forwarder->ApplyDecision(decision);
    };
    hooks.send = [this, number](const EntryHostId& to, std::string_view bytes) {
      SendDatagram(number, to.str(), bytes);
    };
    hooks.defer = [host](std::function<void()> closure) {
      host->deferred.push_back(std::move(closure));
    };
    hooks.on_leaving = [this, host](const LeavingServer& server) {
      if (host->directory->MarkLeaving(server, now_)) {
        host->forwarder->OnServersChanged();
      }
    };
    hooks.on_cooldown = [](const TunnelledCooldown&) {};
    hooks.leaving_servers = [this, host] {
      return host->directory->LeavingServers(now_);
    };
    return hooks;
  }

  void SendDatagram(int from, const std::string& to, std::string_view bytes) {
    const int target = std::stoi(to.substr(1));
    if (cut_.contains(from) != cut_.contains(target)) return;
    if (dice_.Chance(kLost)) return;
    const int copies = dice_.Chance(kDoubled) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      // Late ones come out of order.
      const absl::Duration delay = dice_.Chance(kLate)
                                       ? dice_.Between(1, kMaxDelayMs)
                                       : absl::Milliseconds(1);
      wire_.push_back({now_ + delay, target, std::string(bytes)});
    }
  }

  // --- Callers ---------------------------------------------------------------

  void SendRequest(int number) {
    Host& host = hosts_[static_cast<std::size_t>(number)];
    if (!IsRunning(host)) return;
    const bool once = dice_.Chance(0.7);
    CallerRequest request;
    request.id = RequestId(absl::StrCat("r", ++requests_));
    request.method = "POST";
    request.host = "one.example";
    request.target = absl::StrCat("/", once ? "pay" : "read", "-",
                                  dice_.Chance(0.5) ? "scarce" : "wide", "/1");
    request.path = request.target;
    request.time_left = dice_.Between(200, 3000);
    SendsRecord& record = servers_.records[request.id.str()];
    record.host = number;
    record.once = once;
    record.caller = std::make_shared<FakeCaller>();
    const auto caller = record.caller;
    host.forwarder->Accept(std::move(request), caller);
  }

  void DisconnectOne() {
    if (requests_ == 0) return;
    const int back = std::min(requests_, 40);
    const auto found =
        servers_.records.find(absl::StrCat("r", requests_ - dice_.Pick(back)));
    if (found == servers_.records.end()) return;
    FakeCaller& caller = *found->second.caller;
    const int host = found->second.host;
    if (caller.complete || caller.aborted) return;
    if (!IsRunning(hosts_[static_cast<std::size_t>(host)])) return;
    const auto leave = std::exchange(caller.on_disconnect, nullptr);
    if (leave) leave();
  }

  // --- Faults ----------------------------------------------------------------

  bool IsRunning(const Host& host) const { return host.frozen_until <= now_; }

  void Disturb() {
    const int number = dice_.Pick(kHosts);
    Host& host = hosts_[static_cast<std::size_t>(number)];
    switch (dice_.Pick(9)) {
      case 0:
      case 1:
      case 2:
        host.frozen_until = now_ + dice_.Between(30, 1500);
        return;
      case 3:
        Kill(number);
        return;
      case 4:
        if (IsRunning(host)) StopHost(host);
        return;
      case 5:
        cut_ = {number, dice_.Pick(kHosts)};
        return;
      case 6:
        cut_.clear();
        return;
      case 7:
        return ChangeServer();
      default:
        return Reconfigure();
    }
  }

  // The process is killed, with all its connections, and starts again at once.
  void Kill(int number) {
    ++kills_;
    Host& host = hosts_[static_cast<std::size_t>(number)];
    host.link.reset();
    host.forwarder.reset();
    servers_.DropHost(number);
    Start(number);
  }

  void StopHost(Host& host) {
    if (std::exchange(host.draining, true)) return;
    host.forwarder->Drain(PlanDrain(now_, absl::Seconds(1)));
    host.link->Drain();
    host.timers->At(now_ + absl::Milliseconds(400),
                    [&host](absl::Time) { host.forwarder->AnswerAll(); });
  }

  void ChangeServer() {
    ServerEntry& server = entries_[static_cast<std::size_t>(
        dice_.Pick(static_cast<int>(entries_.size())))];
    if (dice_.Chance(0.5)) {
      server.draining = !server.draining;
    } else {
      ++server.started;
    }
    for (Host& host : hosts_) {
      if (!IsRunning(host) || dice_.Chance(0.2)) continue;
      if (host.directory->Update(server.id.str(), server, now_)) {
        host.forwarder->OnServersChanged();
      }
    }
  }

  void Reconfigure() {
    ++version_;
    for (Host& host : hosts_) {
      if (!IsRunning(host) || dice_.Chance(0.2)) continue;
      host.forwarder->SetConfiguration(MakeConfiguration(version_));
    }
  }

  // --- Time ------------------------------------------------------------------

  void Advance() {
    servers_.Step();
    for (int i = 0; i < kHosts; ++i) {
      Host& host = hosts_[static_cast<std::size_t>(i)];
      if (!IsRunning(host)) continue;
      const bool timers_first = dice_.Chance(0.5);
      if (timers_first) host.timers->Advance(now_);
      Deliver(i);
      if (!timers_first) host.timers->Advance(now_);
      std::vector<std::function<void()>> deferred;
      deferred.swap(host.deferred);
      for (const auto& closure : deferred) closure();
    }
    const auto elapsed = now_ - absl::UnixEpoch();
    if (elapsed % kUpdatePeriod == absl::ZeroDuration()) SendUpdates();
  }

  void Deliver(int number) {
    Host& host = hosts_[static_cast<std::size_t>(number)];
    std::vector<std::string> arrived;
    std::erase_if(wire_, [&](const Datagram& datagram) {
      if (datagram.to != number || datagram.due > now_) return false;
      arrived.push_back(datagram.bytes);
      return true;
    });
    dice_.Shuffle(&arrived);
    for (const std::string& bytes : arrived) host.link->HandleDatagram(bytes);
  }

  void SendUpdates() {
    for (int to = 0; to < kHosts; ++to) {
      Host& host = hosts_[static_cast<std::size_t>(to)];
      if (!IsRunning(host)) continue;
      std::vector<HostEntry> live;
      for (int from = 0; from < kHosts; ++from) {
        const Host& other = hosts_[static_cast<std::size_t>(from)];
        const bool reaches = cut_.contains(from) == cut_.contains(to);
        if (reaches && IsRunning(other) && !other.draining) {
          host.last_update_from[from] = now_;
        }
        const auto last = host.last_update_from.find(from);
        const bool is_live = last != host.last_update_from.end() &&
                             now_ - last->second <= kMemberTimeout;
        if (is_live) live.push_back({other.id.str(), "", "z", 1});
      }
      host.link->SetDispatchers(live);
    }
  }

  Dice dice_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  SendsServers servers_{
      &dice_, &now_, [this](int host) {
        return IsRunning(hosts_[static_cast<std::size_t>(host)]);
      }};
  std::int64_t version_ = 1;
  std::vector<ServerEntry> entries_;
  std::array<Host, kHosts> hosts_;
  std::vector<Datagram> wire_;
  std::set<int> cut_;  // Hosts that reach only each other.
  int requests_ = 0;
  int kills_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SENDS_SITE_TEST_H_
