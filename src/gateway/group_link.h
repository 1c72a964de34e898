// Joins what this host asks of groups' dispatchers and the dispatchers that it
// has itself, and packs what goes to other hosts into datagrams.

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

namespace gentianlb::gateway {

struct GroupLinkHooks {
  std::function<void(const ServiceId& service, const schedule::Event& event)>
      notify_local_dispatcher;
  std::function<void(const schedule::Decision& decision)> decide;
  std::function<void(const EntryHostId& host, std::string_view bytes)> send;
  // Calls it once this round of the loop is over.
  std::function<void(std::function<void()> closure)> defer;
};

// Not thread-safe: owned by the loop's thread.
class GroupLink {
 public:
  GroupLink(EntryHostId self, const ServiceQueueOptions& options,
            TimerService* timers, std::function<absl::Time()> clock,
            GroupLinkHooks hooks);
  ~GroupLink();
  GroupLink(const GroupLink&) = delete;
  GroupLink& operator=(const GroupLink&) = delete;

  void SetServers(const Service& service,
                  const std::vector<ServerEntry>& servers);

  // As GroupClient::OnEvent().
  bool OnEvent(const ServiceId& service, const schedule::Event& event);

  // A datagram of another host.
  void HandleDatagram(std::string_view bytes);
  // Hosts that may dispatch.
  void SetDispatchers(const std::vector<HostEntry>& hosts) {
    hosts_.Set(hosts);
  }
  // What all other hosts have running.
  void SetPeerUses(const absl::flat_hash_map<NameHash, ServerUse>& uses);
  // From now on no group falls to this host.
  void Drain() { hosts_.Drain(); }

  int GrantedOn(const ServerId& server) const {
    return client_.GrantedOn(server);
  }
  std::uint64_t malformed() const { return malformed_; }

 private:
  GroupMessage& Outgoing(const EntryHostId& host);
  void Flush();
  void Arm();
  void Tick(absl::Time now);

  const EntryHostId self_;
  TimerService* const timers_;
  const std::function<absl::Time()> clock_;
  const GroupLinkHooks hooks_;
  GroupHosts hosts_;
  GroupClient client_;
  GroupDispatchers dispatchers_;
  std::map<EntryHostId, GroupMessage> outgoing_;
  bool flushing_ = false;  // A flush is due after this round.
  TimerId tick_ = 0;
  absl::Time tick_at_ = absl::InfiniteFuture();
  std::uint64_t malformed_ = 0;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_LINK_H_
