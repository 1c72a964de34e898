// Entry hosts that dispatch for each other, with a network that delays and
// loses their datagrams, in virtual time, for the tests of groups.

#ifndef GENTIANLB_GATEWAY_GROUP_SITE_TEST_H_
#define GENTIANLB_GATEWAY_GROUP_SITE_TEST_H_

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

  // `count` hosts and `servers` servers of `streams` each.
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
    TellNews();
  }

  struct Host {
    EntryHostId id;
    std::unique_ptr<GroupLink> link;
    // Decided here, and what became of it: a server's id, or "refused".
    std::map<RequestId, std::string> decided;
    std::set<RequestId> alone;  // Taken back, to be decided here.
    std::map<RequestId, int> decisions;
    std::vector<std::function<void()>> deferred;
    // Whether a dispatcher has granted it a server; a refusal is none.
    bool Got(const RequestId& request) const {
      const auto found = decided.find(request);
      return found != decided.end() && found->second != "refused";
    }
    bool frozen = false;  // Takes in nothing, and sends nothing.
    // By each other host, when it heard of this one last.
    std::map<std::string, absl::Time> heard_by;
  };

  Host& Start(const std::string& name) {
    Host& host = hosts[name];
    host = Host{};
    host.id = EntryHostId(name);
    Host* self = &host;
    GroupLinkHooks hooks;
    hooks.tell_own = [self](const ServiceId&, const schedule::Event& event) {
      const auto* arrived = std::get_if<schedule::RequestArrived>(&event);
      if (arrived != nullptr) self->alone.insert(arrived->request.id);
    };
    hooks.decide = [self](const schedule::Decision& decision) {
      if (const auto* grant = std::get_if<schedule::Grant>(&decision)) {
        self->decided[grant->id] = grant->server.str();
        ++self->decisions[grant->id];
      } else if (const auto* no = std::get_if<schedule::Refuse>(&decision)) {
        self->decided[no->id] = "refused";
        ++self->decisions[no->id];
      }
    };
    hooks.send = [this, name](const EntryHostId& to, std::string_view bytes) {
      ++sent;
      if (hosts.at(name).frozen || Loses(name, to.str())) return;
      flying_.push_back({now + absl::Milliseconds(1 + random() % slowest_ms),
                         to.str(), std::string(bytes)});
      if (random() % 100 < doubled_percent) flying_.push_back(flying_.back());
    };
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

  bool Loses(const std::string& from, const std::string& to) {
    if (broken.contains({from, to})) return true;
    if (cut.contains(from) != cut.contains(to)) return true;
    return random() % 100 < lost_percent;
  }

  RequestId Ask(const std::string& host, int rank = 0,
                absl::Duration deadline = absl::Seconds(5)) {
    schedule::Request request;
    request.id = RequestId(std::to_string(++asked));
    request.host = EntryHostId(host);
    request.workspace = WorkspaceId("w");
    request.model = ModelId("m");
    request.tier = Tier{rank};
    request.arrival = now;
    request.deadline = now + deadline;
    request.first_token_due = now + kObjective;
    request.prompt_tokens = 100;
    request.max_output_tokens = 50;
    Host& at = hosts.at(host);
    const bool taken =
        at.link->Tell(service.id, schedule::RequestArrived{request});
    if (!taken) at.alone.insert(request.id);
    return request.id;
  }

  void End(
      const std::string& host, const RequestId& id,
      schedule::RequestOutcome kind = schedule::RequestOutcome::kComplete) {
    hosts.at(host).link->Tell(service.id,
                              schedule::RequestFinished{id, kind, 50, 0});
  }

  void Pass(absl::Duration span) {
    for (const absl::Time end = now + span; now < end;) {
      now += kStep;
      timers.Advance(now);
      Deliver();
      for (auto& [name, host] : hosts) RunDeferred(&host);
      if ((now - start) % kNewsPeriod == absl::ZeroDuration()) TellNews();
    }
  }

  // The host that all others take for the dispatcher.
  std::string Dispatcher() {
    GroupHosts view(EntryHostId("h0"));
    std::vector<HostEntry> all;
    for (const auto& [name, host] : hosts) all.push_back({name, "", "z", 1});
    view.Set(all);
    return view.DispatcherOf({HashName(service.id.str()), 0}, now).str();
  }

  int Granted(const std::string& server) const {
    int granted = 0;
    for (const auto& [name, host] : hosts) {
      granted += host.link->GrantedOn(ServerId(server));
    }
    return granted;
  }

  static constexpr absl::Duration kNewsPeriod = absl::Milliseconds(100);
  // A host that is silent is told of as a dispatcher for so long.
  static constexpr absl::Duration kListed = absl::Seconds(1);
  const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
  absl::Time now = start;
  TimerService timers;
  std::mt19937 random{1};
  unsigned slowest_ms = 1;
  unsigned lost_percent = 0;
  unsigned doubled_percent = 0;
  std::set<std::string> cut;  // These hear each other, and no other.
  // Datagrams from one host to another are lost on the way.
  std::set<std::pair<std::string, std::string>> broken;
  Service service;
  std::vector<ServerEntry> entries;
  std::map<std::string, Host> hosts;
  int asked = 0;
  int sent = 0;  // Datagrams.

 private:
  struct Datagram {
    absl::Time due;
    std::string to;
    std::string bytes;
  };

  void Deliver() {
    std::vector<Datagram> waiting;
    waiting.swap(flying_);
    for (Datagram& datagram : waiting) {
      Host& host = hosts.at(datagram.to);
      if (datagram.due > now || host.frozen) {
        flying_.push_back(std::move(datagram));
      } else {
        host.link->Take(datagram.bytes);
      }
    }
  }

  static void RunDeferred(Host* host) {
    std::vector<std::function<void()>> deferred;
    deferred.swap(host->deferred);
    for (const auto& closure : deferred) closure();
  }

  void TellNews() {
    for (auto& [from, host] : hosts) {
      if (host.frozen) continue;
      for (auto& [to, other] : hosts) {
        const bool reaches = cut.contains(from) == cut.contains(to);
        if (reaches && !other.frozen) host.heard_by[to] = now;
      }
    }
    for (auto& [to, other] : hosts) {
      std::vector<HostEntry> live;
      for (auto& [from, host] : hosts) {
        const auto heard = host.heard_by.find(to);
        const bool lately =
            heard != host.heard_by.end() && now - heard->second <= kListed;
        if (lately) live.push_back({from, "", "z", 1});
      }
      if (!other.frozen) other.link->SetDispatchers(live);
      other.link->UsedElsewhere({});
    }
  }

  std::vector<Datagram> flying_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_SITE_TEST_H_
