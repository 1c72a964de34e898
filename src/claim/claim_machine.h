// The decisions on claims of one entry host, without network, thread or clock:
// events go in with the time, actions come out. A copyable value, so that the
// explorer can branch it at every step.

#ifndef GENTIANLB_CLAIM_CLAIM_MACHINE_H_
#define GENTIANLB_CLAIM_CLAIM_MACHINE_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "base/ids.h"
#include "claim/messages.h"

namespace gentianlb::claim {

struct ClaimOptions {
  EntryHostId self;
  Incarnation incarnation = 0;
};

struct ClaimCounters {
  std::uint64_t opened = 0;
  std::uint64_t proceeded = 0;
  std::uint64_t proceeded_without_table = 0;
  std::uint64_t attached = 0;
  std::uint64_t resumed = 0;
  std::uint64_t refused = 0;
  std::uint64_t transactions = 0;
  std::uint64_t row_writes = 0;
  std::uint64_t questions = 0;
  auto operator<=>(const ClaimCounters&) const = default;
};

class ClaimMachine {
 public:
  ClaimMachine(ClaimOptions options, absl::Time now);

  // Appends the actions that `event` leads to, in order.
  void Handle(const Event& event, absl::Time now, std::vector<Action>* actions);

  // A peer asks about a key.
  PeerAnswer HandleQuestion(const PeerQuestion& question, absl::Time now,
                            std::vector<Action>* actions);

  // Entry hosts known to membership, without this one.
  void SetPeers(std::vector<EntryHostId> peers);

  // When TimePassed is due at the latest.
  absl::Time NextWakeup() const;

  const ClaimCounters& counters() const { return counters_; }

 private:
  ClaimOptions options_;
  ClaimCounters counters_;
};

}  // namespace gentianlb::claim

#endif  // GENTIANLB_CLAIM_CLAIM_MACHINE_H_
