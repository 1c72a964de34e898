#include "gateway/group_link.h"

#include <algorithm>
#include <utility>

namespace gentianlb::gateway {
namespace {

// How often requests that wait for a decision are looked at: a fifth of the
// time after which one is taken back.
constexpr absl::Duration kLook = absl::Milliseconds(5);

}  // namespace

GroupLink::GroupLink(EntryHostId self, const ServiceQueueOptions& options,
                     TimerService* timers, std::function<absl::Time()> clock,
                     GroupLinkHooks hooks)
    : self_(self),
      timers_(timers),
      clock_(std::move(clock)),
      hooks_(std::move(hooks)),
      hosts_(self),
      client_(self, &hosts_,
              {.send =
                   [this](const EntryHostId& host, ToGroup item) {
                     if (host == self_) {
                       return dispatchers_.Take(self_, item, clock_());
                     }
                     Outgoing(host).events.push_back(std::move(item));
                   },
               .notify_local_dispatcher = hooks_.notify_local_dispatcher,
               .decide = hooks_.decide}),
      dispatchers_(options,
                   {.answer =
                        [this](const EntryHostId& host, GroupAnswer answer) {
                          if (host == self_) {
                            return client_.Take(self_, answer, clock_());
                          }
                          Outgoing(host).answers.push_back(std::move(answer));
                        },
                    .tell_room =
                        [this](const EntryHostId& host, GroupRoom room) {
                          if (host == self_) return client_.TakeRoom(room);
                          Outgoing(host).rooms.push_back(room);
                        },
                    .tell_alive =
                        [this](const EntryHostId& host) {
                          if (host != self_) Outgoing(host);
                        }}) {}

GroupLink::~GroupLink() { timers_->Cancel(tick_); }

void GroupLink::SetServers(const Service& service,
                           const std::vector<ServerEntry>& servers) {
  client_.SetServers(service.id, servers);
  dispatchers_.SetServers(service, servers, clock_());
  Arm();
}

bool GroupLink::OnEvent(const ServiceId& service,
                        const schedule::Event& event) {
  const bool taken = client_.OnEvent(service, event, clock_());
  Arm();
  return taken;
}

void GroupLink::HandleDatagram(std::string_view bytes) {
  const absl::Time now = clock_();
  const auto message = DecodeGroupMessage(bytes, now);
  if (!message) {
    ++malformed_;
    return;
  }
  client_.Heard(message->from, now);
  for (const GroupRoom& room : message->rooms) client_.TakeRoom(room);
  for (const ToGroup& item : message->events) {
    dispatchers_.Take(message->from, item, now);
  }
  for (const GroupAnswer& answer : message->answers) {
    client_.Take(message->from, answer, now);
  }
  Arm();
}

void GroupLink::SetPeerUses(
    const absl::flat_hash_map<NameHash, ServerUse>& uses) {
  dispatchers_.UsedAlone(uses, clock_());
  Tick(clock_());
}

GroupMessage& GroupLink::Outgoing(const EntryHostId& host) {
  if (!flushing_) {
    flushing_ = true;
    hooks_.defer([this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) Flush();
    });
  }
  return outgoing_[host];
}

void GroupLink::Flush() {
  flushing_ = false;
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
  Arm();
}

void GroupLink::Arm() {
  absl::Time next = dispatchers_.NextWakeup();
  if (client_.Pending()) next = std::min(next, clock_() + kLook);
  // An earlier look does no harm; a new timer for each event would cost more.
  if (next >= tick_at_) return;
  timers_->Cancel(tick_);
  tick_at_ = next;
  tick_ = timers_->At(next, [this](absl::Time now) {
    tick_ = 0;
    tick_at_ = absl::InfiniteFuture();
    Tick(now);
  });
}

}  // namespace gentianlb::gateway
