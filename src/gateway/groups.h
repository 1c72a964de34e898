// Which group a server belongs to, and which entry host dispatches for a group.
//
// Load pattern: many hosts send to the same servers, each of which has a few
// streams. Each host for itself knows of the others' requests by messages that
// are older than a stream lasts, and whoever has something waiting takes a
// stream that comes free, also a batch at one host while urgent work waits at
// another. One place that knows all streams of a group and all that waits for
// them orders it exactly.
//
// Nothing is agreed. Each host takes the host that ranks first for the group by
// hash among those that it hears, as rendezvous hashing does, so that all agree
// as long as they hear the same hosts, and only what a lost host dispatched
// moves. Two dispatchers of a group for a moment fill servers more than they
// should, and harm nothing else.

#ifndef GENTIANLB_GATEWAY_GROUPS_H_
#define GENTIANLB_GATEWAY_GROUPS_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/group_messages.h"
#include "gateway/messages.h"

namespace gentianlb::gateway {

// How many groups servers with so many streams together make.
int GroupsFor(int streams);
int GroupsFor(const std::vector<ServerEntry>& servers);

// The group, of `groups`, of a server.
std::uint16_t GroupOf(const ServerId& server, int groups);

// The hosts that may dispatch.
class GroupHosts {
 public:
  // `processor` is the part of one that this host may use.
  GroupHosts(EntryHostId self, double processor)
      : self_(std::move(self)), processor_(processor) {}

  // The host was heard, and takes part or is about to stop.
  void Heard(const EntryHostId& host, bool draining, double processor,
             absl::Time now);
  // This host is about to stop.
  void Drain() { draining_ = true; }
  // It didn't answer in time; it is left out for a while.
  void Silent(const EntryHostId& host, absl::Time now);

  EntryHostId DispatcherOf(const GroupKey& group, absl::Time now) const;

 private:
  struct Peer {
    absl::Time heard = absl::InfinitePast();
    absl::Time left_out_until = absl::InfinitePast();
    bool draining = false;
    double processor = 0;
  };

  bool MayDispatch(const Peer& peer, absl::Time now) const;

  const EntryHostId self_;
  const double processor_;
  bool draining_ = false;
  absl::flat_hash_map<EntryHostId, Peer> peers_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUPS_H_
