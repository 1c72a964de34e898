// Ledger of watts: what the servers may draw at worst, against the share.
//
// Load pattern: the site's cap lets not all engines run at full load at once,
// and the share moves while work runs. Without a ledger every host sees idle
// servers and fills them, and the site trips its cap.
//
// Worst case of one server with n streams granted and not known to have ended:
//   idle + n * watts_per_stream
//        + joules_per_prefill_token * prefill_tokens_per_second
// where the last term counts while any of the n has shown no first token, as
// then a prefill may run at full speed. Work in doubt, cancelled but not yet
// ended, counts as running. Sums are whole milliwatts: floating point would
// drift by rounding over days and let the bound slip.

#ifndef GENTIANLB_SCHEDULE_POWER_H_
#define GENTIANLB_SCHEDULE_POWER_H_

#include <cstdint>
#include <vector>

#include "schedule/index.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

class PowerLedger {
 public:
  // Sets or replaces what `server` draws. `on`: whether its idle draw counts
  // against this share.
  void SetServer(ServerIndex server, const ServerSpec& spec, bool on);

  void SetShare(double watts);

  // One stream more or less; `prefilling` while its first token is out.
  void Begin(ServerIndex server, bool prefilling);
  void FirstToken(ServerIndex server, bool cancelling);
  void Cancelling(ServerIndex server, bool prefilling);
  void End(ServerIndex server, bool prefilling, bool cancelling);

  // Whether one more request on `server` stays within the share less
  // `reserve`, a fraction of what is left above idle.
  bool Fits(ServerIndex server, double reserve) const;

  double watts() const { return static_cast<double>(worst_) / kMilli; }
  double share() const { return static_cast<double>(share_) / kMilli; }

  // Even with all cancelled work gone, the share is exceeded.
  bool MustCancel() const { return settled_ > share_ && streams_ > 0; }

 private:
  static constexpr double kMilli = 1000;

  struct Draw {
    std::int64_t idle = 0;
    std::int64_t stream = 0;
    std::int64_t prefill = 0;
    bool on = false;
    int streams = 0;
    int prefilling = 0;
    int cancelling = 0;
    int cancelling_prefill = 0;
  };

  static std::int64_t Worst(const Draw& draw);
  static std::int64_t Settled(const Draw& draw);

  // Applies `change` to one server and keeps the sums.
  template <typename Change>
  void Update(ServerIndex server, Change change);

  std::vector<Draw> draws_;
  std::int64_t worst_ = 0;    // All that may draw.
  std::int64_t settled_ = 0;  // Without what is being cancelled.
  std::int64_t idle_ = 0;
  std::int64_t share_ = 0;
  int streams_ = 0;  // Not being cancelled.
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_POWER_H_
