// What the entry hosts know of each other's use of the workspaces' limits.
//
// Load pattern: callers come to hosts unevenly, requests differ a hundredfold,
// and one workspace may send many times its usual through a single host. A
// fixed part of the limit for each host would refuse callers at one host while
// the limit is far from used up. So hosts tell each other what they let
// through, and each counts it against the whole limit; what several let through
// before they hear of each other is paid back before anything else goes.
//
// What the others let through comes merged, as aggregate.h tells. While some
// are not heard, nobody knows what they let through. Each host has a part of
// the limit, by what its callers asked for while all hosts were heard. Hosts
// that hear each other go on counting together, against the sum of their parts;
// one that hears nobody has its own. The sum stays at the limit however hosts
// are cut off from each other; without this, each side would take the whole
// limit for itself.
//
// When all hosts lose power at once, nobody's part is known any more. Until all
// are heard again each has an equal one, and tells it, also of workspaces whose
// callers have yet to come to it. Were it left out of the sum, hosts that hear
// all but one of the others would each go on with their own, a two hundredth of
// the limit, until that one is back: less than one request, and nearly all
// callers are refused.

#ifndef GENTIANLB_GATEWAY_DEMAND_H_
#define GENTIANLB_GATEWAY_DEMAND_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/decaying_sum.h"
#include "gateway/fleet_messages.h"
#include "gateway/quota.h"
#include "gateway/use_counters.h"

namespace gentianlb::gateway {

// Tokens that another host has let through since it was heard last; below 0
// where it gave back more.
struct PeerUse {
  NameHash workspace = 0;
  double tokens = 0;
  auto operator<=>(const PeerUse&) const = default;
};

class Demand {
 public:
  // A caller of this host asks for `tokens`, whatever comes of it.
  void RecordRequest(NameHash workspace, int rank, double tokens,
                     absl::Time now);
  // How much of a workspace's limit requests of `rank` have to leave, as a part
  // of 1: the part of what callers of this host ask for that is more urgent,
  // and less in proportion where requests of this rank are smaller in the mean.
  // Small ones take little from the urgent, and hundreds of them would be
  // refused for one large. The same for all of a rank: by its own size, the
  // largest of a kind would be refused twice as often as the others.
  double HigherPriorityShare(NameHash workspace, int rank,
                             absl::Time now) const;
  // They were let through.
  void RecordAdmitted(NameHash workspace, double tokens);
  // Of these, what was not sent to any server after all.
  void RecordRefund(NameHash workspace, double tokens);

  // So many hosts are known, this one included, heard or not. Until all are
  // heard, one that was just started must not take what may be others' parts.
  void RaiseHostCount(int hosts) { hosts_ = std::max(hosts_, hosts); }
  // What all other hosts do, as the zone's aggregator tells.
  std::vector<PeerUse> OnPeerUpdate(const FleetNews& others, absl::Time now);

  // This host's own, to be told to others each period.
  std::vector<WorkspaceUse> BuildUpdate(absl::Time now);

  // Notes this host's parts of the limits of `limited` while all hosts are
  // heard; to be called several times a second.
  void UpdateShares(const std::vector<NameHash>& limited, absl::Time now);

  // The part of the limit that the hosts which are heard have together, this
  // one included; 1 when all are heard.
  double LimitShare(NameHash workspace, absl::Time now) const;

  // What callers ask the others for that are heard; nothing while none is.
  PeerDemand DemandOfPeers(NameHash workspace, absl::Time now) const;

  // All hosts, this one included, when they were last heard together, or are
  // known.
  int hosts() const { return hosts_; }
  // Whether all of them were heard lately.
  bool AllHostsReachable(absl::Time now) const;

 private:
  struct LocalUse {
    // The memory of what callers ask for: long against the gaps between large
    // requests, short against the seconds over which limits are checked.
    static constexpr absl::Duration kDemandWindow = absl::Seconds(3);

    DecayingSum asked{kDemandWindow};  // Tokens.
    struct RankDemand {
      DecayingSum tokens{kDemandWindow};
      DecayingSum requests{kDemandWindow};
    };
    std::map<int, RankDemand> by_rank;
    std::uint64_t let_through = 0;
    std::uint64_t given_back = 0;
    double unheard = 0;  // Let through since the others were heard.
    double TokensPerSecond(absl::Time now) const;
    // PerSecond() as told before, the oldest first. What the others told is as
    // old when it comes here. Were a host to set what it knows of itself now
    // against it, each would take too large a part when callers press at once.
    std::array<double, 4> published{};
  };

  // Whether what the others told last still holds.
  bool IsLastUpdateCurrent(absl::Time now) const;
  absl::Duration UpdatePeriod() const {
    return absl::Milliseconds(last_update_.period_ms);
  }
  // Null when they have told nothing of it.
  const WorkspaceUse* FindPeerUse(NameHash workspace) const;
  // This host's own part.
  double LocalShare(NameHash workspace) const;
  double ShareOfDemand(NameHash workspace) const;

  std::map<NameHash, struct LocalUse> own_;
  FleetNews last_update_;
  absl::Time last_update_at_ = absl::InfinitePast();
  UseCounters counters_;
  int hosts_ = 1;
  absl::flat_hash_map<NameHash, double> shares_;  // Own parts.
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_DEMAND_H_
