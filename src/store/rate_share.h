// This host's share of a service's rate limit, as a token bucket.

#ifndef GENTIANLB_STORE_RATE_SHARE_H_
#define GENTIANLB_STORE_RATE_SHARE_H_

#include "absl/time/time.h"

namespace gentianlb::store {

// Limits a host to its share of the service's rate, so that all hosts together
// stay within the limit. Without it, a restart of all hosts exceeds the limit
// while each reads all its state: the service refuses them, and hosts do not
// become ready.
class RateShare {
 public:
  // `service_rate` is in calls per second for all hosts together. A host may
  // accumulate its share over the time `burst`.
  RateShare(double service_rate, absl::Duration burst)
      : service_rate_(service_rate), burst_(burst) {}

  // Sets the number of hosts that share the service, this one included.
  void SetHosts(int hosts) { hosts_ = hosts < 1 ? 1 : hosts; }

  // Takes one call from the share. Returns false when the share is used up.
  bool TryTake(absl::Time now);

  // Returns when TryTake() next succeeds.
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
