// Estimates, from the demand at the peers, the tokens of a limit that they have
// admitted but not yet reported to this host.
//
// Load pattern: a workspace requests several times its limit at two hundred
// hosts. When tokens become available, all hosts see that at once, and each
// admits every request until its peers' reports arrive: more than a second's
// worth of the limit at once, and then nothing for seconds. The workspace then
// runs in bursts, and its callers are refused again each time they retry. With
// the estimate, each host stops when all hosts together have used up the
// tokens.

#ifndef GENTIANLB_GATEWAY_UNREPORTED_USE_H_
#define GENTIANLB_GATEWAY_UNREPORTED_USE_H_

#include <cmath>

#include "absl/time/time.h"

namespace gentianlb::gateway {

class UnreportedUse {
 public:
  // Sets the peers' demand and the mean delay until their use is reported here.
  // A delay of zero means that no peer is reachable: each host then has its own
  // share of the limit, and there is no unreported use.
  void SetDemand(double tokens_per_second, absl::Duration delay) {
    tokens_per_second_ = tokens_per_second;
    delay_ = delay;
    if (delay <= absl::ZeroDuration()) tokens_ = 0;
  }

  // Advances by `span`, during which all hosts admit requests if the limit is
  // `open`, and none does otherwise.
  void Advance(absl::Duration span, bool open) {
    if (delay_ <= absl::ZeroDuration()) return;
    const double remaining = std::exp(-absl::FDivDuration(span, delay_));
    const double steady_state =
        tokens_per_second_ * absl::ToDoubleSeconds(delay_);
    tokens_ = tokens_ * remaining + (open ? steady_state * (1 - remaining) : 0);
  }

  double tokens() const { return tokens_; }

 private:
  double tokens_per_second_ = 0;
  absl::Duration delay_;
  double tokens_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_UNREPORTED_USE_H_
