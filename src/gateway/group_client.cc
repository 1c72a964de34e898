#include "gateway/group_client.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "absl/hash/hash.h"

namespace gentianlb::gateway {
namespace {

// Without an answer for a tenth of the time that its first token has, a request
// is decided here. Two ways between zones and a busy small host take some
// milliseconds; a host that froze must not cost a request without an objective
// more than it can notice.
constexpr double kAnswerPart = 0.1;
constexpr absl::Duration kShortestAnswer = absl::Milliseconds(15);
constexpr absl::Duration kLongestAnswer = absl::Milliseconds(60);

// The dispatcher tells hosts whose requests wait there that it is alive, four
// times as often.
constexpr absl::Duration kAliveTime = absl::Milliseconds(100);

// How often is looked whether a group has another dispatcher.
constexpr absl::Duration kMovePeriod = absl::Milliseconds(100);

// How often dispatchers are told which requests are open. A lost datagram keeps
// a stream of a server taken for this long and kSurelyHeard of
// group_dispatchers.cc.
constexpr absl::Duration kOpenPeriod = absl::Milliseconds(500);

absl::Duration AnswerTime(const schedule::Request& request, absl::Time now) {
  if (request.first_token_due == absl::InfiniteFuture()) return kLongestAnswer;
  return std::clamp((request.first_token_due - now) * kAnswerPart,
                    kShortestAnswer, kLongestAnswer);
}

}  // namespace

void GroupClient::SetServers(const ServiceId& service,
                             const std::vector<ServerEntry>& servers) {
  ServiceGroups& known = services_[service];
  known.name = HashName(service.str());
  known.groups = servers.empty() ? 0 : GroupsFor(servers);
  for (const ServerEntry& server : servers) {
    groups_of_[server.id] = {known.name, GroupOf(server.id, known.groups)};
  }
}

void GroupClient::SetStage(Open* open, Stage stage) {
  pending_ += static_cast<int>(stage != Stage::kRuns) -
              static_cast<int>(open->stage != Stage::kRuns);
  if (open->stage == Stage::kRuns) --granted_on_[open->server];
  if (stage == Stage::kRuns) ++granted_on_[open->server];
  open->stage = stage;
}

void GroupClient::Erase(const RequestId& id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  const Open& open = found->second;
  if (open.stage == Stage::kRuns) {
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

// The group with more room of two that the request's name picks: the power of
// two choices.
GroupKey GroupClient::ChooseGroup(const ServiceGroups& service,
                                  const RequestId& id) const {
  const auto draw = static_cast<std::uint32_t>(absl::HashOf(id));
  const auto groups = static_cast<std::uint32_t>(service.groups);
  GroupKey first{service.name, static_cast<std::uint16_t>(draw % groups)};
  if (groups == 1) return first;
  const std::uint32_t step = 1 + (draw / groups) % (groups - 1);
  GroupKey second{service.name,
                  static_cast<std::uint16_t>((first.group + step) % groups)};
  const auto room = [this](const GroupKey& key) {
    const auto found = rooms_.find(key);
    return found == rooms_.end() ? 0 : found->second;
  };
  return room(second) > room(first) ? second : first;
}

void GroupClient::Send(const Open& open, GroupEvent event) {
  hooks_.send(open.dispatcher, {open.group, std::move(event)});
}

bool GroupClient::Ask(const ServiceId& service,
                      const schedule::Request& request, absl::Time now) {
  const auto known = services_.find(service);
  if (known == services_.end() || known->second.groups == 0) return false;
  Open open;
  open.service = service;
  open.group = ChooseGroup(known->second, request.id);
  open.dispatcher = hosts_->DispatcherOf(open.group, now);
  if (open.dispatcher.empty()) return false;
  open.request = request;
  open.asked = now;
  open.answer_due = now + AnswerTime(request, now);
  --rooms_[open.group];
  ++pending_;
  const GroupKey group = open.group;
  const EntryHostId dispatcher = open.dispatcher;
  open_[request.id] = std::move(open);
  // It may be answered before this returns.
  hooks_.send(dispatcher, {group, schedule::RequestArrived{request}});
  return true;
}

bool GroupClient::Ended(const schedule::RequestFinished& event,
                        absl::Time now) {
  const auto found = open_.find(event.id);
  if (found == open_.end()) return false;
  Open& open = found->second;
  if (event.kind != schedule::RequestOutcome::kNotSent) {
    Send(open, event);
    Erase(event.id);
    return false;
  }
  // The dispatcher chooses another server.
  SetStage(&open, Stage::kAsked);
  open.asked = now;
  open.answer_due = now + AnswerTime(open.request, now);
  const Open asked = open;
  hooks_.tell_own(asked.service,
                  schedule::RequestFinished{
                      event.id, schedule::RequestOutcome::kFailed, 0, 0});
  Send(asked, event);
  return true;
}

bool GroupClient::Tell(const ServiceId& service, const schedule::Event& event,
                       absl::Time now) {
  if (const auto* arrived = std::get_if<schedule::RequestArrived>(&event)) {
    return Ask(service, arrived->request, now);
  }
  if (const auto* ended = std::get_if<schedule::RequestFinished>(&event)) {
    return Ended(*ended, now);
  }
  if (const auto* gone = std::get_if<schedule::CallerDisconnected>(&event)) {
    const auto found = open_.find(gone->id);
    if (found == open_.end()) return false;
    Send(found->second, *gone);
    Erase(gone->id);
    return true;
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

void GroupClient::Heard(const EntryHostId& host, absl::Time now) {
  heard_[host] = now;
}

void GroupClient::TakeRoom(const GroupRoom& room) {
  rooms_[room.group] = room.streams;
}

void GroupClient::TakeGrant(const EntryHostId& from,
                            const schedule::Grant& grant) {
  const auto found = open_.find(grant.id);
  const bool known = found != open_.end() && found->second.dispatcher == from;
  if (known && found->second.stage == Stage::kRuns) return;  // Told twice.
  if (!known) {
    const auto group = groups_of_.find(grant.server);
    if (group == groups_of_.end()) return;
    return hooks_.send(
        from, {group->second,
               schedule::RequestFinished{
                   grant.id, schedule::RequestOutcome::kCancelled, 0, 0}});
  }
  Open& open = found->second;
  open.server = grant.server;
  SetStage(&open, Stage::kRuns);
  // Copies: what follows may end the request.
  const schedule::RequestRunning running{open.request, grant.server, 0,
                                         /*just_sent=*/true};
  const ServiceId service = open.service;
  hooks_.tell_own(service, running);
  hooks_.decide(schedule::Grant{grant.id, self_, grant.server});
}

void GroupClient::TakeWaits(const EntryHostId& from,
                            const RequestWaits& waits) {
  const auto found = open_.find(waits.id);
  if (found == open_.end() || found->second.dispatcher != from) return;
  if (found->second.stage == Stage::kAsked) {
    SetStage(&found->second, Stage::kWaits);
  }
}

void GroupClient::TakeRefusal(const EntryHostId& from,
                              const schedule::Refuse& refusal) {
  const auto found = open_.find(refusal.id);
  if (found == open_.end() || found->second.dispatcher != from) return;
  if (found->second.stage == Stage::kRuns) return;
  Erase(refusal.id);
  hooks_.decide(refusal);
}

void GroupClient::Take(const EntryHostId& from, const GroupAnswer& answer,
                       absl::Time now) {
  Heard(from, now);
  if (const auto* grant = std::get_if<schedule::Grant>(&answer)) {
    TakeGrant(from, *grant);
  } else if (const auto* waits = std::get_if<RequestWaits>(&answer)) {
    TakeWaits(from, *waits);
  } else {
    TakeRefusal(from, std::get<schedule::Refuse>(answer));
  }
}

void GroupClient::TakeBack(const RequestId& id) {
  const Open open = open_.at(id);
  Erase(id);
  Send(open, schedule::CallerDisconnected{id});
  hooks_.tell_own(open.service, schedule::RequestArrived{open.request});
}

void GroupClient::Tick(absl::Time now) {
  std::vector<RequestId> vain;
  for (const auto& [id, open] : open_) {
    if (open.stage == Stage::kRuns || open.dispatcher == self_) continue;
    const auto heard = heard_.find(open.dispatcher);
    const absl::Time last =
        heard == heard_.end() ? absl::InfinitePast() : heard->second;
    const bool unanswered =
        open.stage == Stage::kAsked && now > open.answer_due;
    const bool silent = now - std::max(last, open.asked) > kAliveTime;
    if (!unanswered && !silent) continue;
    vain.push_back(id);
    // One datagram may be lost; a host that said nothing since is silent.
    if (last < open.asked) hosts_->Silent(open.dispatcher, now);
  }
  // The table has no order; decisions must not depend on its hashing.
  std::sort(vain.begin(), vain.end());
  for (const RequestId& id : vain) TakeBack(id);
  if (!vain.empty()) {
    LOG(INFO) << "event=group-silent requests=" << vain.size();
  }
  if (now - moved_ >= kMovePeriod) MoveToNewDispatchers(now);
  if (now - told_open_ >= kOpenPeriod) TellOpen(now);
}

void GroupClient::TellOpen(absl::Time now) {
  told_open_ = now;
  std::map<std::pair<EntryHostId, GroupKey>, OpenRequests> open_requests;
  for (auto& [dispatcher, more] : told_) {
    if (std::exchange(more, false)) open_requests[dispatcher];
  }
  std::erase_if(told_, [&](const auto& item) {
    return !open_requests.contains(item.first);
  });
  for (const auto& [id, open] : open_) {
    open_requests[{open.dispatcher, open.group}].ids.push_back(id);
    told_[{open.dispatcher, open.group}] = true;
  }
  for (auto& [dispatcher, ids] : open_requests) {
    hooks_.send(dispatcher.first, {dispatcher.second, std::move(ids)});
  }
}

void GroupClient::MoveToNewDispatchers(absl::Time now) {
  moved_ = now;
  std::vector<RequestId> moving;
  for (const auto& [id, open] : open_) {
    const EntryHostId current = hosts_->DispatcherOf(open.group, now);
    if (current != open.dispatcher) moving.push_back(id);
  }
  std::sort(moving.begin(), moving.end());
  for (const RequestId& id : moving) {
    const auto found = open_.find(id);
    if (found == open_.end()) continue;
    if (found->second.stage != Stage::kRuns) {
      TakeBack(id);
      continue;
    }
    const EntryHostId before = found->second.dispatcher;
    found->second.dispatcher = hosts_->DispatcherOf(found->second.group, now);
    // A copy: what is told to a dispatcher of this host may come back at once
    // and change the table.
    const Open open = found->second;
    hooks_.send(before, {open.group,
                         schedule::RequestFinished{
                             id, schedule::RequestOutcome::kCancelled, 0, 0}});
    Send(open, schedule::RequestRunning{open.request, open.server,
                                        open.output_tokens});
  }
}

}  // namespace gentianlb::gateway
