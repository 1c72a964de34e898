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
// hash among those that may dispatch, as rendezvous hashing does, so that all
// agree as long as they are told the same, and only what a lost host dispatched
// moves. Two dispatchers of a group for a moment fill servers more than they
// should, and harm nothing else.

#ifndef GENTIANLB_GATEWAY_GROUPS_H_
#define GENTIANLB_GATEWAY_GROUPS_H_

#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/fleet_messages.h"
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
  explicit GroupHosts(EntryHostId self) : self_(std::move(self)) {}

  // Those that live and may dispatch, this one included if it may.
  void Set(const std::vector<HostEntry>& hosts);
  // This host is about to stop.
  void Drain();
  // It didn't answer in time; it is left out for a while.
  void Silent(const EntryHostId& host, absl::Time now);

  // This host itself while it is told of none.
  EntryHostId DispatcherOf(const GroupKey& group, absl::Time now) const;

 private:
  EntryHostId Choose(const GroupKey& group, absl::Time now) const;

  const EntryHostId self_;
  bool draining_ = false;
  std::vector<HostEntry> hosts_;
  absl::flat_hash_map<EntryHostId, absl::Time> left_out_until_;
  // What was chosen since anything changed: it is asked for each request.
  mutable absl::flat_hash_map<GroupKey, EntryHostId> chosen_;
  mutable absl::Time chosen_until_ = absl::InfiniteFuture();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUPS_H_
