// The dispatchers of the groups that fall to this host, for the requests of all
// hosts. A group has one from the first event that comes for it; with nothing
// left to do it is dropped.
//
// Knows no network and no clock; the hooks carry what has to leave.

#ifndef GENTIANLB_GATEWAY_GROUP_DISPATCHERS_H_
#define GENTIANLB_GATEWAY_GROUP_DISPATCHERS_H_

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
  std::function<void(const EntryHostId& host, GroupAnswer answer)> answer;
  std::function<void(const EntryHostId& host, GroupRoom room)> tell_room;
  // Anything, to show that this host is alive.
  std::function<void(const EntryHostId& host)> tell_alive;
};

class GroupDispatchers {
 public:
  GroupDispatchers(ServiceQueueOptions options, GroupDispatcherHooks hooks)
      : options_(std::move(options)), hooks_(std::move(hooks)) {}

  void SetServers(const Service& service,
                  const std::vector<ServerEntry>& servers, absl::Time now);

  // An event of a request of `from`.
  void Take(const EntryHostId& from, const ToGroup& item, absl::Time now);

  // What hosts have running on servers that no dispatcher of a group granted.
  void UsedAlone(const absl::flat_hash_map<NameHash, ServerUse>& uses,
                 absl::Time now);

  // Lets time pass; to be called at NextWakeup().
  void Tick(absl::Time now);
  absl::Time NextWakeup() const;

 private:
  struct Kept {
    explicit Kept(const ServiceQueueOptions& options) : queue(options) {}
    ServiceQueue queue;
    absl::Time used;
    // The hosts of the requests that wait, by the names that they have here.
    absl::flat_hash_map<RequestId, EntryHostId> waiting;
    // What each host has here, waiting or running, and since when.
    absl::flat_hash_map<EntryHostId, absl::flat_hash_map<RequestId, absl::Time>>
        of_hosts;
    absl::flat_hash_map<EntryHostId, absl::Time> heard;
    absl::flat_hash_map<ServerId, int> alone;
  };
  struct Known {
    Service service;
    std::vector<ServerEntry> servers;
    int groups = 1;
  };

  // Begins to dispatch for the group if nothing was asked before; null when its
  // service is not known.
  Kept* FindOrBegin(const GroupKey& group, absl::Time now);
  void Configure(const GroupKey& group, Kept* kept, absl::Time now);
  // `event` makes the request wait here; it may be granted or refused at once.
  void Ask(const GroupKey& group, Kept* kept, const RequestId& id,
           const EntryHostId& from, const schedule::Event& event,
           absl::Time now);
  void Handle(const GroupKey& group, Kept* kept, const schedule::Event& event,
              absl::Time now);
  void Answer(const GroupKey& group, Kept* kept,
              const std::vector<schedule::Decision>& decisions, absl::Time now);
  // Ends what `host` has here and doesn't name among its open requests.
  void Reconcile(const GroupKey& group, Kept* kept, const EntryHostId& host,
                 const OpenRequests& open, absl::Time now);
  void End(const GroupKey& group, Kept* kept, const RequestId& id,
           absl::Time now);
  void DropSilentHosts(const GroupKey& group, Kept* kept, absl::Time now);
  void TellAlive(absl::Time now);

  const ServiceQueueOptions options_;
  const GroupDispatcherHooks hooks_;
  std::map<NameHash, Known> services_;
  std::map<GroupKey, Kept> kept_;
  absl::Time ticked_ = absl::InfinitePast();
  absl::Time told_alive_ = absl::InfinitePast();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUP_DISPATCHERS_H_
