// When the table service came back after an outage, as far as this host knows.
//
// What goes wrong: registrations lapse while the service is away, so that
// removals wait for a moment after its return (directory.h). A host that is
// handed changes notices no outage by itself, and is told of the return. Were
// it to tell on what it was told, hosts would refresh each other for ever:
// removals would wait without end, and requests go to servers that have long
// announced to leave. So only who noticed it tells.

#ifndef GENTIANLB_GATEWAY_TABLE_RECOVERY_H_
#define GENTIANLB_GATEWAY_TABLE_RECOVERY_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"
#include "gateway/directory.h"

namespace gentianlb::gateway {

class TableRecovery {
 public:
  // This host's own calls are answered again.
  void OnRecovered(absl::Time now) {
    noticed_ = now;
    OnPeerReport(0, now);
  }
  // Another host noticed it `milliseconds` ago; below 0: none did lately.
  void OnPeerReport(std::int32_t milliseconds, absl::Time now) {
    if (milliseconds < 0) return;
    latest_ = std::max(latest_, now - absl::Milliseconds(milliseconds));
  }

  absl::Time latest() const { return latest_; }
  // For OnPeerReport() of others.
  std::int32_t AgeToPublish(absl::Time now) const {
    const absl::Duration since = now - noticed_;
    if (since >= kReregistrationTime) return -1;
    return static_cast<std::int32_t>(absl::ToInt64Milliseconds(since));
  }

 private:
  absl::Time noticed_ = absl::InfinitePast();
  absl::Time latest_ = absl::InfinitePast();
};

}  // namespace gentianlb::gateway

#endif  // GENTIANLB_GATEWAY_TABLE_RECOVERY_H_
