#include "gateway/group_link.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"

namespace gentianlb::gateway {
namespace {

// How often requests that wait for a decision are checked for timeouts; well
// below kMinTimeout of group_client.cc.
constexpr absl::Duration kClientTickInterval = absl::Milliseconds(5);

// How long a host that has just started holds the messages of peers until one
// answers its query. Shorter than the time after which peers decide locally.
constexpr absl::Duration kMaxHold = absl::Milliseconds(12);
constexpr std::size_t kMaxHeld = 256;

// Losses of each kind in one answer, which must fit into a datagram.
constexpr std::size_t kMaxLossesSent = 500;

// Well within the time in which a host learns of a cooldown.
constexpr absl::Duration kCooldownRepeat = absl::Milliseconds(100);

// Returns whether the event reports a request that its host doesn't send.
bool IsWithheld(const GroupEvent& event) {
  const auto* finished = std::get_if<schedule::RequestFinished>(&event);
  return finished != nullptr &&
         finished->kind == schedule::RequestOutcome::kWithheld;
}

}  // namespace

GroupLink::GroupLink(EntryHostId self, const ServiceQueueOptions& queue_options,
                     TimerService* timers, std::function<absl::Time()> clock,
                     GroupLinkHooks hooks)
    : self_(self),
      timers_(timers),
      clock_(std::move(clock)),
      hooks_(std::move(hooks)),
      options_(WithSuspects(queue_options)),
      suspects_(options_.dispatcher.suspects),
      selector_(self),
      queries_(self),
      client_(self, &selector_,
              {.send =
                   [this](const EntryHostId& host, AddressedEvent item) {
                     if (host == self_) {
                       return dispatchers_.HandleEvent(self_, item, clock_());
                     }
                     SendEvent(host, std::move(item));
                   },
               .notify_local_dispatcher = hooks_.notify_local_dispatcher,
               .decide = hooks_.decide}),
      dispatchers_(
          options_, &selector_,
          {.answer =
               [this](const EntryHostId& host, GroupAnswer answer) {
                 if (host == self_) {
                   return client_.HandleAnswer(self_, answer, clock_());
                 }
                 Outgoing(host).answers.push_back(std::move(answer));
               },
           .send_capacity =
               [this](const EntryHostId& host, GroupCapacity capacity) {
                 if (host == self_) return client_.SetCapacity(capacity);
                 Outgoing(host).capacities.push_back(capacity);
               },
           .send_heartbeat =
               [this](const EntryHostId& host) {
                 if (host != self_) Outgoing(host);
               }}) {
  suspects_->requests.OnChange(
      [this](const schedule::SuspectChange& change) { SendSuspect(change); });
  suspects_->parts.OnChange(
      [this](const schedule::PartChange& change) { SendPart(change); });
}

GroupLink::~GroupLink() {
  timers_->Cancel(tick_timer_);
  timers_->Cancel(hold_timer_);
  suspects_->requests.OnChange(nullptr);
  suspects_->parts.OnChange(nullptr);
}

void GroupLink::SetServers(const Service& service,
                           const std::vector<ServerEntry>& servers) {
  client_.SetServers(service.id, servers);
  dispatchers_.SetServers(service, servers, clock_());
  ScheduleTick();
}

bool GroupLink::OnEvent(const ServiceId& service,
                        const schedule::Event& event) {
  const bool handled = client_.OnEvent(service, event, clock_());
  ScheduleTick();
  return handled;
}

void GroupLink::HandleDatagram(std::string_view bytes) {
  const absl::Time now = clock_();
  auto message = DecodeGroupMessage(bytes, now);
  if (!message) {
    ++malformed_;
    return;
  }
  client_.RecordContact(message->from, now);
  RecordLosses(*message, now);
  if (Holds(*message, now)) return held_.push_back(*std::move(message));
  HandleRequests(*message, now);
  ScheduleTick();
}

bool GroupLink::Holds(const GroupMessage& message, absl::Time now) {
  if (memory_known_) return false;
  if (held_.size() >= kMaxHeld) {
    ReleaseHeld();
    return false;
  }
  Outgoing(message.from).memory = MemoryTransfer::kQuery;
  if (hold_timer_ == 0) {
    hold_timer_ =
        timers_->At(now + kMaxHold, [this](absl::Time) { ReleaseHeld(); });
  }
  return true;
}

void GroupLink::ReleaseHeld() {
  memory_known_ = true;
  timers_->Cancel(hold_timer_);
  hold_timer_ = 0;
  const absl::Time now = clock_();
  for (const GroupMessage& message : std::exchange(held_, {})) {
    HandleRequests(message, now);
  }
  ScheduleTick();
}

void GroupLink::HandleRequests(const GroupMessage& message, absl::Time now) {
  for (const GroupCapacity& cap : message.capacities) client_.SetCapacity(cap);
  for (const AddressedEvent& item : message.events) {
    dispatchers_.HandleEvent(message.from, item, now);
  }
  for (const GroupAnswer& answer : message.answers) {
    client_.HandleAnswer(message.from, answer, now);
  }
}

void GroupLink::SetDispatchers(const std::vector<HostEntry>& hosts) {
  if (selector_.SetHosts(hosts)) dispatchers_.OnHostsChanged(clock_());
  for (const EntryHostId& host : queries_.OnHosts(hosts)) {
    Outgoing(host).memory = MemoryTransfer::kQuery;
  }
}

void GroupLink::RecordLosses(const GroupMessage& message, absl::Time now) {
  for (const schedule::SuspectChange& change : message.suspects) {
    suspects_->requests.OnPeerChange(change, now);
  }
  for (const schedule::PartChange& change : message.parts) {
    suspects_->parts.OnPeerChange(change, now);
  }
  for (const LeavingServer& server : message.leaving) {
    hooks_.on_leaving(server);
  }
  for (const TunnelledCooldown& cooldown : message.cooldowns) {
    hooks_.on_cooldown(cooldown);
  }
  if (message.memory == MemoryTransfer::kQuery) SendMemory(message.from);
  if (message.memory != MemoryTransfer::kAnswer) return;
  queries_.OnAnswer();
  LOG(INFO) << "event=memory-received from=" << message.from
            << " content_losses=" << message.suspects.size()
            << " part_losses=" << message.parts.size();
  if (!memory_known_) ReleaseHeld();
}

void GroupLink::SendMemory(const EntryHostId& host) {
  // A message of its own: an outgoing one may already hold a query.
  const absl::Time now = clock_();
  GroupMessage answer;
  answer.from = self_;
  answer.memory = MemoryTransfer::kAnswer;
  answer.suspects = suspects_->requests.Snapshot(kMaxLossesSent, now);
  answer.parts = suspects_->parts.Snapshot(kMaxLossesSent, now);
  answer.leaving = hooks_.leaving_servers();
  hooks_.send(host, Encode(answer, now));
}

void GroupLink::Drain() {
  selector_.Drain();
  dispatchers_.OnHostsChanged(clock_());
}

void GroupLink::SetPeerUses(
    const absl::flat_hash_map<NameHash, ServerUse>& uses) {
  dispatchers_.UpdatePeerUses(uses, clock_());
  Tick(clock_());
}

GroupMessage& GroupLink::Outgoing(const EntryHostId& host) {
  if (!flush_pending_) {
    flush_pending_ = true;
    hooks_.defer([this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) Flush();
    });
  }
  return outgoing_[host];
}

void GroupLink::SendEvent(const EntryHostId& host, AddressedEvent item) {
  GroupMessage& message = Outgoing(host);
  auto* finished = std::get_if<schedule::RequestFinished>(&item.event);
  if (IsWithheld(item.event)) {
    // The dispatcher may have granted a server that it doesn't know to leave.
    message.leaving = hooks_.leaving_servers();
    // It may have granted many at once. One list of the other cooldowns is
    // enough, and a list for each could exceed a datagram.
    const bool listed = std::any_of(
        message.events.begin(), message.events.end(),
        [](const AddressedEvent& sent) { return IsWithheld(sent.event); });
    if (listed) finished->cooldowns.resize(1);
  }
  message.events.push_back(std::move(item));
}

void GroupLink::SendLeaving(const LeavingServer& server,
                            const EntryHostId& peer) {
  std::set<EntryHostId> hosts;
  if (!peer.empty()) hosts.insert(peer);
  for (const HostEntry& host : selector_.hosts()) {
    hosts.insert(EntryHostId(host.host));
  }
  hosts.erase(self_);
  for (const EntryHostId& host : hosts) {
    Outgoing(host).leaving.push_back(server);
  }
}

void GroupLink::SendCooldown(const TunnelledCooldown& cooldown,
                             const EntryHostId& peer) {
  Outgoing(peer).cooldowns.push_back(cooldown);
  TunnelledCooldown again = cooldown;
  again.left -= kCooldownRepeat;
  if (again.left <= absl::ZeroDuration()) return;
  timers_->At(
      clock_() + kCooldownRepeat,
      [this, again, peer, alive = std::weak_ptr<int>(alive_)](absl::Time) {
        if (alive.expired()) return;
        Outgoing(peer).cooldowns.push_back(again);
      });
}

void GroupLink::SendSuspect(const schedule::SuspectChange& change) {
  LOG(INFO) << "event=suspect content="
            << absl::StrCat(absl::Hex(change.content))
            << " server=" << (change.server.empty() ? "-" : change.server.str())
            << " servers_lost="
            << suspects_->requests.ServersLost(change.content, clock_())
            << " contents=" << suspects_->requests.size();
  for (const HostEntry& host : selector_.hosts()) {
    const EntryHostId id(host.host);
    if (id != self_) Outgoing(id).suspects.push_back(change);
  }
}

void GroupLink::SendPart(const schedule::PartChange& change) {
  const auto* losses = suspects_->parts.LossesOf(change.part, clock_());
  LOG(INFO) << "event=suspect-part part="
            << absl::StrCat(absl::Hex(change.part))
            << " server=" << (change.server.empty() ? "-" : change.server.str())
            << " weight=" << change.weight
            << " servers_lost=" << (losses == nullptr ? 0 : losses->size())
            << " parts=" << suspects_->parts.size();
  for (const HostEntry& host : selector_.hosts()) {
    const EntryHostId id(host.host);
    if (id != self_) Outgoing(id).parts.push_back(change);
  }
}

void GroupLink::Flush() {
  flush_pending_ = false;
  const absl::Time now = clock_();
  std::map<EntryHostId, GroupMessage> outgoing;
  outgoing.swap(outgoing_);
  for (auto& [host, message] : outgoing) {
    message.from = self_;
    hooks_.send(host, Encode(message, now));
  }
}

void GroupLink::Tick(absl::Time now) {
  client_.Tick(now);
  dispatchers_.Tick(now);
  ScheduleTick();
}

void GroupLink::ScheduleTick() {
  absl::Time next = dispatchers_.NextWakeup();
  if (client_.Pending()) next = std::min(next, clock_() + kClientTickInterval);
  // An early tick does no harm; a new timer for each event would cost more.
  if (next >= next_tick_) return;
  timers_->Cancel(tick_timer_);
  next_tick_ = next;
  tick_timer_ = timers_->At(next, [this](absl::Time now) {
    tick_timer_ = 0;
    next_tick_ = absl::InfiniteFuture();
    Tick(now);
  });
}

}  // namespace gentianlb::gateway
