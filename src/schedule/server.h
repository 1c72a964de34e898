// State of one backend server in the dispatcher: its configuration, the
// requests granted to it and not yet finished, and what is learnt from its
// responses.
//
// Prefill and decode are counted separately. Prompts are computed one after the
// other, and each delays the first tokens of those behind it, so only about
// half a second of prompt work is admitted at once and the rest waits in the
// dispatcher's queue. Decoding streams share a batch step and are limited by
// the window and by memory.

#ifndef GENTIANLB_SCHEDULE_SERVER_H_
#define GENTIANLB_SCHEDULE_SERVER_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "base/decaying_sum.h"
#include "schedule/index.h"
#include "schedule/machine_slowdown.h"
#include "schedule/messages.h"
#include "schedule/request_limit.h"
#include "schedule/speed_estimator.h"
#include "schedule/stream_pauses.h"
#include "schedule/window.h"

namespace gentianlb::schedule {

// Resources that one request needs on a server.
struct Demand {
  double prefill_tokens = 0;   // Prompt tokens not cached on the server.
  double output_tokens = 0;    // Expected.
  std::int64_t kv_tokens = 0;  // KV-cache memory to reserve, in tokens.
  bool plain = false;          // A call of a plain service.
};

// Tracks the load of a server and predicts times of requests on it.
class Server {
 public:
  explicit Server(const ServerSpec& spec);

  // Replaces the configuration. Keeps the learnt speeds if the configured
  // speeds are unchanged.
  void Configure(const ServerSpec& spec);

  // --- Events ---
  // Adds a granted request.
  void OnGrant(const Demand& demand, absl::Time now);
  // Records that the prompt of a request is computed.
  void OnFirstToken(const Demand& demand, absl::Time now);
  // Increases the memory reserved for running streams.
  void ReserveMemory(std::int64_t kv_tokens) { kv_tokens_ += kv_tokens; }
  // Removes a request. `first_token`: whether OnFirstToken() was called for it.
  void OnFinish(const Demand& demand, bool first_token, absl::Time now);
  // Updates the failure rate by one finished request.
  void RecordOutcome(bool failed);
  // Records that some host received a part of a response.
  void OnReached(absl::Time now) { last_reached_ = now; }
  // Updates the streams of peer dispatchers from the server's load report.
  void OnLoadReport(const LoadReported& report, absl::Time now);
  // Updates them from the load sent with a response of the server.
  void OnResponseLoad(const ResponseLoadReported& load, absl::Time now);
  // Updates them from what the peer dispatchers publish.
  void OnPeerLoad(const PeerLoadReported& load, absl::Time now);

  // --- Free capacity ---
  // Returns whether the server can take any request now.
  bool IsOpen(absl::Time now) const;
  // Returns the number of streams that may still be granted; may be negative.
  int FreeStreams(absl::Time now) const;
  // Returns whether the prompt work fits within the admission limit.
  bool PrefillFits(double prefill_tokens) const;
  // Returns whether the memory reservation fits beside the streams of all
  // dispatchers.
  bool MemoryFits(std::int64_t kv_tokens, absl::Time now) const;
  // Returns the memory that is free for a request that needs `kv_tokens`.
  std::int64_t FreeMemory(std::int64_t kv_tokens, absl::Time now) const;

  // --- Predicted times ---
  PromptLoad PromptLoadAt(absl::Time now) const;
  // Returns the predicted seconds to the first token of a request granted now.
  double FirstTokenSeconds(double prefill_tokens, absl::Time now) const;
  // Returns the predicted seconds to compute prompt tokens alone.
  double PrefillSeconds(double tokens, absl::Time now) const;
  // Returns the predicted seconds to the completion of a request granted now,
  // including the expected cost of failures.
  double FinishSeconds(const Demand& demand, absl::Time now) const;
  // Returns the expected time from the configured speeds, with which the
  // measured time is compared.
  FirstTokenTime ExpectedFirstToken(double prefill_tokens,
                                    absl::Time now) const;

  // Records that a request granted at `granted_at` received its first token.
  void RecordServedGrant(absl::Time granted_at) {
    last_served_grant_ = std::max(last_served_grant_, granted_at);
  }
  // Returns whether a request granted later has received its first token. A
  // server admits requests in the order of their arrival, so one that is
  // overtaken was held up on the way.
  bool IsOvertaken(absl::Time granted_at) const {
    return last_served_grant_ > granted_at;
  }
  // Returns when some host last received a part of a response.
  absl::Time last_reached() const { return last_reached_; }

  // Returns whether the server may take work, now or after a suspicion is
  // cleared.
  bool usable() const {
    return configured &&
           (health == ServerHealth::kAlive || health == ServerHealth::kSuspect);
  }

  int running() const { return running_; }
  // Returns the number of streams of peer dispatchers, 0 if not known.
  int PeerStreams(absl::Time now) const;
  // Returns the number of streams without a first token.
  int prefilling() const { return prefilling_; }

  ServerSpec spec;
  ServerHealth health = ServerHealth::kAlive;
  bool configured = true;
  std::vector<PoolIndex> pools;
  SpeedEstimator speed;      // At the usual speed of the server's machine.
  MachineSlowdown slowdown;  // Of its machine at the moment.
  Window window;
  RequestLimit limit;

 private:
  // Returns the granted prompt tokens that are not computed yet.
  double PrefillBacklog(absl::Time now) const;
  // Returns the maximum of running_ over the last one to two periods.
  int OwnPeak() const;
  // Returns the memory of peer dispatchers' streams, whose sizes are not known:
  // each counts like an average request granted here, or like one of
  // `kv_tokens` if none was.
  std::int64_t PeerMemory(std::int64_t kv_tokens, absl::Time now) const;
  // Returns an estimate of the streams that peer dispatchers have granted but
  // not yet reported, assuming that they make the same choices.
  int UnreportedStreams(absl::Time now) const;
  void UpdatePeak(absl::Time now);

  // Returns `seconds` plus the expected cost of failures.
  double WithFailureCost(double seconds) const;
  // Returns the seconds to the first token at the machine's usual speed.
  double UsualFirstTokenSeconds(double prefill_tokens, absl::Time now) const;

  absl::Time last_reached_ = absl::InfinitePast();
  absl::Time last_served_grant_ = absl::InfinitePast();
  double failure_rate_ = 0;  // Moving average over about 10 requests.
  int running_ = 0;
  int prefilling_ = 0;
  double prefill_tokens_ = 0;   // Of the streams without a first token.
  absl::Time prefill_since_;    // When the current prompt was started.
  std::int64_t kv_tokens_ = 0;  // Reserved for running streams.
  double mean_kv_tokens_ = 0;   // Of granted requests; 0: none yet.
  int peer_streams_ = 0;        // Streams of peer dispatchers, last known.
  // Streams of peer dispatchers that slow down the batch. Not updated by load
  // reports, which are too old for it.
  int peer_batch_streams_ = 0;
  absl::Time peer_streams_measured_;
  DecayingSum recent_grants_;       // Own grants, decaying with time.
  std::array<int, 2> own_peaks_{};  // Of the current and the previous period.
  absl::Time peak_since_;           // Start of the current period.
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_SERVER_H_
