#include "gateway/left_to_peers.h"

#include <algorithm>

namespace gentianlb::gateway {
namespace {

// Longest time without a peer's reports after which its next one still holds
// all use of that time. After a longer one the counting starts anew.
constexpr absl::Duration kMaxReportedGap = absl::Milliseconds(150);

}  // namespace

void LeftToPeers::Reduce(double from, double to, double tokens,
                         absl::Time now) {
  parts_.push_back({to, from, tokens, now});
}

ReturnedTokens LeftToPeers::Raise(double to, double tokens_per_second,
                                  absl::Time now) {
  ReturnedTokens returned;
  while (!parts_.empty() && parts_.back().lower < to) {
    Part& part = parts_.back();
    const double upper = std::min(part.upper, to);
    const double share = upper - part.lower;
    const double tokens = part.tokens * share / (part.upper - part.lower);
    const absl::Duration gap = now - part.since;
    LeftTokens& sum =
        gap <= kMaxReportedGap ? returned.reported : returned.presumed_used;
    sum.share += share;
    sum.tokens += tokens;
    sum.tokens += share * tokens_per_second * absl::ToDoubleSeconds(gap);
    part.tokens -= tokens;
    part.lower = upper;
    if (part.lower >= part.upper) parts_.pop_back();
  }
  return returned;
}

}  // namespace gentianlb::gateway
