// The tokens that workspaces may use, over all entry hosts.
//
// Load pattern: one workspace sends many times its usual. Without a limit the
// others wait behind it. Each host lets through a share of the limit without
// asking anybody; the shares of all hosts add up to no more than the limit, so
// that it holds also while hosts can't hear each other.

#ifndef GENTIANLB_GATEWAY_QUOTA_H_
#define GENTIANLB_GATEWAY_QUOTA_H_

#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "gateway/configuration.h"
#include "schedule/limits.h"

namespace gentianlb::gateway {

class Quotas {
 public:
  // A workspace that stays keeps what its bucket holds.
  void Configure(const std::vector<Workspace>& workspaces, absl::Time now);

  // The part of every limit that this host may use, over 0 and up to 1.
  void SetShare(double share, absl::Time now);

  // Takes `tokens`. When the share is used up nothing is taken, and the answer
  // is how long until it is filled again. One request may overdraw it, or one
  // larger than the share could never run.
  std::optional<absl::Duration> Take(const WorkspaceId& id, double tokens,
                                     absl::Time now);

 private:
  struct Bucket {
    Quota quota;
    schedule::TokenBucket tokens;
  };

  void Fill(Bucket* bucket, absl::Time now) const;

  double share_ = 1;
  absl::flat_hash_map<WorkspaceId, Bucket> buckets_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_QUOTA_H_
