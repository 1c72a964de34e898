// Assigns backend servers to groups and groups to the entry hosts that dispatch
// for them.
//
// Many hosts send requests to the same servers, and each server runs only a few
// streams. Without groups, each host learns of its peers' requests from
// messages that are older than a stream lasts, and any host with a queued
// request takes a stream that becomes free, even for a batch request while an
// urgent request waits on a peer. One dispatcher that knows all streams of a
// group and all requests queued for them orders the requests exactly.
//
// The hosts run no agreement protocol. Each host selects the dispatcher of a
// group by rendezvous hashing over the hosts that may dispatch. All hosts
// select the same dispatcher as long as they have the same host list, and only
// the groups of a lost host move. If a group briefly has two dispatchers, its
// servers receive more requests than they have streams; there is no other harm.

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

// Returns the number of groups for servers that run `streams` streams in total.
int GroupCount(int streams);
int GroupCount(const std::vector<ServerEntry>& servers);

// Returns the group of `server`, from 0 to `groups` - 1.
std::uint16_t GroupOf(const ServerId& server, int groups);

// Selects the entry host that dispatches for a group.
class DispatcherSelector {
 public:
  explicit DispatcherSelector(EntryHostId self) : self_(std::move(self)) {}

  // Sets the live hosts that may dispatch, including this host if it may.
  // Returns whether they have changed.
  bool SetHosts(const std::vector<HostEntry>& hosts);
  // Stops selecting this host, because it is about to stop.
  void Drain();
  // Stops selecting `host` for a while, because it didn't answer in time.
  void Exclude(const EntryHostId& host, absl::Time now);

  // Returns the dispatcher of `group`, or this host if no host may dispatch.
  EntryHostId DispatcherOf(const GroupKey& group, absl::Time now) const;
  // Returns whether this host is the dispatcher of `group` by the list of hosts
  // alone. Hosts that don't get an answer in time may select another one for a
  // while, but all have the same list. True if the list is empty.
  bool IsPrimary(const GroupKey& group) const;
  // Returns the hosts set by SetHosts().
  const std::vector<HostEntry>& hosts() const { return hosts_; }

 private:
  EntryHostId SelectDispatcher(const GroupKey& group, absl::Time now) const;
  // Returns the best of `candidates`, or this host if there are none.
  EntryHostId SelectAmong(const std::vector<const HostEntry*>& candidates,
                          const GroupKey& group) const;

  const EntryHostId self_;
  bool draining_ = false;
  std::vector<HostEntry> hosts_;
  absl::flat_hash_map<EntryHostId, absl::Time> excluded_until_;
  // Dispatchers selected since the last change. The cache avoids selecting a
  // dispatcher for each request.
  mutable absl::flat_hash_map<GroupKey, EntryHostId> cache_;
  mutable absl::Time cache_valid_until_ = absl::InfiniteFuture();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_GROUPS_H_
