// Simulates, in virtual time, entry hosts that dispatch for each other before
// servers which run requests, refuse them, can't be reached and break off, and
// records each send, run and answer. Datagrams are lost, doubled and late;
// hosts freeze, are killed and stopped; servers drain, restart and ask for
// cooldowns.

#ifndef GENTIANLB_GATEWAY_SENDS_SITE_TEST_H_
#define GENTIANLB_GATEWAY_SENDS_SITE_TEST_H_

#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/fake_site_test.h"
#include "gateway/forwarder.h"
#include "gateway/group_link.h"

namespace gentianlb::gateway {

// What became of one attempt of a caller.
struct SendsRecord {
  bool once = false;
  int sends = 0;
  int open = 0;  // Sends that have not ended.
  int runs = 0;
  int unknown_ends = 0;  // Sends that ended, and may have run.
  std::shared_ptr<FakeCaller> caller;
};

class SendsSite {
 public:
  static constexpr absl::Duration kStep = absl::Milliseconds(1);
  static constexpr absl::Duration kUpdatePeriod = absl::Milliseconds(100);
  static constexpr absl::Duration kMemberTimeout = absl::Seconds(1);
  static constexpr int kHosts = 8;
  static constexpr int kScarceServers = 6;
  static constexpr int kWideServers = 12;
  static constexpr int kStreamsOfWideServer = 130;  // Several groups.

  struct Options {
    unsigned lost_percent = 10;
    unsigned doubled_percent = 20;
    unsigned max_delay_ms = 80;
    double unreachable = 0.12;
    double refused = 0.15;
    double broken = 0.06;
  };

  SendsSite(unsigned seed, Options options) : random_(seed), options_(options) {
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
      if (Chance(kArrivals)) SendRequest(Pick(kHosts));
      if (disturbs && Chance(kDisturbances)) Disturb();
      if (Chance(kDisconnects)) DisconnectOne();
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

  // What broke the promise that a request runs at most once, a line each.
  std::vector<std::string> Faults() const {
    std::vector<std::string> faults = faults_;
    for (const auto& [id, record] : records_) {
      const int status = record.caller->status;
      const bool promised = status == 503 || status == 429;
      const std::string text =
          absl::StrCat(id, " status ", status, " sends ", record.sends,
                       " runs ", record.runs);
      if (record.once && record.runs > 1) faults.push_back("twice: " + text);
      if (record.once && promised && record.runs > 0) {
        faults.push_back("refused and run: " + text);
      }
    }
    return faults;
  }

  int served() const {
    return static_cast<int>(std::count_if(
        records_.begin(), records_.end(),
        [](const auto& item) { return item.second.caller->status == 200; }));
  }
  int requests() const { return requests_; }
  int sends() const { return sends_; }
  int kills() const { return kills_; }

 private:
  static constexpr double kArrivals = 0.6;  // Of a millisecond.
  static constexpr double kDisturbances = 0.012;
  static constexpr double kDisconnects = 0.02;

  struct Host {
    EntryHostId id;
    int incarnation = 0;
    bool up = false;
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
  // A request on its way to a server, or there.
  struct ServerCallState {
    int host = 0;
    int incarnation = 0;
    std::string request;
    ServerCall call;
    CallSink sink;
    absl::Time due;
    bool arrived = false;
    bool refused = false;
    bool ended = false;
  };

  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(random_);
  }
  bool Chance(double share) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < share;
  }
  absl::Duration Between(int from_ms, int to_ms) {
    return absl::Milliseconds(from_ms + Pick(to_ms - from_ms + 1));
  }

  void AddServer(const std::string& service, int number, int streams) {
    ServerEntry entry;
    entry.id = ServerId(absl::StrCat(service, "-", number));
    entry.service = ServiceId(service);
    entry.address = {"10.0.0.1", 1000 + static_cast<int>(servers_.size())};
    entry.streams = streams;
    entry.started = 1;
    servers_.push_back(entry);
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
    ++host.incarnation;
    host.up = true;
    host.draining = false;
    host.frozen_until = now_;
    host.timers = std::make_unique<TimerService>();
    host.directory = std::make_unique<Directory>(absl::Milliseconds(300));
    host.demand = std::make_unique<Demand>();
    host.metrics = std::make_unique<metrics::Metrics>();
    std::vector<std::pair<std::string, ServerEntry>> listed;
    for (const ServerEntry& server : servers_) {
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
        options, MakePort(number), host.timers.get(), [this] { return now_; },
        host.directory.get(), host.demand.get(), host.metrics.get());
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
    if (static_cast<unsigned>(Pick(100)) < options_.lost_percent) return;
    const bool doubled =
        static_cast<unsigned>(Pick(100)) < options_.doubled_percent;
    for (int i = 0; i < (doubled ? 2 : 1); ++i) {
      const int max_ms = static_cast<int>(options_.max_delay_ms);
      // Most are quick; the rest come out of order.
      const absl::Duration delay =
          Chance(0.6) ? absl::Milliseconds(1) : Between(1, max_ms);
      wire_.push_back({now_ + delay, target, std::string(bytes)});
    }
  }

  // --- Servers ---------------------------------------------------------------

  ServerPort MakePort(int number) {
    ServerPort port;
    port.send = [this, number](ServerCall call, CallSink sink) {
      const std::string id = call.request->id.str();
      SendsRecord& record = records_.at(id);
      if (record.open > 0) faults_.push_back("sent while open: " + id);
      if (record.once && record.unknown_ends > 0) {
        faults_.push_back("sent after an unknown end: " + id);
      }
      if (record.caller->status != 0) {
        faults_.push_back("sent after its answer: " + id);
      }
      ++record.sends;
      ++record.open;
      ++sends_;
      const http::TransferId transfer = next_transfer_++;
      ServerCallState state;
      state.host = number;
      state.incarnation = hosts_[static_cast<std::size_t>(number)].incarnation;
      state.request = id;
      state.call = std::move(call);
      state.sink = std::move(sink);
      state.due = now_ + Between(1, 30);
      calls_[transfer] = std::move(state);
      return transfer;
    };
    port.cancel = [this](http::TransferId id) {
      const auto found = calls_.find(id);
      if (found == calls_.end()) return;
      SendsRecord& record = records_.at(found->second.request);
      --record.open;
      if (found->second.arrived && !found->second.refused) {
        ++record.unknown_ends;
      }
      calls_.erase(found);
    };
    return port;
  }

  void StepCalls() {
    std::vector<http::TransferId> due;
    for (const auto& [id, call] : calls_) {
      if (call.due <= now_) due.push_back(id);
    }
    for (const http::TransferId id : due) {
      const auto found = calls_.find(id);
      if (found == calls_.end()) continue;
      Host& host = hosts_[static_cast<std::size_t>(found->second.host)];
      const bool lost =
          !host.up || host.incarnation != found->second.incarnation;
      if (lost) {
        calls_.erase(found);
      } else if (!found->second.arrived) {
        // The kernel makes a connection; the process sends only if it runs.
        if (IsRunning(host)) Arrive(id);
      } else if (IsRunning(host)) {
        FinishCall(id);
      }
    }
  }

  void EndCall(http::TransferId id, http::TransferEnd end) {
    const CallSink sink = calls_.at(id).sink;
    SendsRecord& record = records_.at(calls_.at(id).request);
    calls_.erase(id);
    --record.open;
    if (end == http::TransferEnd::kBroken) ++record.unknown_ends;
    sink.on_end(end, "simulated");
  }

  void Arrive(http::TransferId id) {
    ServerCallState& call = calls_.at(id);
    if (Chance(options_.unreachable)) {
      return EndCall(id, http::TransferEnd::kNotSent);
    }
    if (!call.call.may_send()) {
      return EndCall(id, http::TransferEnd::kWithdrawn);
    }
    call.arrived = true;
    call.refused = Chance(options_.refused);
    if (!call.refused) ++records_.at(call.request).runs;
    call.due = now_ + (call.refused ? Between(1, 10) : Between(2, 200));
  }

  void FinishCall(http::TransferId id) {
    const ServerCallState call = calls_.at(id);
    if (!call.refused && Chance(options_.broken)) {
      return EndCall(id, http::TransferEnd::kBroken);
    }
    call.sink.on_first_byte();
    ResponseHead head;
    head.status = call.refused ? 503 : 200;
    head.not_run = call.refused;
    head.signed_ = true;
    head.names_request = Chance(0.5);
    if (call.refused && Chance(0.2)) head.cooldown = Between(50, 500);
    head.leaving = Chance(0.01);
    call.sink.on_head(head);
    if (!calls_.contains(id)) return;
    call.sink.on_data("body");
    if (calls_.contains(id)) EndCall(id, http::TransferEnd::kComplete);
  }

  // --- Callers ---------------------------------------------------------------

  void SendRequest(int number) {
    Host& host = hosts_[static_cast<std::size_t>(number)];
    if (!IsRunning(host)) return;
    const bool once = Chance(0.7);
    CallerRequest request;
    request.id = RequestId(absl::StrCat("r", ++requests_));
    request.method = "POST";
    request.host = "one.example";
    request.target = absl::StrCat("/", once ? "pay" : "read", "-",
                                  Chance(0.5) ? "scarce" : "wide", "/1");
    request.path = request.target;
    request.time_left = Between(200, 3000);
    SendsRecord& record = records_[request.id.str()];
    record.once = once;
    record.caller = std::make_shared<FakeCaller>();
    const auto caller = record.caller;
    host.forwarder->Accept(std::move(request), caller);
  }

  void DisconnectOne() {
    if (requests_ == 0) return;
    const int back = std::min(requests_, 40);
    const auto found = records_.find(absl::StrCat("r", requests_ - Pick(back)));
    if (found == records_.end()) return;
    FakeCaller& caller = *found->second.caller;
    const auto leave = std::exchange(caller.on_disconnect, nullptr);
    if (leave && !caller.complete && !caller.aborted && HostsRun()) leave();
  }

  // --- Faults ----------------------------------------------------------------

  bool IsRunning(const Host& host) const {
    return host.up && host.frozen_until <= now_;
  }
  bool HostsRun() const {
    return std::all_of(hosts_.begin(), hosts_.end(),
                       [this](const Host& host) { return IsRunning(host); });
  }

  void Disturb() {
    const int number = Pick(kHosts);
    Host& host = hosts_[static_cast<std::size_t>(number)];
    switch (Pick(9)) {
      case 0:
      case 1:
      case 2:
        host.frozen_until = now_ + Between(30, 1500);
        return;
      case 3:
        Kill(number);
        return;
      case 4:
        if (IsRunning(host)) StopHost(host);
        return;
      case 5:
        cut_ = {number, Pick(kHosts)};
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
    for (auto& [id, record] : records_) record.caller->on_disconnect = nullptr;
    host.link.reset();
    host.forwarder.reset();
    std::erase_if(calls_, [&](const auto& item) {
      if (item.second.host != number) return false;
      --records_.at(item.second.request).open;
      return true;
    });
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
    ServerEntry& server = servers_[static_cast<std::size_t>(
        Pick(static_cast<int>(servers_.size())))];
    if (Chance(0.5)) {
      server.draining = !server.draining;
    } else {
      ++server.started;
    }
    for (Host& host : hosts_) {
      if (!IsRunning(host) || Chance(0.2)) continue;
      if (host.directory->Update(server.id.str(), server, now_)) {
        host.forwarder->OnServersChanged();
      }
    }
  }

  void Reconfigure() {
    ++version_;
    for (Host& host : hosts_) {
      if (!IsRunning(host) || Chance(0.2)) continue;
      host.forwarder->SetConfiguration(MakeConfiguration(version_));
    }
  }

  // --- Time ------------------------------------------------------------------

  void Advance() {
    StepCalls();
    for (int i = 0; i < kHosts; ++i) {
      Host& host = hosts_[static_cast<std::size_t>(i)];
      if (!IsRunning(host)) continue;
      const bool timers_first = Chance(0.5);
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
    std::shuffle(arrived.begin(), arrived.end(), random_);
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

  std::mt19937 random_;
  const Options options_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::int64_t version_ = 1;
  std::vector<ServerEntry> servers_;
  std::array<Host, kHosts> hosts_;
  std::vector<Datagram> wire_;
  std::set<int> cut_;  // Hosts that reach only each other.
  http::TransferId next_transfer_ = 1;
  std::map<http::TransferId, ServerCallState> calls_;
  std::map<std::string, SendsRecord> records_;
  std::vector<std::string> faults_;
  int requests_ = 0;
  int sends_ = 0;
  int kills_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_SENDS_SITE_TEST_H_
