// What the dispatcher knows of one backend server: its configuration, what was
// granted to it and not yet ended, and what its answers showed.
//
// Prefill and decode are counted apart: prompts are computed one after the
// other and hold back every first token behind them, so only about half a
// second of prompt work is let in at once and the rest waits here, in order;
// streams share a step and are bounded by the window and by memory.

#ifndef GENTIANLB_SCHEDULE_SERVER_H_
#define GENTIANLB_SCHEDULE_SERVER_H_

#include <array>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "base/decaying_sum.h"
#include "schedule/index.h"
#include "schedule/messages.h"
#include "schedule/pace.h"
#include "schedule/window.h"

namespace gentianlb::schedule {

// What one request asks of a server.
struct Demand {
  double prefill_tokens = 0;  // Not cached there.
  double output_tokens = 0;   // Expected.
  std::int64_t kv_tokens = 0;
  bool plain = false;  // A call of a plain service.
};

class Server {
 public:
  explicit Server(const ServerSpec& spec);

  void Configure(const ServerSpec& spec);

  // --- What goes on ---
  void Begin(const Demand& demand, absl::Time now);
  void FirstToken(const Demand& demand, absl::Time now);
  // The reservation of a running stream grew.
  void AddMemory(std::int64_t kv_tokens) { kv_tokens_ += kv_tokens; }
  void End(const Demand& demand, bool first_token, absl::Time now);
  // Whether one more request failed there, or came to a good end.
  void CountEnd(bool failed);
  void Report(const LoadReported& report, absl::Time now);
  void Answered(const ResponseLoadReported& answer, absl::Time now);
  void Elsewhere(const PeerLoadReported& load, absl::Time now);

  // --- Whether there is room ---
  // For any request at all.
  bool Open(absl::Time now) const;
  // Streams that may still begin.
  int FreeStreams(absl::Time now) const;
  bool PrefillFits(double prefill_tokens) const;
  bool MemoryFits(std::int64_t kv_tokens) const;
  std::int64_t FreeMemory() const { return spec.kv_tokens - kv_tokens_; }

  // --- How long it would take ---
  double FirstTokenSeconds(double prefill_tokens, absl::Time now) const;
  double FinishSeconds(const Demand& demand, absl::Time now) const;
  // The configuration's expectation, to measure the answer by.
  FirstTokenTime ExpectedFirstToken(double prefill_tokens,
                                    absl::Time now) const;

  int running() const { return running_; }
  // What others have there, as far as it is known.
  int ForeignStreams(absl::Time now) const;
  int prefilling() const { return prefilling_; }

  ServerSpec spec;
  ServerHealth health = ServerHealth::kAlive;
  bool configured = true;
  std::vector<PoolIndex> pools;
  Pace pace;
  Window window;

 private:
  double PrefillBacklog(absl::Time now) const;
  int OwnPeak() const;
  // Streams of others that are begun and not heard of, as far as they do alike.
  int UnheardStreams(absl::Time now) const;
  void CountPeak(absl::Time now);

  // Time that failures cost: `seconds` stretched by how often they come.
  double WithFailures(double seconds) const;

  double failure_rate_ = 0;  // Of the last ten or so.
  int running_ = 0;
  int prefilling_ = 0;
  double prefill_tokens_ = 0;   // Granted, first token not seen.
  absl::Time prefill_since_;    // Since when the first of them is computed.
  std::int64_t kv_tokens_ = 0;  // Reserved for what runs.
  int foreign_streams_ = 0;     // Others', by the last report or answer.
  // Others' streams slow a batch as own ones do; counted there only as answers
  // tell them, since a report is too old for it.
  int batch_mates_ = 0;
  absl::Time foreign_measured_;
  DecayingSum recent_;              // Own requests of late.
  std::array<int, 2> own_peaks_{};  // Of this period and the one before.
  absl::Time peak_since_;
};

}  // namespace gentianlb::schedule

#endif  // GENTIANLB_SCHEDULE_SERVER_H_
