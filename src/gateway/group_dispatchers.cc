#include "gateway/group_dispatchers.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

namespace gentianlb::gateway {
namespace {

// A quarter of the silence after which hosts take back what waits here.
constexpr absl::Duration kAlivePeriod = absl::Milliseconds(25);

// A group that nobody asked for is another host's by now.
constexpr absl::Duration kUnused = absl::Seconds(20);

// After such a pause of this process all that it knows is old: hosts have taken
// their requests back and asked another. What they sent meanwhile would be
// granted twice.
constexpr absl::Duration kPaused = absl::Milliseconds(500);

// A grant, the request's end and the list of open requests overtake each other
// on the way by some milliseconds; what is older than this and not in the list
// has ended, and the message that told so was lost.
constexpr absl::Duration kSurelyHeard = absl::Milliseconds(300);

// A host that has requests here and says nothing for so long was killed, froze
// or is cut off: several lists of open requests are missing. What it had
// running would otherwise keep streams of servers taken until its deadline.
constexpr absl::Duration kHostSilent = absl::Seconds(2);

// The name of a host's request here: hosts count theirs by themselves.
RequestId NameHere(const EntryHostId& host, const RequestId& id) {
  return RequestId(absl::StrCat(host.str(), "/", id.str()));
}

RequestId NameThere(const EntryHostId& host, const RequestId& id) {
  return RequestId(id.str().substr(host.str().size() + 1));
}

// The event with the names that its request has here.
struct Renamed {
  const EntryHostId& host;

  schedule::Request Own(schedule::Request request) const {
    request.id = NameHere(host, request.id);
    request.host = host;
    return request;
  }
  schedule::Event operator()(const OpenRequests& /*open*/) const {
    return schedule::TimePassed{};
  }
  schedule::Event operator()(const schedule::RequestArrived& event) const {
    return schedule::RequestArrived{Own(event.request)};
  }
  schedule::Event operator()(const schedule::RequestRunning& event) const {
    return schedule::RequestRunning{Own(event.request), event.server,
                                    event.output_tokens};
  }
  template <typename OfRequest>
  schedule::Event operator()(OfRequest event) const {
    event.id = NameHere(host, event.id);
    return event;
  }
};

}  // namespace

void GroupDispatchers::SetServers(const Service& service,
                                  const std::vector<ServerEntry>& servers,
                                  absl::Time now) {
  const NameHash name = HashName(service.id.str());
  Known& known = services_[name];
  known.service = service;
  known.servers = servers;
  known.groups = GroupsFor(servers);
  for (auto& [group, kept] : kept_) {
    if (group.service == name) Configure(group, &kept, now);
  }
}

void GroupDispatchers::Configure(const GroupKey& group, Kept* kept,
                                 absl::Time now) {
  const Known& known = services_.at(group.service);
  std::vector<ServerEntry> servers;
  for (const ServerEntry& server : known.servers) {
    if (GroupOf(server.id, known.groups) == group.group) {
      servers.push_back(server);
    }
  }
  std::vector<schedule::Decision> decisions;
  kept->queue.SetServers(known.service, servers, /*hosts=*/1, now, &decisions);
  Answer(group, kept, decisions, now);
}

GroupDispatchers::Kept* GroupDispatchers::FindOrBegin(const GroupKey& group,
                                                      absl::Time now) {
  if (!services_.contains(group.service)) return nullptr;
  const auto [found, is_new] = kept_.try_emplace(group, options_);
  found->second.used = now;
  if (is_new) {
    LOG(INFO) << "event=group-taken service="
              << services_.at(group.service).service.id
              << " group=" << group.group;
    Configure(group, &found->second, now);
  }
  return &found->second;
}

void GroupDispatchers::Take(const EntryHostId& from, const ToGroup& item,
                            absl::Time now) {
  Kept* kept = FindOrBegin(item.group, now);
  if (kept == nullptr) return;
  kept->heard[from] = now;
  if (const auto* open = std::get_if<OpenRequests>(&item.event)) {
    return Reconcile(item.group, kept, from, *open, now);
  }
  const schedule::Event event = std::visit(Renamed{from}, item.event);
  if (const auto* arrived = std::get_if<schedule::RequestArrived>(&event)) {
    // A datagram may come twice.
    if (kept->of_hosts[from].contains(arrived->request.id)) return;
    return Ask(item.group, kept, arrived->request.id, from, event, now);
  }
  if (const auto* running = std::get_if<schedule::RequestRunning>(&event)) {
    kept->of_hosts[from][running->request.id] = now;
  }
  if (const auto* gone = std::get_if<schedule::CallerDisconnected>(&event)) {
    return End(item.group, kept, gone->id, now);
  }
  if (const auto* ended = std::get_if<schedule::RequestFinished>(&event)) {
    if (ended->kind == schedule::RequestOutcome::kNotSent) {
      return Ask(item.group, kept, ended->id, from, event, now);
    }
    if (kept->waiting.contains(ended->id)) {
      return End(item.group, kept, ended->id, now);
    }
    kept->of_hosts[from].erase(ended->id);
  }
  Handle(item.group, kept, event, now);
}

void GroupDispatchers::Ask(const GroupKey& group, Kept* kept,
                           const RequestId& id, const EntryHostId& from,
                           const schedule::Event& event, absl::Time now) {
  kept->waiting[id] = from;
  kept->of_hosts[from][id] = now;
  Handle(group, kept, event, now);
  if (kept->waiting.contains(id)) {
    hooks_.answer(from, RequestWaits{NameThere(from, id)});
  }
}

void GroupDispatchers::End(const GroupKey& group, Kept* kept,
                           const RequestId& id, absl::Time now) {
  for (auto& [host, requests] : kept->of_hosts) requests.erase(id);
  if (kept->waiting.erase(id) > 0) {
    Handle(group, kept, schedule::CallerDisconnected{id}, now);
  }
  Handle(
      group, kept,
      schedule::RequestFinished{id, schedule::RequestOutcome::kCancelled, 0, 0},
      now);
}

void GroupDispatchers::Reconcile(const GroupKey& group, Kept* kept,
                                 const EntryHostId& host,
                                 const OpenRequests& open, absl::Time now) {
  absl::flat_hash_set<RequestId> named;
  for (const RequestId& id : open.ids) named.insert(NameHere(host, id));
  std::vector<RequestId> ended;
  for (const auto& [id, since] : kept->of_hosts[host]) {
    if (now - since > kSurelyHeard && !named.contains(id)) ended.push_back(id);
  }
  std::sort(ended.begin(), ended.end());
  for (const RequestId& id : ended) End(group, kept, id, now);
  if (!ended.empty()) {
    LOG(INFO) << "event=ended-unheard host=" << host
              << " requests=" << ended.size();
  }
}

void GroupDispatchers::DropSilentHosts(const GroupKey& group, Kept* kept,
                                       absl::Time now) {
  std::vector<EntryHostId> silent;
  for (const auto& [host, heard] : kept->heard) {
    if (now - heard > kHostSilent) silent.push_back(host);
  }
  std::sort(silent.begin(), silent.end());
  for (const EntryHostId& host : silent) {
    Reconcile(group, kept, host, OpenRequests{}, now);
    kept->heard.erase(host);
    kept->of_hosts.erase(host);
  }
}

void GroupDispatchers::Handle(const GroupKey& group, Kept* kept,
                              const schedule::Event& event, absl::Time now) {
  std::vector<schedule::Decision> decisions;
  kept->queue.Handle(event, now, &decisions);
  Answer(group, kept, decisions, now);
}

void GroupDispatchers::Answer(const GroupKey& group, Kept* kept,
                              const std::vector<schedule::Decision>& decisions,
                              absl::Time now) {
  for (const schedule::Decision& decision : decisions) {
    if (const auto* grant = std::get_if<schedule::Grant>(&decision)) {
      kept->waiting.erase(grant->id);
      kept->of_hosts[grant->host][grant->id] = now;
      hooks_.answer(grant->host,
                    schedule::Grant{NameThere(grant->host, grant->id),
                                    grant->host, grant->server});
      hooks_.tell_room(grant->host, {group, kept->queue.FreeCapacity()});
    } else if (const auto* refusal = std::get_if<schedule::Refuse>(&decision)) {
      // One whose caller left needs no answer.
      if (!kept->waiting.erase(refusal->id)) continue;
      kept->of_hosts[refusal->host].erase(refusal->id);
      schedule::Refuse answer = *refusal;
      answer.id = NameThere(refusal->host, refusal->id);
      hooks_.answer(refusal->host, std::move(answer));
      hooks_.tell_room(refusal->host, {group, kept->queue.FreeCapacity()});
    }
    // A host ends what has passed its deadline by itself.
  }
}

void GroupDispatchers::UsedAlone(
    const absl::flat_hash_map<NameHash, ServerUse>& uses, absl::Time now) {
  for (auto& [group, kept] : kept_) {
    const Known& known = services_.at(group.service);
    for (const ServerEntry& server : known.servers) {
      if (kept.queue.FindServer(server.id) == nullptr) continue;
      const auto found = uses.find(HashName(server.id.str()));
      const int alone = found == uses.end() ? 0 : found->second.ungranted;
      int& told = kept.alone[server.id];
      if (told == alone) continue;
      told = alone;
      Handle(group, &kept, schedule::PeerLoadReported{server.id, alone}, now);
    }
  }
}

void GroupDispatchers::TellAlive(absl::Time now) {
  told_alive_ = now;
  std::set<EntryHostId> hosts;
  for (const auto& [group, kept] : kept_) {
    for (const auto& [id, host] : kept.waiting) hosts.insert(host);
  }
  for (const EntryHostId& host : hosts) hooks_.tell_alive(host);
}

void GroupDispatchers::Tick(absl::Time now) {
  const bool paused =
      ticked_ != absl::InfinitePast() && now - ticked_ > kPaused;
  ticked_ = now;
  if (paused && !kept_.empty()) {
    LOG(WARNING) << "event=groups-dropped cause=\"this process stood still\"";
    kept_.clear();
    return;
  }
  if (now - told_alive_ >= kAlivePeriod) TellAlive(now);
  for (auto& [group, kept] : kept_) {
    DropSilentHosts(group, &kept, now);
    if (kept.queue.dispatcher().NextWakeup() <= now) {
      Handle(group, &kept, schedule::TimePassed{}, now);
    }
  }
  std::erase_if(kept_, [now](const auto& item) {
    const Kept& kept = item.second;
    return now - kept.used > kUnused && kept.waiting.empty();
  });
}

absl::Time GroupDispatchers::NextWakeup() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [group, kept] : kept_) {
    next = std::min(next, kept.queue.dispatcher().NextWakeup());
    if (!kept.waiting.empty()) {
      next = std::min(next, told_alive_ + kAlivePeriod);
    }
  }
  return next;
}

}  // namespace gentianlb::gateway
