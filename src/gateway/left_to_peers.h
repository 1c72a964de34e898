// Tokens of a workspace's limit that a host leaves to peers whose use it can't
// know.
//
// While peers are unreachable, this host counts a share of the limit and the
// peers the rest. When they are reachable again, their first report may hold
// their use of all that time. The limit earned tokens for it that this host
// never counted; without this record the host would charge the use to its own
// tokens, and refuse callers far below the limit until that debt is paid off.

#ifndef GENTIANLB_GATEWAY_LEFT_TO_PEERS_H_
#define GENTIANLB_GATEWAY_LEFT_TO_PEERS_H_

#include <vector>

#include "absl/time/time.h"

namespace gentianlb::gateway {

// Tokens that were left to the peers that are reachable again, and the part of
// the limit that these count.
struct LeftTokens {
  double tokens = 0;
  double share = 0;
  bool operator==(const LeftTokens&) const = default;
};

struct ReturnedTokens {
  // Left for so short a time that the peers' reports hold all use of it.
  LeftTokens reported;
  // Left for so long that the peers' use of it may never be reported.
  LeftTokens presumed_used;
  bool operator==(const ReturnedTokens&) const = default;
};

// Peers that become unreachable last are taken to return first.
class LeftToPeers {
 public:
  // The counted share falls from `from` to `to`, which leaves `tokens` of this
  // host's level to the peers.
  void Reduce(double from, double to, double tokens, absl::Time now);
  // The counted share rises to `to`. Returns what was left to these peers, with
  // what the limit has earned for them at `tokens_per_second` of the whole.
  ReturnedTokens Raise(double to, double tokens_per_second, absl::Time now);

 private:
  // The peers that count the part of the limit between two shares.
  struct Part {
    double lower = 0;
    double upper = 0;
    double tokens = 0;
    absl::Time since;
  };
  // The last to become unreachable is the last; at most one for each peer.
  std::vector<Part> parts_;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_LEFT_TO_PEERS_H_
