// The time at which the table service recovered from its last outage, as far as
// this host knows.
//
// Registrations expire while the service is unavailable, so that removals are
// delayed for a moment after its recovery (directory.h). A host that receives
// changes from its peers does not observe an outage itself, and learns of the
// recovery from a peer. If it published a recovery that it learnt from a peer,
// hosts would renew each other's delay forever: removals would never take
// effect, and requests would go to servers that announced their departure long
// before. So a host publishes only a recovery that it observed itself.

#ifndef GENTIANLB_GATEWAY_TABLE_RECOVERY_H_
#define GENTIANLB_GATEWAY_TABLE_RECOVERY_H_

#include <glog/logging.h>

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"
#include "gateway/directory.h"

namespace gentianlb::gateway {

class TableRecovery {
 public:
  // Records that the service responds to this host's own calls again.
  void OnRecovered(absl::Time now) {
    observed_at_ = now;
    Record(now, now, "this-host");
  }
  // Records that a peer observed a recovery `milliseconds` ago; negative: none
  // recently.
  void OnPeerReport(std::int32_t milliseconds, absl::Time now) {
    if (milliseconds < 0) return;
    Record(now - absl::Milliseconds(milliseconds), now, "peer");
  }

  absl::Time latest() const { return latest_; }
  // Returns the milliseconds since this host observed a recovery, for
  // OnPeerReport() of peers; -1 if there was no recent one.
  std::int32_t AgeToPublish(absl::Time now) const {
    const absl::Duration age = now - observed_at_;
    if (age >= kReregistrationTime) return -1;
    return static_cast<std::int32_t>(absl::ToInt64Milliseconds(age));
  }

 private:
  // Reports of one recovery differ by less, as messages take a while.
  static constexpr absl::Duration kReportSpread = absl::Milliseconds(500);

  void Record(absl::Time at, absl::Time now, const char* observer) {
    if (at <= latest_) return;
    if (at - latest_ > kReportSpread) {
      LOG(INFO) << "event=table-recovered observer=" << observer
                << " age_ms=" << absl::ToInt64Milliseconds(now - at);
    }
    latest_ = at;
  }

  absl::Time observed_at_ = absl::InfinitePast();
  absl::Time latest_ = absl::InfinitePast();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_RECOVERY_H_
