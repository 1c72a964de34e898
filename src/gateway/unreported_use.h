// What the other hosts have let through of a limit and this host hasn't heard
// of yet, by what their callers ask for.
//
// Load pattern: a workspace asks for several times its limit at two hundred
// hosts. When the limit has something left again, all of them see it in the
// same moment, and each lets through whatever comes until it hears that the
// others did as much: more than a second of the limit at once, and then nothing
// for seconds. One sees it as bursts of that workspace, and as callers who are
// refused anew each time they come back. Counting on the others' doing the
// same, each stops when what is left is used up by all together.

#ifndef GENTIANLB_GATEWAY_UNREPORTED_USE_H_
#define GENTIANLB_GATEWAY_UNREPORTED_USE_H_

#include <cmath>

#include "absl/time/time.h"

namespace gentianlb::gateway {

class UnreportedUse {
 public:
  // The others' callers ask for so many tokens a second; what is let through is
  // heard of after `delay` in the mean. Zero: nobody is heard, and whoever is
  // there has a part of the limit of their own.
  void SetDemand(double tokens_per_second, absl::Duration delay) {
    tokens_per_second_ = tokens_per_second;
    delay_ = delay;
    if (delay <= absl::ZeroDuration()) tokens_ = 0;
  }

  // `span` passes, in which the limit is `open` to all or to nobody.
  void Advance(absl::Duration span, bool open) {
    if (delay_ <= absl::ZeroDuration()) return;
    const double kept = std::exp(-absl::FDivDuration(span, delay_));
    const double lasting = tokens_per_second_ * absl::ToDoubleSeconds(delay_);
    tokens_ = tokens_ * kept + (open ? lasting * (1 - kept) : 0);
  }

  double tokens() const { return tokens_; }

 private:
  double tokens_per_second_ = 0;
  absl::Duration delay_;
  double tokens_ = 0;
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_UNREPORTED_USE_H_
