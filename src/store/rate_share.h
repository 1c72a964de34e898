// This host's share of a service's rate limit, as a token bucket.

#ifndef GENTIANLB_STORE_RATE_SHARE_H_
#define GENTIANLB_STORE_RATE_SHARE_H_

#include "absl/time/time.h"

namespace gentianlb::store {

// After a restart of all hosts each reads its whole picture anew. Together they
// would exceed the service's rate and be refused for as long as they all try;
// one would notice hosts that never become ready. With a share each, the sum
// stays under the limit whatever the hosts do.
class RateShare {
 public:
  // `service_rate` calls a second are for all hosts together. A host may save
  // up `burst` of its own share.
  RateShare(double service_rate, absl::Duration burst)
      : service_rate_(service_rate), burst_(burst) {}

  // How many hosts share the service, this one included.
  void SetHosts(int hosts) { hosts_ = hosts < 1 ? 1 : hosts; }

  // Takes one call's worth; false when the share is used up.
  bool TryTake(absl::Time now);

  // When Take() next succeeds.
  absl::Time NextAt(absl::Time now) const;

  double rate() const { return service_rate_ / hosts_; }

 private:
  double AvailableTokens(absl::Time now) const;

  double service_rate_;
  absl::Duration burst_;
  int hosts_ = 1;
  double tokens_ = 1;
  absl::Time updated_at_ = absl::InfinitePast();
};

}  // namespace gentianlb::store

#endif  // GENTIANLB_STORE_RATE_SHARE_H_
