// Keeps the worst-case power of all servers within the dispatcher's power
// share.
//
// Load pattern: the site's power cap does not allow all engines to run at full
// load at once, and the share changes while requests run. Without this limit,
// every host would fill the idle servers it sees, and the site would exceed its
// cap.
//
// Worst case of one server with n streams granted and not known to have
// finished:
//   idle + n * watts_per_stream
//        + joules_per_prefill_token * prefill_tokens_per_second
// where the last term counts while any of the n streams has no first token yet,
// because a prefill may then run at full speed. A cancelled request counts as
// running until it is reported as finished. Sums are integers in milliwatts:
// rounding errors of floating-point sums would accumulate over days and violate
// the bound.

#ifndef GENTIANLB_SCHEDULE_POWER_LEDGER_H_
#define GENTIANLB_SCHEDULE_POWER_LEDGER_H_

#include <cstdint>
#include <vector>

#include "schedule/index.h"
#include "schedule/messages.h"

namespace gentianlb::schedule {

// Tracks the worst-case power of all servers against the power share.
class PowerLedger {
 public:
  // Sets the power model of `server`. `on`: whether its idle power counts
  // against this share even without streams.
  void SetServer(ServerIndex server, const ServerSpec& spec, bool on);

  void SetShare(double watts);

  // Adds a stream. `prefilling`, here and below: it has no first token yet.
  void AddStream(ServerIndex server, bool prefilling);
  // Records the first token of a stream. `cancelling`, here and below: the
  // stream is being cancelled.
  void OnFirstToken(ServerIndex server, bool cancelling);
  // Records that a stream is being cancelled. It counts until it is removed.
  void OnCancel(ServerIndex server, bool prefilling);
  // Removes a stream.
  void RemoveStream(ServerIndex server, bool prefilling, bool cancelling);

  // Returns whether one more request on `server` stays within the share minus
  // `reserve`, a fraction of the share above idle power.
  bool Fits(ServerIndex server, double reserve) const;

  // Returns the worst-case power of all servers.
  double worst_case_watts() const {
    return static_cast<double>(worst_case_) / kMilliwattsPerWatt;
  }
  double share_watts() const {
    return static_cast<double>(share_) / kMilliwattsPerWatt;
  }

  // Returns whether the share is exceeded even when all requests that are being
  // cancelled have finished.
  bool MustCancel() const { return after_cancels_ > share_ && streams_ > 0; }

 private:
  static constexpr double kMilliwattsPerWatt = 1000;

  struct Draw {
    std::int64_t idle = 0;     // Milliwatts.
    std::int64_t stream = 0;   // Milliwatts per stream.
    std::int64_t prefill = 0;  // Milliwatts while computing prompts.
    bool on = false;
    int streams = 0;
    int prefilling = 0;          // Of `streams`: no first token yet.
    int cancelling = 0;          // Of `streams`: being cancelled.
    int cancelling_prefill = 0;  // Of `prefilling`: being cancelled.
  };

  static std::int64_t WorstCase(const Draw& draw);
  // Returns the worst case without the streams that are being cancelled.
  static std::int64_t WorstCaseAfterCancels(const Draw& draw);

  // Applies `change` to one server and updates the sums.
  template <typename Change>
  void Update(ServerIndex server, Change change);

  std::vector<Draw> draws_;
  // Sums over all servers, in milliwatts.
  std::int64_t worst_case_ = 0;
  std::int64_t after_cancels_ = 0;  // Without streams being cancelled.
  std::int64_t idle_ = 0;
  std::int64_t share_ = 0;  // Milliwatts.
  int streams_ = 0;         // Not being cancelled.
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_POWER_LEDGER_H_
