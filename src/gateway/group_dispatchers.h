// Runs the dispatchers of the groups assigned to this host, for the requests of
// all hosts. The dispatcher of a group is created on the first event for the
// group and dropped when it has nothing left to do.
//
// The class has no access to the network or a clock; it sends through its
// hooks.

#ifndef GENTIANLB_GATEWAY_GROUP_DISPATCHERS_H_
#define GENTIANLB_GATEWAY_GROUP_DISPATCHERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/group_messages.h"
#include "gateway/groups.h"
#include "gateway/service_queue.h"

namespace gentianlb::gateway {

struct GroupDispatcherHooks {
  // Sends an answer to the host of a request.
  std::function<void(const EntryHostId& host, GroupAnswer answer)> answer;
  // Reports the free capacity of a group.
  std::function<void(const EntryHostId& host, GroupCapacity capacity)>
      send_capacity;
  // Sends a message of any content, to show that this host is alive.
  std::function<void(const EntryHostId& host)> send_heartbeat;
};

class GroupDispatchers {
 public:
  // `selector` must outlive this object.
  GroupDispatchers(ServiceQueueOptions options,
                   const DispatcherSelector* selector,
                   GroupDispatcherHooks hooks)
      : options_(std::move(options)),
        selector_(selector),
        hooks_(std::move(hooks)) {}

  void SetServers(const Service& service,
                  const std::vector<ServerEntry>& servers, absl::Time now);

  // Must be called after a change of the selector's hosts.
  void OnHostsChanged(absl::Time now);

  // Handles an event that host `from` sent about one of its requests.
  void HandleEvent(const EntryHostId& from, const AddressedEvent& item,
                   absl::Time now);

  // Updates what peers report of servers: the requests that run there without a
  // grant from the dispatcher of their group, and request limits.
  void UpdatePeerUses(const absl::flat_hash_map<NameHash, ServerUse>& uses,
                      absl::Time now);

  // Sends heartbeats, drops unresponsive hosts and unused groups, and handles
  // due timers. The caller invokes this at NextWakeup().
  void Tick(absl::Time now);
  absl::Time NextWakeup() const;

  // Counts the reservations for retries, by outcome, in the groups for which
  // this host dispatches now.
  struct ReturnCounts {
    std::uint64_t reserved = 0;
    std::uint64_t kept = 0;
    std::uint64_t expired = 0;
  };
  ReturnCounts CountReturns() const;

 private:
  // The streams of a server that run without a grant of its group's dispatcher,
  // as last reported to it.
  struct UngrantedStreams {
    int count = 0;
    absl::Time reported_at;
  };
  struct GroupState {
    explicit GroupState(const ServiceQueueOptions& options) : queue(options) {}
    ServiceQueue queue;
    absl::Time last_used;
    // The host of each queued request, by qualified request id.
    absl::flat_hash_map<RequestId, EntryHostId> waiting;
    // The queued and running requests of each host by qualified id, with the
    // time when they were recorded.
    absl::flat_hash_map<EntryHostId, absl::flat_hash_map<RequestId, absl::Time>>
        requests_by_host;
    absl::flat_hash_map<EntryHostId, absl::Time> last_contact;
    absl::flat_hash_map<ServerId, UngrantedStreams> ungranted;
  };
  struct ServiceInfo {
    Service service;
    std::vector<ServerEntry> servers;
    int groups = 1;
  };

  // Returns the state of `group`, creating it on the first event for the group,
  // or null if the service is unknown.
  GroupState* FindOrCreate(const GroupKey& group, absl::Time now);
  void Configure(const GroupKey& group, GroupState* state, absl::Time now);
  // Returns the part of its servers' request limits that the group's dispatcher
  // on this host may use.
  double LimitShareOf(const GroupKey& group) const;
  // Passes on the limit that peers have reported of a server, if any.
  void ReportPeerLimit(const GroupKey& group, GroupState* state,
                       const ServerId& server, absl::Time now);
  // Handles an event that queues the request. The request may be granted or
  // refused at once.
  void Enqueue(const GroupKey& group, GroupState* state, const RequestId& id,
               const EntryHostId& from, const schedule::Event& event,
               absl::Time now);
  void Handle(const GroupKey& group, GroupState* state,
              const schedule::Event& event, absl::Time now);
  void SendDecisions(const GroupKey& group, GroupState* state,
                     const std::vector<schedule::Decision>& decisions,
                     absl::Time now);
  // Finishes the requests of `host` that are not in its list of open requests.
  void Reconcile(const GroupKey& group, GroupState* state,
                 const EntryHostId& host, const OpenRequests& open,
                 absl::Time now);
  void FinishRequest(const GroupKey& group, GroupState* state,
                     const RequestId& id, absl::Time now);
  void DropUnresponsiveHosts(const GroupKey& group, GroupState* state,
                             absl::Time now);
  void SendHeartbeats(absl::Time now);

  const ServiceQueueOptions options_;
  const DispatcherSelector* const selector_;
  const GroupDispatcherHooks hooks_;
  std::map<NameHash, ServiceInfo> services_;
  std::map<GroupKey, GroupState> groups_;
  // As last reported; a dispatcher that is created later starts with them.
  absl::flat_hash_map<NameHash, float> peer_limits_;
  absl::Time last_tick_ = absl::InfinitePast();
  absl::Time last_heartbeat_ = absl::InfinitePast();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_DISPATCHERS_H_
