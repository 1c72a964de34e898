// Test harness: entry hosts that dispatch for each other in virtual time, over
// a simulated network that delays and loses datagrams.

#ifndef GENTIANLB_GATEWAY_GROUP_SITE_TEST_H_
#define GENTIANLB_GATEWAY_GROUP_SITE_TEST_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/group_link.h"

namespace gentianlb::gateway {

class GroupSite {
 public:
  static constexpr absl::Duration kStep = absl::Milliseconds(1);
  static constexpr absl::Duration kObjective = absl::Milliseconds(360);

  // Creates `count` hosts and `servers` servers with `streams` streams each.
  GroupSite(int count, int servers, int streams) {
    service.id = ServiceId("llm");
    service.engine = EngineSpec{};
    service.engine->models = {ModelId("m")};
    service.engine->kv_tokens = 1000000;
    for (int i = 0; i < servers; ++i) {
      ServerEntry entry;
      entry.id = ServerId("s" + std::to_string(i));
      entry.service = service.id;
      entry.streams = streams;
      entries.push_back(entry);
    }
    for (int i = 0; i < count; ++i) Start("h" + std::to_string(i));
    SendUpdates();
  }

  struct Host {
    EntryHostId id;
    std::unique_ptr<GroupLink> link;
    // The decision on each request: the id of the granted server, or "refused".
    std::map<RequestId, std::string> outcomes;
    std::map<RequestId, Code> refusals;
    std::set<RequestId> local;  // Reclaimed or never submitted.
    std::map<RequestId, int> decisions;
    std::vector<LeavingServer> leaving;        // That it knows of.
    std::vector<TunnelledCooldown> cooldowns;  // That peers have reported.
    std::vector<std::function<void()>> deferred;
    // Returns whether a dispatcher has granted the request a server.
    bool IsGranted(const RequestId& request) const {
      const auto found = outcomes.find(request);
      return found != outcomes.end() && found->second != "refused";
    }
    bool frozen = false;  // Receives and sends nothing.
    // When each other host last received an update of this host.
    std::map<std::string, absl::Time> last_update_at;
  };

  Host& Start(const std::string& name) {
    Host& host = hosts[name];
    host = Host{};
    host.id = EntryHostId(name);
    Host* self = &host;
    GroupLinkHooks hooks;
    hooks.notify_local_dispatcher = [self](const ServiceId&,
                                           const schedule::Event& event) {
      const auto* arrived = std::get_if<schedule::RequestArrived>(&event);
      if (arrived != nullptr) self->local.insert(arrived->request.id);
    };
    hooks.decide = [self](const schedule::Decision& decision) {
      if (const auto* grant = std::get_if<schedule::Grant>(&decision)) {
        self->outcomes[grant->id] = grant->server.str();
        ++self->decisions[grant->id];
      } else if (const auto* refusal =
                     std::get_if<schedule::Refuse>(&decision)) {
        self->outcomes[refusal->id] = "refused";
        self->refusals[refusal->id] = refusal->code;
        ++self->decisions[refusal->id];
      }
    };
    hooks.send = [this, name](const EntryHostId& to, std::string_view bytes) {
      ++sent;
      largest_datagram = std::max(largest_datagram, bytes.size());
      if (hosts.at(name).frozen || IsLost(name, to.str())) return;
      wire_.push_back({now + absl::Milliseconds(1 + random() % max_delay_ms),
                       to.str(), std::string(bytes)});
      if (random() % 100 < duplicated_percent) wire_.push_back(wire_.back());
    };
    hooks.on_leaving = [self](const LeavingServer& server) {
      self->leaving.push_back(server);
    };
    hooks.on_cooldown = [self](const TunnelledCooldown& cooldown) {
      self->cooldowns.push_back(cooldown);
    };
    hooks.leaving_servers = [self] { return self->leaving; };
    hooks.defer = [self](std::function<void()> closure) {
      self->deferred.push_back(std::move(closure));
    };
    ServiceQueueOptions options;
    options.dispatcher.allow_preemption = false;
    options.host = host.id;
    host.link = std::make_unique<GroupLink>(
        host.id, options, &timers, [this] { return now; }, std::move(hooks));
    host.link->SetServers(service, entries);
    return host;
  }

  bool IsLost(const std::string& from, const std::string& to) {
    if (broken_links.contains({from, to})) return true;
    if (partition.contains(from) != partition.contains(to)) return true;
    return random() % 100 < lost_percent;
  }

  RequestId Submit(const std::string& host, int rank = 0,
                   absl::Duration deadline = absl::Seconds(5),
                   schedule::ContentHash content = schedule::kNoContent,
                   const ServerId& avoid = ServerId(),
                   const std::vector<schedule::PromptPart>& prompt = {}) {
    schedule::Request request;
    request.id = RequestId(std::to_string(++submitted));
    request.host = EntryHostId(host);
    request.workspace = WorkspaceId(workspace);
    request.model = ModelId("m");
    request.tier = Tier{rank};
    request.arrival = now;
    request.deadline = now + deadline;
    request.first_token_due = now + kObjective;
    request.prompt_tokens = 100;
    request.max_output_tokens = 50;
    request.content = content;
    request.avoid = avoid;
    request.parts = prompt;
    Host& origin = hosts.at(host);
    const bool handled =
        origin.link->OnEvent(service.id, schedule::RequestArrived{request});
    if (!handled) origin.local.insert(request.id);
    return request.id;
  }

  void FinishRequest(
      const std::string& host, const RequestId& id,
      schedule::RequestOutcome kind = schedule::RequestOutcome::kComplete,
      std::optional<double> request_limit = std::nullopt,
      schedule::ResponseProgress progress = schedule::ResponseProgress::kNone) {
    hosts.at(host).link->OnEvent(
        service.id,
        schedule::RequestFinished{id, kind, 50, 0, request_limit, progress});
  }

  void Advance(absl::Duration span) {
    for (const absl::Time end = now + span; now < end;) {
      now += kStep;
      timers.Advance(now);
      Deliver();
      for (auto& [name, host] : hosts) RunDeferred(&host);
      if ((now - start) % kUpdatePeriod == absl::ZeroDuration()) SendUpdates();
    }
  }

  // Returns the host that all hosts select as the dispatcher.
  std::string Dispatcher() {
    DispatcherSelector selector(EntryHostId("h0"));
    std::vector<HostEntry> all;
    for (const auto& [name, host] : hosts) all.push_back({name, "", "z", 1});
    selector.SetHosts(all);
    return selector.DispatcherOf({HashName(service.id.str()), 0}, now).str();
  }

  int Granted(const std::string& server) const {
    int granted = 0;
    for (const auto& [name, host] : hosts) {
      granted += host.link->GrantedOn(ServerId(server));
    }
    return granted;
  }

  static constexpr absl::Duration kUpdatePeriod = absl::Milliseconds(100);
  // An unresponsive host stays listed as a dispatcher for this long.
  static constexpr absl::Duration kMemberTimeout = absl::Seconds(1);
  const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
  absl::Time now = start;
  TimerService timers;
  std::mt19937 random{1};
  unsigned max_delay_ms = 1;
  unsigned lost_percent = 0;
  unsigned duplicated_percent = 0;
  std::set<std::string> partition;  // These reach only each other.
  // Links from one host to another that lose all datagrams.
  std::set<std::pair<std::string, std::string>> broken_links;
  Service service;
  std::vector<ServerEntry> entries;
  std::map<std::string, Host> hosts;
  // What all hosts have published of servers.
  std::function<absl::flat_hash_map<NameHash, ServerUse>()> peer_uses = [] {
    return absl::flat_hash_map<NameHash, ServerUse>();
  };
  std::string workspace = "w";  // Of the requests that follow.
  int submitted = 0;
  int sent = 0;                      // Number of datagrams.
  std::size_t largest_datagram = 0;  // Bytes.

 private:
  struct Datagram {
    absl::Time due;
    std::string to;
    std::string bytes;
  };

  void Deliver() {
    std::vector<Datagram> waiting;
    waiting.swap(wire_);
    for (Datagram& datagram : waiting) {
      Host& host = hosts.at(datagram.to);
      if (datagram.due > now || host.frozen) {
        wire_.push_back(std::move(datagram));
      } else {
        host.link->HandleDatagram(datagram.bytes);
      }
    }
  }

  static void RunDeferred(Host* host) {
    std::vector<std::function<void()>> deferred;
    deferred.swap(host->deferred);
    for (const auto& closure : deferred) closure();
  }

  void SendUpdates() {
    for (auto& [from, host] : hosts) {
      if (host.frozen) continue;
      for (auto& [to, other] : hosts) {
        const bool reaches = partition.contains(from) == partition.contains(to);
        if (reaches && !other.frozen) host.last_update_at[to] = now;
      }
    }
    for (auto& [to, other] : hosts) {
      std::vector<HostEntry> live;
      for (auto& [from, host] : hosts) {
        const auto last_update = host.last_update_at.find(to);
        const bool is_recent = last_update != host.last_update_at.end() &&
                               now - last_update->second <= kMemberTimeout;
        if (is_recent) live.push_back({from, "", "z", 1});
      }
      if (!other.frozen) other.link->SetDispatchers(live);
      other.link->SetPeerUses(peer_uses());
    }
  }

  std::vector<Datagram> wire_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_SITE_TEST_H_
