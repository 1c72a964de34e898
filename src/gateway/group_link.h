// Connects the group client and the group dispatchers of this host and packs
// their messages to peers into datagrams.

#ifndef GENTIANLB_GATEWAY_GROUP_LINK_H_
#define GENTIANLB_GATEWAY_GROUP_LINK_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "base/timer_service.h"
#include "gateway/group_client.h"
#include "gateway/group_dispatchers.h"
#include "gateway/groups.h"
#include "gateway/memory_queries.h"

namespace gentianlb::gateway {

struct GroupLinkHooks {
  // As in GroupClientHooks.
  std::function<void(const ServiceId& service, const schedule::Event& event)>
      notify_local_dispatcher;
  std::function<void(const schedule::Decision& decision)> decide;
  // Sends a datagram to a peer.
  std::function<void(const EntryHostId& host, std::string_view bytes)> send;
  // Runs `closure` after the current iteration of the event loop.
  std::function<void(std::function<void()> closure)> defer;
  // Records that a peer has got a response of a leaving server.
  std::function<void(const LeavingServer& server)> on_leaving;
  // Records a cooldown that a server has asked of this host in a response that
  // a peer got through its tunnel.
  std::function<void(const TunnelledCooldown& cooldown)> on_cooldown;
  // Returns the leaving servers that this host knows of.
  std::function<std::vector<LeavingServer>()> leaving_servers;
};

// Not thread-safe: owned by the event loop's thread.
class GroupLink {
 public:
  GroupLink(EntryHostId self, const ServiceQueueOptions& queue_options,
            TimerService* timers, std::function<absl::Time()> clock,
            GroupLinkHooks hooks);
  ~GroupLink();
  GroupLink(const GroupLink&) = delete;
  GroupLink& operator=(const GroupLink&) = delete;

  void SetServers(const Service& service,
                  const std::vector<ServerEntry>& servers);

  // See GroupClient::OnEvent().
  bool OnEvent(const ServiceId& service, const schedule::Event& event);

  // Handles a datagram of a peer.
  void HandleDatagram(std::string_view bytes);
  // Sets the hosts that may dispatch.
  void SetDispatchers(const std::vector<HostEntry>& hosts);
  // Updates the requests that all peers have running, by server.
  void SetPeerUses(const absl::flat_hash_map<NameHash, ServerUse>& uses);
  // Stops assigning groups to this host.
  void Drain();
  // Sends what this host has learnt of a server that leaves to all hosts that
  // may dispatch, and to the peer that tunnelled the response, if any.
  void SendLeaving(const LeavingServer& server, const EntryHostId& peer);
  // Sends a cooldown to the peer that tunnelled the response, twice, since a
  // datagram may be lost.
  void SendCooldown(const TunnelledCooldown& cooldown, const EntryHostId& peer);

  int GrantedOn(const ServerId& server) const {
    return client_.GrantedOn(server);
  }
  GroupDispatchers::ReturnCounts CountReturns() const {
    return dispatchers_.CountReturns();
  }
  // Returns the number of malformed datagrams.
  std::uint64_t malformed() const { return malformed_; }

 private:
  GroupMessage& Outgoing(const EntryHostId& host);
  // Sends an event to a dispatcher on another host, with what it needs to know.
  void SendEvent(const EntryHostId& host, AddressedEvent item);
  // Sends what this host has learnt of a content to all hosts that may dispatch
  // now or later.
  void SendSuspect(const schedule::SuspectChange& change);
  // The same of a part of prompts.
  void SendPart(const schedule::PartChange& change);
  // Sends all that this host remembers of lost servers to a peer that asked.
  void SendMemory(const EntryHostId& host);
  // Handles what a peer has learnt, or remembers, of lost servers.
  void RecordLosses(const GroupMessage& message, absl::Time now);
  // Handles the rest of a message: what concerns requests and groups.
  void HandleRequests(const GroupMessage& message, absl::Time now);
  // Returns whether `message` must wait, since this host has just started and
  // knows of no lost servers yet. Asks its sender.
  bool Holds(const GroupMessage& message, absl::Time now);
  // Handles what has waited for the memory of peers.
  void ReleaseHeld();
  void Flush();
  void ScheduleTick();
  void Tick(absl::Time now);

  const EntryHostId self_;
  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  const GroupLinkHooks hooks_;
  const ServiceQueueOptions options_;
  const std::shared_ptr<schedule::Suspects> suspects_;
  DispatcherSelector selector_;
  MemoryQueries queries_;
  GroupClient client_;
  GroupDispatchers dispatchers_;
  std::map<EntryHostId, GroupMessage> outgoing_;
  bool flush_pending_ = false;  // Flush() is deferred.
  // Messages that came before this host knew what its peers remember.
  std::vector<GroupMessage> held_;
  bool memory_known_ = false;
  TimerId hold_timer_ = 0;
  TimerId tick_timer_ = 0;
  absl::Time next_tick_ = absl::InfiniteFuture();
  std::uint64_t malformed_ = 0;
  // Expires with this object; deferred closures check it.
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_LINK_H_
