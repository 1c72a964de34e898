#include "gateway/quota.h"

#include "absl/container/flat_hash_set.h"

namespace gentianlb::gateway {

void Quotas::Configure(const std::vector<Workspace>& workspaces,
                       absl::Time now) {
  absl::flat_hash_set<WorkspaceId> limited;
  for (const Workspace& workspace : workspaces) {
    if (workspace.quota.tokens_per_second <= 0) continue;
    limited.insert(workspace.id);
    Bucket& bucket = buckets_[workspace.id];
    bucket.quota = workspace.quota;
    Fill(&bucket, now);
  }
  absl::erase_if(buckets_, [&](const auto& item) {
    return !limited.contains(item.first);
  });
}

void Quotas::SetShare(double share, absl::Time now) {
  if (share == share_) return;
  share_ = share;
  for (auto& [id, bucket] : buckets_) Fill(&bucket, now);
}

void Quotas::Fill(Bucket* bucket, absl::Time now) const {
  bucket->tokens.Rescale(bucket->quota.tokens_per_second * share_,
                         bucket->quota.burst_tokens * share_, now);
}

std::optional<absl::Duration> Quotas::Take(const WorkspaceId& id, double tokens,
                                           absl::Time now) {
  const auto found = buckets_.find(id);
  if (found == buckets_.end()) return std::nullopt;
  schedule::TokenBucket& bucket = found->second.tokens;
  if (bucket.Empty(now)) return bucket.UntilFilled();
  bucket.Take(tokens);
  return std::nullopt;
}

}  // namespace gentianlb::gateway
