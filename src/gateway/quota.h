// The tokens that workspaces may use, over all entry hosts.
//
// Load pattern: one workspace sends many times its usual. Without a limit the
// others wait behind it. demand.h tells how the hosts keep to it together.

#ifndef GENTIANLB_GATEWAY_QUOTA_H_
#define GENTIANLB_GATEWAY_QUOTA_H_

#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/configuration.h"
#include "gateway/fleet_messages.h"
#include "gateway/unreported_use.h"
#include "schedule/limits.h"

namespace gentianlb::gateway {

// What is known of a workspace's callers at the other hosts.
struct PeerDemand {
  double tokens_per_second = 0;  // That they ask for.
  absl::Duration report_delay;   // Until their use is heard of here.
  bool operator==(const PeerDemand&) const = default;
};

class Quotas {
 public:
  // Operators tolerate `tolerance_tokens` above each limit. A small workspace
  // needs them: one of its requests may be larger than its burst.
  explicit Quotas(double tolerance_tokens)
      : tolerance_tokens_(tolerance_tokens) {}

  // A workspace that stays keeps what its bucket holds.
  void Configure(const std::vector<Workspace>& workspaces, absl::Time now);

  // The part of the workspace's limit that is counted here, over 0 and up to 1;
  // what other hosts use of it is told by Spend().
  void SetShare(NameHash workspace, double share, absl::Time now);

  // What the other hosts may let through before it is heard of.
  void SetPeerDemand(NameHash workspace, const PeerDemand& peer_demand,
                     absl::Time now);

  // Another host has let through `tokens`.
  void Charge(NameHash workspace, double tokens, absl::Time now);

  // Those that have a limit.
  std::vector<NameHash> LimitedWorkspaces() const;

  // Takes `tokens`, but leaves the part `kept` of what may be let through at
  // once. When there is no more than that nothing is taken, and the answer is
  // how long until there is. One request may overdraw the limit, or one larger
  // than it holds could never run.
  std::optional<absl::Duration> Take(NameHash workspace, double tokens,
                                     double reserved_share, absl::Time now);

  // What was taken is not used after all.
  void Refund(NameHash workspace, double tokens, absl::Time now);

 private:
  struct Bucket {
    Quota quota;
    double share = 1;
    schedule::TokenBucket tokens;
    PeerDemand peer_demand;
    UnreportedUse unreported;
    absl::Time advanced_to;  // `unheard` counts up to then.
  };

  // Earns what is due, and follows the others' use.
  static void Advance(Bucket* bucket, absl::Time now);

  void ApplyShare(Bucket* bucket, absl::Time now) const;
  double BurstCapacity(const Quota& quota) const;

  double tolerance_tokens_;

  absl::flat_hash_map<NameHash, Bucket> buckets_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_QUOTA_H_
