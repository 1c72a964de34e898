// Follows each request of a replay from its arrival to its only end, and counts
// what its caller received. A policy that loses a request, answers it twice or
// runs it after a refusal would otherwise look good in every other figure.

#ifndef GENTIANLB_REPLAY_LEDGER_H_
#define GENTIANLB_REPLAY_LEDGER_H_

#include <map>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/result.h"
#include "replay/deployment.h"
#include "replay/figures.h"
#include "replay/server_fake.h"
#include "replay/trace.h"
#include "schedule/messages.h"

namespace gentianlb::replay {

enum class Phase {
  kNotYet,
  kWaiting,  // With the policy.
  kRunning,  // Granted, until its server or the network ends it.
  kInTime,
  kLate,
  kRefused,
  kCancelled,
  kBroken,
  kAbandoned,
};

// One request and all that became of it.
struct Record {
  TraceRequest trace;
  schedule::Request request;
  Phase phase = Phase::kNotYet;
  bool caller_gone = false;
  int server = -1;            // Index of the last server granted.
  int cached_tokens = 0;      // Of the prompt, as the server found it.
  double evicted_tokens = 0;  // Computed again; see PrefillFigures.
  double misplaced_tokens = 0;
  double prefilled_tokens = 0;
  absl::Duration first_token = absl::InfiniteDuration();
  bool cancel_sent = false;
};

class Ledger {
 public:
  // Takes the requests of `service` from `trace`, in order.
  Ledger(const Trace& trace, const ServiceLoad& service, absl::Time start);

  const Record& record(StreamIndex index) const { return records_[index]; }
  int size() const { return static_cast<int>(records_.size()); }
  int open() const { return open_; }

  // The index of `id`; -1 when no such request is known.
  StreamIndex Find(const RequestId& id) const;

  // --- What the policy decides ---
  // Each is false, and notes a fault, when it may not happen now.
  bool Granted(StreamIndex index, int server);
  bool Refused(StreamIndex index, Code code, bool could_finish);
  bool Cancelled(StreamIndex index, Code code);

  // --- What befalls a request ---
  void Arrived(StreamIndex index);
  void NotSent(StreamIndex index);
  void PrefillBegan(StreamIndex index, int cached_tokens, double evicted,
                    double misplaced);
  void FirstToken(StreamIndex index, absl::Time when);
  void Finished(StreamIndex index, absl::Time when);
  void Stopped(const StreamRemains& remains, Phase end);
  void CallerLeft(StreamIndex index);

  // Notes a fault in the policy; the replay then fails.
  void Fault(const std::string& what);
  const std::vector<std::string>& faults() const { return faults_; }

  // The counts, by tier, and the prefill by cause.
  std::vector<TierFigures> Tiers(const std::vector<WorkspaceLoad>& spec) const;
  PrefillFigures Prefill() const;

 private:
  struct TierState {
    int waiting = 0;
    int running = 0;
    int inversions = 0;
    int cancel_inversions = 0;
    int doubtful_refusals = 0;
    std::map<Code, int> codes;
  };

  void Move(StreamIndex index, Phase phase);
  bool LowerTierWaits(Tier tier) const;
  bool LowerTierRuns(Tier tier) const;

  std::vector<Record> records_;
  absl::flat_hash_map<RequestId, StreamIndex> by_id_;
  absl::btree_map<Tier, TierState> tiers_;
  std::vector<std::string> faults_;
  int open_ = 0;
};

}  // namespace gentianlb::replay

#endif  // GENTIANLB_REPLAY_LEDGER_H_
