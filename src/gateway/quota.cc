#include "gateway/quota.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"

namespace gentianlb::gateway {
namespace {

// The part of what may be let through at once that is given out. What several
// hosts let through before they hear of each other, over three messages, comes
// on top.
constexpr double kBurstPart = 0.5;

// Steps in which the others' use is followed, and for how long at the most:
// what was let through before then is heard of.
constexpr absl::Duration kFollowedStep = absl::Milliseconds(10);
constexpr absl::Duration kLongestFollowed = absl::Seconds(1);

}  // namespace

void Quotas::Configure(const std::vector<Workspace>& workspaces,
                       absl::Time now) {
  absl::flat_hash_set<NameHash> limited;
  for (const Workspace& workspace : workspaces) {
    if (workspace.quota.tokens_per_second <= 0) continue;
    const NameHash name = HashName(workspace.id.str());
    limited.insert(name);
    const bool is_new = !buckets_.contains(name);
    Bucket& bucket = buckets_[name];
    bucket.quota = workspace.quota;
    Fill(&bucket, now);
    // Nobody knows what was used just before. Full after each restart, it would
    // let a burst through on top of the limit; empty, it would refuse those who
    // come back when all hosts were restarted.
    if (is_new) bucket.tokens.Take(AtOnce(bucket.quota) / 2);
  }
  absl::erase_if(buckets_, [&](const auto& item) {
    return !limited.contains(item.first);
  });
}

void Quotas::SetPart(NameHash workspace, double part, absl::Time now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end() || found->second.part == part) return;
  found->second.part = part;
  Fill(&found->second, now);
}

void Quotas::SetOthers(NameHash workspace, const OthersDemand& others,
                       absl::Time now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return;
  Bucket& bucket = found->second;
  Advance(&bucket, now);
  bucket.others = others;
  bucket.unheard.Expect(others.tokens_per_second, others.heard_after);
}

void Quotas::Advance(Bucket* bucket, absl::Time now) {
  absl::Time at = std::max(bucket->advanced, now - kLongestFollowed);
  while (at < now) {
    const absl::Duration step = std::min(kFollowedStep, now - at);
    at += step;
    bucket->tokens.IsEmpty(at);  // Earns what is due.
    bucket->unheard.Pass(step,
                         bucket->tokens.level() > bucket->unheard.tokens());
  }
  bucket->advanced = now;
}

void Quotas::Spend(NameHash workspace, double tokens, absl::Time now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return;
  found->second.tokens.IsEmpty(now);  // Earns what is due first.
  found->second.tokens.Take(tokens);
}

std::vector<NameHash> Quotas::Limited() const {
  std::vector<NameHash> limited;
  for (const auto& [workspace, bucket] : buckets_) limited.push_back(workspace);
  return limited;
}

double Quotas::AtOnce(const Quota& quota) const {
  return (quota.burst_tokens + tolerance_tokens_) * kBurstPart;
}

void Quotas::Fill(Bucket* bucket, absl::Time now) const {
  bucket->tokens.Rescale(bucket->quota.tokens_per_second * bucket->part,
                         AtOnce(bucket->quota) * bucket->part, now);
}

void Quotas::GiveBack(NameHash workspace, double tokens, absl::Time now) {
  Spend(workspace, -tokens, now);
}

std::optional<absl::Duration> Quotas::Take(NameHash workspace, double tokens,
                                           double kept, absl::Time now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return std::nullopt;
  Bucket& bucket = found->second;
  Advance(&bucket, now);
  const double least =
      kept * AtOnce(bucket.quota) * bucket.part + bucket.unheard.tokens();
  if (bucket.tokens.level() <= least) {
    // No sooner than it is known what the others let through.
    return std::max(bucket.tokens.TimeUntilLevel(least),
                    bucket.others.heard_after);
  }
  bucket.tokens.Take(tokens);
  return std::nullopt;
}

}  // namespace gentianlb::gateway
