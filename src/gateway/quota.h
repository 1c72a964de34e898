// Token limits of workspaces over all entry hosts.
//
// Load pattern: one workspace sends many times its usual load. Without a limit
// the requests of other workspaces wait behind it. demand.h describes how the
// hosts share a limit.

#ifndef GENTIANLB_GATEWAY_QUOTA_H_
#define GENTIANLB_GATEWAY_QUOTA_H_

#include <array>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/configuration.h"
#include "gateway/fleet_messages.h"
#include "gateway/left_to_peers.h"
#include "gateway/unreported_use.h"
#include "schedule/limits.h"

namespace gentianlb::gateway {

// The demand for a workspace's limit at the peers.
struct PeerDemand {
  double tokens_per_second = 0;  // Requested by their callers.
  absl::Duration report_delay;   // Until their use is known here.
  bool operator==(const PeerDemand&) const = default;
};

// What this host assumes of a workspace's limit.
struct LimitState {
  WorkspaceId workspace;
  double level = 0;              // Tokens; negative: a debt.
  double share = 1;              // Fraction of the limit that is counted here.
  double tokens_per_second = 0;  // Of the whole limit.
  double unreported = 0;  // Estimated tokens that peers have not yet reported.
  bool operator==(const LimitState&) const = default;
};

// A refusal by a workspace's limit, with what decided it.
struct LimitRefusal {
  absl::Duration retry_after;
  double reserved = 0;  // Tokens that the request had to leave.
  LimitState state;
  bool operator==(const LimitRefusal&) const = default;
};

// Enforces the limits of workspaces on this host. Has a token bucket for each.
class Quotas {
 public:
  // Operators tolerate `tolerance_tokens` above each limit. Small workspaces
  // need them, since one of their requests may be larger than the burst.
  explicit Quotas(double tolerance_tokens)
      : tolerance_tokens_(tolerance_tokens) {}

  // Sets the limits. The buckets of known workspaces keep their tokens.
  void Configure(const std::vector<Workspace>& workspaces, absl::Time now);

  // Sets the fraction of the workspace's limit that is counted here, over 0 and
  // up to 1. The rest is left to peers that can't report their use. Must be
  // called for each update from the peers, before the use in it is charged.
  void SetShare(NameHash workspace, double share, absl::Time now);

  // Sets the peers' demand, from which their unreported use is estimated.
  void SetPeerDemand(NameHash workspace, const PeerDemand& peer_demand,
                     absl::Time now);

  // Charges `tokens` that peers have admitted. If the update makes peers
  // reachable again, only what exceeds the tokens that were left to them.
  void Charge(NameHash workspace, double tokens, absl::Time now);

  // Adds this host's levels, as levels of whole limits, to its next update.
  void PublishLevels(std::vector<WorkspaceUse>* uses, absl::Time now);
  // Moves the level of a limit towards the mean of all reachable hosts. Each
  // host adds up what all have admitted; reports that were lost or counted
  // twice would otherwise set it apart for good. While a workspace requests
  // more than its limit, its peers use up all that is earned, so that a host in
  // debt could never pay it off, and would refuse every caller.
  void ConvergeLevel(const WorkspaceUse& peers, absl::Time now);

  // Returns the workspaces that have a limit.
  std::vector<NameHash> LimitedWorkspaces() const;
  // Returns nullopt if the workspace has no limit. The level is as of the last
  // change.
  std::optional<LimitState> StateOf(NameHash workspace) const;

  // Takes `tokens` if the bucket holds more than the fraction `reserve`
  // of its capacity plus the peers' unreported use. Otherwise takes nothing and
  // returns why. One request may overdraw the limit: else a request larger than
  // the capacity could never run.
  std::optional<LimitRefusal> Take(NameHash workspace, double tokens,
                                   double reserve, absl::Time now);

  // Returns tokens that were taken but not used.
  void Refund(NameHash workspace, double tokens, absl::Time now);

 private:
  struct PublishedLevel {
    double level = 0;
    absl::Time at = absl::InfinitePast();
  };

  struct Bucket {
    WorkspaceId workspace;
    Quota quota;
    double share = 1;
    schedule::TokenBucket tokens;
    LeftToPeers left_to_peers;
    // Tokens that peers are presumed to have used until the current update made
    // them reachable again.
    double presumed_use = 0;
    // The levels of the last updates, oldest first. The peers' levels are as
    // old when they arrive.
    std::array<PublishedLevel, 4> published_levels{};
    absl::Time converged_at;
    PeerDemand peer_demand;
    UnreportedUse unreported;
    absl::Time
        advanced_to;  // The buckets and estimates are current up to then.
  };

  // Adds earned tokens, and updates the estimate of the peers' use.
  static void AdvanceBucket(Bucket* bucket, absl::Time now);

  static LimitState StateOf(const Bucket& bucket);
  static absl::Duration RetryAfter(const Bucket& bucket, double reserved);
  void ApplyShare(Bucket* bucket, absl::Time now) const;
  static void ReturnFromPeers(Bucket* bucket, double scaled_up,
                              const ReturnedTokens& returned);
  double BurstCapacity(const Quota& quota) const;

  double tolerance_tokens_;

  absl::flat_hash_map<NameHash, Bucket> buckets_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_QUOTA_H_
