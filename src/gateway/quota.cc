#include "gateway/quota.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"

namespace gentianlb::gateway {
namespace {

// Fraction of a burst and its tolerance that the buckets hold. The tokens that
// several hosts admit before three messages have carried their use to the
// peers come on top.
constexpr double kBurstShare = 0.5;

// Step in which the peers' use is estimated, and the maximum time that it
// covers: older use has been reported.
constexpr absl::Duration kAdvanceStep = absl::Milliseconds(10);
constexpr absl::Duration kMaxAdvance = absl::Seconds(1);

// Time in which a host's level approaches the mean of all hosts. Long compared
// to the age of the peers' levels, short compared to a recovery.
constexpr absl::Duration kConvergence = absl::Seconds(1);

// Lowest share of a limit from which the level of all of it is inferred. A host
// that reaches few peers would infer many times its own rounding.
constexpr double kMinComparableShare = 0.5;

// An own level that is older can't be compared with the peers' last ones.
constexpr absl::Duration kMaxLevelAge = absl::Seconds(1);

// Longest time for which a host that counts only a share of a limit sends
// callers away. Its own share may be so small that one request takes minutes to
// earn, but peers may be reachable again at any moment, and the caller's next
// request may arrive at a host that counts more.
constexpr absl::Duration kMaxWaitForShare = absl::Seconds(1);

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
    bucket.workspace = workspace.id;
    bucket.quota = workspace.quota;
    ApplyShare(&bucket, now);
    // The use before a start is unknown. A full bucket would admit a burst on
    // top of the limit after each restart; an empty one would refuse callers
    // that retry after a restart of all hosts.
    if (is_new) bucket.tokens.Take(BurstCapacity(bucket.quota) / 2);
  }
  absl::erase_if(buckets_, [&](const auto& item) {
    return !limited.contains(item.first);
  });
}

void Quotas::SetShare(NameHash workspace, double share, absl::Time now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return;
  Bucket& bucket = found->second;
  bucket.presumed_use = 0;
  if (bucket.share == share) return;
  bucket.tokens.IsEmpty(now);  // Adds earned tokens first.
  const double before = bucket.share;
  const double level = bucket.tokens.level();
  bucket.share = share;
  ApplyShare(&bucket, now);
  const double scaled_up = bucket.tokens.level() - level;
  if (share < before) {
    bucket.left_to_peers.Reduce(before, share, -scaled_up, now);
    return;
  }
  ReturnFromPeers(
      &bucket, scaled_up,
      bucket.left_to_peers.Raise(share, bucket.quota.tokens_per_second, now));
}

// What the peers will report comes back. Of the rest, the level was scaled up
// as if they had used theirs as this host its own.
void Quotas::ReturnFromPeers(Bucket* bucket, double scaled_up,
                             const ReturnedTokens& returned) {
  const LeftTokens& reported = returned.reported;
  const LeftTokens& presumed = returned.presumed_used;
  const double share = reported.share + presumed.share;
  if (share <= 0) return;
  const double scaled_up_reported = scaled_up * reported.share / share;
  const double scaled_up_presumed = scaled_up - scaled_up_reported;
  bucket->tokens.Take(scaled_up_reported - reported.tokens);
  bucket->presumed_use = std::max(0.0, presumed.tokens - scaled_up_presumed);
}

void Quotas::SetPeerDemand(NameHash workspace, const PeerDemand& peer_demand,
                           absl::Time now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return;
  Bucket& bucket = found->second;
  AdvanceBucket(&bucket, now);
  bucket.peer_demand = peer_demand;
  bucket.unreported.SetDemand(peer_demand.tokens_per_second,
                              peer_demand.report_delay);
}

void Quotas::AdvanceBucket(Bucket* bucket, absl::Time now) {
  absl::Time at = std::max(bucket->advanced_to, now - kMaxAdvance);
  while (at < now) {
    const absl::Duration step = std::min(kAdvanceStep, now - at);
    at += step;
    bucket->tokens.IsEmpty(at);  // Adds earned tokens.
    bucket->unreported.Advance(
        step, bucket->tokens.level() > bucket->unreported.tokens());
  }
  bucket->advanced_to = now;
}

void Quotas::Charge(NameHash workspace, double tokens, absl::Time now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return;
  Bucket& bucket = found->second;
  const double presumed = std::clamp(tokens, 0.0, bucket.presumed_use);
  bucket.presumed_use -= presumed;
  bucket.tokens.IsEmpty(now);  // Adds earned tokens first.
  bucket.tokens.Take(tokens - presumed);
}

void Quotas::PublishLevels(std::vector<WorkspaceUse>* uses, absl::Time now) {
  for (WorkspaceUse& use : *uses) {
    const auto found = buckets_.find(use.workspace);
    if (found == buckets_.end()) continue;
    Bucket& bucket = found->second;
    if (bucket.share < kMinComparableShare) continue;
    bucket.tokens.IsEmpty(now);  // Adds earned tokens first.
    auto& published = bucket.published_levels;
    std::rotate(published.begin(), published.begin() + 1, published.end());
    published.back() = {bucket.tokens.level() / bucket.share, now};
    use.level = static_cast<float>(published.back().level);
    use.levels = 1;
  }
}

void Quotas::ConvergeLevel(const WorkspaceUse& peers, absl::Time now) {
  const auto found = buckets_.find(peers.workspace);
  if (found == buckets_.end()) return;
  Bucket& bucket = found->second;
  const absl::Duration elapsed = now - bucket.converged_at;
  bucket.converged_at = now;
  const PublishedLevel& own = bucket.published_levels.front();
  if (peers.levels == 0 || now - own.at > kMaxLevelAge) return;
  if (bucket.share < kMinComparableShare) return;
  const double mean = (peers.level + own.level) / (peers.levels + 1);
  const double step = std::min(1.0, absl::FDivDuration(elapsed, kConvergence));
  bucket.tokens.IsEmpty(now);  // Adds earned tokens first.
  bucket.tokens.Take((own.level - mean) * step * bucket.share);
}

std::vector<NameHash> Quotas::LimitedWorkspaces() const {
  std::vector<NameHash> limited;
  for (const auto& [workspace, bucket] : buckets_) limited.push_back(workspace);
  return limited;
}

LimitState Quotas::StateOf(const Bucket& bucket) {
  return {bucket.workspace, bucket.tokens.level(), bucket.share,
          bucket.quota.tokens_per_second, bucket.unreported.tokens()};
}

std::optional<LimitState> Quotas::StateOf(NameHash workspace) const {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return std::nullopt;
  return StateOf(found->second);
}

double Quotas::BurstCapacity(const Quota& quota) const {
  return (quota.burst_tokens + tolerance_tokens_) * kBurstShare;
}

void Quotas::ApplyShare(Bucket* bucket, absl::Time now) const {
  bucket->tokens.Rescale(bucket->quota.tokens_per_second * bucket->share,
                         BurstCapacity(bucket->quota) * bucket->share, now);
}

void Quotas::Refund(NameHash workspace, double tokens, absl::Time now) {
  Charge(workspace, -tokens, now);
}

absl::Duration Quotas::RetryAfter(const Bucket& bucket, double reserved) {
  absl::Duration wait = bucket.tokens.TimeUntilLevel(reserved);
  if (bucket.share < 1) wait = std::min(wait, kMaxWaitForShare);
  // Not before the peers have reported their use.
  return std::max(wait, bucket.peer_demand.report_delay);
}

std::optional<LimitRefusal> Quotas::Take(NameHash workspace, double tokens,
                                         double reserve, absl::Time now) {
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) return std::nullopt;
  Bucket& bucket = found->second;
  AdvanceBucket(&bucket, now);
  const double reserved = reserve * BurstCapacity(bucket.quota) * bucket.share +
                          bucket.unreported.tokens();
  if (bucket.tokens.level() <= reserved) {
    return LimitRefusal{RetryAfter(bucket, reserved), reserved,
                        StateOf(bucket)};
  }
  bucket.tokens.Take(tokens);
  return std::nullopt;
}

}  // namespace gentianlb::gateway
