#include "gateway/group_client.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "absl/hash/hash.h"

namespace gentianlb::gateway {
namespace {

// A request without an answer for this fraction of the time left until its
// first token is due is decided locally. Two transfers between zones and a busy
// small host take some milliseconds. The upper limit bounds the delay that a
// frozen host adds to a request without an objective.
constexpr double kTimeoutFraction = 0.1;
constexpr absl::Duration kMinTimeout = absl::Milliseconds(15);
constexpr absl::Duration kMaxTimeout = absl::Milliseconds(60);

// A dispatcher without a message for this long is unresponsive. It sends
// heartbeats four times as often to hosts whose requests it has queued.
constexpr absl::Duration kHeartbeatTimeout = absl::Milliseconds(100);

// A dispatcher that misses the end of a request and the empty list after it
// takes the server for slow two seconds later.
constexpr int kEmptyLists = 3;

// How often the client checks whether a group has another dispatcher.
constexpr absl::Duration kDispatcherCheckInterval = absl::Milliseconds(100);

// How often dispatchers receive the list of open requests. If the datagram that
// reports a finished request is lost, its stream stays occupied for up to this
// long plus kMaxReorder of group_dispatchers.cc.
constexpr absl::Duration kReportInterval = absl::Milliseconds(500);

absl::Duration AnswerTimeout(const schedule::Request& request, absl::Time now) {
  if (request.first_token_due == absl::InfiniteFuture()) return kMaxTimeout;
  return std::clamp((request.first_token_due - now) * kTimeoutFraction,
                    kMinTimeout, kMaxTimeout);
}

}  // namespace

void GroupClient::SetServers(const ServiceId& service,
                             const std::vector<ServerEntry>& servers) {
  ServiceGroups& entry = services_[service];
  entry.name = HashName(service.str());
  const int count = servers.empty() ? 0 : GroupCount(servers);
  entry.groups.clear();
  for (int i = 0; i < count; ++i) {
    entry.groups.push_back(static_cast<std::uint16_t>(i));
  }
  std::map<std::string, std::set<std::uint16_t>> by_version;
  for (const ServerEntry& server : servers) {
    const std::uint16_t group = GroupOf(server.id, count);
    group_of_[server.id] = {entry.name, group};
    if (!server.draining) by_version[server.version].insert(group);
  }
  entry.groups_by_version.clear();
  for (const auto& [version, groups] : by_version) {
    entry.groups_by_version[version].assign(groups.begin(), groups.end());
  }
}

void GroupClient::SetStage(OpenRequest* open, Stage stage) {
  pending_ += static_cast<int>(stage != Stage::kRunning) -
              static_cast<int>(open->stage != Stage::kRunning);
  if (open->stage == Stage::kRunning) --granted_on_[open->server];
  if (stage == Stage::kRunning) ++granted_on_[open->server];
  open->stage = stage;
}

void GroupClient::Erase(const RequestId& id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  const OpenRequest& open = found->second;
  if (open.stage == Stage::kRunning) {
    --granted_on_[open.server];
  } else {
    --pending_;
  }
  open_.erase(found);
}

int GroupClient::GrantedOn(const ServerId& server) const {
  const auto found = granted_on_.find(server);
  return found == granted_on_.end() ? 0 : found->second;
}

// Returns the group with more free capacity of two groups that the hash of the
// request id selects: the power of two choices.
GroupKey GroupClient::ChooseGroup(NameHash service,
                                  const std::vector<std::uint16_t>& groups,
                                  const RequestId& id) const {
  const auto hash = static_cast<std::uint32_t>(absl::HashOf(id));
  const auto count = static_cast<std::uint32_t>(groups.size());
  const GroupKey first{service, groups[hash % count]};
  if (count == 1) return first;
  const std::uint32_t step = 1 + (hash / count) % (count - 1);
  const GroupKey second{service, groups[(hash % count + step) % count]};
  const auto capacity = [this](const GroupKey& key) {
    const auto found = capacities_.find(key);
    return found == capacities_.end() ? 0 : found->second;
  };
  return capacity(second) > capacity(first) ? second : first;
}

const std::vector<std::uint16_t>* GroupClient::GroupsFor(
    const ServiceId& service, const schedule::Request& request) const {
  const auto found = services_.find(service);
  if (found == services_.end() || found->second.groups.empty()) return nullptr;
  if (request.version.empty()) return &found->second.groups;
  const auto& by_version = found->second.groups_by_version;
  const auto groups = by_version.find(request.version);
  return groups == by_version.end() ? nullptr : &groups->second;
}

void GroupClient::Send(const OpenRequest& open, GroupEvent event) {
  hooks_.send(open.dispatcher, {open.group, std::move(event)});
}

bool GroupClient::Submit(const ServiceId& service,
                         const schedule::Request& request, absl::Time now) {
  const std::vector<std::uint16_t>* groups = GroupsFor(service, request);
  if (groups == nullptr) return false;
  OpenRequest open;
  open.service = service;
  open.group = ChooseGroup(services_.at(service).name, *groups, request.id);
  open.dispatcher = selector_->DispatcherOf(open.group, now);
  if (open.dispatcher.empty()) return false;
  open.request = request;
  open.submitted = now;
  open.answer_deadline = now + AnswerTimeout(request, now);
  --capacities_[open.group];
  ++pending_;
  const GroupKey group = open.group;
  const EntryHostId dispatcher = open.dispatcher;
  empty_lists_left_[{dispatcher, group}] = kEmptyLists;
  open_[request.id] = std::move(open);
  // The answer may arrive before send() returns.
  hooks_.send(dispatcher, {group, schedule::RequestArrived{request}});
  return true;
}

bool GroupClient::OnFinished(const schedule::RequestFinished& event,
                             absl::Time now) {
  const auto found = open_.find(event.id);
  if (found == open_.end()) return false;
  OpenRequest& open = found->second;
  const bool withheld = event.kind == schedule::RequestOutcome::kWithheld;
  if (!withheld && event.kind != schedule::RequestOutcome::kNotSent) {
    Send(open, event);
    Erase(event.id);
    return false;
  }
  // The dispatcher chooses another server.
  SetStage(&open, Stage::kSubmitted);
  open.submitted = now;
  open.answer_deadline = now + AnswerTimeout(open.request, now);
  const OpenRequest copy = open;
  schedule::RequestFinished finished = event;
  finished.kind = withheld ? schedule::RequestOutcome::kCancelled
                           : schedule::RequestOutcome::kFailed;
  hooks_.notify_local_dispatcher(copy.service, finished);
  Send(copy, event);
  return true;
}

bool GroupClient::OnEvent(const ServiceId& service,
                          const schedule::Event& event, absl::Time now) {
  if (const auto* arrived = std::get_if<schedule::RequestArrived>(&event)) {
    return Submit(service, arrived->request, now);
  }
  if (const auto* finished = std::get_if<schedule::RequestFinished>(&event)) {
    return OnFinished(*finished, now);
  }
  if (const auto* disconnected =
          std::get_if<schedule::CallerDisconnected>(&event)) {
    const auto found = open_.find(disconnected->id);
    if (found == open_.end()) return false;
    Send(found->second, *disconnected);
    Erase(disconnected->id);
    return true;
  }
  if (const auto* delayed = std::get_if<schedule::RequestDelayed>(&event)) {
    const auto found = open_.find(delayed->id);
    if (found != open_.end()) Send(found->second, *delayed);
    return false;
  }
  if (const auto* streamed = std::get_if<schedule::TokensStreamed>(&event)) {
    const auto found = open_.find(streamed->id);
    if (found == open_.end()) return false;
    found->second.output_tokens = streamed->output_tokens;
    Send(found->second, *streamed);
    return false;
  }
  return false;
}

void GroupClient::RecordContact(const EntryHostId& host, absl::Time now) {
  last_contact_[host] = now;
}

void GroupClient::SetCapacity(const GroupCapacity& capacity) {
  capacities_[capacity.group] = capacity.free_streams;
}

void GroupClient::HandleGrant(const EntryHostId& from,
                              const schedule::Grant& grant) {
  const auto found = open_.find(grant.id);
  const bool valid = found != open_.end() && found->second.dispatcher == from;
  if (valid && found->second.stage == Stage::kRunning) return;  // A duplicate.
  if (!valid) {
    const auto group = group_of_.find(grant.server);
    if (group == group_of_.end()) return;
    return hooks_.send(
        from, {group->second,
               schedule::RequestFinished{
                   grant.id, schedule::RequestOutcome::kCancelled, 0, 0}});
  }
  OpenRequest& open = found->second;
  open.server = grant.server;
  SetStage(&open, Stage::kRunning);
  // Copies, because the hooks may finish the request.
  const schedule::RequestRunning running{open.request, grant.server, 0,
                                         /*just_sent=*/true};
  const ServiceId service = open.service;
  hooks_.notify_local_dispatcher(service, running);
  hooks_.decide(schedule::Grant{grant.id, self_, grant.server});
}

void GroupClient::HandleQueued(const EntryHostId& from,
                               const RequestQueued& queued) {
  const auto found = open_.find(queued.id);
  if (found == open_.end() || found->second.dispatcher != from) return;
  if (found->second.stage == Stage::kSubmitted) {
    SetStage(&found->second, Stage::kQueued);
  }
}

void GroupClient::HandleRefusal(const EntryHostId& from,
                                const schedule::Refuse& refusal) {
  const auto found = open_.find(refusal.id);
  if (found == open_.end() || found->second.dispatcher != from) return;
  if (found->second.stage == Stage::kRunning) return;
  Erase(refusal.id);
  hooks_.decide(refusal);
}

void GroupClient::HandleAnswer(const EntryHostId& from,
                               const GroupAnswer& answer, absl::Time now) {
  RecordContact(from, now);
  if (const auto* grant = std::get_if<schedule::Grant>(&answer)) {
    HandleGrant(from, *grant);
  } else if (const auto* queued = std::get_if<RequestQueued>(&answer)) {
    HandleQueued(from, *queued);
  } else {
    HandleRefusal(from, std::get<schedule::Refuse>(answer));
  }
}

void GroupClient::Reclaim(const RequestId& id) {
  const OpenRequest open = open_.at(id);
  Erase(id);
  Send(open, schedule::CallerDisconnected{id});
  hooks_.notify_local_dispatcher(open.service,
                                 schedule::RequestArrived{open.request});
}

void GroupClient::Tick(absl::Time now) {
  std::vector<RequestId> reclaimed;
  for (const auto& [id, open] : open_) {
    if (open.stage == Stage::kRunning || open.dispatcher == self_) continue;
    const auto contact = last_contact_.find(open.dispatcher);
    const absl::Time last_contact =
        contact == last_contact_.end() ? absl::InfinitePast() : contact->second;
    const bool unanswered =
        open.stage == Stage::kSubmitted && now > open.answer_deadline;
    const bool unresponsive =
        now - std::max(last_contact, open.submitted) > kHeartbeatTimeout;
    if (!unanswered && !unresponsive) continue;
    reclaimed.push_back(id);
    // A single datagram may be lost, but a host that has sent nothing since the
    // request was submitted is unresponsive.
    if (last_contact < open.submitted) selector_->Exclude(open.dispatcher, now);
  }
  // The order of the hash table is arbitrary; decisions must not depend on it.
  std::sort(reclaimed.begin(), reclaimed.end());
  for (const RequestId& id : reclaimed) Reclaim(id);
  if (!reclaimed.empty()) {
    LOG(INFO) << "event=group-silent requests=" << reclaimed.size();
  }
  if (now - last_move_ >= kDispatcherCheckInterval) MoveToNewDispatchers(now);
  if (now - last_report_ >= kReportInterval) ReportOpenRequests(now);
}

void GroupClient::ReportOpenRequests(absl::Time now) {
  last_report_ = now;
  std::map<std::pair<EntryHostId, GroupKey>, OpenRequests> open_requests;
  for (auto& [dispatcher, left] : empty_lists_left_) {
    if (left-- > 0) open_requests[dispatcher];
  }
  std::erase_if(empty_lists_left_, [&](const auto& item) {
    return !open_requests.contains(item.first);
  });
  for (const auto& [id, open] : open_) {
    open_requests[{open.dispatcher, open.group}].ids.push_back(id);
    empty_lists_left_[{open.dispatcher, open.group}] = kEmptyLists;
  }
  for (auto& [dispatcher, ids] : open_requests) {
    hooks_.send(dispatcher.first, {dispatcher.second, std::move(ids)});
  }
}

void GroupClient::MoveToNewDispatchers(absl::Time now) {
  last_move_ = now;
  std::vector<RequestId> moving;
  for (const auto& [id, open] : open_) {
    const EntryHostId current = selector_->DispatcherOf(open.group, now);
    if (current != open.dispatcher) moving.push_back(id);
  }
  std::sort(moving.begin(), moving.end());
  for (const RequestId& id : moving) {
    const auto found = open_.find(id);
    if (found == open_.end()) continue;
    if (found->second.stage != Stage::kRunning) {
      Reclaim(id);
      continue;
    }
    const EntryHostId before = found->second.dispatcher;
    found->second.dispatcher =
        selector_->DispatcherOf(found->second.group, now);
    // A copy, because a dispatcher of this host may answer at once and change
    // the table.
    const OpenRequest open = found->second;
    empty_lists_left_[{open.dispatcher, open.group}] = kEmptyLists;
    hooks_.send(before, {open.group,
                         schedule::RequestFinished{
                             id, schedule::RequestOutcome::kCancelled, 0, 0}});
    Send(open, schedule::RequestRunning{open.request, open.server,
                                        open.output_tokens});
  }
}

}  // namespace gentianlb::gateway
