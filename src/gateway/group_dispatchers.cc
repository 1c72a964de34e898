#include "gateway/group_dispatchers.h"

#include <glog/logging.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace gentianlb::gateway {
namespace {

// A quarter of the time without a message after which hosts reclaim their
// queued requests.
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(25);

// A group without events for this long is now assigned to another host.
constexpr absl::Duration kIdleTimeout = absl::Seconds(20);

// If this process was paused for longer than this, its state is outdated: hosts
// have reclaimed their requests and submitted them to another dispatcher.
// Requests received during the pause would be granted twice.
constexpr absl::Duration kMaxPause = absl::Milliseconds(500);

// Grants, reports of finished requests and lists of open requests may overtake
// each other by some milliseconds. A request that was recorded earlier than
// this and is not in the list has finished, and its report was lost.
constexpr absl::Duration kMaxReorder = absl::Milliseconds(300);

// The dispatcher forgets reported streams of peers after 10 s. Those that run
// on are reported again well before.
constexpr absl::Duration kUngrantedReportInterval = absl::Seconds(3);

// A host that has requests here and sends nothing for this long was killed, is
// frozen or is partitioned: several lists of open requests are missing. Its
// running requests would otherwise occupy server streams until their deadlines.
constexpr absl::Duration kHostTimeout = absl::Seconds(2);

// Returns the request id qualified by its host, because each host numbers its
// requests independently.
RequestId QualifiedId(const EntryHostId& host, const RequestId& id) {
  return RequestId(absl::StrCat(host.str(), "/", id.str()));
}

// Returns the id that `host` uses for the request with qualified id `id`.
RequestId UnqualifiedId(const EntryHostId& host, const RequestId& id) {
  return RequestId(id.str().substr(host.str().size() + 1));
}

// Visitor that returns the event with qualified request ids.
struct EventQualifier {
  const EntryHostId& host;

  schedule::Request Qualify(schedule::Request request) const {
    request.id = QualifiedId(host, request.id);
    request.host = host;
    return request;
  }
  // Never called: HandleEvent() handles lists of open requests separately.
  schedule::Event operator()(const OpenRequests& /*open*/) const {
    return schedule::TimePassed{};
  }
  schedule::Event operator()(const schedule::RequestArrived& event) const {
    return schedule::RequestArrived{Qualify(event.request)};
  }
  schedule::Event operator()(const schedule::RequestRunning& event) const {
    return schedule::RequestRunning{Qualify(event.request), event.server,
                                    event.output_tokens};
  }
  template <typename RequestEvent>
  schedule::Event operator()(RequestEvent event) const {
    event.id = QualifiedId(host, event.id);
    return event;
  }
};

// Returns the inputs of the choice of a retry-after, in work per second and in
// work. All are of this moment but the rates, which are smoothed.
std::string ForecastInputs(const schedule::ReturnForecast& forecast) {
  return absl::StrFormat(
      " reserved=%d drain=%.0f backlog=%.0f arriving=%.0f usually=%.0f "
      "room=%.0f",
      forecast.reserved, forecast.drain_rate, forecast.backlog,
      forecast.present_rate, forecast.usual_rate, forecast.room);
}

// The host of the request can't log the inputs that decided this refusal.
void LogRefusal(const schedule::Dispatcher& dispatcher,
                const schedule::Refuse& refusal) {
  const auto servers = dispatcher.CountServers();
  const std::string forecast =
      refusal.forecast ? ForecastInputs(*refusal.forecast) : "";
  LOG(INFO) << "event=refusal-decided request=" << refusal.id
            << " code=" << static_cast<int>(refusal.code)
            << " servers=" << servers.usable << " open=" << servers.open
            << " limited=" << servers.limited << " slowed=" << servers.slowed
            << " free_streams=" << dispatcher.FreeStreams()
            << " waiting=" << dispatcher.waiting()
            << " lost_paths=" << dispatcher.counters().lost_paths
            << " retry_after_ms="
            << absl::ToInt64Milliseconds(refusal.retry_after) << forecast;
}

}  // namespace

void GroupDispatchers::SetServers(const Service& service,
                                  const std::vector<ServerEntry>& servers,
                                  absl::Time now) {
  const NameHash name = HashName(service.id.str());
  ServiceInfo& info = services_[name];
  info.service = service;
  info.servers = servers;
  info.groups = GroupCount(servers);
  for (auto& [group, state] : groups_) {
    if (group.service == name) Configure(group, &state, now);
  }
}

void GroupDispatchers::Configure(const GroupKey& group, GroupState* state,
                                 absl::Time now) {
  const ServiceInfo& info = services_.at(group.service);
  std::vector<ServerEntry> servers;
  for (const ServerEntry& server : info.servers) {
    if (GroupOf(server.id, info.groups) == group.group) {
      servers.push_back(server);
    }
  }
  std::vector<schedule::Decision> decisions;
  state->queue.SetServers(info.service, servers,
                          {.hosts = 1, .limit_share = LimitShareOf(group)}, now,
                          &decisions);
  SendDecisions(group, state, decisions, now);
  for (const ServerEntry& server : servers) {
    ReportPeerLimit(group, state, server.id, now);
  }
}

double GroupDispatchers::LimitShareOf(const GroupKey& group) const {
  return selector_->IsPrimary(group) ? 1
                                     : LimitShare(selector_->hosts().size());
}

void GroupDispatchers::OnHostsChanged(absl::Time now) {
  for (auto& [group, state] : groups_) Configure(group, &state, now);
}

void GroupDispatchers::ReportPeerLimit(const GroupKey& group, GroupState* state,
                                       const ServerId& server, absl::Time now) {
  const auto limit = peer_limits_.find(HashName(server.str()));
  if (limit == peer_limits_.end()) return;
  Handle(group, state, schedule::PeerLimitReported{server, limit->second}, now);
}

GroupDispatchers::GroupState* GroupDispatchers::FindOrCreate(
    const GroupKey& group, absl::Time now) {
  if (!services_.contains(group.service)) return nullptr;
  const auto [found, is_new] = groups_.try_emplace(group, options_);
  found->second.last_used = now;
  if (is_new) {
    LOG(INFO) << "event=group-taken service="
              << services_.at(group.service).service.id
              << " group=" << group.group;
    Configure(group, &found->second, now);
  }
  return &found->second;
}

void GroupDispatchers::HandleEvent(const EntryHostId& from,
                                   const AddressedEvent& item, absl::Time now) {
  GroupState* state = FindOrCreate(item.group, now);
  if (state == nullptr) return;
  state->last_contact[from] = now;
  if (const auto* open = std::get_if<OpenRequests>(&item.event)) {
    return Reconcile(item.group, state, from, *open, now);
  }
  const schedule::Event event = std::visit(EventQualifier{from}, item.event);
  if (const auto* arrived = std::get_if<schedule::RequestArrived>(&event)) {
    // The network may duplicate a datagram.
    if (state->requests_by_host[from].contains(arrived->request.id)) return;
    return Enqueue(item.group, state, arrived->request.id, from, event, now);
  }
  if (const auto* running = std::get_if<schedule::RequestRunning>(&event)) {
    state->requests_by_host[from][running->request.id] = now;
  }
  if (const auto* disconnected =
          std::get_if<schedule::CallerDisconnected>(&event)) {
    return FinishRequest(item.group, state, disconnected->id, now);
  }
  if (const auto* finished = std::get_if<schedule::RequestFinished>(&event)) {
    if (finished->kind == schedule::RequestOutcome::kNotSent ||
        finished->kind == schedule::RequestOutcome::kWithheld) {
      return Enqueue(item.group, state, finished->id, from, event, now);
    }
    if (state->waiting.contains(finished->id)) {
      return FinishRequest(item.group, state, finished->id, now);
    }
    state->requests_by_host[from].erase(finished->id);
  }
  Handle(item.group, state, event, now);
}

void GroupDispatchers::Enqueue(const GroupKey& group, GroupState* state,
                               const RequestId& id, const EntryHostId& from,
                               const schedule::Event& event, absl::Time now) {
  state->waiting[id] = from;
  state->requests_by_host[from][id] = now;
  Handle(group, state, event, now);
  if (state->waiting.contains(id)) {
    hooks_.answer(from, RequestQueued{UnqualifiedId(from, id)});
  }
}

void GroupDispatchers::FinishRequest(const GroupKey& group, GroupState* state,
                                     const RequestId& id, absl::Time now) {
  for (auto& [host, requests] : state->requests_by_host) requests.erase(id);
  if (state->waiting.erase(id) > 0) {
    Handle(group, state, schedule::CallerDisconnected{id}, now);
  }
  Handle(
      group, state,
      schedule::RequestFinished{id, schedule::RequestOutcome::kCancelled, 0, 0},
      now);
}

void GroupDispatchers::Reconcile(const GroupKey& group, GroupState* state,
                                 const EntryHostId& host,
                                 const OpenRequests& open, absl::Time now) {
  absl::flat_hash_set<RequestId> ids;
  for (const RequestId& id : open.ids) ids.insert(QualifiedId(host, id));
  std::vector<RequestId> finished;
  for (const auto& [id, since] : state->requests_by_host[host]) {
    if (now - since > kMaxReorder && !ids.contains(id)) finished.push_back(id);
  }
  std::sort(finished.begin(), finished.end());
  for (const RequestId& id : finished) FinishRequest(group, state, id, now);
  if (!finished.empty()) {
    LOG(INFO) << "event=ended-unheard host=" << host
              << " requests=" << finished.size();
  }
}

void GroupDispatchers::DropUnresponsiveHosts(const GroupKey& group,
                                             GroupState* state,
                                             absl::Time now) {
  std::vector<EntryHostId> unresponsive;
  for (const auto& [host, last_contact] : state->last_contact) {
    if (now - last_contact > kHostTimeout) unresponsive.push_back(host);
  }
  std::sort(unresponsive.begin(), unresponsive.end());
  for (const EntryHostId& host : unresponsive) {
    Reconcile(group, state, host, OpenRequests{}, now);
    state->last_contact.erase(host);
    state->requests_by_host.erase(host);
  }
}

GroupDispatchers::ReturnCounts GroupDispatchers::CountReturns() const {
  ReturnCounts counts;
  for (const auto& [group, state] : groups_) {
    const schedule::Counters& counters = state.queue.dispatcher().counters();
    counts.reserved += counters.returns_reserved;
    counts.kept += counters.returns_kept;
    counts.expired += counters.returns_expired;
  }
  return counts;
}

void GroupDispatchers::Handle(const GroupKey& group, GroupState* state,
                              const schedule::Event& event, absl::Time now) {
  std::vector<schedule::Decision> decisions;
  state->queue.Handle(event, now, &decisions);
  SendDecisions(group, state, decisions, now);
}

void GroupDispatchers::SendDecisions(
    const GroupKey& group, GroupState* state,
    const std::vector<schedule::Decision>& decisions, absl::Time now) {
  for (const schedule::Decision& decision : decisions) {
    if (const auto* grant = std::get_if<schedule::Grant>(&decision)) {
      state->waiting.erase(grant->id);
      LogPauses(*grant);
      state->requests_by_host[grant->host][grant->id] = now;
      hooks_.answer(grant->host,
                    schedule::Grant{UnqualifiedId(grant->host, grant->id),
                                    grant->host, grant->server});
      hooks_.send_capacity(grant->host, {group, state->queue.FreeCapacity()});
    } else if (const auto* refusal = std::get_if<schedule::Refuse>(&decision)) {
      // A request whose caller has disconnected needs no answer.
      if (!state->waiting.erase(refusal->id)) continue;
      state->requests_by_host[refusal->host].erase(refusal->id);
      LogRefusal(state->queue.dispatcher(), *refusal);
      schedule::Refuse answer = *refusal;
      answer.id = UnqualifiedId(refusal->host, refusal->id);
      hooks_.answer(refusal->host, std::move(answer));
      hooks_.send_capacity(refusal->host, {group, state->queue.FreeCapacity()});
    }
    // Other decisions need no message: hosts finish requests past their
    // deadline themselves.
  }
}

void GroupDispatchers::UpdatePeerUses(
    const absl::flat_hash_map<NameHash, ServerUse>& uses, absl::Time now) {
  peer_limits_.clear();
  for (const auto& [server, use] : uses) {
    if (use.request_limit > 0) peer_limits_[server] = use.request_limit;
  }
  for (auto& [group, state] : groups_) {
    const ServiceInfo& info = services_.at(group.service);
    for (const ServerEntry& server : info.servers) {
      if (state.queue.FindServer(server.id) == nullptr) continue;
      ReportPeerLimit(group, &state, server.id, now);
      const auto found = uses.find(HashName(server.id.str()));
      const int ungranted = found == uses.end() ? 0 : found->second.ungranted;
      UngrantedStreams& reported = state.ungranted[server.id];
      const bool is_recent = ungranted == 0 || now - reported.reported_at <
                                                   kUngrantedReportInterval;
      if (reported.count == ungranted && is_recent) continue;
      reported = {ungranted, now};
      Handle(group, &state, schedule::PeerLoadReported{server.id, ungranted},
             now);
    }
  }
}

void GroupDispatchers::SendHeartbeats(absl::Time now) {
  last_heartbeat_ = now;
  std::set<EntryHostId> hosts;
  for (const auto& [group, state] : groups_) {
    for (const auto& [id, host] : state.waiting) hosts.insert(host);
  }
  for (const EntryHostId& host : hosts) hooks_.send_heartbeat(host);
}

void GroupDispatchers::Tick(absl::Time now) {
  const bool paused =
      last_tick_ != absl::InfinitePast() && now - last_tick_ > kMaxPause;
  last_tick_ = now;
  if (paused && !groups_.empty()) {
    LOG(WARNING) << "event=groups-dropped cause=\"this process was paused\"";
    groups_.clear();
    return;
  }
  if (now - last_heartbeat_ >= kHeartbeatInterval) SendHeartbeats(now);
  for (auto& [group, state] : groups_) {
    DropUnresponsiveHosts(group, &state, now);
    if (state.queue.dispatcher().NextWakeup() <= now) {
      Handle(group, &state, schedule::TimePassed{}, now);
    }
  }
  std::erase_if(groups_, [now](const auto& item) {
    const GroupState& state = item.second;
    return now - state.last_used > kIdleTimeout && state.waiting.empty();
  });
}

absl::Time GroupDispatchers::NextWakeup() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [group, state] : groups_) {
    next = std::min(next, state.queue.dispatcher().NextWakeup());
    if (!state.waiting.empty()) {
      next = std::min(next, last_heartbeat_ + kHeartbeatInterval);
    }
  }
  return next;
}

}  // namespace gentianlb::gateway
