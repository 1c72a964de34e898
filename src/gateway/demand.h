// Shares the token limit of a workspace among the entry hosts.
//
// Load pattern: requests reach hosts unevenly and differ a hundredfold in size,
// and one workspace may send many times its usual load through a single host.
// With a fixed share for each host, one host would refuse requests while most
// of the limit is unused. So hosts publish the tokens that they admit, and each
// host charges them to the whole limit. Hosts that admit requests before they
// receive each other's updates may overdraw the limit; the overdraft is paid
// back before anything else is admitted.
//
// The peers' use arrives merged (see aggregate.h). The use of unreachable peers
// is unknown. So each host has a share of the limit, computed from the demand
// of its callers while all hosts were reachable. Hosts that reach each other
// count together against the sum of their shares; a host that reaches no peer
// has its own share. The shares add up to the limit however the hosts are
// partitioned; without them each side would use the whole limit.
//
// When all hosts lose power at once, no share is agreed. Until all hosts are
// reachable again, the hosts without one divide what the agreed shares leave
// equally, and publish that they do, also for workspaces that have sent them no
// request yet. Hosts that reach all peers but one then count nearly the whole
// limit together. The equal part itself is not published: each host would
// answer its peers' last parts, and small differences, such as in the number of
// known hosts, would grow until all parts jump between nothing and the whole.

#ifndef GENTIANLB_GATEWAY_DEMAND_H_
#define GENTIANLB_GATEWAY_DEMAND_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/decaying_sum.h"
#include "gateway/fleet_messages.h"
#include "gateway/quota.h"
#include "gateway/use_counters.h"

namespace gentianlb::gateway {

// Tokens that peers have admitted since their last update; negative if they
// refunded more.
struct PeerUse {
  NameHash workspace = 0;
  double tokens = 0;
  auto operator<=>(const PeerUse&) const = default;
};

// What this host knows of its peers.
struct PeerKnowledge {
  int hosts = 1;      // Known, this one included.
  int reachable = 0;  // Peers whose state the last update contains.
  bool all_reachable = false;
  absl::Duration age;      // Of the last update; infinite if there was none.
  std::string aggregator;  // Sender of the last update.
  absl::Duration aggregating;  // Time for which it had counted.
  bool operator==(const PeerKnowledge&) const = default;
};

class Demand {
 public:
  // Records that a caller of this host requests `tokens`, admitted or not.
  void RecordRequest(NameHash workspace, int rank, double tokens,
                     absl::Time now);
  // Returns the fraction of a workspace's burst that requests of `rank` must
  // leave unused: the fraction of this host's demand that has a higher
  // priority, reduced in proportion if requests of this rank are smaller on
  // average. Small requests take little from larger ones, and hundreds of them
  // would be refused to save one large request. The value is the same for all
  // requests of a rank: by its own size, the largest of a kind would be refused
  // twice as often as the others.
  double HigherPriorityShare(NameHash workspace, int rank,
                             absl::Time now) const;
  // Records that `tokens` of these were admitted.
  void RecordAdmitted(NameHash workspace, double tokens);
  // Records that `tokens` of the admitted ones were not sent to any server.
  void RecordRefund(NameHash workspace, double tokens);

  // Raises the number of known hosts, this one included, reachable or not.
  // Until all are reachable, a restarted host must not use the shares of its
  // peers.
  void RaiseHostCount(int hosts) { hosts_ = std::max(hosts_, hosts); }
  // Records the merged state of all peers, from the zone's aggregator. Returns
  // the tokens that they have admitted since the last update.
  std::vector<PeerUse> OnPeerUpdate(const FleetUpdate& update, absl::Time now);

  // Returns this host's use for its next periodic update to peers.
  std::vector<WorkspaceUse> BuildUpdate(absl::Time now);

  // Recomputes this host's shares, of the limits of `limited` too, if all hosts
  // are reachable. Must be called several times a second.
  void UpdateShares(const std::vector<NameHash>& limited, absl::Time now);

  // Returns the sum of the shares of this host and its live peers; 1 if all
  // hosts are reachable.
  double LimitShare(NameHash workspace, absl::Time now) const;

  // Returns the demand at live peers; zero if there are none.
  PeerDemand DemandOfPeers(NameHash workspace, absl::Time now) const;

  // Returns the number of hosts, this one included, when all were last
  // reachable, or the number known if that is higher.
  int hosts() const { return hosts_; }
  PeerKnowledge Peers(absl::Time now) const;
  // Returns whether the last update is current and covers all hosts.
  bool AllHostsReachable(absl::Time now) const;

 private:
  struct LocalUse {
    // Long compared to the gaps between large requests, short compared to the
    // seconds over which limits are checked.
    static constexpr absl::Duration kDemandWindow = absl::Seconds(3);

    DecayingSum requested{kDemandWindow};  // Tokens.
    struct RankDemand {
      DecayingSum tokens{kDemandWindow};
      DecayingSum requests{kDemandWindow};
    };
    std::map<int, RankDemand> by_rank;
    std::uint64_t admitted = 0;
    std::uint64_t refunded = 0;
    double unreported = 0;  // Admitted since the last update from peers.
    double TokensPerSecond(absl::Time now) const;
    // TokensPerSecond() at the last updates, oldest first. The peers' demand is
    // as old when it arrives. If a host compared it with its own current
    // demand, each would compute too large a share when load rises everywhere.
    std::array<double, 4> published{};
  };

  // Returns whether the last update from the peers is recent enough to use.
  bool IsLastUpdateCurrent(absl::Time now) const;
  absl::Duration UpdatePeriod() const {
    return absl::Milliseconds(last_update_.period_ms);
  }
  // Returns null if the peers reported no use of the workspace.
  const WorkspaceUse* FindPeerUse(NameHash workspace) const;
  // The shares of this host and of the peers in an update.
  struct ShareSums {
    double agreed = 0;
    int agreed_hosts = 0;
    int unsettled_hosts = 0;
  };
  // Returns the sums over this host and the peers of the last update.
  ShareSums SumShares(NameHash workspace) const;
  // Returns this host's own share of the limit.
  double LocalShare(NameHash workspace) const;
  // Returns the share of each host without an agreed one.
  double UnsettledShare(const ShareSums& sums) const;
  // Returns this host's fraction of the demand of all hosts.
  double ShareOfDemand(NameHash workspace) const;

  std::map<NameHash, LocalUse> by_workspace_;
  FleetUpdate last_update_;
  absl::Time last_update_at_ = absl::InfinitePast();
  UseCounters counters_;
  int hosts_ = 1;
  absl::flat_hash_map<NameHash, double> shares_;  // Of this host.
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DEMAND_H_
